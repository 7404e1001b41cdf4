//! What a datagram between limiters looks like from outside: of which kind it is, and whether it is whole. Who sent it
//! is told by the address that it came from, and held against the check sum.

use crate::Number;
use std::fmt::{Display, Formatter};

/// The protocol page's limit: a longer one voids the run.
pub const MOST: usize = 256;
pub const HEAD: usize = 5;
/// What a datagram holds besides its head. A byte is paid for by whoever sends it.
pub const ROOM: usize = MOST - HEAD;
/// The upper half of the first byte; the kind is the lower.
const VERSION: u8 = 0xf0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Probes, answers and news of members.
    Members,
    /// A member tells the keeper of some counts its own sums.
    Sums,
    /// The keeper tells the totals.
    Totals,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    Short,
    Long,
    /// Another version of this protocol, or none of it.
    Version,
    /// Its check sum does not fit: garbled on the way, of another fleet, or not from whom its address says.
    Garbled,
    Kind,
    /// From an address that is no member's, or this limiter's own.
    Stranger,
    /// Whole, but its content makes no sense.
    Unreadable,
    /// Of an earlier life of its sender, or long overtaken.
    Old,
    /// More than this limiter takes in.
    Flood,
}

impl Display for Refused {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            Self::Short => "short",
            Self::Long => "long",
            Self::Version => "version",
            Self::Garbled => "garbled",
            Self::Kind => "kind",
            Self::Stranger => "stranger",
            Self::Unreadable => "unreadable",
            Self::Old => "old",
            Self::Flood => "flood",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub kind: Kind,
    pub body: &'a [u8],
}

/// The check sum also covers the size of the fleet and the sender: limiters of another deployment are not understood by
/// accident, nor is one whose list has others at its places.
fn check(fleet: u16, from: Number, kind: u8, body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new_with_initial(u32::from(fleet) << 16 | u32::from(from));
    sum.update(&[kind]);
    sum.update(body);
    sum.finalize()
}

impl<'a> Frame<'a> {
    /// The body is cut at what fits; its makers keep to [`ROOM`].
    pub fn encode(&self, fleet: u16, from: Number) -> Vec<u8> {
        let body = &self.body[..self.body.len().min(ROOM)];
        let kind = VERSION
            | match self.kind {
                Kind::Members => 1,
                Kind::Sums => 2,
                Kind::Totals => 3,
            };
        let mut out = Vec::with_capacity(HEAD + body.len());
        out.push(kind);
        out.extend(check(fleet, from, kind, body).to_be_bytes());
        out.extend(body);
        out
    }

    /// Reads a datagram that came from that member's address.
    pub fn decode(bytes: &'a [u8], fleet: u16, from: Number) -> Result<Self, Refused> {
        if bytes.len() > MOST {
            return Err(Refused::Long);
        }
        let (Some(head), Some(body)) = (bytes.first_chunk::<HEAD>(), bytes.get(HEAD..)) else {
            return Err(Refused::Short);
        };
        let [kind, sum @ ..] = *head;
        if kind & 0xf0 != VERSION {
            return Err(Refused::Version);
        }
        if u32::from_be_bytes(sum) != check(fleet, from, kind, body) {
            return Err(Refused::Garbled);
        }
        let kind = match kind & 0x0f {
            1 => Kind::Members,
            2 => Kind::Sums,
            3 => Kind::Totals,
            _ => return Err(Refused::Kind),
        };
        Ok(Self { kind, body })
    }
}

/// For those who look on from outside: whether a datagram tells counts.
pub fn tells_counts(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|kind| matches!(kind ^ VERSION, 2 | 3))
}

#[cfg(test)]
mod tests;
