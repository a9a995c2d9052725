//! How a topic of the store is read while connections go silent, or the store is silent, slow or refuses
//! reads.

use cyclamentrail_jobs::{
    MAX_READ_LIMIT_MS, PlannedRead, ReadPlan, ReadTimes, max_confirmation_age_ms, replaced_read,
};
use rstest::rstest;

/// Pause between two reads of which none is under way.
const PAUSE_MS: u64 = 150;
/// Time after an outage of the store within which a process follows it again.
const CONTACT_MS: u64 = 3_000;

/// Behaviour of the store towards one read.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// Responds after a time, in addition to the wait.
    After(u64),
    /// Refuses at once.
    Refused,
    /// Sends nothing.
    Silent,
}

#[derive(Debug)]
struct InFlight {
    plan: PlannedRead,
    sent_ms: u64,
    ends_ms: u64,
    is_success: bool,
}

/// How the reads of one round ended.
#[derive(Debug)]
enum RoundEnd {
    /// One succeeded, which was sent at this time.
    Read(u64),
    /// All reads under way have failed.
    Failed,
    /// There are no more answers.
    NoAnswer,
}

/// Reader on a clock of its own, with the product's plan.
#[derive(Debug)]
struct Reader {
    plan: ReadPlan,
    now_ms: u64,
    sent: usize,
    most_in_flight: usize,
}

impl Reader {
    fn new(times: ReadTimes) -> Self {
        Self {
            plan: ReadPlan::new(times),
            now_ms: 0,
            sent: 0,
            most_in_flight: 0,
        }
    }

    /// Reads until one read succeeds and returns when that one was sent; `None` if `answer`, which gets
    /// the time of each read, has no more answers.
    fn read(&mut self, mut answer: impl FnMut(u64) -> Option<Answer>) -> Option<u64> {
        loop {
            let begun_ms = self.now_ms;
            match self.read_hedged(&mut answer) {
                RoundEnd::Read(sent_ms) => return Some(sent_ms),
                RoundEnd::Failed => self.now_ms = self.now_ms.max(begun_ms + PAUSE_MS),
                RoundEnd::NoAnswer => return None,
            }
        }
    }

    fn read_hedged(&mut self, answer: &mut impl FnMut(u64) -> Option<Answer>) -> RoundEnd {
        let mut in_flight: Vec<InFlight> = Vec::new();
        loop {
            if let Some(index) = replaced_read(in_flight.len()) {
                in_flight.remove(index);
            }
            let plan = self.plan.next_read();
            let Some(answer) = answer(self.now_ms) else {
                return RoundEnd::NoAnswer;
            };
            in_flight.push(self.send(plan, answer));
            self.most_in_flight = self.most_in_flight.max(in_flight.len());
            let hedge_ms = self.now_ms + plan.hedge_after_ms;
            while let Some(index) = first_to_end(&in_flight, hedge_ms) {
                let ended = in_flight.remove(index);
                self.now_ms = ended.ends_ms;
                if ended.is_success {
                    let took_ms = self.now_ms - ended.sent_ms;
                    self.plan.record_success(ended.plan, took_ms);
                    return RoundEnd::Read(ended.sent_ms);
                }
                if in_flight.is_empty() {
                    return RoundEnd::Failed;
                }
            }
            self.now_ms = hedge_ms;
        }
    }

    fn send(&mut self, plan: PlannedRead, answer: Answer) -> InFlight {
        self.sent += 1;
        let limit_ms = plan.wait_ms + MAX_READ_LIMIT_MS;
        let (takes_ms, is_success) = match answer {
            Answer::After(took_ms) => (plan.wait_ms + took_ms, true),
            Answer::Refused => (0, false),
            Answer::Silent => (limit_ms, false),
        };
        InFlight {
            plan,
            sent_ms: self.now_ms,
            ends_ms: self.now_ms + takes_ms.min(limit_ms),
            is_success: is_success && takes_ms < limit_ms,
        }
    }
}

/// Returns the index of the read that ends first, if it does so before `until_ms`.
fn first_to_end(in_flight: &[InFlight], until_ms: u64) -> Option<usize> {
    let ends = in_flight.iter().map(|read| read.ends_ms);
    let (index, ends_ms) = ends.enumerate().min_by_key(|(_, ends_ms)| *ends_ms)?;
    (ends_ms < until_ms).then_some(index)
}

