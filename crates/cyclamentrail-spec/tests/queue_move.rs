//! Exhaustive check of a queue that is given to another service and back, beside takeovers and late
//! appends.

use cyclamentrail_spec::{QueueMoveFault, QueueMoveModel, explore};
use rstest::rstest;

#[rstest]
#[case::moved_beside_takeover(2, 1)]
#[case::moved_back(4, 0)]
fn queue_move_holds(#[case] versions: u64, #[case] takeovers: u8) {
    let report = explore(&QueueMoveModel::new(versions, takeovers));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::unpublished(QueueMoveFault::OpenedUnpublished, 2, 0)]
#[case::read_early(QueueMoveFault::ReadBeforePublished, 2, 0)]
#[case::no_closing(QueueMoveFault::NoClosing, 4, 0)]
#[case::volatile(QueueMoveFault::VolatileClosing, 2, 1)]
#[case::later(QueueMoveFault::LaterVersionIgnored, 3, 0)]
#[case::not_asked(QueueMoveFault::FormerNotAsked, 2, 0)]
#[case::lookup(QueueMoveFault::LookupBeforeClosing, 2, 1)]
#[case::shared_key(QueueMoveFault::SharedKey, 2, 1)]
#[case::withdrawn(QueueMoveFault::WithdrawnEarly, 2, 1)]
fn omitted_rule_found(#[case] fault: QueueMoveFault, #[case] versions: u64, #[case] takeovers: u8) {
    let report = explore(&QueueMoveModel::new(versions, takeovers).with_fault(fault));
    println!("{fault:?}: {report}");
    assert!(report.violation.is_some(), "{fault:?} isn't found");
}
