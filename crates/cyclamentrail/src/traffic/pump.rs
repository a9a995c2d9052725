//! Receives the answer of a key's request to its end, also when its caller goes away.

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::guard::{CutAnswer, GuardedBody};

/// Parts of an answer that wait for the caller at most.
const PARTS: usize = 2;

/// What the pump tells the caller's side; an answer without its end is cut.
enum Part {
    Frame(Result<Frame<Bytes>, CutAnswer>),
    End,
}

/// Returns a body that passes an answer on as it comes.
pub(super) fn pump(answer: GuardedBody) -> Body {
    let (sender, receiver) = mpsc::channel(PARTS);
    tokio::spawn(receive(answer, sender));
    Body::new(StreamBody::new(stream::unfold(receiver, next)))
}

/// Receives an answer at the caller's pace, or at its own when the caller is gone.
async fn receive(mut answer: GuardedBody, sender: mpsc::Sender<Part>) {
    let mut has_caller = true;
    while let Some(frame) = answer.frame().await {
        let is_cut = frame.is_err();
        has_caller = has_caller && sender.send(Part::Frame(frame)).await.is_ok();
        if is_cut {
            return;
        }
    }
    if has_caller && sender.send(Part::End).await.is_err() {
        log::debug!("caller_gone_at_end");
    }
}

type Receiver = mpsc::Receiver<Part>;

async fn next(mut receiver: Receiver) -> Option<(Result<Frame<Bytes>, CutAnswer>, Receiver)> {
    let frame = match receiver.recv().await {
        Some(Part::Frame(frame)) => frame,
        Some(Part::End) => return None,
        None => Err(CutAnswer::Unfinished),
    };
    Some((frame, receiver))
}
