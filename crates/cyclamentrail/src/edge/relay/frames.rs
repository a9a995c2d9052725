//! Frames in a streamed HTTP body: the length as four bytes in network byte order, then the message
//! in `MessagePack`.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Length of the prefix that holds a frame's length, in bytes.
const PREFIX_BYTES: usize = 4;
/// Largest frame that is accepted and sent, in bytes without the prefix. Processes of earlier versions
/// accept as much.
pub(super) const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Why no further frame can be read from a body.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    /// The connection broke, or was silent for too long.
    #[error("the connection is lost, open another session: {0}")]
    Connection(String),
    /// The peer announced a frame that is larger than any that this version sends.
    #[error("a frame of {0} bytes is too large, run the same version on both sides")]
    TooLarge(usize),
    /// The frame isn't a message of this version.
    #[error("a frame can't be read, run the same version on both sides: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// A message can't be encoded.
    #[error("a message can't be encoded: {0}")]
    Unwritable(#[from] rmp_serde::encode::Error),
}

/// Message whose items may be sent in several messages of the same kind, in their order.
pub(super) trait Halve: Sized {
    /// Splits off the second half of the items; `None` if there are fewer than two.
    fn split_off_half(&mut self) -> Option<Self>;
}

/// Splits off the second half of some items; `None` if there are fewer than two.
pub(super) fn split_off_half<T>(items: &mut Vec<T>) -> Option<Vec<T>> {
    (items.len() > 1).then(|| items.split_off(items.len() / 2))
}

/// Frames of one message.
#[derive(Debug)]
pub(super) struct Frames<T> {
    /// Frames to send, in the order of the items.
    pub(super) frames: Vec<Bytes>,
    /// Messages of one item each that are too long for a frame.
    pub(super) left_out: Vec<T>,
}

/// Encodes a message as frames of at most `max_bytes`, by halves of its items. An item that is too long
/// for a frame is left out, so that it costs none of the others.
pub(super) fn encode_frames<T: Serialize + Halve>(
    message: T,
    max_bytes: usize,
) -> Result<Frames<T>, FrameError> {
    let mut frames = Vec::new();
    let mut left_out = Vec::new();
    let mut waiting = vec![message];
    while let Some(mut message) = waiting.pop() {
        let frame = encode_frame(&message)?;
        if frame.len() - PREFIX_BYTES <= max_bytes {
            frames.push(frame);
        } else if let Some(second) = message.split_off_half() {
            waiting.push(second);
            waiting.push(message);
        } else {
            left_out.push(message);
        }
    }
    Ok(Frames { frames, left_out })
}

/// Encodes a message as a frame.
fn encode_frame<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let mut frame = BytesMut::zeroed(PREFIX_BYTES).writer();
    rmp_serde::encode::write(&mut frame, message)?;
    let mut frame = frame.into_inner();
    let length = frame.len() - PREFIX_BYTES;
    let prefix = u32::try_from(length).map_err(|_error| FrameError::TooLarge(length))?;
    frame[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(frame.freeze())
}

/// Reads frames from a body.
#[derive(Debug)]
pub(super) struct FrameReader<B> {
    body: B,
    buffer: BytesMut,
}

impl<B> FrameReader<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    pub(super) fn new(body: B) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next message, or `None` at the end of the body. Nothing is lost when the returned
    /// future is dropped before it is ready.
    pub(super) async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        loop {
            if let Some(message) = self.take_buffered()? {
                return Ok(Some(message));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(FrameError::Connection(error.to_string())),
                None => return Ok(None),
            }
        }
    }

    /// Takes the next message out of the buffer if the buffer holds all of it.
    fn take_buffered<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(length));
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let frame = self.buffer.split_to(length);
        Ok(Some(rmp_serde::from_slice(&frame)?))
    }
}
