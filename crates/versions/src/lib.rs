//! Durable storage of the versions of a value, one file per version. A version is written to a temporary file, synced and
//! renamed, and its directory is synced; a checksum is verified when it is read. A file that is torn or was not written by
//! this crate is quarantined: renamed, so that it is never read as a version again.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// First bytes of a version file; then the body's length and CRC-32, both little-endian `u32`, and the body.
const MAGIC: &[u8; 8] = b"FGVER001";
const HEADER_BYTES: usize = 16;
/// Suffix of the temporary file that a version is written to.
const TEMPORARY_SUFFIX: &str = "aside";
/// Suffix of quarantined files.
const QUARANTINE_SUFFIX: &str = "unreadable";

/// Why a directory of versions could not be used.
#[derive(Debug, thiserror::Error)]
pub enum VersionsError {
    /// The file system reported an error.
    #[error("{path}: {reason}: check that the disk is there, writable and not full")]
    Io { path: PathBuf, reason: io::Error },
    /// The file is truncated, fails its checksum, or was not written by this crate; it was quarantined.
    #[error("{path}: not a valid version file of this program (truncated, wrong checksum or foreign): quarantined")]
    Corrupt { path: PathBuf },
}

/// A directory of version files, each named by a common prefix, an epoch and a sequence number.
#[derive(Clone, Debug)]
pub struct VersionDirectory {
    path: PathBuf,
    prefix: String,
}

/// The newest version of a directory, as [`VersionDirectory::read_newest`] finds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NewestVersion {
    /// The directory holds no version.
    None,
    /// The newest version passes its checks; holds its name and body.
    Valid(VersionName, Vec<u8>),
    /// The newest version fails its checks. Its content is lost, and an older version must not be used in its place.
    Corrupt,
}

/// The name of a version. Versions order by epoch, then by sequence number, and file names sort the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionName {
    /// Epoch of the view in which the version was made.
    pub epoch: u64,
    /// Sequence number of the version.
    pub sequence: u64,
}

impl VersionDirectory {
    /// Opens the directory, creating it if it is missing, and removes a temporary file that a crash left behind.
    ///
    /// # Errors
    /// If the directory cannot be created, or it or its parent cannot be synced.
    pub fn open(path: &Path, prefix: &str) -> Result<Self, VersionsError> {
        let directory = Self { path: path.to_owned(), prefix: prefix.to_owned() };
        fs::create_dir_all(path).map_err(|reason| directory.io_error(path, reason))?;
        if let Some(parent) = path.parent() {
            sync_directory(parent).map_err(|reason| directory.io_error(parent, reason))?;
        }
        let _ = fs::remove_file(directory.temporary_file());
        // The process may have been killed between the renaming of a file and the sync that makes its name durable.
        sync_directory(path).map_err(|reason| directory.io_error(path, reason))?;
        Ok(directory)
    }

    /// Writes one version durably: once this has returned, the version survives a loss of power.
    ///
    /// # Errors
    /// If the file system reports an error, as when the disk is full.
    pub fn write(&self, name: VersionName, body: &[u8]) -> Result<(), VersionsError> {
        let target = self.file(name);
        self.write_file(&target, body).map_err(|reason| self.io_error(&target, reason))
    }

    fn write_file(&self, target: &Path, body: &[u8]) -> io::Result<()> {
        let temporary = self.temporary_file();
        let mut file = File::create(&temporary)?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
        bytes.extend_from_slice(body);
        file.write_all(&bytes)?;
        file.sync_data()?;
        drop(file);
        fs::rename(&temporary, target)?;
        sync_directory(&self.path)
    }

    /// Returns the names of all versions, oldest first.
    ///
    /// # Errors
    /// If the directory cannot be read.
    pub fn list(&self) -> Result<Vec<VersionName>, VersionsError> {
        let entries = fs::read_dir(&self.path).map_err(|reason| self.io_error(&self.path, reason))?;
        let mut names: Vec<VersionName> =
            entries.flatten().filter_map(|entry| self.parse(entry.file_name().to_str()?)).collect();
        names.sort();
        Ok(names)
    }

