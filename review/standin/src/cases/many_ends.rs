//! The store is down while a worker's many small tasks end.

use std::path::Path;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, route};

use super::{job, pause_ms, ready, run_twice};

/// How long the store is down; the users' site has up to 4.5 s.
const STORE_DOWN_MS: u64 = 3_500;

/// The store is down while a worker's many small tasks end.
pub(super) fn play(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    const TASKS: usize = 1_400;
    let site = Site::start(folder, record, &[("svc-a", 3)], 3);
    site.configure(3, &[route("r-plan", "/plan/", "svc-a")], &["svc-a"], 3_000);
    if let Err(verdict) = ready(&site, &["/plan/"]) {
        return verdict;
    }
    let path = "/plan/c000000000000001";
    let first = site.seen().len();
    if !site.submit(path, &job(&[1_400], 11, 20, 5_000)) {
        return Verdict::CouldNotRun("the job isn't accepted".to_owned());
    }
    if !site.wait(20_000, || site.seen().len() >= first + TASKS) {
        return Verdict::CouldNotRun(format!("only {} tasks started", site.seen().len() - first));
    }
    let is_down_in_time = site.wait(10_000, || {
        site.seen()[first..]
            .iter()
            .any(|run| run.ended_ms.is_some())
    });
    if !is_down_in_time {
        return Verdict::CouldNotRun("no task ends".to_owned());
    }
    if has_trouble {
        site.record.write("disruption: the store is down");
        site.store.set_down(true);
        pause_ms(STORE_DOWN_MS);
        site.store.set_down(false);
        site.record.write("disruption: the store is back");
    }
    let is_completed = site.wait(40_000, || {
        pause_ms(500);
        site.state(0, path) == "completed"
    });
    pause_ms(2_000);
    let twice = run_twice(&site.seen());
    for line in &twice {
        site.record.write(&format!("found: {line}"));
    }
    if !twice.is_empty() {
        return Verdict::Broken(format!(
            "TWICE: {} starts of tasks after a run of theirs had ended done; completed: {is_completed}",
            twice.len()
        ));
    }
    if is_completed {
        Verdict::Held
    } else {
        Verdict::Broken("LOST: the job isn't completed".to_owned())
    }
}
