//! Receives the response to a request with an idempotency key to its end even when the caller
//! disconnects, so that it can be recorded.

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::guarded_body::{GuardedBody, Truncation};

/// Capacity of the channel between backend and caller, in messages. It bounds the memory that a
/// slow caller costs.
const CHANNEL_CAPACITY: usize = 2;

/// Message to the caller's side of the relay. A channel that closes without [`Message::End`] means
/// a truncated response.
enum Message {
    Frame(Result<Frame<Bytes>, Truncation>),
    End,
}

/// Spawns a task that receives `body`, and returns a body with the same frames for the caller.
pub(super) fn relay(body: GuardedBody) -> Body {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(receive(body, sender));
    Body::new(StreamBody::new(stream::unfold(receiver, next_frame)))
}

/// Receives a body at the caller's pace, or at the backend server's pace after the caller
/// disconnected.
async fn receive(mut body: GuardedBody, sender: mpsc::Sender<Message>) {
    let mut caller_connected = true;
    while let Some(frame) = body.frame().await {
        let is_truncated = frame.is_err();
        caller_connected = caller_connected && sender.send(Message::Frame(frame)).await.is_ok();
        if is_truncated {
            return;
        }
    }
    if caller_connected && sender.send(Message::End).await.is_err() {
        log::debug!("caller_gone_at_end");
    }
}

type Receiver = mpsc::Receiver<Message>;

async fn next_frame(
    mut receiver: Receiver,
) -> Option<(Result<Frame<Bytes>, Truncation>, Receiver)> {
    let frame = match receiver.recv().await {
        Some(Message::Frame(frame)) => frame,
        Some(Message::End) => return None,
        None => Err(Truncation::Unfinished),
    };
    Some((frame, receiver))
}
