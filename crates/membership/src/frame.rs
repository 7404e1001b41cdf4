//! What a datagram between limiters looks like from outside: of which kind it is, and whether it is whole. Who sent it
//! is told by the address that it came from, and held against the check sum.

use crate::MemberIndex;
use std::fmt::{Display, Formatter};

/// The protocol page's limit: a longer one voids the run.
pub const MAX_DATAGRAM_BYTES: usize = 256;
pub const HEADER_BYTES: usize = 5;
/// What a datagram holds besides its head. A byte is paid for by whoever sends it.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;
/// The upper half of the first byte; the kind is the lower.
const VERSION: u8 = 0xf0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// Probes, answers and news of members.
    Membership,
    /// A member tells the keeper of some counts its own sums.
    CountUpdates,
    /// The keeper tells the totals.
    CountTotals,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    TooShort,
    TooLong,
    /// Another version of this protocol, or none of it.
    UnsupportedVersion,
    /// Its check sum does not fit: garbled on the way, of another fleet, or not from whom its address says.
    ChecksumMismatch,
    UnknownKind,
    /// From an address that is no member's, or this limiter's own.
    UnknownSender,
    /// Whole, but its content makes no sense.
    Malformed,
    /// Of an earlier life of its sender, or long overtaken.
    Stale,
    /// More than this limiter takes in.
    RateLimited,
}

impl Display for RejectReason {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            Self::TooShort => "short",
            Self::TooLong => "long",
            Self::UnsupportedVersion => "version",
            Self::ChecksumMismatch => "garbled",
            Self::UnknownKind => "kind",
            Self::UnknownSender => "stranger",
            Self::Malformed => "unreadable",
            Self::Stale => "old",
            Self::RateLimited => "flood",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub kind: FrameKind,
    pub body: &'a [u8],
}

/// The check sum also covers the size of the fleet and the sender: limiters of another deployment are not understood by
/// accident, nor is one whose list has others at its places.
fn checksum(member_count: u16, from: MemberIndex, kind: u8, body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new_with_initial(u32::from(member_count) << 16 | u32::from(from));
    sum.update(&[kind]);
    sum.update(body);
    sum.finalize()
}

impl<'a> Frame<'a> {
    /// The body is cut at what fits; its makers keep to [`MAX_BODY_BYTES`].
    pub fn encode(&self, member_count: u16, from: MemberIndex) -> Vec<u8> {
        let body = &self.body[..self.body.len().min(MAX_BODY_BYTES)];
        let kind = VERSION
            | match self.kind {
                FrameKind::Membership => 1,
                FrameKind::CountUpdates => 2,
                FrameKind::CountTotals => 3,
            };
        let mut out = Vec::with_capacity(HEADER_BYTES + body.len());
        out.push(kind);
        out.extend(checksum(member_count, from, kind, body).to_be_bytes());
        out.extend(body);
        out
    }

    /// Reads a datagram that came from that member's address.
    pub fn decode(bytes: &'a [u8], member_count: u16, from: MemberIndex) -> Result<Self, RejectReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(RejectReason::TooLong);
        }
        let (Some(head), Some(body)) = (bytes.first_chunk::<HEADER_BYTES>(), bytes.get(HEADER_BYTES..))
        else {
            return Err(RejectReason::TooShort);
        };
        let [kind, sum @ ..] = *head;
        if kind & 0xf0 != VERSION {
            return Err(RejectReason::UnsupportedVersion);
        }
        if u32::from_be_bytes(sum) != checksum(member_count, from, kind, body) {
            return Err(RejectReason::ChecksumMismatch);
        }
        let kind = match kind & 0x0f {
            1 => FrameKind::Membership,
            2 => FrameKind::CountUpdates,
            3 => FrameKind::CountTotals,
            _ => return Err(RejectReason::UnknownKind),
        };
        Ok(Self { kind, body })
    }
}

/// For those who look on from outside: whether a datagram tells counts.
pub fn is_count_frame(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|kind| matches!(kind ^ VERSION, 2 | 3))
}

#[cfg(test)]
mod tests;
