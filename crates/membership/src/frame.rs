//! Framing of datagrams between gateways: kind, checksum and body. The sender is identified by its source address,
//! which the checksum verifies.

use crate::MemberIndex;
use std::fmt::{Display, Formatter};

/// Largest datagram that the protocol allows between gateways, in bytes; a longer one makes a test run invalid.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Size of the frame header: one byte of version and kind, four bytes of checksum.
pub const HEADER_BYTES: usize = 5;
/// Largest body of a frame. Every byte sent counts as cost of the sender.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;
/// Protocol version, in the upper four bits of the first byte; the lower four hold the kind.
const VERSION: u8 = 0xf0;

/// What the body of a frame contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// Probes, acknowledgements and gossip about members.
    Membership,
    /// A member's own sums, sent to the owner of these counts.
    CountUpdates,
    /// The totals with which the owner of the counts replies.
    CountTotals,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Shorter than a frame header.
    TooShort,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Another version of this protocol, or a different protocol.
    UnsupportedVersion,
    /// Corrupted in transit, sent within a deployment of another size, or by another member than its source address
    /// says.
    ChecksumMismatch,
    /// The kind is not one of [`FrameKind`].
    UnknownKind,
    /// The source address belongs to no member, or to this gateway itself.
    UnknownSender,
    /// The checksum is correct, but the body cannot be decoded or holds invalid values.
    Malformed,
    /// Sent by an earlier generation of the sender, or far behind its latest datagram.
    Stale,
    /// Above the number of datagrams or counts that this gateway accepts.
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

/// A datagram without its header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What the body contains.
    pub kind: FrameKind,
    /// The encoded content, at most [`MAX_BODY_BYTES`] when it is sent.
    pub body: &'a [u8],
}

/// Returns the CRC-32 of kind and body. It also covers the number of members and the sender's index, so that datagrams
/// of another deployment, or of a gateway whose list has a different order, are rejected.
fn checksum(member_count: u16, from: MemberIndex, kind: u8, body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new_with_initial(u32::from(member_count) << 16 | u32::from(from));
    sum.update(&[kind]);
    sum.update(body);
    sum.finalize()
}

impl<'a> Frame<'a> {
    /// Encodes the frame as member `from` sends it. A body above [`MAX_BODY_BYTES`], which no caller builds, is
    /// truncated.
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

    /// Decodes a datagram that arrived from the address of member `from`.
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

/// Returns whether a datagram carries counts, judged by its first byte alone; for tools that observe the traffic.
pub fn is_count_frame(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|kind| matches!(kind ^ VERSION, 2 | 3))
}

#[cfg(test)]
mod tests;
