//! Zlib compression of long byte strings, with a size limit on decompression, and a checksum.

use std::io::{Read, Write};

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;

/// Favours speed over size: senders have only a fraction of a core for this.
const COMPRESSION_LEVEL: u32 = 3;

/// The bytes were not produced by [`compress`], or decompress to more than is allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecompressError {
    /// The bytes are not a valid zlib stream; holds the decoder's message.
    #[error("compressed bytes cannot be decoded ({0}): run the same version of all programs")]
    Corrupt(String),
    /// The stream decompresses to more than this number of bytes.
    #[error(
        "compressed bytes expand to more than the limit of {0} bytes: the sender is not one of our programs"
    )]
    TooLarge(usize),
}

/// Compresses `bytes` into a zlib stream.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::new(COMPRESSION_LEVEL));
    // Writing to memory does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Decompresses a zlib stream.
///
/// # Errors
/// If the stream is invalid, or expands to more than `max_bytes`.
pub fn decompress(bytes: &[u8], max_bytes: usize) -> Result<Vec<u8>, DecompressError> {
    let mut decompressed = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(max_bytes as u64 + 1);
    decoder.read_to_end(&mut decompressed).map_err(|reason| DecompressError::Corrupt(reason.to_string()))?;
    match decompressed.len() > max_bytes {
        true => Err(DecompressError::TooLarge(max_bytes)),
        false => Ok(decompressed),
    }
}

/// Returns the CRC-32 of `bytes`, which detects corruption but no tampering.
pub fn checksum(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}