/// Reads for as long as there are answers, and returns the highest age of the confirmation and the
/// number of reads that succeeded.
fn highest_age_ms(max_age_ms: u64, answers: impl IntoIterator<Item = Answer>) -> (u64, usize) {
    let mut reader = Reader::new(ReadTimes::confirming(max_age_ms));
    let mut answers = answers.into_iter();
    let (mut confirmed_ms, mut highest_ms, mut reads) = (0, 0, 0);
    while let Some(sent_ms) = reader.read(|_| answers.next()) {
        highest_ms = highest_ms.max(reader.now_ms - confirmed_ms);
        confirmed_ms = sent_ms;
        reads += 1;
    }
    (highest_ms.max(reader.now_ms - confirmed_ms), reads)
}

/// One connection that goes silent, or some refusals, must not end the confirmation while the store
/// responds to the next read.
#[rstest]
#[case::healthy(vec![Answer::After(5); 20])]
#[case::silent_once([
    vec![Answer::After(5), Answer::Silent], vec![Answer::After(900); 9]].concat())]
#[case::refused_some([
    vec![Answer::After(5)], vec![Answer::Refused; 6], vec![Answer::Silent, Answer::After(5)]].concat())]
#[case::slow(vec![Answer::After(900); 20])]
#[case::silent_often([Answer::After(400), Answer::Silent].repeat(20))]
fn confirmation_kept(#[case] answers: Vec<Answer>, #[values(5_000, 3_000, 20_000)] revoke_ms: u64) {
    let max_age_ms = max_confirmation_age_ms(revoke_ms);
    let (highest_ms, _) = highest_age_ms(max_age_ms, answers);
    assert!(highest_ms < max_age_ms, "{highest_ms} of {max_age_ms}");
}

/// The configuration came seconds late after a silence of the store: a read that was sent during it hung.
#[rstest]
fn silence_holds_nothing_up(
    #[values(1_000, 5_000, 20_000)] revoke_ms: u64,
    #[values(5, 400)] latency_ms: u64,
) {
    for silence_ms in (100..30_000).step_by(100) {
        let mut reader = Reader::new(ReadTimes::confirming(max_confirmation_age_ms(revoke_ms)));
        for _ in 0..3 {
            reader.read(|_| Some(Answer::After(latency_ms)));
        }
        let silent_ms = reader.now_ms;
        let back_ms = silent_ms + silence_ms;
        reader.read(|now_ms| {
            Some(if now_ms < back_ms {
                Answer::Silent
            } else {
                Answer::After(latency_ms)
            })
        });
        let late_ms = reader.now_ms.saturating_sub(back_ms);
        assert!(late_ms < CONTACT_MS, "{late_ms} after {silence_ms}");
    }
}

/// A new configuration is read within 3 s, also if the connection went silent just before.
#[test]
fn silent_read_hedged() {
    let read = ReadPlan::new(ReadTimes::confirming(max_confirmation_age_ms(5_000))).next_read();
    assert!(read.hedge_after_ms <= 1_600, "{read:?}");
}

/// A read after a failed one must not wait for a record: it tells whether the store responds again.
#[test]
fn retry_waits_for_nothing() {
    let mut plan = ReadPlan::new(ReadTimes::waiting(3_000));
    let first = plan.next_read();
    assert_eq!(first.wait_ms, 3_000);
    assert_eq!(plan.next_read().wait_ms, 0);
    plan.record_success(first, 3_005);
    assert_eq!(plan.next_read().wait_ms, 3_000);
}

/// A store that takes seconds for each response must be read in the end, and not be read without a
/// pause where the bound is short or 0.
#[rstest]
fn slow_store_read(#[values(0, 500, 5_000, 60_000)] revoke_ms: u64) {
    let max_age_ms = max_confirmation_age_ms(revoke_ms);
    let mut reader = Reader::new(ReadTimes::confirming(max_age_ms));
    let reads = (0..40).filter_map(|_| reader.read(|_| Some(Answer::After(4_000))));
    assert!(reads.count() >= 20);
    let first = ReadPlan::new(ReadTimes::confirming(max_age_ms)).next_read();
    assert!(first.wait_ms >= 250, "{first:?}");
}

/// Reads beside others must not multiply the load of a store that is slow, or silent for long.
#[rstest]
#[case::slow(Answer::After(1_000), 20)]
#[case::silent(Answer::Silent, 60)]
fn load_stays_bounded(#[case] answer: Answer, #[case] most_sent: usize) {
    let mut reader = Reader::new(ReadTimes::confirming(max_confirmation_age_ms(5_000)));
    reader.read(|_| Some(Answer::After(1_000)));
    reader.sent = 0;
    let end_ms = reader.now_ms + 60_000;
    let mut successes = 0;
    while reader
        .read(|now_ms| (now_ms < end_ms).then_some(answer))
        .is_some()
    {
        successes += 1;
    }
    assert!(reader.most_in_flight <= 3, "{reader:?}");
    assert!(
        reader.sent <= successes + most_sent,
        "{successes} {reader:?}"
    );
}
