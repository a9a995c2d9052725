//! A few jobs that can't be placed, beside ordinary ones.
//!
//! A job that lasts has a task on each worker. Then twelve more jobs that last come, each of which needs
//! nearly a whole worker, so that none of them can be placed while the first one lasts. The ordinary jobs
//! need a twentieth of a worker for each of their tasks.

use super::*;

const SERVICE: &str = "svc-anden";
const WORKERS: usize = 8;
const TRAFFIC: u64 = 240;
const GAP: Duration = Duration::from_millis(250);
const HOPELESS: u64 = 12;
const LASTING_CPU: u64 = 2_700;
const TASK_CPU: u64 = 1_800;
const TASKS: u64 = 6;

pub async fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, Error> {
    let site = Site::start(record, 3, workers(WORKERS, SERVICE), &[queue(SERVICE)]).await?;
    let site = Arc::new(site);
    let lasting = job_id(1, 0);
    let step = json!({
        "Count": WORKERS, "Cpu": LASTING_CPU, "MemMb": 17_000, "EstimateMs": 900, "AntiAffinity": 1,
        "LongRunning": true,
    });
    if !site.submit("/q/", &lasting, &job("lasts", step)).await {
        return Err("the first job isn't accepted".into());
    }
    let all_work = || site.workers.loads().iter().all(|runs| *runs >= 1);
    if !wait_until(Duration::from_secs(10), all_work).await {
        return Err("the first job isn't at work".into());
    }
    let hopeless = {
        let site = Arc::clone(&site);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(10)).await;
            let count = if has_trouble { HOPELESS } else { 0 };
            let jobs = (0..count).map(|number| {
                let step = json!({
                    "Count": 1, "Cpu": 30_000 + 100 * number, "MemMb": 17_000, "EstimateMs": 900,
                    "LongRunning": true,
                });
                (job_id(2, number), job("lasts", step))
            });
            submit_all(&site, GAP, jobs).await
        })
    };
    let step = json!({"Count": TASKS, "Cpu": TASK_CPU, "MemMb": 6_500, "EstimateMs": 1_000});
    let ordinary = (0..TRAFFIC).map(|number| {
        let id = job_id(3, number);
        let text = format!("work 1000 {id}");
        (id, job(&text, step.clone()))
    });
    let accepted = submit_all(&site, GAP, ordinary).await;
    let hopeless = hopeless.await?;
    record.line("the traffic has ended");
    tokio::time::sleep(FINISH).await;
    let open: Vec<String> = states(&site, &accepted)
        .await
        .into_iter()
        .filter(|(_, state)| state != "completed")
        .map(|(id, _)| id)
        .collect();
    // For 3 s: has any of them something running, and how much of the service is in use?
    let mut idle = open.clone();
    let mut most_in_use = 0;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        idle.retain(|id| !site.workers.runs(id));
        let lasting_tasks = WORKERS as u64;
        let other_tasks = site.workers.loads().iter().sum::<usize>() as u64 - lasting_tasks;
        most_in_use = most_in_use.max(lasting_tasks * LASTING_CPU + other_tasks * TASK_CPU);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let final_states = states(&site, &idle).await;
    let never = idle
        .iter()
        .filter(|id| site.workers.starts_of(id) == 0)
        .count();
    let capacity = WORKERS as u64 * WORKER_CPU;
    let in_use_percent = most_in_use * 100 / capacity;
    site.keep_logs(folder);
    let shown: Vec<&(String, String)> = final_states.iter().take(3).collect();
    Ok(Verdict {
        is_broken: !idle.is_empty() && in_use_percent < 50,
        seen: format!(
            "{} of {TRAFFIC} ordinary jobs were accepted, {} of them not completed {} s after the end of \
             the traffic; {} had nothing running for 3 s more ({never} never had anything), with at most \
             {in_use_percent}% of the service's processors in use; {} hopeless jobs were accepted; \
             e.g. {shown:?}",
            accepted.len(),
            open.len(),
            FINISH.as_secs(),
            idle.len(),
            hopeless.len(),
        ),
    })
}
