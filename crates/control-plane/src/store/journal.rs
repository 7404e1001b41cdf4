//! The journal of a store on its disk. Each write is one version file that holds all records waiting at the time,
//! whatever their groups. From time to time a checkpoint with snapshots of all groups is written; the files before it
//! are then deleted.

use std::path::Path;
use std::sync::mpsc;

use super::counters::JournalCounters;
use fennelgauge_coordination::GroupNumber;
use fennelgauge_versions::{VersionDirectory, VersionName, VersionsError};
use fennelgauge_wire::{decode, encode, Entry, GroupSnapshot};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Size in bytes from which on a write takes in no more waiting records.
const MAX_WRITE_BYTES: usize = 8 << 20;

/// One record of the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A log entry of a group.
    Entry(Entry),
    /// A snapshot of a group; replaces all earlier records of it.
    Snapshot {
        /// The group.
        group: GroupNumber,
        /// Its full state.
        copy: GroupSnapshot,
    },
}

/// Records handed to the writing thread.
struct Write {
    /// The encoded records.
    records: Vec<u8>,
    /// Number of records.
    count: u64,
    /// Whether the records are snapshots of all groups, so that older files can be deleted.
    is_checkpoint: bool,
    /// Receives whether the records are on the disk.
    done: oneshot::Sender<bool>,
}

/// Writes records in the order in which they are handed over, on a thread of its own. Without a data directory nothing
/// is written, and every write succeeds.
#[derive(Clone)]
pub struct Journal {
    /// Queue of the writing thread; `None` without a data directory.
    writes: Option<mpsc::Sender<Write>>,
    counters: JournalCounters,
}

impl Journal {
    /// Opens the journal and reads all its records, oldest first. Files and records that cannot be read are logged and
    /// skipped; fails if the directory cannot be opened or listed.
    pub fn open(path: Option<&Path>) -> Result<(Self, Vec<Record>), VersionsError> {
        let counters = JournalCounters::default();
        let Some(path) = path else { return Ok((Self { writes: None, counters }, Vec::new())) };
        let directory = VersionDirectory::open(&path.join("journal"), "batch")?;
        let mut records = Vec::new();
        let names = directory.list()?;
        let next_sequence = names.last().map_or(1, |name| name.sequence + 1);
        for name in names {
            match directory.read(name) {
                Ok(body) => read_records(&body, &mut records),
                Err(error) => log::warn!("journal file skipped: {error}"),
            }
        }
        let (writes, queue) = mpsc::channel();
        let thread_counters = counters.clone();
        std::thread::spawn(move || write_all(&directory, next_sequence, &queue, &thread_counters));
        Ok((Self { writes: Some(writes), counters }, records))
    }

    /// Returns the counters of the journal's writes.
    pub fn counters(&self) -> &JournalCounters {
        &self.counters
    }

    /// Hands records to the writing thread. The receiver gets true once they are synced to the disk, and false if a write
    /// failed.
    pub fn write(&self, records: &[Record], is_checkpoint: bool) -> oneshot::Receiver<bool> {
        let (done, written) = oneshot::channel();
        let Some(writes) = &self.writes else {
            let _ = done.send(true);
            return written;
        };
        let mut bytes = Vec::new();
        for record in records {
            let record = encode(record);
            bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&record);
        }
        let _ = writes.send(Write { records: bytes, count: records.len() as u64, is_checkpoint, done });
        written
    }
}

/// Reads the records of one file: each a length of four bytes, little-endian, and the encoded record.
fn read_records(body: &[u8], records: &mut Vec<Record>) {
    let mut rest = body;
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_le_bytes(*length) as usize;
        let Some(record) = after.get(..length) else {
            return log::error!("journal file truncated: its last record is ignored");
        };
        match decode(record) {
            Ok(record) => records.push(record),
            Err(reason) => {
                log::error!("journal record skipped, perhaps written by another program version: {reason}");
            }
        }
        rest = &after[length..];
    }
}

/// Writes what arrives in the queue, several waiting writes as one file, until the journal is dropped.
fn write_all(
    directory: &VersionDirectory,
    mut sequence: u64,
    queue: &mpsc::Receiver<Write>,
    counters: &JournalCounters,
) {
    let mut next_write: Option<Write> = None;
    // After a failed write the journal has a gap: no later write counts as successful until a checkpoint was written.
    let mut has_gap = false;
    loop {
        let first = match next_write.take() {
            Some(write) => write,
            None => match queue.recv() {
                Ok(write) => write,
                Err(_) => return,
            },
        };
        let is_checkpoint = first.is_checkpoint;
        let mut body = first.records;
        let mut waiting = vec![first.done];
        while !is_checkpoint && body.len() < MAX_WRITE_BYTES {
            match queue.try_recv() {
                Ok(write) if write.is_checkpoint => next_write = Some(write),
                Ok(write) if write.count == 0 => waiting.push(write.done),
                Ok(write) => {
                    body.extend_from_slice(&write.records);
                    waiting.push(write.done);
                    continue;
                }
                Err(_) => {}
            }
            break;
        }
        let written = (is_checkpoint || !has_gap) && write_file(directory, sequence, &body);
        if written && !body.is_empty() {
            counters.record(body.len());
        }
        has_gap = !written;
        if is_checkpoint && written {
            remove_before(directory, sequence);
        }
        sequence += 1;
        for done in waiting {
            let _ = done.send(written);
        }
    }
}

/// Writes one file and syncs it; returns whether that succeeded.
fn write_file(directory: &VersionDirectory, sequence: u64, body: &[u8]) -> bool {
    if body.is_empty() {
        return true;
    }
    match directory.write(VersionName { epoch: 0, sequence }, body) {
        Ok(()) => true,
        Err(error) => {
            log::error!("journal write {sequence} failed: {error}");
            false
        }
    }
}

/// Deletes the files with a lower sequence number.
fn remove_before(directory: &VersionDirectory, sequence: u64) {
    let Ok(names) = directory.list() else { return };
    for name in names.into_iter().filter(|name| name.sequence < sequence) {
        directory.remove(name);
    }
}
