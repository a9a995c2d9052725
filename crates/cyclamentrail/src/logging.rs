//! Logs by `log4rs`: one line of key=value pairs for each event.

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

/// Name of the one appender.
const APPENDER: &str = "main";

/// The log of this process; level and destination change while it runs.
#[derive(Debug)]
pub(crate) struct Logging {
    handle: log4rs::Handle,
    process: String,
    seen: Mutex<LogSettings>,
    queue: Mutex<Option<Queue>>,
}

impl Logging {
    /// Starts logging as the settings say; `process` names this process in each line.
    ///
    /// # Errors
    ///
    /// Returns an error when the destination can't be opened or logging was started before.
    pub(crate) fn start(settings: &LogSettings, process: &str) -> Result<Self> {
        let (config, queue) = config(settings, process)?;
        let handle = log4rs::init_config(config)?;
        Ok(Self {
            handle,
            process: process.to_owned(),
            seen: Mutex::new(settings.clone()),
            queue: Mutex::new(queue),
        })
    }

    /// Returns how many lines were dropped because their reader stalled.
    pub(crate) fn dropped_lines(&self) -> usize {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.as_ref().map_or(0, Queue::dropped_lines)
    }

    /// Goes over to other settings; keeps the old ones when the destination can't be opened.
    pub(crate) fn apply(&self, settings: &LogSettings) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if *seen == *settings {
            return;
        }
        *seen = settings.clone();
        drop(seen);
        match config(settings, &self.process) {
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

/// Returns the configuration of the log and, where a thread writes the lines, what keeps it.
fn config(settings: &LogSettings, process: &str) -> Result<(Config, Option<Queue>)> {
    let encoder = Box::new(KeyValueEncoder::new(process));
    let (appender, queue) = match settings.destination.as_str() {
        "stdout" => queued(encoder, std::io::stdout()),
        "stderr" => queued(encoder, std::io::stderr()),
        path => {
            let file = FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .with_context(|| {
                    format!("log file {path} can't be opened; set log.destination to another path")
                })?;
            (Appender::builder().build(APPENDER, Box::new(file)), None)
        }
    };
    let root = Root::builder()
        .appender(APPENDER)
        .build(filter(settings.level));
    let config = Config::builder().appender(appender).build(root)?;
    Ok((config, queue))
}

const fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

fn queued(
    encoder: Box<KeyValueEncoder>,
    output: impl std::io::Write + Send + 'static,
) -> (Appender, Option<Queue>) {
    let (appender, queue) = QueueAppender::new(encoder, output);
    let appender = Appender::builder().build(APPENDER, Box::new(appender));
    (appender, Some(queue))
}
