//! The disk of a process, written by a thread of its own so that nothing else waits for it.

use std::path::Path;
use std::sync::mpsc;

use fennelgauge_versions::{Folder, VersionName, VersionsError};
use tokio::sync::oneshot;

/// Versions that are kept beside the newest, for the on-call.
const KEPT: usize = 3;

struct Write {
    name: VersionName,
    body: Vec<u8>,
    done: oneshot::Sender<Result<(), VersionsError>>,
}

/// A folder of versions of which only the newest counts. Without a disk nothing is kept, and nothing fails.
#[derive(Clone)]
pub struct Disk {
    writes: Option<mpsc::Sender<Write>>,
}

impl Disk {
    /// A process without a disk.
    pub fn none() -> Self {
        Self { writes: None }
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
        Ok((Self { writes: Some(writes) }, newest))
    }

    /// Writes a version; true once it outlives a loss of power.
    pub async fn write(&self, name: VersionName, body: Vec<u8>) -> bool {
        let Some(writes) = &self.writes else { return true };
        let (done, written) = oneshot::channel();
        if writes.send(Write { name, body, done }).is_err() {
            return false;
        }
        match written.await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                log::error!("{error}");
                false
            }
            Err(_) => false,
        }
    }
}
