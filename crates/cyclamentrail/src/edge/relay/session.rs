//! The owner's side of a session with a relay.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::frames::{FrameError, FrameReader, MAX_FRAME_BYTES, encode_frames};
use super::host::RELAY_PATH;
use super::message::{OwnerFrame, RelayReport, RelayedCall};
use crate::edge::owner::OwnerMessage;
use crate::edge::peers::peer_connector;

/// Client of sessions.
pub(crate) type RelayClient = Client<HttpConnector, Channel<Bytes>>;

/// Frames that may wait for the connection.
const WAITING_FRAMES: usize = 8;
/// Time limit from the start of a session to the head of the relay's response.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time between two frames; the relay ends a session whose owner is silent for longer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Creates the client of all sessions of a process.
pub(crate) fn relay_client() -> RelayClient {
    Client::builder(TokioExecutor::new()).build(peer_connector())
}

/// Event of a session.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    /// The relay reported outcomes, or that it is alive.
    Report(RelayReport),
    /// A call is too long for a frame and wasn't sent.
    TooLong(RelayedCall),
    /// The session has ended.
    Ended,
}

/// A session of an owner with a relay; ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Session {
    frames: mpsc::UnboundedSender<OwnerFrame>,
    task: JoinHandle<()>,
}

impl Session {
    /// Opens a session under a shard's fencing token; its events go to the shard's owner.
    pub(crate) fn open(
        client: RelayClient,
        address: SocketAddr,
        shard: &str,
        token: u64,
        owner: mpsc::UnboundedSender<OwnerMessage>,
    ) -> Self {
        let (frames, frame_receiver) = mpsc::unbounded_channel();
        let open = OwnerFrame::Open {
            shard: shard.to_owned(),
            token,
        };
        let task = tokio::spawn(async move {
            let reason = match run(client, address, open, frame_receiver, &owner).await {
                Ok(()) => String::from("ended by the relay"),
                Err(error) => error.to_string(),
            };
            log::info!(relay:% = address, token, reason = reason.as_str(); "relay_session_ended");
            drop(owner.send(OwnerMessage::Relay(address, SessionEvent::Ended)));
        });
        Self { frames, task }
    }

    /// Sends a frame; a session that has ended drops it.
    pub(crate) fn send(&self, frame: OwnerFrame) {
        drop(self.frames.send(frame));
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    client: RelayClient,
    address: SocketAddr,
    open: OwnerFrame,
    mut frames: mpsc::UnboundedReceiver<OwnerFrame>,
    owner: &mpsc::UnboundedSender<OwnerMessage>,
) -> Result<(), FrameError> {
    let (mut sender, body) = Channel::new(WAITING_FRAMES);
    send_frames(&mut sender, open).await?;
    let request = Request::post(format!("http://{address}{RELAY_PATH}"))
        .body(body)
        .map_err(|error| FrameError::Connection(error.to_string()))?;
    let response = tokio::time::timeout(OPEN_TIMEOUT, client.request(request))
        .await
        .map_err(|_elapsed| FrameError::Connection(String::from("no response")))?
        .map_err(|error| FrameError::Connection(error.to_string()))?;
    if !response.status().is_success() {
        return Err(FrameError::Connection(response.status().to_string()));
    }
    let mut reports: FrameReader<Incoming> = FrameReader::new(response.into_body());
    loop {
        tokio::select! {
            frame = tokio::time::timeout(KEEP_ALIVE_INTERVAL, frames.recv()) => {
                match frame {
                    Ok(Some(frame)) => {
                        for call in send_frames(&mut sender, frame).await? {
                            let event = SessionEvent::TooLong(call);
                            drop(owner.send(OwnerMessage::Relay(address, event)));
                        }
                    }
                    Ok(None) => return Ok(()),
                    Err(_elapsed) => {
                        send_frames(&mut sender, OwnerFrame::KeepAlive).await?;
                    }
                }
            }
            report = reports.next::<RelayReport>() => match report? {
                Some(report) => {
                    drop(owner.send(OwnerMessage::Relay(address, SessionEvent::Report(report))));
                }
                None => return Ok(()),
            },
        }
    }
}

/// Sends a message in as many frames as it needs; returns the calls that are too long for any.
async fn send_frames(
    sender: &mut Sender<Bytes>,
    message: OwnerFrame,
) -> Result<Vec<RelayedCall>, FrameError> {
    let encoded = encode_frames(message, MAX_FRAME_BYTES)?;
    for frame in encoded.frames {
        let sent = sender.send_data(frame).await;
        sent.map_err(|error| FrameError::Connection(error.to_string()))?;
    }
    let left_out = encoded.left_out.into_iter();
    Ok(left_out.flat_map(OwnerFrame::into_calls).collect())
}
