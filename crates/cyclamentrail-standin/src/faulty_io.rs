//! A connection of a stand-in backend server that can be made to fail.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Path of the stand-in's own requests, which never fail.
const CONTROL_PATH: &[u8] = b"/_standin/";

/// What becomes of the bytes that a backend server writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// They are sent.
    #[default]
    None,
    /// Each is replaced, so that the answer is garbage.
    Garble,
    /// They are lost, and the connection stays open.
    Swallow,
    /// The first half of each write is sent, then the connection ends.
    Cut,
    /// The connection ends instead.
    End,
}

/// A connection whose writes can fail; counted while it is open.
#[derive(Debug)]
pub(crate) struct FaultyIo<F> {
    stream: TcpStream,
    fault: F,
    is_control: bool,
    open: Arc<AtomicU32>,
}

impl<F: Fn() -> WriteFault + Unpin> FaultyIo<F> {
    /// Wraps a connection that `open` counts already.
    pub(crate) const fn new(stream: TcpStream, fault: F, open: Arc<AtomicU32>) -> Self {
        Self {
            stream,
            fault,
            is_control: false,
            open,
        }
    }

    fn fault(&self) -> WriteFault {
        if self.is_control {
            WriteFault::None
        } else {
            (self.fault)()
        }
    }
}

impl<F> Drop for FaultyIo<F> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl<F: Fn() -> WriteFault + Unpin> AsyncRead for FaultyIo<F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if read
            .windows(CONTROL_PATH.len())
            .any(|part| part == CONTROL_PATH)
        {
            this.is_control = true;
        }
        polled
    }
}

impl<F: Fn() -> WriteFault + Unpin> AsyncWrite for FaultyIo<F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let fault = this.fault();
        let stream = Pin::new(&mut this.stream);
        match fault {
            WriteFault::None => stream.poll_write(cx, buf),
            WriteFault::Garble => stream.poll_write(cx, &vec![b'?'; buf.len()]),
            WriteFault::Swallow => Poll::Ready(Ok(buf.len())),
            WriteFault::Cut if buf.len() > 1 => {
                let sent = stream.poll_write(cx, &buf[..buf.len() / 2]);
                if sent.is_pending() {
                    return Poll::Pending;
                }
                Poll::Ready(Err(io::Error::from(io::ErrorKind::BrokenPipe)))
            }
            WriteFault::Cut | WriteFault::End => {
                Poll::Ready(Err(io::Error::from(io::ErrorKind::BrokenPipe)))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
