//! An operator's word that an entry's instance is switched off.

use cyclamentrail_core::{Applied, LeaveReason};

#[path = "fold/history.rs"]
#[expect(dead_code, reason = "other test files use the rest")]
mod history;

use history::{History, left};

#[test]
fn lost_majority() {
    let mut history = History::with_members(&[1, 2, 3]);
    history.join(4);
    for gone in [1, 2] {
        let reason = LeaveReason::SwitchedOff {
            operator: String::from("operator"),
        };
        assert_eq!(history.write(3, left(gone, reason)), Applied::Accepted);
    }
    assert_eq!(history.fleet.members().count(), 2);
    assert!(
        history.instance().needs_boot,
        "work of the entry may still run there"
    );
}
