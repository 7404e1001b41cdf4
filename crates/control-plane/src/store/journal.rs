//! The disk of a store: every write holds all that waited for it, of whatever group, as one version file. From time to
//! time a write holds whole copies of all groups; what is older is then removed.

use std::path::Path;
use std::sync::mpsc;

use super::costs::Writes;
use fennelgauge_coordination::GroupNumber;
use fennelgauge_versions::{VersionDirectory, VersionName, VersionsError};
use fennelgauge_wire::{decode, encode, Entry, GroupCopy};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// The most that one write gathers, in bytes.
const MOST_GATHERED: usize = 8 << 20;

/// What a write holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    Entry(Entry),
    /// Replaces what was known of the group.
    Copy {
        group: GroupNumber,
        copy: GroupCopy,
    },
}

struct Write {
    records: Vec<u8>,
    count: u64,
    /// Holds all that counts: older writes may go.
    whole: bool,
    done: oneshot::Sender<bool>,
}

/// Writes records in the order in which they were handed over.
#[derive(Clone)]
pub struct Journal {
    writes: Option<mpsc::Sender<Write>>,
    counted: Writes,
}

impl Journal {
    /// Opens the journal and reads all its records, oldest first.
    pub fn open(path: Option<&Path>) -> Result<(Self, Vec<Record>), VersionsError> {
        let counted = Writes::default();
        let Some(path) = path else { return Ok((Self { writes: None, counted }, Vec::new())) };
        let folder = VersionDirectory::open(&path.join("journal"), "batch")?;
        let mut records = Vec::new();
        let names = folder.list()?;
        let next = names.last().map_or(1, |name| name.sequence + 1);
        for name in names {
            match folder.read(name) {
                Ok(body) => read_records(&body, &mut records),
                Err(error) => log::warn!("{error}"),
            }
        }
        let (writes, queue) = mpsc::channel();
        let counting = counted.clone();
        std::thread::spawn(move || write_all(&folder, next, &queue, &counting));
        Ok((Self { writes: Some(writes), counted }, records))
    }

    /// What was written.
    pub fn counted(&self) -> &Writes {
        &self.counted
    }

    /// Hands records over; the receiver tells true once they outlive a loss of power.
    pub fn write(&self, records: &[Record], whole: bool) -> oneshot::Receiver<bool> {
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
        let _ = writes.send(Write { records: bytes, count: records.len() as u64, whole, done });
        written
    }
}

fn read_records(body: &[u8], records: &mut Vec<Record>) {
    let mut rest = body;
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_le_bytes(*length) as usize;
        let Some(record) = after.get(..length) else { return log::error!("a journal file is cut short") };
        match decode(record) {
            Ok(record) => records.push(record),
            Err(reason) => log::error!("a record of another version is left out: {reason}"),
        }
        rest = &after[length..];
    }
}

fn write_all(folder: &VersionDirectory, mut sequence: u64, queue: &mpsc::Receiver<Write>, counted: &Writes) {
    let mut held: Option<Write> = None;
    // After a failed write the disk lacks something: nothing counts as written until all was written anew.
    let mut lacking = false;
    loop {
        let first = match held.take() {
            Some(write) => write,
            None => match queue.recv() {
                Ok(write) => write,
                Err(_) => return,
            },
        };
        let whole = first.whole;
        let mut body = first.records;
        let mut waiting = vec![first.done];
        while !whole && body.len() < MOST_GATHERED {
            match queue.try_recv() {
                Ok(write) if write.whole => held = Some(write),
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
        let written = (whole || !lacking) && write_one(folder, sequence, &body);
        if written && !body.is_empty() {
            counted.count(body.len());
        }
        lacking = !written;
        if whole && written {
            remove_before(folder, sequence);
        }
        sequence += 1;
        for done in waiting {
            let _ = done.send(written);
        }
    }
}

fn write_one(folder: &VersionDirectory, sequence: u64, body: &[u8]) -> bool {
    if body.is_empty() {
        return true;
    }
    match folder.write(VersionName { epoch: 0, sequence }, body) {
        Ok(()) => true,
        Err(error) => {
            log::error!("{error}");
            false
        }
    }
}

fn remove_before(folder: &VersionDirectory, sequence: u64) {
    let Ok(names) = folder.list() else { return };
    for name in names.into_iter().filter(|name| name.sequence < sequence) {
        folder.remove(name);
    }
}
