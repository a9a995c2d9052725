//! Logs by `log4rs`: one line of key=value pairs for each event.

use std::sync::{Mutex, PoisonError};

use anyhow::{Context, Result};
use cyclamentrail_core::{LogLevel, LogSettings};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};

mod encoder;

use encoder::KeyValueEncoder;

/// Name of the one appender.
const APPENDER: &str = "main";

/// The log of this process; level and destination change while it runs.
#[derive(Debug)]
pub(crate) struct Logging {
    handle: log4rs::Handle,
    process: String,
    seen: Mutex<LogSettings>,
}

impl Logging {
    /// Starts logging as the settings say; `process` names this process in each line.
    ///
    /// # Errors
    ///
    /// Returns an error when the destination can't be opened or logging was started before.
    pub(crate) fn start(settings: &LogSettings, process: &str) -> Result<Self> {
        let handle = log4rs::init_config(config(settings, process)?)?;
        Ok(Self {
            handle,
            process: process.to_owned(),
            seen: Mutex::new(settings.clone()),
        })
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
            Ok(config) => {
                self.handle.set_config(config);
                log::info!(level:? = settings.level, destination = settings.destination; "log_settings_changed");
            }
            Err(error) => {
                log::warn!(destination = settings.destination, error:% = format!("{error:#}"); "log_settings_kept");
            }
        }
    }
}

fn config(settings: &LogSettings, process: &str) -> Result<Config> {
    let encoder = Box::new(KeyValueEncoder::new(process));
    let appender = match settings.destination.as_str() {
        "stdout" => console(Target::Stdout, encoder),
        "stderr" => console(Target::Stderr, encoder),
        path => {
            let file = FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .with_context(|| {
                    format!("log file {path} can't be opened; set log.destination to another path")
                })?;
            Appender::builder().build(APPENDER, Box::new(file))
        }
    };
    let root = Root::builder()
        .appender(APPENDER)
        .build(filter(settings.level));
    Ok(Config::builder().appender(appender).build(root)?)
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

fn console(target: Target, encoder: Box<KeyValueEncoder>) -> Appender {
    let console = ConsoleAppender::builder()
        .target(target)
        .encoder(encoder)
        .build();
    Appender::builder().build(APPENDER, Box::new(console))
}
