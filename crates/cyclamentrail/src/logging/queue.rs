//! Appender that queues log lines for a writer thread, so that a stalled reader of standard output
//! or standard error blocks no thread that logs.

use std::fmt::{Debug, Formatter};
use std::io::Write as _;
use std::sync::{Mutex, PoisonError};

use anyhow::Result;
use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use super::encoder::KeyValueEncoder;

/// Capacity of the queue in lines; lines above it are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Encodes records and queues the lines for the writer thread.
pub(super) struct QueueAppender {
    encoder: Box<KeyValueEncoder>,
    writer: Mutex<NonBlocking>,
}

/// Keeps the writer thread running; when dropped, the thread writes the queued lines and ends.
pub(super) struct Queue {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl Queue {
    /// Returns the number of lines dropped because the queue was full.
    pub(super) fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

impl Debug for Queue {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Queue")
            .field("dropped", &self.dropped_lines())
            .finish_non_exhaustive()
    }
}

impl QueueAppender {
    /// Creates an appender whose writer thread writes to `output`, and the handle that keeps the
    /// thread running.
    pub(super) fn new(
        encoder: Box<KeyValueEncoder>,
        output: impl std::io::Write + Send + 'static,
    ) -> (Self, Queue) {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .thread_name("log-writer")
            .finish(output);
        let dropped = writer.error_counter();
        let appender = Self {
            encoder,
            writer: Mutex::new(writer),
        };
        let queue = Queue {
            dropped,
            _guard: guard,
        };
        (appender, queue)
    }
}

impl Debug for QueueAppender {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("QueueAppender").finish_non_exhaustive()
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> Result<()> {
        let mut line = Vec::new();
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        writer.write_all(&line)?;
        Ok(())
    }

    fn flush(&self) {}
}
