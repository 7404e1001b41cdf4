//! The binary frames of the benchmark protocol, all integers little-endian.
//!
//! A frame of events is a header, records of a fixed size, and a tail that records point into for variable parts. A
//! frame of actions is a shorter header and records of a fixed size.

use std::io::{self, Read};

/// Bytes of the header of an event frame: number, length of what follows, count of records, clock.
const EVENT_HEADER_SIZE: usize = 20;
/// Bytes of the number and the length, which the length does not count.
const PREFIX_SIZE: usize = 8;
/// Bytes of the header of an action frame: number, length of what follows, count of records.
const ACTION_HEADER_SIZE: usize = 12;
/// Bytes of an event record.
pub const EVENT_SIZE: usize = 48;
/// Bytes of an action record.
pub const ACTION_SIZE: usize = 24;

/// A frame of events that happen at the same time.
pub struct Batch {
    /// Number of the frame, which the reply repeats.
    pub number: u32,
    /// Time of the events in microseconds.
    pub clock: u64,
    count: usize,
    body: Vec<u8>,
}

/// One record, and the tail that contains its variable parts. Fields beyond the record's end read as 0.
#[derive(Clone, Copy)]
pub struct Record<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
}

/// Reads a frame, or `None` at the end of the input. A frame that is cut short or inconsistent is an error.
pub fn read(input: &mut impl Read) -> io::Result<Option<Batch>> {
    let mut header = [0; EVENT_HEADER_SIZE];
    let mut read = 0;
    while read < EVENT_HEADER_SIZE {
        match input.read(&mut header[read..])? {
            0 if read == 0 => return Ok(None),
            0 => return Err(malformed(format!("input ends {read} bytes into a header"))),
            n => read += n,
        }
    }
    let header = Record { bytes: &header, tail: &[] };
    let (number, length, count) = (header.u32(0), header.u32(4) as usize, header.u32(8) as usize);
    let Some(rest) =
        length.checked_sub(EVENT_HEADER_SIZE - PREFIX_SIZE).filter(|&rest| rest / EVENT_SIZE >= count)
    else {
        return Err(malformed(format!("batch {number}: {count} records do not fit {length} bytes")));
    };
    let mut body = Vec::new();
    input.take(rest as u64).read_to_end(&mut body)?;
    if body.len() < rest {
        return Err(malformed(format!("batch {number}: input ends {} bytes short", rest - body.len())));
    }
    Ok(Some(Batch { number, clock: header.u64(12), count, body }))
}

fn malformed(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

impl Batch {
    /// Returns the records in their order.
    pub fn records(&self) -> impl Iterator<Item = Record<'_>> {
        let (records, tail) = self.body.split_at(self.count * EVENT_SIZE);
        records.chunks_exact(EVENT_SIZE).map(move |bytes| Record { bytes, tail })
    }
}

impl<'a> Record<'a> {
    /// Returns `N` bytes at an offset, or zeros if the record ends before.
    fn fixed<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(bytes) = self.bytes.get(offset..offset + N) {
            out.copy_from_slice(bytes);
        }
        out
    }

    /// Returns the `u8` at an offset.
    pub fn u8(&self, offset: usize) -> u8 {
        self.fixed::<1>(offset)[0]
    }

    /// Returns the `u16` at an offset.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.fixed(offset))
    }

    /// Returns the `u32` at an offset.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.fixed(offset))
    }

    /// Returns the `u64` at an offset.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.fixed(offset))
    }

    /// Returns the `f32` at an offset.
    pub fn f32(&self, offset: usize) -> f32 {
        f32::from_le_bytes(self.fixed(offset))
    }

    /// Returns the list that the field at `offset` points to (start in the tail, number of items), as records of
    /// `size` bytes; `None` if it is out of bounds.
    pub fn items(&self, offset: usize, size: usize) -> Option<impl Iterator<Item = Record<'a>>> {
        let (start, count) = (self.u32(offset) as usize, self.u32(offset + 4) as usize);
        let end = count.checked_mul(size)?.checked_add(start)?;
        let part = self.tail.get(start..end)?;
        Some(part.chunks_exact(size).map(|bytes| Record { bytes, tail: &[] }))
    }

    /// Returns the bytes that the field at `offset` points to (start in the tail, length); `None` if out of bounds.
    pub fn bytes(&self, offset: usize) -> Option<&'a [u8]> {
        let (start, length) = (self.u32(offset) as usize, self.u32(offset + 4) as usize);
        self.tail.get(start..start.checked_add(length)?)
    }
}

/// A frame of actions under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
}

impl Reply {
    /// Appends a record: its code, its fields without gaps, and zeros up to the size of a record.
    pub fn push(&mut self, code: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_SIZE;
        self.records.extend_from_slice(&code.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// Returns the frame that answers batch `number`, and starts an empty one.
    pub fn finish(&mut self, number: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(ACTION_HEADER_SIZE + self.records.len());
        frame.extend_from_slice(&number.to_le_bytes());
        frame.extend_from_slice(
            &(self.records.len() as u32 + (ACTION_HEADER_SIZE - PREFIX_SIZE) as u32).to_le_bytes(),
        );
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.append(&mut self.records);
        self.count = 0;
        frame
    }
}

#[cfg(test)]
mod tests;
