//! Values of our own in bincode: in messages, on disks, in copies; long texts by their changes, and packed.

mod compression;
mod delta;

use serde::de::DeserializeOwned;
use serde::Serialize;

pub use compression::{checksum, compress, decompress, DecompressError};
pub use delta::{apply_delta, compute_delta, DeltaMismatchError, DeltaOp};

/// Most values are shorter, and hold no more than this once they are read.
const SHORT_BYTES: usize = 64 << 10;
const SHORT_DECODED_BYTES: usize = 1 << 20;
const MAX_DECODED_BYTES: usize = 192 << 20;

/// The bytes hold no value of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}: run one version of the programs everywhere")]
pub struct DecodeError(String);

fn configuration() -> bincode::config::Configuration {
    bincode::config::standard()
}

/// A value in bincode.
pub fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, configuration()).unwrap_or_default()
}

/// The value that `bytes` hold, all of them. Lengths in the value that its size cannot hold are refused before memory is taken for them.
pub fn decode<V: DeserializeOwned>(bytes: &[u8]) -> Result<V, DecodeError> {
    let decoded = match bytes.len() {
        0..=SHORT_BYTES => {
            bincode::serde::decode_from_slice(bytes, configuration().with_limit::<SHORT_DECODED_BYTES>())
        }
        _ => bincode::serde::decode_from_slice(bytes, configuration().with_limit::<MAX_DECODED_BYTES>()),
    };
    match decoded {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok(_) => Err(DecodeError("bytes are left over".to_owned())),
        Err(reason) => Err(DecodeError(reason.to_string())),
    }
}

#[cfg(test)]
mod tests;
