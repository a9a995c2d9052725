//! Encoder of log records as lines of key=value pairs.

use anyhow::Result;
use chrono::{SecondsFormat, Utc};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use log4rs::encode::{Encode, Write};

/// Encodes a record as `time=… level=… process=… event=… key=value …` on one line.
///
/// A value that is empty, or that contains a double quote, an equals sign or a character other than
/// graphic ASCII, is quoted and escaped.
#[derive(Debug)]
pub(super) struct KeyValueEncoder {
    process: String,
}

impl KeyValueEncoder {
    /// Creates an encoder that writes `process` into each line.
    pub(super) fn new(process: &str) -> Self {
        Self {
            process: process.to_owned(),
        }
    }
}

impl Encode for KeyValueEncoder {
    fn encode(&self, w: &mut dyn Write, record: &Record<'_>) -> Result<()> {
        let time = Utc::now().to_rfc3339_opts(SecondsFormat::Millis, true);
        let mut line = format!("time={time}");
        push_pair(&mut line, "level", record.level().as_str());
        push_pair(&mut line, "process", &self.process);
        push_pair(&mut line, "event", &record.args().to_string());
        record.key_values().visit(&mut PairVisitor(&mut line))?;
        line.push('\n');
        w.write_all(line.as_bytes())?;
        Ok(())
    }
}

/// Appends the key-value pairs of a record to a line.
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
    let is_plain = !value.is_empty()
        && value
            .chars()
            .all(|character| character.is_ascii_graphic() && !matches!(character, '"' | '='));
    if is_plain {
        line.push_str(value);
    } else {
        line.push('"');
        line.extend(value.escape_debug());
        line.push('"');
    }
}
