//! What a machine of the core has on its disk: who it is, the record of its promises, versions of the control state, and configurations,
//! each in a folder of its own. A configuration is written once, however many versions have it.
//!
//! What cannot be read is forgotten, and who has forgotten must not vote as who it was: it gets a new identity.

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
use crate::state::{ControlState, SharedConfiguration, SmallState};

/// Versions that are kept beside the newest, for the on-call.
const KEPT: usize = 3;

/// A record and whose it is.
#[derive(Serialize, Deserialize)]
struct RecordFile {
    disk: u64,
    record: VotingRecord,
}

/// A version of the control state; the configuration is in a file of its own.
#[derive(Serialize, Deserialize)]
struct ValueFile {
    version: Version,
    small: SmallState,
    /// The number of the configuration's file; none before the first configuration.
    configuration: Option<u64>,
}

/// What has to be written, the record first.
#[derive(Clone, Default)]
pub struct Writes {
    pub record: Option<VotingRecord>,
    pub value: Option<(Version, Arc<ControlState>)>,
}

struct Job {
    writes: Writes,
    done: oneshot::Sender<Result<(), VersionsError>>,
}

/// The disk of a machine of the core, written by a thread of its own.
#[derive(Clone)]
pub struct Storage {
    jobs: Option<mpsc::Sender<Job>>,
}

/// A disk as it was found.
pub struct Opened {
    pub identity: Identity,
    pub stored: DurableState<ControlState>,
    pub storage: Storage,
}

impl Storage {
    /// Opens the disk that the settings name; without one nothing is kept, and nothing fails.
    pub fn open(settings: &Settings) -> Result<Opened, VersionsError> {
        let seeds = if settings.bootstrap { settings.seed_peer_addresses() } else { Vec::new() };
        let Some(path) = &settings.data_dir else {
            let identity = Identity { node: settings.node.clone(), disk: random_number() };
            let storage = Self { jobs: None };
            return Ok(Opened { identity, stored: DurableState::empty(&seeds), storage });
        };
        let mut writer = Writer::open(path)?;
        let found = writer.find()?;
        let stored = match found {
            Some(stored) => stored,
            None => DurableState::empty(&seeds),
        };
        if settings.bootstrap && writer.records == 0 {
            // The seeds are in the settings of the very first start only.
            writer.write_record(&stored.record)?;
        }
        let identity = Identity { node: settings.node.clone(), disk: writer.disk };
        let (jobs, queue) = mpsc::channel::<Job>();
        std::thread::spawn(move || {
            while let Ok(job) = queue.recv() {
                let _ = job.done.send(writer.write(&job.writes));
            }
        });
        Ok(Opened { identity, stored, storage: Self { jobs: Some(jobs) } })
    }

    /// Writes; true once all of it outlives a loss of power.
    pub async fn write(&self, writes: Writes) -> bool {
        let Some(jobs) = &self.jobs else { return true };
        let (done, written) = oneshot::channel();
        if jobs.send(Job { writes, done }).is_err() {
            return false;
        }
        let written = written.await;
        if let Ok(Err(error)) = &written {
            log::error!("{error}");
        }
        matches!(written, Ok(Ok(())))
    }
}

/// The folders, and what is in them.
struct Writer {
    identity_folder: VersionDirectory,
    record_folder: VersionDirectory,
    value_folder: VersionDirectory,
    configuration_folder: VersionDirectory,
    disk: u64,
    /// Files written so far, or the highest number found.
    records: u64,
    values: u64,
    configurations: u64,
    /// The newest configuration that is on the disk.
    written_configuration: Option<(u64, u128)>,
    /// Values that are kept, oldest first, with their configurations.
    kept: VecDeque<(u64, Option<u64>)>,
}

impl Writer {
    fn open(path: &Path) -> Result<Self, VersionsError> {
        let folder = |name: &str| VersionDirectory::open(&path.join(name), name);
        let mut writer = Self {
            identity_folder: folder("identity")?,
            record_folder: folder("record")?,
            value_folder: folder("value")?,
            configuration_folder: folder("configuration")?,
            disk: 0,
            records: 0,
            values: 0,
            configurations: 0,
            written_configuration: None,
            kept: VecDeque::new(),
        };
        writer.records = highest(&writer.record_folder)?;
        writer.values = highest(&writer.value_folder)?;
        writer.configurations = highest(&writer.configuration_folder)?;
        Ok(writer)
    }

