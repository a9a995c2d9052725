//! Workers crash one after the other and start again, at times that have nothing to do with the tasks.

use super::*;

const SERVICE: &str = "svc-render";
const WORKERS: usize = 9;
const TRAFFIC: u64 = 60;
const GAP: Duration = Duration::from_millis(750);
/// One of nine workers, 11%, is down at a time, for 0.7 s.
const DOWN: Duration = Duration::from_millis(700);
const CRASHES: u64 = 60;
/// Work of a task.
const WORK_MS: u64 = 3_000;

pub async fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, Error> {
    let site = Site::start(record, 3, workers(WORKERS, SERVICE), &[queue(SERVICE)]).await?;
    let site = Arc::new(site);
    let crashes = {
        let site = Arc::clone(&site);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(4)).await;
            let mut draw = Draw(0x9e37_79b9_7f4a_7c15);
            let mut last = usize::MAX;
            for _ in 0..if has_trouble { CRASHES } else { 0 } {
                let mut index = last;
                while index == last {
                    index = draw.next(WORKERS as u64) as usize;
                }
                last = index;
                site.workers.crash(index);
                tokio::time::sleep(DOWN).await;
                if let Err(error) = site.workers.restart(index).await {
                    site.record.say(&format!("a worker doesn't start: {error}"));
                }
            }
        })
    };
    let step = json!({"Count": 8, "Cpu": 2_500, "MemMb": 9_100, "EstimateMs": WORK_MS});
    let jobs = (0..TRAFFIC).map(|number| {
        let id = job_id(1, number);
        let text = format!("work {WORK_MS} {id}");
        (id, job(&text, step.clone()))
    });
    let accepted = submit_all(&site, GAP, jobs).await;
    crashes.await?;
    record.line("the traffic and the crashes have ended");
    tokio::time::sleep(FINISH).await;
    let states = states(&site, &accepted).await;
    let mut failed = Vec::new();
    for (id, _) in states.iter().filter(|(_, state)| state == "failed") {
        let ends = site.workers.ends_of(id);
        let count = |how: &str| ends.iter().filter(|end| end.how == how).count();
        record.line(&format!(
            "job {id} is shown as failed: {} runs ended failed, {} done, {} were lost with their workers",
            count("failed"), count("done"), count("lost")
        ));
        if count("failed") == 0 {
            failed.push((id.clone(), count("lost")));
        }
    }
    let completed = states.iter().filter(|(_, state)| state == "completed").count();
    site.keep_logs(folder);
    Ok(Verdict {
        is_broken: !failed.is_empty(),
        seen: format!(
            "{} jobs were accepted, {completed} are completed; {} are shown as failed although no run of \
             theirs has ended failed and nobody has cancelled them (job, runs lost with a worker): {failed:?}",
            accepted.len(),
            failed.len(),
        ),
    })
}
