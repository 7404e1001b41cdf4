//! The identity of a process: its node name and a random number kept on its disk. A node whose disk was replaced gets
//! a new number, and so counts as another member.

use std::path::Path;

use fennelgauge_coordination::Identity;
use fennelgauge_settings::Settings;
use fennelgauge_versions::{VersionDirectory, VersionName};

/// Returns a random number that no other process is expected to draw. Falls back to the process id if the system has
/// no source of randomness.
pub fn random_number() -> u64 {
    getrandom::u64().unwrap_or_else(|_| u64::from(std::process::id()))
}

/// Returns this process's identity. Draws a new disk number if the data directory is empty or the settings name none;
/// fails if the directory cannot be read or written.
pub fn identity(settings: &Settings) -> anyhow::Result<Identity> {
    let disk = match &settings.data_dir {
        Some(path) => stored_disk_number(path)?,
        None => random_number(),
    };
    Ok(Identity { node: settings.node.clone(), disk })
}

/// Returns the disk number stored in the data directory, after storing a new one if there is none.
fn stored_disk_number(path: &Path) -> anyhow::Result<u64> {
    let folder = VersionDirectory::open(&path.join("identity"), "identity")?;
    if let Some((_, body)) = folder.newest_valid()? {
        if let Ok(bytes) = body.as_slice().try_into() {
            return Ok(u64::from_le_bytes(bytes));
        }
    }
    let number = random_number();
    folder.write(VersionName { epoch: 0, sequence: 1 }, &number.to_le_bytes())?;
    Ok(number)
}