    /// What the disk holds; none if it is empty, or if anything of it is forgotten: then under a new identity.
    fn find(&mut self) -> Result<Option<DurableState<ControlState>>, VersionsError> {
        let found = self.find_whole()?;
        if let Found::Whole(stored) = found {
            return Ok(Some(*stored));
        }
        let disk = random_number();
        let number = highest(&self.identity_folder)? + 1;
        self.identity_folder.write(name(number), &disk.to_le_bytes())?;
        if matches!(found, Found::Forgotten) {
            log::error!("a part of the disk cannot be read: this machine joins anew, as another member");
            self.record_folder.quarantine_all()?;
            self.value_folder.quarantine_all()?;
            self.configuration_folder.quarantine_all()?;
        }
        self.disk = disk;
        self.records = 0;
        self.written_configuration = None;
        Ok(None)
    }

    fn find_whole(&mut self) -> Result<Found, VersionsError> {
        let identity = match self.identity_folder.read_newest()? {
            NewestVersion::Valid(_, body) => {
                <[u8; 8]>::try_from(body.as_slice()).ok().map(u64::from_le_bytes)
            }
            NewestVersion::Corrupt => None,
            NewestVersion::None if self.records == 0 && self.values == 0 => return Ok(Found::Empty),
            NewestVersion::None => None,
        };
        let Some(identity) = identity else { return Ok(Found::Forgotten) };
        self.disk = identity;
        let record: Option<RecordFile> = match self.record_folder.read_newest()? {
            NewestVersion::Valid(_, body) => readable(&body),
            NewestVersion::Corrupt => None,
            // Nothing was promised yet.
            NewestVersion::None if self.values == 0 => {
                return Ok(Found::Whole(Box::new(DurableState::empty(&[]))))
            }
            NewestVersion::None => None,
        };
        let Some(record) = record.filter(|record| record.disk == identity) else {
            return Ok(Found::Forgotten);
        };
        let value = match self.value_folder.read_newest()? {
            NewestVersion::Valid(name, body) => {
                readable(&body).and_then(|file| self.whole_value(name.sequence, file))
            }
            NewestVersion::Corrupt => None,
            NewestVersion::None => {
                let first = DurableState::empty(&[]);
                Some((first.version, first.value))
            }
        };
        let Some((version, value)) = value else { return Ok(Found::Forgotten) };
        Ok(Found::Whole(Box::new(DurableState { record: record.record, version, value })))
    }

    fn whole_value(&mut self, number: u64, file: ValueFile) -> Option<(Version, Arc<ControlState>)> {
        let configuration = match file.configuration {
            None => SharedConfiguration::default(),
            Some(number) => SharedConfiguration::new(self.configuration_folder.read(name(number)).ok()?),
        };
        self.written_configuration = file.configuration.map(|number| (number, configuration.digest()));
        self.kept.push_back((number, file.configuration));
        Some((file.version, Arc::new(ControlState { configuration, small: file.small })))
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
        self.record_folder.write(name(self.records), &encode(&file))?;
        self.record_folder.prune(KEPT)
    }

    fn write_value(&mut self, version: Version, state: &ControlState) -> Result<(), VersionsError> {
        let configuration = self.write_configuration(&state.configuration)?;
        self.values += 1;
        let file = ValueFile { version, small: state.small.clone(), configuration };
        self.value_folder.write(name(self.values), &encode(&file))?;
        self.kept.push_back((self.values, configuration));
        while self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        self.value_folder.prune(KEPT)?;
        for old in self.configuration_folder.list()? {
            if !self.kept.iter().any(|(_, configuration)| *configuration == Some(old.sequence)) {
                self.configuration_folder.remove(old);
            }
        }
        Ok(())
    }

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
        self.configuration_folder.write(name(self.configurations), configuration.json())?;
        self.written_configuration = Some((self.configurations, configuration.digest()));
        Ok(Some(self.configurations))
    }
}

enum Found {
    Empty,
    Whole(Box<DurableState<ControlState>>),
    Forgotten,
}

fn name(number: u64) -> VersionName {
    VersionName { epoch: 0, sequence: number }
}

fn highest(folder: &VersionDirectory) -> Result<u64, VersionsError> {
    Ok(folder.list()?.last().map_or(0, |name| name.sequence))
}

fn readable<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode(bytes).map_err(|reason| log::error!("state of another version or program: {reason}")).ok()
}

#[cfg(test)]
mod tests;
