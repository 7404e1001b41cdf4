//! The data directory of a core member. It holds the member's identity, the record of its promises, the newest versions
//! of the control state, and configurations, each in a directory of its own. A configuration is written once, however
//! many versions refer to it.
//!
//! If a part of it cannot be read, all of it is discarded: a member that has lost promises must not vote under its old
//! identity, so it gets a new one.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::mpsc;
use std::sync::Arc;

use fennelgauge_coordination::{DurableState, Identity, Version, VotingRecord};
use fennelgauge_settings::Settings;
use fennelgauge_versions::{NewestVersion, VersionDirectory, VersionName, VersionsError};
use fennelgauge_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::identity::random_number;
use crate::state::{ControlMetadata, ControlState, SharedConfiguration};

/// Number of versions of each file that are kept. Only the newest is ever loaded; the others help an operator to
/// recover by hand.
const VERSIONS_KEPT: usize = 3;

/// A record file's content: the record and the disk number of the identity that made it.
#[derive(Serialize, Deserialize)]
struct RecordFile {
    disk: u64,
    record: VotingRecord,
}

/// A version of the control state; its configuration is in a file of its own.
#[derive(Serialize, Deserialize)]
struct ValueFile {
    version: Version,
    metadata: ControlMetadata,
    /// Sequence number of the configuration's file; `None` before the first configuration.
    configuration: Option<u64>,
}

/// Data to be written; the record is written first.
#[derive(Clone, Default)]
pub struct Writes {
    /// The record of the member's promises, if it changed.
    pub record: Option<VotingRecord>,
    /// The control state and its version, if it changed.
    pub value: Option<(Version, Arc<ControlState>)>,
}

/// Data handed to the writing thread.
struct WriteJob {
    writes: Writes,
    /// Receives the result of the write.
    done: oneshot::Sender<Result<(), VersionsError>>,
}

/// Writes to the data directory on a thread of its own. Without a data directory nothing is kept, and every write
/// succeeds.
#[derive(Clone)]
pub struct Storage {
    /// Queue of the writing thread; `None` without a data directory.
    jobs: Option<mpsc::Sender<WriteJob>>,
}

/// An opened data directory and what it holds.
pub struct Opened {
    /// The member's identity: the stored one, or a new one.
    pub identity: Identity,
    /// The record and the control state that were read; initial ones if the directory was empty or unreadable.
    pub stored: DurableState<ControlState>,
    /// Writes to the opened directory.
    pub storage: Storage,
}

impl Storage {
    /// Opens the data directory that the settings name. Fails if it cannot be read or written.
    pub fn open(settings: &Settings) -> Result<Opened, VersionsError> {
        let seeds = if settings.bootstrap { settings.seed_peer_addresses() } else { Vec::new() };
        let Some(path) = &settings.data_dir else {
            let identity = Identity { node: settings.node.clone(), disk: random_number() };
            let storage = Self { jobs: None };
            return Ok(Opened { identity, stored: DurableState::empty(&seeds), storage });
        };
        let mut writer = Writer::open(path)?;
        let found = writer.load()?;
        let stored = match found {
            Some(stored) => stored,
            None => DurableState::empty(&seeds),
        };
        if settings.bootstrap && writer.records == 0 {
            // Only the settings of the very first start have the seeds.
            writer.write_record(&stored.record)?;
        }
        let identity = Identity { node: settings.node.clone(), disk: writer.disk };
        let (jobs, queue) = mpsc::channel::<WriteJob>();
        std::thread::spawn(move || {
            while let Ok(job) = queue.recv() {
                let _ = job.done.send(writer.write(&job.writes));
            }
        });
        Ok(Opened { identity, stored, storage: Self { jobs: Some(jobs) } })
    }

