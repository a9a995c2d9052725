//! Server connections of a stand-in backend server whose writes can be made to fail.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Path prefix of the requests that control the stand-in; faults don't apply to their connections.
const CONTROL_PATH: &[u8] = b"/_standin/";

/// Fault of a backend server's writes to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// The bytes are sent.
    #[default]
    None,
    /// Each byte is replaced by `?`, so that the response isn't HTTP.
    Garble,
    /// The bytes are dropped, and the connection stays open.
    Discard,
    /// The first half of the write is sent, then the connection is closed.
    Truncate,
    /// Nothing is sent, and the connection is closed.
    Close,
}

/// A connection whose writes fail as `fault` says.
///
/// Dropping the connection decrements the count of open connections.
#[derive(Debug)]
pub(crate) struct FaultyIo<F> {
    stream: TcpStream,
    fault: F,
    /// Whether a request below [`CONTROL_PATH`] was read from the connection.
    is_control: bool,
    open_connections: Arc<AtomicU32>,
}

impl<F: Fn() -> WriteFault + Unpin> FaultyIo<F> {
    /// Wraps a connection that `open_connections` already includes.
    pub(crate) const fn new(stream: TcpStream, fault: F, open_connections: Arc<AtomicU32>) -> Self {
        Self {
            stream,
            fault,
            is_control: false,
            open_connections,
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
        self.open_connections.fetch_sub(1, Ordering::SeqCst);
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
            .any(|window| window == CONTROL_PATH)
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
            WriteFault::Discard => Poll::Ready(Ok(buf.len())),
            WriteFault::Truncate if buf.len() > 1 => {
                let sent = stream.poll_write(cx, &buf[..buf.len() / 2]);
                if sent.is_pending() {
                    return Poll::Pending;
                }
                Poll::Ready(Err(io::Error::from(io::ErrorKind::BrokenPipe)))
            }
            WriteFault::Truncate | WriteFault::Close => {
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
