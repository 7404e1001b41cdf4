//! The identity of a process's disk: drawn once, kept on the disk.

use std::path::Path;

use fennelgauge_coordination::Identity;
use fennelgauge_settings::Settings;
use fennelgauge_versions::{VersionDirectory, VersionName};

/// A number that nobody else draws.
pub fn random_number() -> u64 {
    getrandom::u64().unwrap_or_else(|_| u64::from(std::process::id()))
}

/// The identity of this process's disk; a new one where the disk is empty or absent.
pub fn identity(settings: &Settings) -> anyhow::Result<Identity> {
    let disk = match &settings.data_dir {
        Some(path) => kept(path)?,
        None => random_number(),
    };
    Ok(Identity { node: settings.node.clone(), disk })
}

fn kept(path: &Path) -> anyhow::Result<u64> {
    let folder = VersionDirectory::open(&path.join("identity"), "identity")?;
    if let Some((_, body)) = folder.newest_valid()? {
        if let Ok(bytes) = body.as_slice().try_into() {
            return Ok(u64::from_le_bytes(bytes));
        }
    }
    let drawn = random_number();
    folder.write(VersionName { epoch: 0, sequence: 1 }, &drawn.to_le_bytes())?;
    Ok(drawn)
}
