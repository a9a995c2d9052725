//! Messages between owners and relays that are longer than a frame may be.

use std::sync::Arc;

use anyhow::{Context, Result, bail, ensure};
use cyclamentrail_core::{JobId, WorkerId};
use cyclamentrail_jobs::{
    EndKind, EndedRun, FencingToken, JobKey, PollOutcome, StartCommand, TaskKey, TaskRunId,
    WorkerKey, WorkerReport, WorkerTarget,
};
use http_body_util::Full;
use hyper::body::Bytes;
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

#[path = "../src/edge/relay/frames.rs"]
mod frames;
#[expect(dead_code, reason = "the calls of these messages aren't sent here")]
#[path = "../src/edge/relay/message.rs"]
mod message;

use frames::{FrameReader, Halve, MAX_FRAME_BYTES, encode_frames, split_off_half};
use message::{
    CallId, CallOutcome, CallResult, OwnerFrame, RelayBatch, RelayReport, RelayedCall, WorkerCall,
};

/// Length of a frame's prefix in bytes.
const PREFIX_BYTES: usize = 4;
/// Limit of a frame in these tests, in bytes.
const LIMIT_BYTES: usize = 1_000;
/// Workers of one relay at the design size: 1,400 workers over 44 relays.
const WORKERS: u64 = 1_400_u64.div_ceil(44);
/// Starts of one interval for the workers of one relay, three in flight to each.
const STARTS: u32 = 96;
/// Length of the longest text that a record holds, in bytes.
const TEXT_BYTES: usize = 262_144;
/// Most ends that a worker lists at a time.
const ENDS: u64 = 500;
/// Length of a long checkpoint in bytes, twice as long as those that parts of a job's progress keep.
const CHECKPOINT_BYTES: usize = 4_096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Message {
    until_ms: u64,
    items: Vec<String>,
}

impl Halve for Message {
    fn split_off_half(&mut self) -> Option<Self> {
        Some(Self {
            items: split_off_half(&mut self.items)?,
            ..*self
        })
    }
}

fn message(lengths: impl IntoIterator<Item = usize>) -> Message {
    let item = |(index, length): (usize, usize)| format!("{index:03}{}", "x".repeat(length));
    Message {
        until_ms: 7,
        items: lengths.into_iter().enumerate().map(item).collect(),
    }
}

/// Reads frames as the peer does.
async fn read<T: DeserializeOwned>(frames: Vec<Bytes>) -> Result<Vec<T>> {
    let body = Full::new(Bytes::from(frames.concat()));
    let mut reader = FrameReader::new(body);
    let mut messages = Vec::new();
    while let Some(message) = reader.next().await? {
        messages.push(message);
    }
    Ok(messages)
}

/// Nothing is lost or sent twice, the order stays, and no frame is longer than the limit.
#[rstest]
#[case::nothing(vec![], 1)]
#[case::one_frame(vec![10; 20], 1)]
#[case::two_frames(vec![90; 12], 2)]
#[case::many_frames(vec![900; 17], 17)]
#[case::uneven(vec![900, 1, 1, 1, 1, 1, 1, 1, 1, 900], 2)]
#[tokio::test]
async fn parts_make_whole(#[case] lengths: Vec<usize>, #[case] frames: usize) -> Result<()> {
    let whole = message(lengths);
    let encoded = encode_frames(whole.clone(), LIMIT_BYTES)?;
    ensure!(encoded.left_out.is_empty());
    ensure!(encoded.frames.len() == frames, "{}", encoded.frames.len());
    for frame in &encoded.frames {
        ensure!(frame.len() <= PREFIX_BYTES + LIMIT_BYTES, "{}", frame.len());
    }
    let parts: Vec<Message> = read(encoded.frames).await?;
    ensure!(parts.iter().all(|part| part.until_ms == whole.until_ms));
    let items: Vec<String> = parts.into_iter().flat_map(|part| part.items).collect();
    ensure!(items == whole.items);
    Ok(())
}

/// An item that fits into no frame is left out alone; those before and after it are sent.
#[rstest]
#[case::alone(vec![2_000], 0)]
#[case::first(vec![2_000, 1, 1, 1], 0)]
#[case::last(vec![1, 1, 1, 1, 2_000], 4)]
#[case::amid(vec![900, 1, 2_000, 900, 1], 2)]
#[tokio::test]
async fn long_item_left_out(#[case] lengths: Vec<usize>, #[case] long: usize) -> Result<()> {
    let mut whole = message(lengths);
    let encoded = encode_frames(whole.clone(), LIMIT_BYTES)?;
    let left_out = encoded.left_out.first().context("nothing is left out")?;
    ensure!(encoded.left_out.len() == 1);
    ensure!(left_out.items == [whole.items.remove(long)]);
    let parts: Vec<Message> = read(encoded.frames).await?;
    let items: Vec<String> = parts.into_iter().flat_map(|part| part.items).collect();
    ensure!(items == whole.items);
    Ok(())
}

