//! The relay's side of a session: sends an owner's calls to workers and reports the outcomes.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::response::Response;
use bytes::Bytes;
use cyclamentrail_adapter::WorkerClient;
use http_body_util::channel::{Channel, Sender};
use tokio::sync::{Semaphore, mpsc};

use super::frames::{FrameError, FrameReader, Frames, MAX_FRAME_BYTES, encode_frames};
use super::message::{CallResult, OwnerFrame, RelayBatch, RelayReport, RelayedCall};
use crate::edge::clocks::boot_ms;
use crate::edge::owner::WORKER_TIMEOUT;
use crate::edge::process_state::ProcessState;
use crate::metrics;

/// Path of sessions on the internal listener. Its version rises when the frames change, so that processes
/// of different versions send their calls directly.
pub(crate) const RELAY_PATH: &str = "/v2/relay";
/// Most calls of one session that wait for an outcome; further ones aren't sent.
const MAX_OPEN_CALLS: usize = 4_096;
/// Frames of a report's body that may wait for the connection.
const WAITING_FRAMES: usize = 8;
/// Time from an outcome to its report, so that one report covers several outcomes.
const REPORT_DELAY: Duration = Duration::from_millis(6);
/// Longest time between two reports; the owner takes a silent relay for lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Accepts a session of an owner.
pub(crate) async fn accept_session(
    State(process): State<Arc<ProcessState>>,
    body: Body,
) -> Response {
    let (sender, channel) = Channel::new(WAITING_FRAMES);
    tokio::spawn(run_session(process, body, sender));
    Response::new(Body::new(channel))
}

/// Serves a session until the owner ends it or its connection is lost.
async fn run_session(process: Arc<ProcessState>, body: Body, sender: Sender<Bytes>) {
    let mut frames = FrameReader::new(body);
    let Ok(Some(OwnerFrame::Open { shard, token })) = frames.next().await else {
        log::warn!(remedy = "run the same version on all machines"; "relay_session_malformed");
        return;
    };
    log::info!(shard = shard.as_str(), token; "relay_session_begun");
    let (results, result_receiver) = mpsc::unbounded_channel();
    let reports = tokio::spawn(send_reports(Arc::clone(&process), result_receiver, sender));
    let caller = Caller {
        client: WorkerClient::new(process.http_client.clone(), WORKER_TIMEOUT),
        permits: Arc::new(Semaphore::new(MAX_OPEN_CALLS)),
        results,
    };
    let reason = loop {
        match frames.next().await {
            Ok(Some(OwnerFrame::Batch(batch))) => caller.send_batch(&batch),
            Ok(Some(OwnerFrame::Open { .. } | OwnerFrame::KeepAlive)) => {}
            Ok(None) => break String::from("ended by the owner"),
            Err(error) => break error.to_string(),
        }
    };
    reports.abort();
    log::info!(shard = shard.as_str(), token, reason = reason.as_str(); "relay_session_ended");
}

/// Sends the calls of one session.
struct Caller {
    client: WorkerClient,
    permits: Arc<Semaphore>,
    results: mpsc::UnboundedSender<CallResult>,
}

impl Caller {
    /// Sends each call of a batch in a task of its own.
    fn send_batch(&self, batch: &RelayBatch) {
        let mut expired = 0;
        for RelayedCall { id, call } in &batch.calls {
            let permit = Arc::clone(&self.permits).try_acquire_owned();
            let (false, Ok(permit)) = (boot_ms() >= batch.until_ms(call), permit) else {
                expired += 1;
                let outcome = call.expired();
                drop(self.results.send(CallResult { id: *id, outcome }));
                continue;
            };
            let (id, call, until_ms) = (*id, call.clone(), batch.until_ms(call));
            let (client, results) = (self.client.clone(), self.results.clone());
            tokio::spawn(async move {
                // The machine may have been suspended since the batch was read.
                let outcome = if boot_ms() < until_ms {
                    call.send(&client).await
                } else {
                    call.expired()
                };
                drop(results.send(CallResult { id, outcome }));
                drop(permit);
            });
        }
        let sent = batch.calls.len() as u64 - expired;
        metrics::count_relayed_calls(sent, expired);
        if expired > 0 {
            log::warn!(expired, calls = batch.calls.len(); "relayed_calls_expired");
        }
    }
}

/// Reports outcomes to the owner, and that this process is alive while there are none.
async fn send_reports(
    process: Arc<ProcessState>,
    mut results: mpsc::UnboundedReceiver<CallResult>,
    mut sender: Sender<Bytes>,
) {
    let mut batch = Vec::new();
    loop {
        let report = RelayReport {
            clock_ms: boot_ms(),
            is_leaving: process.is_stopping(),
            results: std::mem::take(&mut batch),
        };
        let frames = match encode_report(report) {
            Ok(frames) => frames,
            Err(error) => {
                // Ends the session: the owner then takes its calls for unknown.
                log::warn!(error:% = error; "relay_report_failed");
                return;
            }
        };
        for frame in frames {
            if sender.send_data(frame).await.is_err() {
                return;
            }
        }
        match tokio::time::timeout(REPORT_INTERVAL, results.recv()).await {
            Ok(Some(result)) => {
                batch.push(result);
                tokio::time::sleep(REPORT_DELAY).await;
                while let Ok(result) = results.try_recv() {
                    batch.push(result);
                }
            }
            Ok(None) => return,
            Err(_elapsed) => {}
        }
    }
}

/// Encodes a report as frames. An outcome that is too long for a frame is reported without its content,
/// so that the owner takes only this worker for silent.
fn encode_report(report: RelayReport) -> Result<Vec<Bytes>, FrameError> {
    let Frames {
        mut frames,
        left_out,
    } = encode_frames(report, MAX_FRAME_BYTES)?;
    for mut report in left_out {
        log::warn!(outcomes = report.results.len(); "relayed_outcome_too_long");
        for result in &mut report.results {
            result.outcome = result.outcome.clone().without_content();
        }
        frames.extend(encode_frames(report, MAX_FRAME_BYTES)?.frames);
    }
    Ok(frames)
}
