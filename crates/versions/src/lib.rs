//! One file a version: written aside, synced, renamed, its folder synced; checked by a checksum when read. A file that
//! is torn or foreign is set aside under another name and never taken for state.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"FGVER001";
const HEADER_BYTES: usize = 16;
const ASIDE: &str = "aside";
const SET_ASIDE: &str = "unreadable";

/// Why a folder of versions could not be used; each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum VersionsError {
    #[error("{path}: {reason}: check that the disk is there, writable and not full")]
    Io { path: PathBuf, reason: io::Error },
    #[error("{path}: not a whole version file of this program: set aside")]
    Corrupt { path: PathBuf },
}

/// A folder whose files are versions, named by a prefix and two rising numbers.
#[derive(Clone, Debug)]
pub struct VersionDirectory {
    path: PathBuf,
    prefix: String,
}

/// What is found where the newest version should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NewestVersion {
    /// The folder holds no version.
    None,
    Valid(VersionName, Vec<u8>),
    /// The newest version is not whole: whatever it said is forgotten, and an older one must not be taken for it.
    Corrupt,
}

/// The name of a version: files sort by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionName {
    pub epoch: u64,
    pub sequence: u64,
}

impl VersionDirectory {
    /// Opens the folder, making it where it is missing; what a crash left half written is removed.
    pub fn open(path: &Path, prefix: &str) -> Result<Self, VersionsError> {
        let folder = Self { path: path.to_owned(), prefix: prefix.to_owned() };
        fs::create_dir_all(path).map_err(|reason| folder.disk_error(path, reason))?;
        if let Some(parent) = path.parent() {
            sync_folder(parent).map_err(|reason| folder.disk_error(parent, reason))?;
        }
        let _ = fs::remove_file(folder.aside());
        Ok(folder)
    }

    /// Writes one version; when this returns it outlives a loss of power.
    pub fn write(&self, name: VersionName, body: &[u8]) -> Result<(), VersionsError> {
        let target = self.file(name);
        self.write_file(&target, body).map_err(|reason| self.disk_error(&target, reason))
    }

    fn write_file(&self, target: &Path, body: &[u8]) -> io::Result<()> {
        let aside = self.aside();
        let mut file = File::create(&aside)?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
        bytes.extend_from_slice(body);
        file.write_all(&bytes)?;
        file.sync_data()?;
        drop(file);
        fs::rename(&aside, target)?;
        sync_folder(&self.path)
    }

    /// The names of all versions, oldest first.
    pub fn list(&self) -> Result<Vec<VersionName>, VersionsError> {
        let entries = fs::read_dir(&self.path).map_err(|reason| self.disk_error(&self.path, reason))?;
        let mut names: Vec<VersionName> =
            entries.flatten().filter_map(|entry| self.parse(entry.file_name().to_str()?)).collect();
        names.sort();
        Ok(names)
    }

    /// Reads and checks one version. A file that is not whole is set aside and reported.
    pub fn read(&self, name: VersionName) -> Result<Vec<u8>, VersionsError> {
        let path = self.file(name);
        let bytes = fs::read(&path).map_err(|reason| self.disk_error(&path, reason))?;
        match body_of(&bytes) {
            Some(body) => Ok(body.to_vec()),
            None => {
                let _ = fs::rename(&path, path.with_extension(SET_ASIDE));
                Err(VersionsError::Corrupt { path })
            }
        }
    }

    /// The newest version that is whole; those that are not are set aside and logged.
    pub fn newest_valid(&self) -> Result<Option<(VersionName, Vec<u8>)>, VersionsError> {
        for name in self.list()?.into_iter().rev() {
            match self.read(name) {
                Ok(body) => return Ok(Some((name, body))),
                Err(error) => log::warn!("{error}"),
            }
        }
        Ok(None)
    }

    /// The newest version, and nothing older in its place. A file that is not whole stays where it is.
    pub fn read_newest(&self) -> Result<NewestVersion, VersionsError> {
        let Some(name) = self.list()?.pop() else { return Ok(NewestVersion::None) };
        let path = self.file(name);
        let bytes = fs::read(&path).map_err(|reason| self.disk_error(&path, reason))?;
        Ok(match body_of(&bytes) {
            Some(body) => NewestVersion::Valid(name, body.to_vec()),
            None => NewestVersion::Corrupt,
        })
    }

    /// Renames all versions, so that none is read again; for when what they say must not count any more.
    pub fn quarantine_all(&self) -> Result<(), VersionsError> {
        for name in self.list()? {
            let path = self.file(name);
            fs::rename(&path, path.with_extension(SET_ASIDE))
                .map_err(|reason| self.disk_error(&path, reason))?;
        }
        sync_folder(&self.path).map_err(|reason| self.disk_error(&self.path, reason))
    }

    /// Removes all but the newest `keep` versions. What cannot be removed is left for the next time.
    pub fn prune(&self, keep: usize) -> Result<(), VersionsError> {
        let names = self.list()?;
        for name in names.iter().take(names.len().saturating_sub(keep)) {
            let _ = fs::remove_file(self.file(*name));
        }
        Ok(())
    }

    /// Removes one version.
    pub fn remove(&self, name: VersionName) {
        let _ = fs::remove_file(self.file(name));
    }

    fn file(&self, name: VersionName) -> PathBuf {
        self.path.join(format!("{}-{:016x}-{:016x}", self.prefix, name.epoch, name.sequence))
    }

    fn aside(&self) -> PathBuf {
        self.path.join(format!("{}.{ASIDE}", self.prefix))
    }

    fn parse(&self, file: &str) -> Option<VersionName> {
        let (epoch, sequence) = file.strip_prefix(&self.prefix)?.strip_prefix('-')?.split_once('-')?;
        Some(VersionName {
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            sequence: u64::from_str_radix(sequence, 16).ok()?,
        })
    }

    fn disk_error(&self, path: &Path, reason: io::Error) -> VersionsError {
        VersionsError::Io { path: path.to_owned(), reason }
    }
}

fn body_of(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    let body = &bytes[HEADER_BYTES..];
    let length = u32::from_le_bytes(header[8..12].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[12..16].try_into().ok()?);
    let whole = &header[..8] == MAGIC && body.len() == length && crc32fast::hash(body) == checksum;
    whole.then_some(body)
}

fn sync_folder(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

#[cfg(test)]
mod tests;
