//! The tally of `local` finds what was lost, doubled or crossed.

use std::collections::BTreeMap;

use cyclamentrail::core::ServiceName;
use cyclamentrail::{Call, CallEnd, Counts, Wrongs};
use rstest::rstest;

fn call(call_id: &str, idempotent: bool, end: CallEnd) -> Call {
    Call {
        call_id: call_id.to_owned(),
        service: ServiceName::from("checks"),
        idempotent,
        end,
    }
}

#[rstest]
#[case::clean(false, CallEnd::Whole, 1, [0, 0, 0])]
#[case::doubled(false, CallEnd::Whole, 2, [1, 0, 0])]
#[case::doubled_unknown(false, CallEnd::Unknown, 2, [1, 0, 0])]
#[case::retried(true, CallEnd::Whole, 2, [0, 0, 0])]
#[case::untrue(true, CallEnd::NotRun, 1, [0, 1, 0])]
#[case::invented(true, CallEnd::Whole, 0, [0, 0, 1])]
#[case::never_ran(true, CallEnd::Unknown, 0, [0, 0, 0])]
fn wrongs(
    #[case] idempotent: bool,
    #[case] end: CallEnd,
    #[case] ran: u32,
    #[case] expected: [u64; 3],
) {
    let runs = BTreeMap::from([(String::from("c1"), ran)]);
    let found = Wrongs::new(&[call("c1", idempotent, end)], &runs);
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
fn counts() {
    let calls = [
        call("c1", true, CallEnd::Whole),
        call("c2", true, CallEnd::NotRun),
        call("c3", true, CallEnd::Lost),
        call("c4", true, CallEnd::Crossed),
        call("c5", true, CallEnd::Unknown),
    ];
    let expected = Counts {
        requests_sent: 5,
        answered_whole: 1,
        not_run: 1,
        outcome_unknown: 1,
        lost: 1,
        crossed: 1,
    };
    assert_eq!(Counts::from(calls.as_slice()), expected);
}
