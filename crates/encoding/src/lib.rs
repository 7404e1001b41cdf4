//! Encoding of the values that our programs exchange and store: bincode with bounded memory when decoding, delta encoding
//! of long texts, and compression.

mod compression;
mod delta;

use serde::de::DeserializeOwned;
use serde::Serialize;

pub use compression::{checksum, compress, decompress, DecompressError};
pub use delta::{apply_delta, compute_delta, DeltaMismatchError, DeltaOp};

/// Input up to this length, as most is, is decoded within [`SHORT_DECODED_BYTES`] of memory.
const SHORT_BYTES: usize = 64 << 10;
const SHORT_DECODED_BYTES: usize = 1 << 20;
/// Memory limit for decoding longer input.
const MAX_DECODED_BYTES: usize = 192 << 20;

/// The bytes are not the encoding of exactly one value of the expected type; holds the decoder's reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}: run the same version of all programs")]
pub struct DecodeError(String);

fn configuration() -> bincode::config::Configuration {
    bincode::config::standard()
}

/// Encodes a value in bincode. Returns no bytes if its `Serialize` implementation fails.
pub fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, configuration()).unwrap_or_default()
}

/// Decodes the value that `bytes` encode. Length prefixes that exceed the memory limit for input of this size are rejected
/// before memory is allocated for them.
///
/// # Errors
/// If `bytes` do not encode a value of this type, or bytes remain after it.
pub fn decode<V: DeserializeOwned>(bytes: &[u8]) -> Result<V, DecodeError> {
    let decoded = match bytes.len() {
        0..=SHORT_BYTES => {
            bincode::serde::decode_from_slice(bytes, configuration().with_limit::<SHORT_DECODED_BYTES>())
        }
        _ => bincode::serde::decode_from_slice(bytes, configuration().with_limit::<MAX_DECODED_BYTES>()),
    };
    match decoded {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok(_) => Err(DecodeError("bytes remain after the value".to_owned())),
        Err(reason) => Err(DecodeError(reason.to_string())),
    }
}

#[cfg(test)]
mod tests;
