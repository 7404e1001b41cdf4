//! The texts of configurations that a process has, and how it sends the newest one to a watcher: by its changes where it has the watcher's,
//! too. What was packed once is sent to all who have the same.

use std::collections::{HashMap, VecDeque};

use fennelgauge_encoding::{
    apply_delta, checksum, compress, compute_delta, decode, decompress, encode, DeltaOp,
};
use fennelgauge_wire::ConfigurationUpdate;

/// Earlier texts that a source keeps, and how many bytes of them.
const EARLIER: usize = 12;
const EARLIER_BYTES: usize = 6 << 20;
/// No configuration is longer.
const MOST_BYTES: usize = 64 << 20;

/// Why news of a configuration cannot be read. The whole text is asked for then.
#[derive(Debug, thiserror::Error)]
pub enum NewsError {
    #[error("its changes are for generation {base}, {own} is here: the whole text is asked for")]
    OtherBase { base: u64, own: u64 },
    #[error("{0}")]
    Packed(#[from] fennelgauge_encoding::DecompressError),
    #[error("{0}")]
    Undecoded(#[from] fennelgauge_encoding::DecodeError),
    #[error("{0}")]
    Misfit(#[from] fennelgauge_encoding::DeltaMismatchError),
    #[error("it is not the text that was sent: the whole text is asked for")]
    Garbled,
}

/// ConfigurationTexts by generation.
#[derive(Default)]
pub struct ConfigurationTexts {
    generation: u64,
    newest: Vec<u8>,
    /// Oldest first; kept by sources only.
    earlier: VecDeque<(u64, Vec<u8>)>,
    keeps_earlier: bool,
    /// The newest text as it is sent, by the generation that a watcher has.
    sent: HashMap<Option<u64>, ConfigurationUpdate>,
}

impl ConfigurationTexts {
    /// Of a source.
    pub fn with_earlier() -> Self {
        Self { keeps_earlier: true, ..Self::default() }
    }

    /// Of the newest text; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Another text is the newest.
    pub fn put(&mut self, generation: u64, json: Vec<u8>) {
        let before = std::mem::replace(&mut self.newest, json);
        if self.keeps_earlier && self.generation > 0 {
            self.earlier.push_back((self.generation, before));
        }
        let bytes =
            |earlier: &VecDeque<(u64, Vec<u8>)>| earlier.iter().map(|(_, text)| text.len()).sum::<usize>();
        while self.earlier.len() > EARLIER || bytes(&self.earlier) > EARLIER_BYTES {
            self.earlier.pop_front();
        }
        self.generation = generation;
        self.sent.clear();
    }

    /// The newest text for a watcher that has that generation.
    pub fn news(&mut self, have: u64) -> ConfigurationUpdate {
        let base = self.earlier.iter().find(|(generation, _)| *generation == have);
        let key = base.map(|(generation, _)| *generation);
        if let Some(sent) = self.sent.get(&key) {
            return sent.clone();
        }
        let body = match base {
            Some((_, text)) => compress(&encode(&compute_delta(text, &self.newest))),
            None => compress(&self.newest),
        };
        let news = ConfigurationUpdate {
            generation: self.generation,
            base_generation: key,
            checksum: checksum(&self.newest),
            compressed: body,
        };
        self.sent.insert(key, news.clone());
        news
    }

    /// The text that a source has sent.
    pub fn read(&self, news: &ConfigurationUpdate) -> Result<Vec<u8>, NewsError> {
        let body = decompress(&news.compressed, MOST_BYTES)?;
        let text = match news.base_generation {
            None => body,
            Some(base) if base == self.generation => {
                let parts: Vec<DeltaOp> = decode(&body)?;
                apply_delta(&self.newest, &parts, MOST_BYTES)?
            }
            Some(base) => return Err(NewsError::OtherBase { base, own: self.generation }),
        };
        match checksum(&text) == news.checksum {
            true => Ok(text),
            false => Err(NewsError::Garbled),
        }
    }
}

#[cfg(test)]
mod tests;
