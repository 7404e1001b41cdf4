//! What turns one text into another: ranges of the old one, and what is new. Texts are cut after closing braces, as JSON has them;
//! any bytes will do.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// A part of the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaOp {
    /// So many bytes of the old text, from there on.
    Copy {
        offset: u64,
        length: u64,
    },
    Insert(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// A delta does not belong to the text that it was applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change does not fit the text that it is for: ask for the whole text")]
pub struct DeltaMismatchError;

/// The parts of `new`, by what it has in common with `old`.
pub fn compute_delta(old: &[u8], new: &[u8]) -> Vec<DeltaOp> {
    let mut places: HashMap<&[u8], usize> = HashMap::new();
    let mut place = 0;
    for piece in pieces(old) {
        places.entry(piece).or_insert(place);
        place += piece.len();
    }
    let mut parts: Vec<DeltaOp> = Vec::new();
    for piece in pieces(new) {
        if let Some(DeltaOp::Copy { offset: from, length }) = parts.last_mut() {
            let next = (*from + *length) as usize;
            if old[next..].starts_with(piece) {
                *length += piece.len() as u64;
                continue;
            }
        }
        match (places.get(piece), parts.last_mut()) {
            (Some(from), _) => parts.push(DeltaOp::Copy { offset: *from as u64, length: piece.len() as u64 }),
            (None, Some(DeltaOp::Insert(bytes))) => bytes.extend_from_slice(piece),
            (None, _) => parts.push(DeltaOp::Insert(piece.to_vec())),
        }
    }
    parts
}

/// The new text.
///
/// # Errors
/// If a part names what the old text does not have, or the new one would be longer than `most` bytes.
pub fn apply_delta(old: &[u8], parts: &[DeltaOp], most: usize) -> Result<Vec<u8>, DeltaMismatchError> {
    let mut new = Vec::new();
    for part in parts {
        let bytes = match part {
            DeltaOp::Insert(bytes) => bytes.as_slice(),
            DeltaOp::Copy { offset: from, length } => {
                let from = usize::try_from(*from).map_err(|_| DeltaMismatchError)?;
                let length = usize::try_from(*length).map_err(|_| DeltaMismatchError)?;
                let end = from.checked_add(length).ok_or(DeltaMismatchError)?;
                old.get(from..end).ok_or(DeltaMismatchError)?
            }
        };
        if new.len() + bytes.len() > most {
            return Err(DeltaMismatchError);
        }
        new.extend_from_slice(bytes);
    }
    Ok(new)
}

fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == b'}')
}
