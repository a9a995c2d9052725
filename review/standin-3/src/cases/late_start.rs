//! A start is left unanswered and carried out late, while its worker crashes and starts again twice, the second
//! time behind a cut.

use super::*;

const SERVICE: &str = "svc-cruce";
const WORKERS: usize = 8;
/// Time for which the workers run before: the times that a call names are those of the worker's clock.
const AGE: Duration = Duration::from_secs(12);
/// Delay of the start; `applied_late` has 2 to 12 s.
const LATE: Duration = Duration::from_millis(8_000);
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(500);
/// Time for which the worker is cut off; `node_cut` has 5.5 s.
const CUT: Duration = Duration::from_millis(5_500);
const WORK_MS: u64 = 10_000;

pub async fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, Error> {
    let site = Site::start(record, 3, workers(WORKERS, SERVICE), &[queue(SERVICE)]).await?;
    let site = Arc::new(site);
    tokio::time::sleep(AGE).await;
    if has_trouble {
        site.workers.delay_next_start(LATE);
    }
    let id = job_id(1, 0);
    let step = json!({"Count": 1, "Cpu": 3_800, "MemMb": 7_800, "EstimateMs": WORK_MS});
    if !site
        .submit("/q/", &id, &job(&format!("work {WORK_MS}"), step))
        .await
    {
        return Err("the job isn't accepted".into());
    }
    let began = Instant::now();
    if has_trouble {
        if !wait_until(Duration::from_secs(3), || site.workers.delayed().is_some()).await {
            return Err("no start was sent".into());
        }
        let index = site.workers.delayed().unwrap_or(0);
        let site = Arc::clone(&site);
        tokio::spawn(async move {
            // It crashes soon after the start was sent to it, and is up again half a second later.
            site.workers.crash(index);
            tokio::time::sleep(DOWN).await;
            drop(site.workers.restart(index).await);
            tokio::time::sleep(Duration::from_millis(3_500)).await;
            // It is cut off, crashes behind the cut and starts again.
            site.workers.set_cut(index, true);
            tokio::time::sleep(DOWN).await;
            site.workers.crash(index);
            tokio::time::sleep(DOWN).await;
            drop(site.workers.restart(index).await);
            tokio::time::sleep(CUT - 2 * DOWN).await;
            site.workers.set_cut(index, false);
            site.workers.register_all();
        });
    }
    let mut doubled = None;
    let limit = Duration::from_millis(WORK_MS) + Duration::from_secs(12);
    while began.elapsed() < limit {
        let running = site.workers.running();
        if running.len() > 1 && doubled.is_none() {
            record.line(&format!("two runs of one task: {running:?}"));
            doubled = Some((began.elapsed().as_millis(), running));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let state = site.state("/q/", &id).await;
    site.keep_logs(folder);
    let seen = match &doubled {
        Some((after_ms, running)) => {
            format!("{after_ms} ms after the acceptance the task runs twice: {running:?}")
        }
        None => String::from("the task never runs twice at a time"),
    };
    Ok(Verdict {
        is_broken: doubled.is_some(),
        seen: format!("{seen}; the job is shown as {state}"),
    })
}
