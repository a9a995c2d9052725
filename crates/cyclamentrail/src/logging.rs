//! Logs by `log4rs`: one line of key=value pairs for each event.

use anyhow::Result;
use cyclamentrail_core::{LogLevel, LogSettings};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::{Encode, Write};

/// Starts logging as the settings say; `process` names this process in each line.
///
/// # Errors
///
/// Returns an error when the destination can't be opened or logging was started before.
pub(crate) fn start(settings: &LogSettings, process: &str) -> Result<log4rs::Handle> {
    Ok(log4rs::init_config(config(settings, process)?)?)
}

fn config(settings: &LogSettings, process: &str) -> Result<Config> {
    let level = filter(settings.level);
    let encoder = Box::new(KeyValueEncoder {
        process: process.to_owned(),
    });
    let appender = match settings.destination.as_str() {
        "stdout" => console(Target::Stdout, encoder),
        "stderr" => console(Target::Stderr, encoder),
        path => {
            let file = FileAppender::builder().encoder(encoder).build(path)?;
            Appender::builder().build("main", Box::new(file))
        }
    };
    let root = Root::builder().appender("main").build(level);
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
    Appender::builder().build("main", Box::new(console))
}

/// Writes a record as `time=… level=… process=… event=… key=value …`.
#[derive(Debug)]
struct KeyValueEncoder {
    process: String,
}

impl Encode for KeyValueEncoder {
    fn encode(&self, w: &mut dyn Write, record: &Record<'_>) -> Result<()> {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let mut line = format!("time={}.{:03}", now.as_secs(), now.subsec_millis());
        push_pair(&mut line, "level", record.level().as_str());
        push_pair(&mut line, "process", &self.process);
        push_pair(&mut line, "event", &record.args().to_string());
        record.key_values().visit(&mut PairVisitor(&mut line))?;
        line.push('\n');
        w.write_all(line.as_bytes())?;
        Ok(())
    }
}

struct PairVisitor<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for PairVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        push_pair(self.0, key.as_str(), &value.to_string());
        Ok(())
    }
}

fn push_pair(line: &mut String, key: &str, value: &str) {
    line.push(' ');
    line.push_str(key);
    line.push('=');
    let plain = !value.is_empty()
        && value
            .chars()
            .all(|character| character.is_ascii_graphic() && !matches!(character, '"' | '='));
    if plain {
        line.push_str(value);
    } else {
        line.push('"');
        line.extend(value.escape_debug());
        line.push('"');
    }
}
