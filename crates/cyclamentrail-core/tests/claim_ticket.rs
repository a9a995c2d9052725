//! Tests of tickets and the book that issues them.

use cyclamentrail_core::{
    ClaimOutcome, Incarnation, MAX_TICKETS, RequestDigest, TICKET_MEMORY_MS, TicketBook, TicketId,
    TicketLook, UnknownReason,
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

fn book() -> TicketBook {
    TicketBook::new()
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
        (0..TICKET_MEMORY_MS).prop_map(Step::Issue),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// The request of a ticket is run again only after an attempt that ran nothing.
    #[test]
    fn ticket_runs_once(steps in prop::collection::vec(step(), 1..80)) {
        let mut book = book();
        let mut now_ms = 0;
        let ids: Vec<TicketId> = (0..4).filter_map(|secret| book.mint(ISSUER, now_ms, secret).ok()).collect();
        let mut running = [false; 4];
        let mut ran = [false; 4];
        for step in steps {
            match step {
                Step::Begin(ticket, number) => {
                    if book.begin(ids[ticket], request(number)) == TicketLook::Run {
                        prop_assert!(!running[ticket] && !ran[ticket], "runs twice");
                        running[ticket] = true;
                    }
                }
                Step::NotRun(ticket) if running[ticket] => {
                    book.end(ids[ticket], None);
                    running[ticket] = false;
                }
                Step::Ran(ticket) if running[ticket] => {
                    book.end(ids[ticket], Some(unknown()));
                    running[ticket] = false;
                    ran[ticket] = true;
                }
                Step::NotRun(_) | Step::Ran(_) => {}
                Step::Issue(elapsed_ms) => {
                    now_ms += elapsed_ms;
                    prop_assert!(book.mint(ISSUER, now_ms, 9).is_ok());
                }
            }
        }
    }
}

#[test]
fn expired_ticket_forgotten() {
    let mut book = book();
    let id = book.mint(ISSUER, 0, 7).expect("there is room");
    assert_eq!(book.begin(id, request(0)), TicketLook::Run);
    book.end(id, Some(unknown()));
    book.mint(ISSUER, TICKET_MEMORY_MS, 8)
        .expect("there is room");
    assert_eq!(book.begin(id, request(0)), TicketLook::Forgotten);
}

#[test]
fn full_book_rejects() {
    let mut book = book();
    for _ in 0..MAX_TICKETS {
        book.mint(ISSUER, 1_000, 7).expect("there is room");
    }
    assert_eq!(book.mint(ISSUER, 2_000, 7), Err(TICKET_MEMORY_MS - 1_000));
    book.mint(ISSUER, 1_000 + TICKET_MEMORY_MS, 7)
        .expect("the oldest ticket has expired");
}

#[rstest]
#[case::secret(TicketId { minter: Incarnation::new(1), number: 0, secret: 8 })]
#[case::number(TicketId { minter: Incarnation::new(1), number: 1, secret: 7 })]
#[case::minter(TicketId { minter: Incarnation::new(2), number: 0, secret: 7 })]
fn guessed_ticket_unknown(#[case] guessed: TicketId) {
    let mut book = book();
    book.mint(ISSUER, 0, 7).expect("there is room");
    assert_eq!(book.begin(guessed, request(0)), TicketLook::NeverMinted);
}

#[test]
fn text_form_parsed() {
    let id = book().mint(ISSUER, 0, 0xABC).expect("there is room");
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