    /// Writes data; returns true once it is synced to the disk, and false after logging the error if that fails.
    pub async fn write(&self, writes: Writes) -> bool {
        let Some(jobs) = &self.jobs else { return true };
        let (done, written) = oneshot::channel();
        if jobs.send(WriteJob { writes, done }).is_err() {
            return false;
        }
        let written = written.await;
        if let Ok(Err(error)) = &written {
            log::error!("core state cannot be written, this member pauses until a write succeeds: {error}");
        }
        matches!(written, Ok(Ok(())))
    }
}

/// The directories and their contents; owned by the writing thread.
struct Writer {
    identity_directory: VersionDirectory,
    record_directory: VersionDirectory,
    value_directory: VersionDirectory,
    configuration_directory: VersionDirectory,
    /// Disk number of the member's identity.
    disk: u64,
    /// Sequence number of the newest record file.
    records: u64,
    /// Sequence number of the newest value file.
    values: u64,
    /// Sequence number of the newest configuration file.
    configurations: u64,
    /// Sequence number and digest of the newest configuration on the disk.
    written_configuration: Option<(u64, u128)>,
    /// Sequence numbers of the kept values, oldest first, each with that of its configuration.
    kept: VecDeque<(u64, Option<u64>)>,
}

impl Writer {
    fn open(path: &Path) -> Result<Self, VersionsError> {
        let directory = |name: &str| VersionDirectory::open(&path.join(name), name);
        let mut writer = Self {
            identity_directory: directory("identity")?,
            record_directory: directory("record")?,
            value_directory: directory("value")?,
            configuration_directory: directory("configuration")?,
            disk: 0,
            records: 0,
            values: 0,
            configurations: 0,
            written_configuration: None,
            kept: VecDeque::new(),
        };
        writer.records = highest_sequence(&writer.record_directory)?;
        writer.values = highest_sequence(&writer.value_directory)?;
        writer.configurations = highest_sequence(&writer.configuration_directory)?;
        Ok(writer)
    }

    /// Returns what the directory holds, or `None` if it is empty or a part of it is missing or unreadable. In the latter
    /// cases the member gets a new identity.
    fn load(&mut self) -> Result<Option<DurableState<ControlState>>, VersionsError> {
        let contents = self.load_contents()?;
        if let Contents::Complete(stored) = contents {
            return Ok(Some(*stored));
        }
        let disk = random_number();
        let sequence = highest_sequence(&self.identity_directory)? + 1;
        self.identity_directory.write(version_name(sequence), &disk.to_le_bytes())?;
        if matches!(contents, Contents::Incomplete) {
            log::error!(
                "core state on the disk is partly missing or unreadable: this machine joins the core as a new member, its old files are set aside"
            );
            self.record_directory.quarantine_all()?;
            self.value_directory.quarantine_all()?;
            self.configuration_directory.quarantine_all()?;
        }
        self.disk = disk;
        self.records = 0;
        self.written_configuration = None;
        Ok(None)
    }

    /// Reads the newest file of each directory.
    fn load_contents(&mut self) -> Result<Contents, VersionsError> {
        let identity = match self.identity_directory.read_newest()? {
            NewestVersion::Valid(_, body) => {
                <[u8; 8]>::try_from(body.as_slice()).ok().map(u64::from_le_bytes)
            }
            NewestVersion::Corrupt => None,
            NewestVersion::None if self.records == 0 && self.values == 0 => return Ok(Contents::Empty),
            NewestVersion::None => None,
        };
        let Some(identity) = identity else { return Ok(Contents::Incomplete) };
        self.disk = identity;
        let record: Option<RecordFile> = match self.record_directory.read_newest()? {
            NewestVersion::Valid(_, body) => decode_or_log(&body),
            NewestVersion::Corrupt => None,
            // The member stopped before it made its first promise.
            NewestVersion::None if self.values == 0 => {
                return Ok(Contents::Complete(Box::new(DurableState::empty(&[]))))
            }
            NewestVersion::None => None,
        };
        let Some(record) = record.filter(|record| record.disk == identity) else {
            return Ok(Contents::Incomplete);
        };
        let value = match self.value_directory.read_newest()? {
            NewestVersion::Valid(name, body) => {
                decode_or_log(&body).and_then(|file| self.load_value(name.sequence, file))
            }
            NewestVersion::Corrupt => None,
            NewestVersion::None => {
                let first = DurableState::empty(&[]);
                Some((first.version, first.value))
            }
        };
        let Some((version, value)) = value else { return Ok(Contents::Incomplete) };
        Ok(Contents::Complete(Box::new(DurableState { record: record.record, version, value })))
    }

