//! Exhaustive check of calls that a later incarnation of a worker carries out.

use cyclamentrail_spec::{CrossedFault, CrossedModel, Trace, explore};
use rstest::rstest;

/// Largest number of restarts of the worker.
const MAX_RESTARTS: u8 = 2;

const fn model() -> CrossedModel {
    CrossedModel::new(MAX_RESTARTS)
}

fn violation(model: &CrossedModel) -> Trace {
    let report = explore(model);
    println!("{report}");
    report.violation.expect("a violation")
}

#[rstest]
#[case::two(model(), 2_574_495)]
#[case::delayed(CrossedModel::new(1).delayed_responses(), 2_437_866)]
#[case::outcomes(CrossedModel::new(1).unseen_restarts().await_outcomes(), 326_494)]
#[case::late(model().late_restarts().keep_worker(), 3_865_484)]
fn crossed_model_holds(#[case] model: CrossedModel, #[case] states: usize) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert_eq!(report.states, states);
}

#[rstest]
#[case::today(CrossedFault::CallsCountedForOneTick, 9)]
#[case::token(CrossedFault::NoOwnToken, 7)]
#[case::overlap(CrossedFault::TokensOverlap, 7)]
#[case::placed(CrossedFault::PlacedBeforeContact, 8)]
#[case::any_response(CrossedFault::AnyResponseAcknowledges, 7)]
#[case::first_contact(CrossedFault::FirstContactIgnored, 8)]
#[case::registered(CrossedFault::FoundRegisteredNotCounted, 12)]
#[case::doubt(CrossedFault::DoubtEndsWithTime, 10)]
#[case::recorded(CrossedFault::DoubtRecordedAsNew, 11)]
#[case::grants(CrossedFault::SuccessorCountsGrants, 11)]
#[case::owner_acts(CrossedFault::OwnerMayActIgnored, 10)]
#[case::late_start(CrossedFault::LateStartForgotten, 9)]
#[case::outcome(CrossedFault::CrossedOutcomeCounts, 7)]
fn omitted_rule_found(#[case] fault: CrossedFault, #[case] steps: usize) {
    println!("{fault:?}:");
    let trace = violation(&model().with_fault(fault));
    assert_eq!(trace.steps.len(), steps, "{trace}");
}

/// Guards against a start that a further incarnation carries out beside the next run.
#[rstest]
#[case::elsewhere(model().late_restarts(), 8)]
#[case::contact(model().late_restarts().keep_worker().with_fault(CrossedFault::NextRunBeforeContact), 10)]
#[case::recorded(model().late_restarts().keep_worker().with_fault(CrossedFault::OpenStartNotRecorded), 10)]
fn open_start_found(#[case] model: CrossedModel, #[case] steps: usize) {
    let trace = violation(&model);
    assert_eq!(trace.steps.len(), steps, "{trace}");
}

/// The run begins by a call that is carried out more than a tick after the restart was seen.
#[test]
fn today_misses_late_call() {
    let trace = violation(&model().with_fault(CrossedFault::CallsCountedForOneTick));
    let is_seen = |step: &String| step.contains("reads the registration");
    let seen = trace.steps.iter().position(is_seen).expect("a restart");
    let ticks = trace.steps[seen..].iter();
    let ticks = ticks.filter(|step| step.contains("tick passes")).count();
    assert!(ticks > 1, "{trace}");
    let last_call = &trace.steps[trace.steps.len() - 2];
    let crossed = "gets the start of owner 0 for incarnation 0";
    assert!(last_call.contains(crossed), "{trace}");
}

/// A successor that counts what owners grant goes wrong although no call is in flight at its claim.
#[test]
fn successor_needs_no_late_call() {
    let trace = violation(&model().with_fault(CrossedFault::SuccessorCountsGrants));
    let is_claim = |step: &String| step.contains("claims");
    let claim = trace.steps.iter().position(is_claim).expect("a claim");
    let calls = |steps: &[String]| {
        let is_sent = |step: &&String| step.contains("sends");
        let is_received = |step: &&String| step.contains("the worker gets");
        let sent = steps.iter().filter(is_sent).count();
        (sent, steps.iter().filter(is_received).count())
    };
    let (sent, received) = calls(&trace.steps[..claim]);
    assert_eq!(sent, received, "{trace}");
    assert_eq!(calls(&trace.steps[claim..]), (0, 0), "{trace}");
}

/// What the model assumes or leaves out is needed: nothing on the wire prevents these.
#[rstest]
#[case::unseen(model().unseen_restarts(), 9)]
#[case::late(model().late_restarts(), 8)]
#[case::late_with_outcomes(model().late_restarts().await_outcomes(), 8)]
#[case::late_list(model().unseen_restarts().await_outcomes().delayed_responses(), 9)]
fn assumption_needed(#[case] model: CrossedModel, #[case] steps: usize) {
    let trace = violation(&model);
    assert_eq!(trace.steps.len(), steps, "{trace}");
}
