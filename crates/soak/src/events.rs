//! The order of events of a run, kept beside the logs of its processes.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::Instant;

/// One line an event: seconds since the start, and what happened.
pub struct Events {
    began: Instant,
    file: RefCell<BufWriter<File>>,
}

impl Events {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: RefCell::new(BufWriter::new(File::create(path)?)) })
    }

    /// Microseconds since the start.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    pub fn note(&self, what: impl std::fmt::Display) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.borrow_mut();
        // The run's verdict does not rest on this file: what cannot be written is left out.
        let _ = writeln!(file, "{seconds:9.3} {what}").and_then(|()| file.flush());
    }
}
