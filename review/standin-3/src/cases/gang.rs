//! One of twelve workers fails all that it starts for some seconds, while gangs are started.

use super::*;

const SERVICE: &str = "svc-cruce";
const WORKERS: usize = 12;
const TRAFFIC: u64 = 120;
const GAP: Duration = Duration::from_millis(150);
const MEMBERS: u64 = 8;
const WORK_MS: u64 = 1_300;
/// Queue's `MaxAttempts`.
const MAX_ATTEMPTS: usize = 4;
/// Time for which the worker fails all that it starts.
const FAILING: Duration = Duration::from_millis(6_500);

pub async fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, Error> {
    let site = Site::start(record, 3, workers(WORKERS, SERVICE), &[queue(SERVICE)]).await?;
    let site = Arc::new(site);
    let failing = {
        let site = Arc::clone(&site);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(4)).await;
            if has_trouble {
                let loads = site.workers.loads();
                let busiest = (0..WORKERS).max_by_key(|index| loads[*index]).unwrap_or(0);
                site.workers.set_failing(busiest, true);
                tokio::time::sleep(FAILING).await;
                site.workers.set_failing(busiest, false);
            }
        })
    };
    let step = json!({
        "Count": MEMBERS, "Cpu": 3_800, "MemMb": 7_800, "EstimateMs": WORK_MS, "Gang": true,
    });
    let jobs = (0..TRAFFIC).map(|number| {
        let id = job_id(1, number);
        let text = format!("gang {MEMBERS} {WORK_MS} {id}");
        (id, job(&text, step.clone()))
    });
    let accepted = submit_all(&site, GAP, jobs).await;
    failing.await?;
    record.line("the traffic has ended");
    tokio::time::sleep(FINISH).await;
    let states = states(&site, &accepted).await;
    let mut failed = Vec::new();
    for (id, _) in states.iter().filter(|(_, state)| state == "failed") {
        let ends = site.workers.ends_of(id);
        let mut runs: Vec<u64> = ends
            .iter()
            .filter(|end| end.how == "failed")
            .map(|end| end.run)
            .collect();
        runs.sort_unstable();
        runs.dedup();
        if runs.len() < MAX_ATTEMPTS {
            failed.push((id.clone(), runs.len()));
        }
    }
    let completed = states
        .iter()
        .filter(|(_, state)| state == "completed")
        .count();
    site.keep_logs(folder);
    Ok(Verdict {
        is_broken: !failed.is_empty(),
        seen: format!(
            "{} jobs were accepted, {completed} are completed; {} are shown as failed although their gang \
             has failed less than MaxAttempts = {MAX_ATTEMPTS} times (job, failed runs of the gang): {failed:?}",
            accepted.len(),
            failed.len(),
        ),
    })
}
