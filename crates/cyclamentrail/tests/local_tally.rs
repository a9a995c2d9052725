//! Tests that the tally of `local` counts calls by their ends, and finds calls whose end contradicts
//! the runs at the backend servers.

use std::collections::BTreeMap;

use cyclamentrail::core::ServiceName;
use cyclamentrail::{CallCounts, CallEnd, Contradictions, EndedCall};
use rstest::rstest;

fn call(call_id: &str, idempotent: bool, end: CallEnd) -> EndedCall {
    EndedCall {
        call_id: call_id.to_owned(),
        service: ServiceName::from("checks"),
        idempotent,
        end,
    }
}

#[rstest]
#[case::clean(false, CallEnd::Answered, 1, [0, 0, 0])]
#[case::doubled(false, CallEnd::Answered, 2, [1, 0, 0])]
#[case::doubled_unknown(false, CallEnd::Unknown, 2, [1, 0, 0])]
#[case::retried(true, CallEnd::Answered, 2, [0, 0, 0])]
#[case::ran_after_not_run(true, CallEnd::NotRun, 1, [0, 1, 0])]
#[case::answered_without_run(true, CallEnd::Answered, 0, [0, 0, 1])]
#[case::unknown_without_run(true, CallEnd::Unknown, 0, [0, 0, 0])]
fn contradicting_runs_counted(
    #[case] idempotent: bool,
    #[case] end: CallEnd,
    #[case] run_count: u32,
    #[case] expected: [u64; 3],
) {
    let runs = BTreeMap::from([(String::from("c1"), run_count)]);
    let found = Contradictions::new(&[call("c1", idempotent, end)], &runs);
    assert_eq!(
        [
            found.doubled,
            found.ran_though_not_run,
            found.answered_though_not_run
        ],
        expected
    );
}

#[test]
fn calls_counted_by_end() {
    let calls = [
        call("c1", true, CallEnd::Answered),
        call("c2", true, CallEnd::NotRun),
        call("c3", true, CallEnd::Lost),
        call("c4", true, CallEnd::Crossed),
        call("c5", true, CallEnd::Unknown),
    ];
    let expected = CallCounts {
        requests_sent: 5,
        answered_whole: 1,
        not_run: 1,
        outcome_unknown: 1,
        lost: 1,
        crossed: 1,
    };
    assert_eq!(CallCounts::from(calls.as_slice()), expected);
}
