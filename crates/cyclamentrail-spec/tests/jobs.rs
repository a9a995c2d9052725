//! Exhaustive check of jobs: fencing tokens, leases on slow clocks, late start commands, ends of
//! runs and suspended owners.

use cyclamentrail_spec::{JobsFault, JobsModel, explore};
use rstest::rstest;

#[test]
fn jobs_model_holds() {
    let report = explore(&JobsModel::new(3));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::token(JobsFault::TokenReused)]
#[case::acknowledged(JobsFault::AcknowledgedEarly)]
#[case::suspension(JobsFault::SuspensionNotCounted)]
#[case::unanswered(JobsFault::UnansweredStartFreed)]
fn omitted_rule_found(#[case] fault: JobsFault) {
    let report = explore(&JobsModel::new(3).with_fault(fault));
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert!(trace.steps.len() <= 24, "{trace}");
}
