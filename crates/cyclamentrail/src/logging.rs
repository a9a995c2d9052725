//! Configures `log4rs`: one line of key=value pairs for each event, with a level and a destination
//! that can change while the process runs.

use std::sync::{Mutex, PoisonError};

use anyhow::{Context, Result};
use cyclamentrail_core::{LogLevel, LogSettings};
use log::LevelFilter;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};

mod encoder;
mod queue;

use encoder::KeyValueEncoder;
use queue::{Queue, QueueAppender};

/// Name of the only appender in the configuration of `log4rs`.
const APPENDER_NAME: &str = "main";

/// Handle to the log of this process, by which its level and destination change at run time.
#[derive(Debug)]
pub(crate) struct Logging {
    handle: log4rs::Handle,
    process: String,
    last_settings: Mutex<LogSettings>,
    queue: Mutex<Option<Queue>>,
}

impl Logging {
    /// Starts logging at the level and to the destination of the settings; each line names
    /// `process`.
    ///
    /// # Errors
    ///
    /// Returns an error when the destination can't be opened or logging was started before.
    pub(crate) fn start(settings: &LogSettings, process: &str) -> Result<Self> {
        let (config, queue) = build_config(settings, process)?;
        let handle = log4rs::init_config(config)?;
        Ok(Self {
            handle,
            process: process.to_owned(),
            last_settings: Mutex::new(settings.clone()),
            queue: Mutex::new(queue),
        })
    }

    /// Returns the number of lines dropped since the last change of the settings because the reader
    /// of standard output or standard error stalled; 0 when the destination is a file.
    pub(crate) fn dropped_lines(&self) -> usize {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.as_ref().map_or(0, Queue::dropped_lines)
    }

    /// Applies other log settings; the old ones stay in use when the new destination can't be
    /// opened.
    ///
    /// Settings that were passed in the last call are ignored, so that a destination which can't be
    /// opened is tried and reported only once.
    pub(crate) fn apply(&self, settings: &LogSettings) {
        let mut last_settings = self
            .last_settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *last_settings == *settings {
            return;
        }
        *last_settings = settings.clone();
        drop(last_settings);
        match build_config(settings, &self.process) {
            Ok((config, queue)) => {
                self.handle.set_config(config);
                *self.queue.lock().unwrap_or_else(PoisonError::into_inner) = queue;
                log::info!(level:? = settings.level, destination = settings.destination; "log_settings_changed");
            }
            Err(error) => {
                log::warn!(destination = settings.destination, error:% = format!("{error:#}"); "log_settings_kept");
            }
        }
    }
}

/// Returns the configuration of `log4rs` and, for standard output and standard error, the queue
/// that keeps the writer thread alive. Files are written by the logging thread itself.
fn build_config(settings: &LogSettings, process: &str) -> Result<(Config, Option<Queue>)> {
    let encoder = Box::new(KeyValueEncoder::new(process));
    let (appender, queue) = match settings.destination.as_str() {
        "stdout" => queued_appender(encoder, std::io::stdout()),
        "stderr" => queued_appender(encoder, std::io::stderr()),
        path => {
            let file = FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .with_context(|| {
                    format!("log file {path} can't be opened; set log.destination to another path")
                })?;
            (
                Appender::builder().build(APPENDER_NAME, Box::new(file)),
                None,
            )
        }
    };
    let root = Root::builder()
        .appender(APPENDER_NAME)
        .build(level_filter(settings.level));
    let config = Config::builder().appender(appender).build(root)?;
    Ok((config, queue))
}

const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Returns an appender whose lines a thread of their own writes to `output`, and the thread's
/// queue.
fn queued_appender(
    encoder: Box<KeyValueEncoder>,
    output: impl std::io::Write + Send + 'static,
) -> (Appender, Option<Queue>) {
    let (appender, queue) = QueueAppender::new(encoder, output);
    let appender = Appender::builder().build(APPENDER_NAME, Box::new(appender));
    (appender, Some(queue))
}
