//! What the case has seen: each line goes to record.txt with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    origin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        let file = Arc::new(Mutex::new(file));
        Self {
            origin: Instant::now(),
            file,
        }
    }

    /// Returns a second writer of the same record.
    pub fn share(&self) -> Self {
        Self {
            origin: self.origin,
            file: Arc::clone(&self.file),
        }
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn write(&self, line: &str) {
        let at = self.origin.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {line}").expect("record.txt can be written");
    }
}
