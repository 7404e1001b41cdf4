//! Delta encoding of one text against another: a list of ranges to copy from the old text and of bytes to insert. Texts
//! are split after closing braces, which suits JSON; any bytes are encoded correctly.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// One operation of a delta; the new text is the concatenation of what the operations yield.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaOp {
    /// Copies `length` bytes of the old text, beginning at byte `offset`.
    Copy { offset: u64, length: u64 },
    /// Inserts these bytes.
    Insert(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// The delta was not computed from the text that it was applied to, or its result would be too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the delta does not match the text that it was applied to: request the whole text")]
pub struct DeltaMismatchError;

/// Returns the operations that turn `old` into `new`.
pub fn compute_delta(old: &[u8], new: &[u8]) -> Vec<DeltaOp> {
    let mut offsets: HashMap<&[u8], usize> = HashMap::new();
    let mut offset = 0;
    for chunk in split_chunks(old) {
        offsets.entry(chunk).or_insert(offset);
        offset += chunk.len();
    }
    let mut ops: Vec<DeltaOp> = Vec::new();
    for chunk in split_chunks(new) {
        if let Some(DeltaOp::Copy { offset, length }) = ops.last_mut() {
            let end = (*offset + *length) as usize;
            if old[end..].starts_with(chunk) {
                *length += chunk.len() as u64;
                continue;
            }
        }
        match (offsets.get(chunk), ops.last_mut()) {
            (Some(offset), _) => {
                ops.push(DeltaOp::Copy { offset: *offset as u64, length: chunk.len() as u64 })
            }
            (None, Some(DeltaOp::Insert(bytes))) => bytes.extend_from_slice(chunk),
            (None, _) => ops.push(DeltaOp::Insert(chunk.to_vec())),
        }
    }
    ops
}

/// Returns the new text that `delta` describes.
///
/// # Errors
/// If an operation copies a range that `old` does not have, or the new text would exceed `max_bytes`.
pub fn apply_delta(old: &[u8], delta: &[DeltaOp], max_bytes: usize) -> Result<Vec<u8>, DeltaMismatchError> {
    let mut new = Vec::new();
    for op in delta {
        let bytes = match op {
            DeltaOp::Insert(bytes) => bytes.as_slice(),
            DeltaOp::Copy { offset, length } => {
                let start = usize::try_from(*offset).map_err(|_| DeltaMismatchError)?;
                let length = usize::try_from(*length).map_err(|_| DeltaMismatchError)?;
                let end = start.checked_add(length).ok_or(DeltaMismatchError)?;
                old.get(start..end).ok_or(DeltaMismatchError)?
            }
        };
        if new.len() + bytes.len() > max_bytes {
            return Err(DeltaMismatchError);
        }
        new.extend_from_slice(bytes);
    }
    Ok(new)
}

fn split_chunks(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == b'}')
}
