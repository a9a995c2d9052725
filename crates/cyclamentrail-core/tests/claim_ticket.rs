//! Tests of the tickets that a process issues.

use cyclamentrail_core::{
    ClaimOutcome, Incarnation, IssuedTickets, MAX_TICKETS, RequestDigest, TICKET_RETENTION_MS,
    TicketId, TicketLookup, UnknownReason,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

const ISSUER: Incarnation = Incarnation::new(1);

fn issued_tickets() -> IssuedTickets {
    IssuedTickets::new()
}

fn request(number: u8) -> RequestDigest {
    RequestDigest::of(&[[number]])
}

fn unknown() -> ClaimOutcome {
    ClaimOutcome::Unknown(UnknownReason::TimedOut)
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Begin(usize, u8),
    NotRun(usize),
    Ran(usize),
    Issue(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_usize, 0..2_u8).prop_map(|(ticket, request)| Step::Begin(ticket, request)),
        (0..4_usize).prop_map(Step::NotRun),
        (0..4_usize).prop_map(Step::Ran),
        (0..TICKET_RETENTION_MS).prop_map(Step::Issue),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// The request of a ticket is run again only after an attempt that ran nothing.
    #[test]
    fn ticket_runs_once(steps in prop::collection::vec(step(), 1..80)) {
        let mut issued = issued_tickets();
        let mut now_ms = 0;
        let ids: Vec<TicketId> =
            (0..4).filter_map(|secret| issued.issue(ISSUER, now_ms, secret).ok()).collect();
        let mut running = [false; 4];
        let mut ran = [false; 4];
        for step in steps {
            match step {
                Step::Begin(ticket, number) => {
                    if issued.begin_run(ids[ticket], request(number)) == TicketLookup::StartRun {
                        prop_assert!(!running[ticket] && !ran[ticket], "runs twice");
                        running[ticket] = true;
                    }
                }
                Step::NotRun(ticket) if running[ticket] => {
                    issued.end_run(ids[ticket], None);
                    running[ticket] = false;
                }
                Step::Ran(ticket) if running[ticket] => {
                    issued.end_run(ids[ticket], Some(unknown()));
                    running[ticket] = false;
                    ran[ticket] = true;
                }
                Step::NotRun(_) | Step::Ran(_) => {}
                Step::Issue(elapsed_ms) => {
                    now_ms += elapsed_ms;
                    prop_assert!(issued.issue(ISSUER, now_ms, 9).is_ok());
                }
            }
        }
    }
}

#[test]
fn expired_ticket_forgotten() {
    let mut issued = issued_tickets();
    let id = issued.issue(ISSUER, 0, 7).expect("there is room");
    assert_eq!(issued.begin_run(id, request(0)), TicketLookup::StartRun);
    issued.end_run(id, Some(unknown()));
    issued
        .issue(ISSUER, TICKET_RETENTION_MS, 8)
        .expect("there is room");
    assert_eq!(issued.begin_run(id, request(0)), TicketLookup::Expired);
}

#[test]
fn full_book_rejects() {
    let mut issued = issued_tickets();
    for _ in 0..MAX_TICKETS {
        issued.issue(ISSUER, 1_000, 7).expect("there is room");
    }
    assert_eq!(
        issued.issue(ISSUER, 2_000, 7),
        Err(TICKET_RETENTION_MS - 1_000)
    );
    issued
        .issue(ISSUER, 1_000 + TICKET_RETENTION_MS, 7)
        .expect("the oldest ticket has expired");
}

#[rstest]
#[case::secret(TicketId { issuer: Incarnation::new(1), number: 0, secret: 8 })]
#[case::number(TicketId { issuer: Incarnation::new(1), number: 1, secret: 7 })]
#[case::issuer(TicketId { issuer: Incarnation::new(2), number: 0, secret: 7 })]
fn guessed_ticket_unknown(#[case] guessed: TicketId) {
    let mut issued = issued_tickets();
    issued.issue(ISSUER, 0, 7).expect("there is room");
    assert_eq!(
        issued.begin_run(guessed, request(0)),
        TicketLookup::NeverIssued
    );
}

#[test]
fn text_form_parsed() {
    let id = issued_tickets()
        .issue(ISSUER, 0, 0xABC)
        .expect("there is room");
    assert_eq!(id.to_string(), "ticket-1-0-0000000000000abc");
    assert_eq!(id.to_string().parse(), Ok(id));
    for wrong in [
        "ticket-",
        "ticket-1-0",
        "ticket-1-0-x",
        "ticket-1-0-1-1",
        "k1",
    ] {
        assert!(wrong.parse::<TicketId>().is_err(), "{wrong}");
    }
}
