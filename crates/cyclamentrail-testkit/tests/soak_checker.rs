//! The soak's checker finds each kind of broken promise in a recorded history.

use std::time::{Duration, Instant};

use cyclamentrail_testkit::{
    History, JobHistory, KeyCall, KeyHistory, RunHistory, Submission, Violation, WorkerHistory,
    check_history, draw_schedule,
};
use rstest::rstest;

const JOB: &str = "00000001000000a1";

/// Times of a history in milliseconds since its beginning.
#[derive(Debug, Clone, Copy)]
struct Clock(Instant);

impl Clock {
    fn at(self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn run(self, task: &str, began_ms: u64, ended_ms: u64, is_done: bool) -> RunHistory {
        RunHistory {
            task: format!("{JOB}.{task}"),
            requested: self.at(began_ms),
            began: self.at(began_ms),
            ended: self.at(ended_ms),
            is_done,
            acknowledged: None,
        }
    }
}

impl Clock {
    fn call(self, key: Option<usize>, sent_ms: u64, status: u16) -> KeyCall {
        KeyCall {
            key,
            sent: self.at(sent_ms),
            answered: self.at(sent_ms + 10),
            status,
        }
    }
}

/// Returns a history without a broken promise: a job with a step of two tasks and a step of one.
fn kept_promises(clock: Clock) -> History {
    let job = JobHistory {
        id: JOB.to_owned(),
        step_tasks: vec![2, 1],
        submission: Submission::Accepted,
        cancelled: None,
        states: vec![String::from("running"), String::from("completed")],
    };
    let first = WorkerHistory {
        id: String::from("i-0"),
        runs: vec![
            clock.run("0.0.0", 100, 200, true),
            clock.run("0.1.0", 400, 500, true),
        ],
        gave_notice: None,
        cuts: Vec::new(),
        ended: clock.at(30_000),
    };
    let second = WorkerHistory {
        id: String::from("i-1"),
        runs: vec![clock.run("0.0.1", 100, 300, true)],
        gave_notice: None,
        cuts: Vec::new(),
        ended: clock.at(30_000),
    };
    History {
        jobs: vec![job],
        workers: vec![first, second],
        keys: vec![
            KeyHistory {
                team: 0,
                added: clock.at(0),
                revoked: Some(clock.at(10_000)),
            },
            KeyHistory {
                team: 0,
                added: clock.at(9_000),
                revoked: None,
            },
        ],
        calls: vec![
            // Within the bound after the revocation, and after it.
            clock.call(Some(0), 14_900, 200),
            clock.call(Some(0), 15_100, 401),
            // Before every process knows the key, and afterwards at one that can't tell.
            clock.call(Some(1), 13_900, 401),
            clock.call(Some(1), 14_100, 503),
            clock.call(None, 100, 401),
        ],
    }
}

/// Breaks one promise in a history that keeps all of them.
type Break = fn(Clock, &mut History);

fn never_ended(_clock: Clock, history: &mut History) {
    history.jobs[0].states.pop();
}

fn state_changed(_clock: Clock, history: &mut History) {
    history.jobs[0].states.push(String::from("running"));
}

fn task_missing(_clock: Clock, history: &mut History) {
    history.workers[0].runs.pop();
}

fn rejected(_clock: Clock, history: &mut History) {
    history.jobs[0].submission = Submission::Rejected;
}

fn ran_after_cancel(clock: Clock, history: &mut History) {
    history.jobs[0].cancelled = Some(clock.at(150));
    history.jobs[0].states = vec![String::from("cancelled")];
    let late = clock.run("0.1.0", 5_200, 5_300, false);
    history.workers[0].runs[1] = late;
}

fn ran_twice(clock: Clock, history: &mut History) {
    let overlapping = clock.run("0.0.0", 150, 250, false);
    history.workers[1].runs.push(overlapping);
}

fn ran_after_done(clock: Clock, history: &mut History) {
    let again = clock.run("0.0.0", 350, 380, true);
    history.workers[1].runs.push(again);
}

fn ran_too_early(clock: Clock, history: &mut History) {
    history.workers[0].runs[1] = clock.run("0.1.0", 250, 500, true);
}

fn overfull(clock: Clock, history: &mut History) {
    let others = (10..50).map(|index| clock.run(&format!("0.0.{index}"), 100, 200, false));
    history.workers[1].runs.extend(others);
}

fn ran_after_notice(clock: Clock, history: &mut History) {
    history.workers[0].gave_notice = Some(clock.at(100));
    history.workers[0].runs[1] = clock.run("0.1.0", 4_200, 4_300, true);
}

fn goes_on_crashing(clock: Clock, history: &mut History) {
    let deadly = (0..6).map(|number| RunHistory {
        task: String::from("000000010000002a.0.0.0"),
        ..clock.run("", 1_000 * number, 1_000 * number + 10, false)
    });
    history.workers[1].runs.extend(deadly);
}

fn unknown_key(clock: Clock, history: &mut History) {
    history.calls.push(clock.call(None, 100, 200));
}

fn revoked_key(clock: Clock, history: &mut History) {
    history.calls.push(clock.call(Some(0), 15_001, 200));
}

fn valid_key_unknown(clock: Clock, history: &mut History) {
    history.calls.push(clock.call(Some(1), 14_001, 401));
}

fn valid_key_denied(clock: Clock, history: &mut History) {
    history.calls.push(clock.call(Some(0), 9_000, 403));
}

#[rstest]
#[case::never_ended(never_ended, "JobNotEnded")]
#[case::state_changed(state_changed, "StateAfterEnd")]
#[case::task_missing(task_missing, "TasksMissing")]
#[case::rejected(rejected, "RejectedJobRan")]
#[case::ran_after_cancel(ran_after_cancel, "RanAfterCancel")]
#[case::ran_twice(ran_twice, "RanTwiceAtOnce")]
#[case::ran_after_done(ran_after_done, "RanAfterDone")]
#[case::ran_too_early(ran_too_early, "RanBeforeStep")]
#[case::overfull(overfull, "WorkerOverfull")]
#[case::ran_after_notice(ran_after_notice, "RanAfterNotice")]
#[case::unknown_key(unknown_key, "UnknownKeyServed")]
#[case::revoked_key(revoked_key, "RevokedKeyServed")]
#[case::valid_key_unknown(valid_key_unknown, "ValidKeyRefused")]
#[case::valid_key_denied(valid_key_denied, "ValidKeyRefused")]
#[case::goes_on_crashing(goes_on_crashing, "GoesOnCrashing")]
fn violation_found(#[case] break_promise: Break, #[case] kind: &str) {
    let clock = Clock(Instant::now());
    let mut history = kept_promises(clock);
    break_promise(clock, &mut history);
    let found = check_history(&history);
    assert!(
        found
            .iter()
            .any(|violation| format!("{violation:?}").starts_with(kind)),
        "{found:?}"
    );
}

#[test]
fn kept_promises_pass() {
    let history = kept_promises(Clock(Instant::now()));
    assert_eq!(check_history(&history), Vec::<Violation>::new());
}

/// A worker that is cut off reports no end, so that the task runs again; an end that was acknowledged is known.
#[rstest]
#[case::cut((150, 9_000), None, true)]
#[case::cut_before((10, 150), None, false)]
#[case::cut_later((10_500, 11_000), None, false)]
#[case::acknowledged((300, 9_000), Some(250), false)]
fn unreported_end(
    #[case] cut: (u64, u64),
    #[case] acknowledged: Option<u64>,
    #[case] is_tolerated: bool,
) {
    let clock = Clock(Instant::now());
    let mut history = kept_promises(clock);
    history.workers[0].cuts = vec![(clock.at(cut.0), clock.at(cut.1))];
    history.workers[0].runs[0].acknowledged = acknowledged.map(|ms| clock.at(ms));
    let again = clock.run("0.0.0", 10_000, 10_100, true);
    history.workers[1].runs.push(again);
    assert_eq!(check_history(&history).is_empty(), is_tolerated);
}

/// A start that a worker carries out late counts from its arrival.
#[rstest]
#[case::sent_before(1_900, true)]
#[case::sent_after(2_200, false)]
fn late_start_after_notice(#[case] requested_ms: u64, #[case] is_tolerated: bool) {
    let clock = Clock(Instant::now());
    let mut history = kept_promises(clock);
    ran_after_notice(clock, &mut history);
    history.workers[0].runs[1].requested = clock.at(requested_ms);
    assert_eq!(check_history(&history).is_empty(), is_tolerated);
}

/// An end that a worker didn't report before its restart is lost, so that the task runs again.
#[test]
fn lost_end_tolerated() {
    let clock = Clock(Instant::now());
    let mut history = kept_promises(clock);
    let mut earlier = history.workers[0].clone();
    earlier.runs = vec![clock.run("0.0.0", 20, 80, true)];
    earlier.ended = clock.at(90);
    history.workers.push(earlier);
    assert_eq!(check_history(&history), Vec::<Violation>::new());
}

#[test]
fn schedule_repeats() {
    let duration = Duration::from_secs(20);
    let first = draw_schedule(3, duration, 4, 6);
    assert_eq!(first, draw_schedule(3, duration, 4, 6));
    assert_ne!(first, draw_schedule(4, duration, 4, 6));
    assert!(
        first
            .iter()
            .all(|fault| fault.at_ms + fault.duration_ms <= 20_000)
    );
}
