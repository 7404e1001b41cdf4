//! Frames: a header, records of one size, a tail.

use std::io::{self, Read};

const HEADER: usize = 20;
pub const EVENT: usize = 48;
pub const ACTION: usize = 24;

pub struct Batch {
    pub number: u32,
    pub clock: u64,
    count: usize,
    body: Vec<u8>,
}

/// One record and the tail that its variable parts stand in.
#[derive(Clone, Copy)]
pub struct Record<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
}

/// Reads a frame; none at the end of input.
pub fn read(input: &mut impl Read) -> io::Result<Option<Batch>> {
    let mut head = [0; HEADER];
    let mut got = 0;
    while got < HEADER {
        match input.read(&mut head[got..])? {
            0 if got == 0 => return Ok(None),
            0 => return Err(malformed(format!("input ends {got} bytes into a header"))),
            n => got += n,
        }
    }
    let head = Record { bytes: &head, tail: &[] };
    let (number, length, count) = (head.u32(0), head.u32(4) as usize, head.u32(8) as usize);
    let Some(rest) = length.checked_sub(HEADER - 8).filter(|&rest| rest / EVENT >= count) else {
        return Err(malformed(format!("batch {number}: {count} records do not fit {length} bytes")));
    };
    let mut body = Vec::new();
    input.take(rest as u64).read_to_end(&mut body)?;
    if body.len() < rest {
        return Err(malformed(format!("batch {number}: input ends {} bytes short", rest - body.len())));
    }
    Ok(Some(Batch { number, clock: head.u64(12), count, body }))
}

fn malformed(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Batch {
    pub fn records(&self) -> impl Iterator<Item = Record<'_>> {
        let (records, tail) = self.body.split_at(self.count * EVENT);
        records.chunks_exact(EVENT).map(move |bytes| Record { bytes, tail })
    }
}

impl<'a> Record<'a> {
    fn fixed<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(bytes) = self.bytes.get(at..at + N) {
            out.copy_from_slice(bytes);
        }
        out
    }

    pub fn u8(&self, at: usize) -> u8 {
        self.fixed::<1>(at)[0]
    }

    pub fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.fixed(at))
    }

    pub fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.fixed(at))
    }

    pub fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.fixed(at))
    }

    pub fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.fixed(at))
    }

    /// The part of the tail that the field at `at` points to, in pieces of `size` bytes.
    pub fn pieces(&self, at: usize, size: usize) -> Option<impl Iterator<Item = Record<'a>>> {
        let (start, count) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let end = count.checked_mul(size)?.checked_add(start)?;
        let part = self.tail.get(start..end)?;
        Some(part.chunks_exact(size).map(|bytes| Record { bytes, tail: &[] }))
    }

    /// The bytes of the tail that the field at `at` points to.
    pub fn bytes(&self, at: usize) -> Option<&'a [u8]> {
        let (start, length) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        self.tail.get(start..start.checked_add(length)?)
    }
}

/// A reply being written.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
}

impl Reply {
    /// Appends one record: its code, its fields back to back, zeros to its size.
    pub fn push(&mut self, code: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.extend_from_slice(&code.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// The frame for batch `number`; the next reply starts empty.
    pub fn finish(&mut self, number: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(12 + self.records.len());
        out.extend_from_slice(&number.to_le_bytes());
        out.extend_from_slice(&(self.records.len() as u32 + 4).to_le_bytes());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.append(&mut self.records);
        self.count = 0;
        out
    }
}

#[cfg(test)]
mod tests;
