//! Exhaustive check of member sets that an evicted entry may still hold.

use cyclamentrail_spec::{Fault, MembershipModel, explore};

#[test]
fn membership_model_holds() {
    let report = explore(&MembershipModel::new(4));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[test]
fn newest_members_insufficient() {
    let report = explore(&MembershipModel::new(4).with_fault(Fault::NewestMembersOnly));
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), 2, "{trace}");
}
