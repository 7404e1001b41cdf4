//! What turns one text into another: ranges of the old one, and what is new. Texts are cut after closing braces, as JSON has them;
//! any bytes will do.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// A part of the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// So many bytes of the old text, from there on.
    Kept {
        from: u64,
        length: u64,
    },
    New(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// A delta does not belong to the text that it was applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change does not fit the text that it is for: ask for the whole text")]
pub struct MisfitError;

/// The parts of `new`, by what it has in common with `old`.
pub fn delta(old: &[u8], new: &[u8]) -> Vec<Part> {
    let mut places: HashMap<&[u8], usize> = HashMap::new();
    let mut place = 0;
    for piece in pieces(old) {
        places.entry(piece).or_insert(place);
        place += piece.len();
    }
    let mut parts: Vec<Part> = Vec::new();
    for piece in pieces(new) {
        if let Some(Part::Kept { from, length }) = parts.last_mut() {
            let next = (*from + *length) as usize;
            if old[next..].starts_with(piece) {
                *length += piece.len() as u64;
                continue;
            }
        }
        match (places.get(piece), parts.last_mut()) {
            (Some(from), _) => parts.push(Part::Kept { from: *from as u64, length: piece.len() as u64 }),
            (None, Some(Part::New(bytes))) => bytes.extend_from_slice(piece),
            (None, _) => parts.push(Part::New(piece.to_vec())),
        }
    }
    parts
}

/// The new text.
///
/// # Errors
/// If a part names what the old text does not have, or the new one would be longer than `most` bytes.
pub fn applied(old: &[u8], parts: &[Part], most: usize) -> Result<Vec<u8>, MisfitError> {
    let mut new = Vec::new();
    for part in parts {
        let bytes = match part {
            Part::New(bytes) => bytes.as_slice(),
            Part::Kept { from, length } => {
                let from = usize::try_from(*from).map_err(|_| MisfitError)?;
                let length = usize::try_from(*length).map_err(|_| MisfitError)?;
                let end = from.checked_add(length).ok_or(MisfitError)?;
                old.get(from..end).ok_or(MisfitError)?
            }
        };
        if new.len() + bytes.len() > most {
            return Err(MisfitError);
        }
        new.extend_from_slice(bytes);
    }
    Ok(new)
}

fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == b'}')
}
