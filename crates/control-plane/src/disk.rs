//! The disk of a process, written by a thread of its own so that nothing else waits for it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use fennelgauge_versions::{Folder, VersionName, VersionsError};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Versions that are kept beside the newest, for the on-call.
const KEPT: usize = 3;

struct Write {
    name: VersionName,
    body: Vec<u8>,
    done: oneshot::Sender<Result<(), VersionsError>>,
}

/// A write that takes longer than this is a sign of a disk in trouble.
const SLOW_WRITE: Duration = Duration::from_millis(800);

/// A folder of versions of which only the newest counts. Without a disk nothing is kept, and nothing fails.
#[derive(Clone)]
pub struct Disk {
    writes: Option<mpsc::Sender<Write>>,
    health: Rc<DiskHealth>,
}

/// Whether a disk does its work.
#[derive(Debug, Default)]
pub struct DiskHealth {
    /// When the oldest write that is not done was handed over.
    waiting_since: RefCell<VecDeque<Instant>>,
    failed: Cell<bool>,
}

impl DiskHealth {
    /// A write is handed over.
    pub fn begin(&self) {
        self.waiting_since.borrow_mut().push_back(Instant::now());
    }

    /// The oldest write has ended.
    pub fn end(&self, written: bool) {
        self.waiting_since.borrow_mut().pop_front();
        self.failed.set(!written);
    }

    /// Whether the last write failed.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Whether the last write failed, or one takes too long.
    pub fn is_in_trouble(&self) -> bool {
        let oldest = self.waiting_since.borrow().front().copied();
        self.failed.get() || oldest.is_some_and(|since| since.elapsed() > SLOW_WRITE)
    }
}

impl Disk {
    /// A process without a disk.
    pub fn none() -> Self {
        Self { writes: None, health: Rc::default() }
    }

    /// Opens a folder and reads its newest version.
    pub fn open(path: &Path, prefix: &str) -> Result<(Self, Option<Vec<u8>>), VersionsError> {
        let folder = Folder::open(path, prefix)?;
        let newest = folder.newest()?.map(|(_, body)| body);
        let (writes, queue) = mpsc::channel::<Write>();
        std::thread::spawn(move || {
            while let Ok(write) = queue.recv() {
                let written = folder.write(write.name, &write.body);
                let pruned = folder.keep_newest(KEPT);
                let _ = write.done.send(written.and(pruned));
            }
        });
        Ok((Self { writes: Some(writes), health: Rc::default() }, newest))
    }

    /// Writes a version; true once it outlives a loss of power.
    pub async fn write(&self, name: VersionName, body: Vec<u8>) -> bool {
        let Some(writes) = &self.writes else { return true };
        let (done, written) = oneshot::channel();
        if writes.send(Write { name, body, done }).is_err() {
            return false;
        }
        self.health.begin();
        let written = written.await;
        if let Ok(Err(error)) = &written {
            log::error!("{error}");
        }
        let written = matches!(written, Ok(Ok(())));
        self.health.end(written);
        written
    }

    pub fn health(&self) -> &DiskHealth {
        &self.health
    }
}

#[cfg(test)]
mod tests;
