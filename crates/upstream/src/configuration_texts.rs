//! The texts of the configurations that a process has, and their encoding for watchers: as a delta if the watcher has
//! a text that is still kept, else in full. Each encoding is cached and sent to all watchers with the same text.

use std::collections::{HashMap, VecDeque};

use fennelgauge_encoding::{
    apply_delta, checksum, compress, compute_delta, decode, decompress, encode, DeltaOp,
};
use fennelgauge_wire::ConfigurationUpdate;

/// Maximum number of earlier texts that a source keeps.
const MAX_EARLIER_TEXTS: usize = 12;
/// Maximum total size of these texts.
const MAX_EARLIER_BYTES: usize = 6 << 20;
/// Size limit for decoded texts.
const MAX_TEXT_BYTES: usize = 64 << 20;

/// Why a configuration update cannot be decoded. The caller then asks for the complete text.
#[derive(Debug, thiserror::Error)]
pub enum UpdateError {
    /// The update is a delta to another text than the newest one of this process.
    #[error(
        "it is a delta to generation {base}, but generation {own} is here; requesting the complete text"
    )]
    BaseMismatch { base: u64, own: u64 },
    /// The update cannot be decompressed.
    #[error("{0}")]
    Decompress(#[from] fennelgauge_encoding::DecompressError),
    /// The delta cannot be decoded.
    #[error("{0}")]
    Decode(#[from] fennelgauge_encoding::DecodeError),
    /// The delta does not fit the text that it is applied to.
    #[error("{0}")]
    DeltaMismatch(#[from] fennelgauge_encoding::DeltaMismatchError),
    /// The decoded text is not the one that was sent.
    #[error("the checksum of the text does not match; requesting the complete text")]
    ChecksumMismatch,
}

/// The newest configuration text and, in a source, some earlier ones.
#[derive(Default)]
pub struct ConfigurationTexts {
    generation: u64,
    newest: Vec<u8>,
    /// Earlier texts by generation, oldest first; empty unless `keeps_earlier`.
    earlier: VecDeque<(u64, Vec<u8>)>,
    keeps_earlier: bool,
    /// Encodings of the newest text, by the generation that a delta is based on.
    encoded: HashMap<Option<u64>, ConfigurationUpdate>,
}

impl ConfigurationTexts {
    /// Creates the texts of a source, which keeps earlier ones.
    pub fn with_earlier() -> Self {
        Self { keeps_earlier: true, ..Self::default() }
    }

    /// Returns the generation of the newest text; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Makes `json` the newest text.
    pub fn put(&mut self, generation: u64, json: Vec<u8>) {
        let previous = std::mem::replace(&mut self.newest, json);
        if self.keeps_earlier && self.generation > 0 {
            self.earlier.push_back((self.generation, previous));
        }
        let total_bytes =
            |earlier: &VecDeque<(u64, Vec<u8>)>| earlier.iter().map(|(_, text)| text.len()).sum::<usize>();
        while self.earlier.len() > MAX_EARLIER_TEXTS || total_bytes(&self.earlier) > MAX_EARLIER_BYTES {
            self.earlier.pop_front();
        }
        self.generation = generation;
        self.encoded.clear();
    }

    /// Encodes the newest text for a watcher that has generation `known`.
    pub fn encode_update(&mut self, known: u64) -> ConfigurationUpdate {
        let base = self.earlier.iter().find(|(generation, _)| *generation == known);
        let base_generation = base.map(|(generation, _)| *generation);
        if let Some(update) = self.encoded.get(&base_generation) {
            return update.clone();
        }
        let compressed = match base {
            Some((_, text)) => compress(&encode(&compute_delta(text, &self.newest))),
            None => compress(&self.newest),
        };
        let update = ConfigurationUpdate {
            generation: self.generation,
            base_generation,
            checksum: checksum(&self.newest),
            compressed,
        };
        self.encoded.insert(base_generation, update.clone());
        update
    }

    /// Returns the text that an update from a source stands for.
    pub fn decode_update(&self, update: &ConfigurationUpdate) -> Result<Vec<u8>, UpdateError> {
        let body = decompress(&update.compressed, MAX_TEXT_BYTES)?;
        let text = match update.base_generation {
            None => body,
            Some(base) if base == self.generation => {
                let delta: Vec<DeltaOp> = decode(&body)?;
                apply_delta(&self.newest, &delta, MAX_TEXT_BYTES)?
            }
            Some(base) => return Err(UpdateError::BaseMismatch { base, own: self.generation }),
        };
        match checksum(&text) == update.checksum {
            true => Ok(text),
            false => Err(UpdateError::ChecksumMismatch),
        }
    }
}

#[cfg(test)]
mod tests;