fn start(index: u32) -> RelayedCall {
    RelayedCall {
        id: CallId::default(),
        call: WorkerCall::Start(StartCommand {
            target: WorkerTarget {
                key: WorkerKey::default(),
                id: WorkerId::from(format!("worker-{index:04}")),
                started_ms: 1_700_000_000_000,
                address: ([10, 0, 0, 1], 9_000).into(),
                token: FencingToken::of_owner(7),
            },
            task: TaskKey {
                job: JobKey::default(),
                occurrence: 0,
                step: 0,
                index,
            },
            job: JobId::from("00000000000000a1"),
            run: 1,
            text: "x".repeat(TEXT_BYTES).into(),
            lease_end_ms: 5_000,
            checkpoint: Arc::from(""),
            ticket: None,
        }),
    }
}

/// Returns the outcome of a poll whose worker lists as many ends as it does at a time.
fn polled(clock_ms: u64, checkpoint_bytes: usize) -> CallResult {
    let end = |sequence| EndedRun {
        sequence,
        id: TaskRunId {
            job: JobId::from("00000000000000a1"),
            occurrence: 0,
            step: 0,
            index: 0,
            run: 1,
        },
        end: EndKind::Done,
        checkpoint: "c".repeat(checkpoint_bytes).into(),
    };
    CallResult {
        id: CallId::default(),
        outcome: CallOutcome::Poll(PollOutcome::Report(WorkerReport {
            started_ms: Some(1_700_000_000_000),
            clock_ms,
            running: Vec::new(),
            ended: (0..ENDS).map(end).collect(),
            may_lack_ends: true,
        })),
    }
}

fn report(results: Vec<CallResult>) -> RelayReport {
    RelayReport {
        clock_ms: 9,
        is_leaving: true,
        results,
    }
}

/// The starts of one interval at the design size, each with the longest text, go to a relay in frames that
/// it reads, in their order and with the times of their batch.
#[tokio::test]
async fn design_starts_fit() -> Result<()> {
    let batch = OwnerFrame::Batch(RelayBatch {
        starts_until_ms: 1,
        others_until_ms: 2,
        calls: (0..STARTS).map(start).collect(),
    });
    let encoded = encode_frames(batch, MAX_FRAME_BYTES)?;
    ensure!(encoded.left_out.is_empty());
    ensure!(encoded.frames.len() == 4, "{}", encoded.frames.len());
    let mut next = 0;
    for message in read(encoded.frames).await? {
        let OwnerFrame::Batch(batch) = message else {
            bail!("{message:?}");
        };
        ensure!((batch.starts_until_ms, batch.others_until_ms) == (1, 2));
        for call in batch.calls {
            let WorkerCall::Start(command) = call.call else {
                bail!("no start");
            };
            ensure!(command.task.index == next);
            next += 1;
        }
    }
    ensure!(next == STARTS);
    Ok(())
}

/// The reports of all workers of a relay go to the owner in frames that it reads.
#[tokio::test]
async fn design_reports_fit() -> Result<()> {
    let polls = (0..WORKERS).map(|clock_ms| polled(clock_ms, CHECKPOINT_BYTES));
    let whole = report(polls.collect());
    let encoded = encode_frames(whole.clone(), MAX_FRAME_BYTES)?;
    ensure!(encoded.left_out.is_empty());
    ensure!(encoded.frames.len() == 8, "{}", encoded.frames.len());
    let parts: Vec<RelayReport> = read(encoded.frames).await?;
    ensure!(
        parts
            .iter()
            .all(|part| part.is_leaving && part.clock_ms == 9)
    );
    let results: Vec<CallResult> = parts.into_iter().flat_map(|part| part.results).collect();
    ensure!(results == whole.results);
    Ok(())
}

/// A worker's report that fits into no frame is left out alone, and counts as no response.
#[tokio::test]
async fn long_report_unanswered() -> Result<()> {
    let polls = [10, 20_000, 10].map(|checkpoint_bytes| polled(0, checkpoint_bytes));
    let encoded = encode_frames(report(polls.to_vec()), MAX_FRAME_BYTES)?;
    let [left_out] = &*encoded.left_out else {
        bail!("{} are left out", encoded.left_out.len());
    };
    ensure!(left_out.results == polls[1..2]);
    let unanswered = polls[1].outcome.clone().without_content();
    ensure!(unanswered == CallOutcome::Poll(PollOutcome::NoResponse));
    let parts: Vec<RelayReport> = read(encoded.frames).await?;
    let results = parts.into_iter().flat_map(|part| part.results);
    ensure!(results.eq([polls[0].clone(), polls[2].clone()]));
    Ok(())
}