    /// Reads the configuration of a value, and notes both as kept.
    fn load_value(&mut self, sequence: u64, file: ValueFile) -> Option<(Version, Arc<ControlState>)> {
        let configuration = match file.configuration {
            None => SharedConfiguration::default(),
            Some(number) => {
                SharedConfiguration::new(self.configuration_directory.read(version_name(number)).ok()?)
            }
        };
        self.written_configuration = file.configuration.map(|number| (number, configuration.digest()));
        self.kept.push_back((sequence, file.configuration));
        Some((file.version, Arc::new(ControlState { configuration, metadata: file.metadata })))
    }

    fn write(&mut self, writes: &Writes) -> Result<(), VersionsError> {
        if let Some(record) = &writes.record {
            self.write_record(record)?;
        }
        if let Some((version, state)) = &writes.value {
            self.write_value(*version, state)?;
        }
        Ok(())
    }

    fn write_record(&mut self, record: &VotingRecord) -> Result<(), VersionsError> {
        self.records += 1;
        let file = RecordFile { disk: self.disk, record: record.clone() };
        self.record_directory.write(version_name(self.records), &encode(&file))?;
        self.record_directory.prune(VERSIONS_KEPT)
    }

    fn write_value(&mut self, version: Version, state: &ControlState) -> Result<(), VersionsError> {
        let configuration = self.write_configuration(&state.configuration)?;
        self.values += 1;
        let file = ValueFile { version, metadata: state.metadata.clone(), configuration };
        self.value_directory.write(version_name(self.values), &encode(&file))?;
        self.kept.push_back((self.values, configuration));
        while self.kept.len() > VERSIONS_KEPT {
            self.kept.pop_front();
        }
        self.value_directory.prune(VERSIONS_KEPT)?;
        for old in self.configuration_directory.list()? {
            if !self.kept.iter().any(|(_, configuration)| *configuration == Some(old.sequence)) {
                self.configuration_directory.remove(old);
            }
        }
        Ok(())
    }

    /// Writes a configuration unless it is the newest on the disk; returns its sequence number, or `None` if it is empty.
    fn write_configuration(
        &mut self,
        configuration: &SharedConfiguration,
    ) -> Result<Option<u64>, VersionsError> {
        if configuration.json().is_empty() {
            return Ok(None);
        }
        if let Some((number, digest)) = self.written_configuration {
            if digest == configuration.digest() {
                return Ok(Some(number));
            }
        }
        self.configurations += 1;
        self.configuration_directory.write(version_name(self.configurations), configuration.json())?;
        self.written_configuration = Some((self.configurations, configuration.digest()));
        Ok(Some(self.configurations))
    }
}

/// State of a data directory.
enum Contents {
    /// Nothing was ever written.
    Empty,
    /// Everything can be read.
    Complete(Box<DurableState<ControlState>>),
    /// A part is missing or cannot be read.
    Incomplete,
}

fn version_name(sequence: u64) -> VersionName {
    VersionName { epoch: 0, sequence }
}

/// Returns the highest sequence number in a directory; 0 if it is empty.
fn highest_sequence(directory: &VersionDirectory) -> Result<u64, VersionsError> {
    Ok(directory.list()?.last().map_or(0, |name| name.sequence))
}

/// Decodes the body of a file; logs the reason and returns `None` if that fails.
fn decode_or_log<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode(bytes)
        .map_err(|reason| {
            log::error!("core state cannot be decoded, perhaps written by another program version: {reason}")
        })
        .ok()
}

#[cfg(test)]
mod tests;