    /// Reads the body of one version.
    ///
    /// # Errors
    /// If the file cannot be read, or is corrupt; a corrupt file is quarantined.
    pub fn read(&self, name: VersionName) -> Result<Vec<u8>, VersionsError> {
        let path = self.file(name);
        let bytes = fs::read(&path).map_err(|reason| self.io_error(&path, reason))?;
        match body_of(&bytes) {
            Some(body) => Ok(body.to_vec()),
            None => {
                let _ = fs::rename(&path, path.with_extension(QUARANTINE_SUFFIX));
                Err(VersionsError::Corrupt { path })
            }
        }
    }

    /// Returns the newest valid version. Corrupt versions that are newer are logged and quarantined.
    ///
    /// # Errors
    /// If the directory cannot be read.
    pub fn newest_valid(&self) -> Result<Option<(VersionName, Vec<u8>)>, VersionsError> {
        for name in self.list()?.into_iter().rev() {
            match self.read(name) {
                Ok(body) => return Ok(Some((name, body))),
                Err(error) => log::warn!("{error}"),
            }
        }
        Ok(None)
    }

    /// Reads the newest version, never falling back to an older one. A corrupt file stays under its name.
    ///
    /// # Errors
    /// If the directory or the file cannot be read.
    pub fn read_newest(&self) -> Result<NewestVersion, VersionsError> {
        let Some(name) = self.list()?.pop() else { return Ok(NewestVersion::None) };
        let path = self.file(name);
        let bytes = fs::read(&path).map_err(|reason| self.io_error(&path, reason))?;
        Ok(match body_of(&bytes) {
            Some(body) => NewestVersion::Valid(name, body.to_vec()),
            None => NewestVersion::Corrupt,
        })
    }

    /// Quarantines all versions, for a value whose stored state must not be used any more.
    ///
    /// # Errors
    /// If a file cannot be renamed or the directory cannot be read or synced.
    pub fn quarantine_all(&self) -> Result<(), VersionsError> {
        for name in self.list()? {
            let path = self.file(name);
            fs::rename(&path, path.with_extension(QUARANTINE_SUFFIX))
                .map_err(|reason| self.io_error(&path, reason))?;
        }
        sync_directory(&self.path).map_err(|reason| self.io_error(&self.path, reason))
    }

    /// Removes all but the newest `keep` versions. Files that cannot be removed are left for the next call.
    ///
    /// # Errors
    /// If the directory cannot be read.
    pub fn prune(&self, keep: usize) -> Result<(), VersionsError> {
        let names = self.list()?;
        for name in names.iter().take(names.len().saturating_sub(keep)) {
            let _ = fs::remove_file(self.file(*name));
        }
        Ok(())
    }

    /// Removes one version; errors are ignored.
    pub fn remove(&self, name: VersionName) {
        let _ = fs::remove_file(self.file(name));
    }

    fn file(&self, name: VersionName) -> PathBuf {
        self.path.join(format!("{}-{:016x}-{:016x}", self.prefix, name.epoch, name.sequence))
    }

    fn temporary_file(&self) -> PathBuf {
        self.path.join(format!("{}.{TEMPORARY_SUFFIX}", self.prefix))
    }

    /// Returns the version that a file name stands for, or none if it is not a version file of this prefix.
    fn parse(&self, file: &str) -> Option<VersionName> {
        let (epoch, sequence) = file.strip_prefix(&self.prefix)?.strip_prefix('-')?.split_once('-')?;
        Some(VersionName {
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            sequence: u64::from_str_radix(sequence, 16).ok()?,
        })
    }

    fn io_error(&self, path: &Path, reason: io::Error) -> VersionsError {
        VersionsError::Io { path: path.to_owned(), reason }
    }
}

/// Returns the body of a version file, or none if the file is corrupt.
fn body_of(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    let body = &bytes[HEADER_BYTES..];
    let length = u32::from_le_bytes(header[8..12].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[12..16].try_into().ok()?);
    let is_valid = &header[..8] == MAGIC && body.len() == length && crc32fast::hash(body) == checksum;
    is_valid.then_some(body)
}

fn sync_directory(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

#[cfg(test)]
mod tests;
