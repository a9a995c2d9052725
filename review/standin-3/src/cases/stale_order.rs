//! The holder of the duties over machines is cut off from the platform while one of its orders is on the way.

use std::sync::atomic::{AtomicBool, Ordering};

use super::*;
use crate::proxy::{Cut, Watch};

const SERVICE: &str = "svc-estadio";
const WORKERS: usize = 8;
/// One machine of six is cut off.
const PROCESSES: usize = 6;
const CUT: Duration = Duration::from_millis(8_000);
/// Time of the wave, `DurationS`, and the machines that may be away at once, `Cap`.
const WAVE_S: u64 = 26;
const CAP: u64 = 2;

pub async fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, Error> {
    // The cut begins when the second order is seen, and takes that order with it.
    let seen = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let has_cut = Arc::new(AtomicBool::new(false));
    let (start_cut, mut cut_started) = tokio::sync::mpsc::unbounded_channel();
    let watch: Watch = {
        let has_cut = Arc::clone(&has_cut);
        Arc::new(move |cut: &Cut, bytes: &[u8]| {
            let is_order = bytes.starts_with(b"POST /machine-upkeep ");
            let count = if is_order {
                seen.fetch_add(1, Ordering::SeqCst) + 1
            } else {
                0
            };
            if has_trouble && count == 2 && !has_cut.swap(true, Ordering::SeqCst) {
                cut.set(true);
                drop(start_cut.send(cut.name.clone()));
            }
        })
    };
    let site = Site::start_cuttable(
        record,
        PROCESSES,
        workers(WORKERS, SERVICE),
        &[queue(SERVICE)],
        watch,
    )
    .await?;
    let site = Arc::new(site);
    let ending = {
        let site = Arc::clone(&site);
        tokio::spawn(async move {
            if let Some(name) = cut_started.recv().await {
                tokio::time::sleep(CUT).await;
                site.end_cut(&name);
            }
        })
    };
    let machines: Vec<String> = (0..WORKERS).map(|index| format!("m-{index}")).collect();
    site.ask_wave(1, &machines, WAVE_S, CAP);
    let step = json!({"Count": 2, "Cpu": 1_800, "MemMb": 6_500, "EstimateMs": 300});
    let jobs = (0..80).map(|number| {
        let id = job_id(1, number);
        (id.clone(), job(&format!("work 300 {id}"), step.clone()))
    });
    let accepted = submit_all(&site, Duration::from_millis(500), jobs).await;
    if has_trouble && !has_cut.load(Ordering::SeqCst) {
        return Err("no second order was seen".into());
    }
    ending.abort();
    site.keep_logs(folder);
    let orders = site.orders();
    let mut stale = Vec::new();
    for (number, order) in orders.iter().enumerate() {
        let earlier = orders[..number]
            .iter()
            .filter(|earlier| earlier.machine == order.machine);
        if let Some(higher) = earlier.clone().find(|earlier| earlier.token > order.token) {
            stale.push(format!(
                "{}: {} with token {} after {} with {}",
                order.machine, order.holder, order.token, higher.holder, higher.token
            ));
        }
    }
    Ok(Verdict {
        is_broken: !stale.is_empty(),
        seen: format!(
            "{} jobs accepted, {} orders, {} of {WORKERS} machines had their upkeep; orders with a lower fencing \
             token after a higher one: {stale:?}",
            accepted.len(),
            orders.len(),
            site.kept(),
        ),
    })
}
