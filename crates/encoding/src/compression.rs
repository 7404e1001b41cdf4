//! Long bytes made short for links, and made long again within a bound.

use std::io::{Read, Write};

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;

/// Quick rather than small: sources have a part of a core.
const LEVEL: u32 = 3;

/// Bytes that were not packed by [`packed`], or are longer than allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecompressError {
    #[error("packed bytes cannot be read ({0}): run one version of the programs everywhere")]
    Corrupt(String),
    #[error("packed bytes hold more than {0} bytes: the sender is not one of ours")]
    TooLarge(usize),
}

/// The bytes, packed.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::new(LEVEL));
    // Writing to memory does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// The bytes that were packed.
///
/// # Errors
/// If they cannot be read, or are more than `most`.
pub fn decompress(bytes: &[u8], most: usize) -> Result<Vec<u8>, DecompressError> {
    let mut long = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(most as u64 + 1);
    decoder.read_to_end(&mut long).map_err(|reason| DecompressError::Corrupt(reason.to_string()))?;
    match long.len() > most {
        true => Err(DecompressError::TooLarge(most)),
        false => Ok(long),
    }
}

/// Tells texts apart that differ by a fault.
pub fn checksum(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}
