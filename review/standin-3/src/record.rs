//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    /// Writes a line with the time since the start in seconds.
    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        drop(writeln!(file, "{at:9.3} {text}"));
    }

    /// Writes a line to the record and to the output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        self.flush();
    }

    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        drop(file.flush());
    }
}
