//! One of eight workers is lost for good, while jobs that last have a task on each of the eight.
//!
//! Each of these jobs may have one task on a worker (`AntiAffinity`), so that one task of each waits until
//! there are eight workers again. The ordinary jobs may have two tasks on a worker, and there is room.

use super::*;

const SERVICE: &str = "svc-puerta";
const WORKERS: usize = 8;
const LASTING: u64 = 50;
const LASTING_CPU: u64 = 200;
const TRAFFIC: u64 = 120;
const GAP: Duration = Duration::from_millis(250);
const TASK_CPU: u64 = 1_800;
const TASKS: u64 = 6;

pub async fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, Error> {
    let site = Site::start(record, 3, workers(WORKERS, SERVICE), &[queue(SERVICE)]).await?;
    let site = Arc::new(site);
    let step = json!({
        "Count": WORKERS, "Cpu": LASTING_CPU, "MemMb": 500, "EstimateMs": 900, "AntiAffinity": 1,
        "LongRunning": true,
    });
    let lasting = (0..LASTING).map(|number| {
        let id = job_id(1, number);
        (id.clone(), job(&format!("lasts {id}"), step.clone()))
    });
    let lasting = submit_all(&site, Duration::from_millis(100), lasting).await;
    let all_work = || site.workers.loads().iter().sum::<usize>() == lasting.len() * WORKERS;
    if lasting.len() < LASTING as usize || !wait_until(Duration::from_secs(15), all_work).await {
        return Err(format!(
            "the jobs that last aren't at work: {:?}",
            site.workers.loads()
        )
        .into());
    }
    record.line("the jobs that last are at work");
    let loss = {
        let site = Arc::clone(&site);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(6)).await;
            if has_trouble {
                site.workers.crash(WORKERS - 1);
            }
        })
    };
    let step = json!({
        "Count": TASKS, "Cpu": TASK_CPU, "MemMb": 6_500, "EstimateMs": 1_000, "AntiAffinity": 2,
    });
    let ordinary = (0..TRAFFIC).map(|number| {
        let id = job_id(3, number);
        (id.clone(), job(&format!("work 1000 {id}"), step.clone()))
    });
    let accepted = submit_all(&site, GAP, ordinary).await;
    loss.await?;
    record.line("the traffic has ended");
    tokio::time::sleep(FINISH).await;
    let open: Vec<String> = states(&site, &accepted)
        .await
        .into_iter()
        .filter(|(_, state)| state != "completed")
        .map(|(id, _)| id)
        .collect();
    let mut idle = open.clone();
    let mut most_in_use = 0;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        idle.retain(|id| !site.workers.runs(id));
        let lasting_tasks = lasting
            .iter()
            .map(|id| site.workers.tasks(id))
            .sum::<usize>() as u64;
        let all_tasks = site.workers.loads().iter().sum::<usize>() as u64;
        let ordinary_tasks = all_tasks.saturating_sub(lasting_tasks);
        most_in_use = most_in_use.max(lasting_tasks * LASTING_CPU + ordinary_tasks * TASK_CPU);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let final_states = states(&site, &idle).await;
    let never = idle
        .iter()
        .filter(|id| site.workers.starts_of(id) == 0)
        .count();
    let up = (0..WORKERS)
        .filter(|index| site.workers.is_up(*index))
        .count() as u64;
    let in_use_percent = most_in_use * 100 / (up * WORKER_CPU);
    site.keep_logs(folder);
    let shown: Vec<&(String, String)> = final_states.iter().take(3).collect();
    Ok(Verdict {
        is_broken: !idle.is_empty() && in_use_percent < 50,
        seen: format!(
            "{} of {TRAFFIC} ordinary jobs were accepted, {} of them not completed {} s after the end of \
             the traffic; {} had nothing running for 3 s more ({never} never had anything), with at most \
             {in_use_percent}% of the processors of the {up} workers in use; e.g. {shown:?}",
            accepted.len(),
            open.len(),
            FINISH.as_secs(),
            idle.len(),
        ),
    })
}
