//! Removal of an entry after an operator's statement that its instance is switched off.

use cyclamentrail_core::{FoldOutcome, LeaveReason};

#[path = "fold/history.rs"]
#[expect(dead_code, reason = "other test files use the rest")]
mod history;

use history::{History, entry_left};

#[test]
fn majority_switched_off() {
    let mut history = History::with_members(&[1, 2, 3]);
    history.join(4);
    for gone in [1, 2] {
        let reason = LeaveReason::SwitchedOff {
            operator: String::from("operator"),
        };
        assert_eq!(
            history.write(3, entry_left(gone, reason)),
            FoldOutcome::Accepted
        );
    }
    assert_eq!(history.fleet.members().count(), 2);
    assert!(
        history.instance().needs_boot,
        "work of the removed entry may still run on the instance"
    );
}
