//! Encoding of `foca` messages: identities and members as big-endian values of fixed size.

use crate::identity::{Identity, GENERATION_BITS};
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};
use std::fmt::{Display, Formatter};

/// Encoded size of an identity: index (2), generation (6), zone (1).
const IDENTITY_BYTES: usize = 9;
/// Encoded size of a member: identity, incarnation (2), state (1).
const MEMBER_BYTES: usize = IDENTITY_BYTES + 3;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CodecError {
    /// The buffer is too small, or the input ends early.
    TooShort,
    /// The tag of a message or of a member's state is not defined.
    UnknownTag(u8),
}

impl Display for CodecError {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooShort => out.write_str("too short"),
            Self::UnknownTag(tag) => write!(out, "unknown tag {tag}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes and decodes message headers and members for `foca`.
pub struct IdentityCodec;

fn write_identity(identity: &Identity, out: &mut impl BufMut) {
    out.put_u16(identity.index);
    out.put_uint(identity.generation, GENERATION_BITS as usize / 8);
    out.put_u8(identity.zone);
}

fn read_identity(from: &mut impl Buf) -> Result<Identity, CodecError> {
    if from.remaining() < IDENTITY_BYTES {
        return Err(CodecError::TooShort);
    }
    Ok(Identity {
        index: from.get_u16(),
        generation: from.get_uint(GENERATION_BITS as usize / 8),
        zone: from.get_u8(),
    })
}

/// Returns the tag of a message and its optional fields: a third member and the number of the probe.
fn message_parts(message: &Message<Identity>) -> (u8, Option<&Identity>, Option<u8>) {
    match message {
        Message::Ping(probe) => (0, None, Some(*probe)),
        Message::Ack(probe) => (1, None, Some(*probe)),
        Message::PingReq { target, probe_number } => (2, Some(target), Some(*probe_number)),
        Message::IndirectPing { origin, probe_number } => (3, Some(origin), Some(*probe_number)),
        Message::IndirectAck { target, probe_number } => (4, Some(target), Some(*probe_number)),
        Message::ForwardedAck { origin, probe_number } => (5, Some(origin), Some(*probe_number)),
        Message::Announce => (6, None, None),
        Message::Feed => (7, None, None),
        Message::Gossip => (8, None, None),
        Message::Broadcast => (9, None, None),
        Message::TurnUndead => (10, None, None),
    }
}

fn read_message(tag: u8, from: &mut impl Buf) -> Result<Message<Identity>, CodecError> {
    let probe = |from: &mut dyn Buf| match from.remaining() {
        0 => Err(CodecError::TooShort),
        _ => Ok(from.get_u8()),
    };
    Ok(match tag {
        0 => Message::Ping(probe(from)?),
        1 => Message::Ack(probe(from)?),
        2 => Message::PingReq { target: read_identity(from)?, probe_number: probe(from)? },
        3 => Message::IndirectPing { origin: read_identity(from)?, probe_number: probe(from)? },
        4 => Message::IndirectAck { target: read_identity(from)?, probe_number: probe(from)? },
        5 => Message::ForwardedAck { origin: read_identity(from)?, probe_number: probe(from)? },
        6 => Message::Announce,
        7 => Message::Feed,
        8 => Message::Gossip,
        9 => Message::Broadcast,
        10 => Message::TurnUndead,
        tag => return Err(CodecError::UnknownTag(tag)),
    })
}

impl Codec<Identity> for IdentityCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Identity>, mut buf: impl BufMut) -> Result<(), CodecError> {
        let (tag, other, probe) = message_parts(&header.message);
        let needed = 2 * IDENTITY_BYTES + 3 + other.map_or(0, |_| IDENTITY_BYTES) + probe.map_or(0, |_| 1);
        if buf.remaining_mut() < needed {
            return Err(CodecError::TooShort);
        }
        write_identity(&header.src, &mut buf);
        buf.put_u16(header.src_incarnation);
        write_identity(&header.dst, &mut buf);
        buf.put_u8(tag);
        if let Some(other) = other {
            write_identity(other, &mut buf);
        }
        if let Some(probe) = probe {
            buf.put_u8(probe);
        }
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<Identity>, CodecError> {
        let src = read_identity(&mut buf)?;
        if buf.remaining() < 2 {
            return Err(CodecError::TooShort);
        }
        let src_incarnation = buf.get_u16();
        let dst = read_identity(&mut buf)?;
        if buf.remaining() < 1 {
            return Err(CodecError::TooShort);
        }
        let tag = buf.get_u8();
        Ok(Header { src, src_incarnation, dst, message: read_message(tag, &mut buf)? })
    }

    fn encode_member(&mut self, member: &Member<Identity>, mut buf: impl BufMut) -> Result<(), CodecError> {
        if buf.remaining_mut() < MEMBER_BYTES {
            return Err(CodecError::TooShort);
        }
        write_identity(member.id(), &mut buf);
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<Identity>, CodecError> {
        let id = read_identity(&mut buf)?;
        if buf.remaining() < 3 {
            return Err(CodecError::TooShort);
        }
        let incarnation = buf.get_u16();
        let state = match buf.get_u8() {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            tag => return Err(CodecError::UnknownTag(tag)),
        };
        Ok(Member::new(id, incarnation, state))
    }
}

/// Encodes a probe that carries the suspicion about `suspect`: a direct one if `to` is the suspect, else a request for
/// an indirect one. The suspect refutes it with a higher incarnation, which needs no other member's confirmation.
pub fn encode_suspicion_probe(
    own: Identity,
    to: Identity,
    suspect: &Member<Identity>,
) -> Result<Vec<u8>, CodecError> {
    // No probe with this number is pending: the reply counts by its sender.
    let probe_number = 0;
    let message = if to.index == suspect.id().index {
        Message::Ping(probe_number)
    } else {
        Message::PingReq { target: *suspect.id(), probe_number }
    };
    let mut out = Vec::new();
    // Receivers ignore an incarnation that is not the sender's latest.
    IdentityCodec.encode_header(&Header { src: own, src_incarnation: 0, dst: to, message }, &mut out)?;
    out.put_u16(1);
    IdentityCodec.encode_member(suspect, &mut out)?;
    Ok(out)
}

/// A decoded `foca` message that has not been processed yet.
pub struct ParsedMessage<'a> {
    bytes: &'a [u8],
    header: Header<Identity>,
    /// Members whose states the message reports.
    members: Vec<Member<Identity>>,
    /// Offset of the encoded members in `bytes`.
    members_offset: usize,
}

impl<'a> ParsedMessage<'a> {
    /// Decodes the header and the members of a message.
    pub fn new(bytes: &'a [u8]) -> Result<Self, CodecError> {
        let mut rest = bytes;
        let header = IdentityCodec.decode_header(&mut rest)?;
        let has_members =
            !matches!(header.message, Message::Announce | Message::TurnUndead | Message::Broadcast);
        let member_total = if has_members && rest.remaining() >= 2 { rest.get_u16() } else { 0 };
        let members_offset = bytes.len() - rest.remaining();
        let members: Result<Vec<_>, CodecError> =
            (0..member_total).map(|_| IdentityCodec.decode_member(&mut rest)).collect();
        Ok(Self { bytes, header, members: members?, members_offset })
    }

    /// Returns all identities in the message: first the sender, then the receiver, then all others.
    pub fn mentioned(&self) -> Vec<Identity> {
        let mut mentioned = vec![self.header.src, self.header.dst];
        mentioned.extend(message_parts(&self.header.message).1);
        mentioned.extend(self.members.iter().map(|member| *member.id()));
        mentioned
    }

    /// Returns the members that the message reports alive, the sender first.
    pub fn alive(&self) -> impl Iterator<Item = Member<Identity>> + '_ {
        let sender = Member::new(self.header.src, self.header.src_incarnation, State::Alive);
        let alive = self.members.iter().filter(|member| member.state() == State::Alive);
        std::iter::once(sender).chain(alive.cloned())
    }

    /// Re-encodes the message with those members as suspects that it reports down and for which `is_doubted` returns
    /// true. A member's report about itself stays.
    pub fn with_doubted_failures(
        &self,
        is_doubted: impl Fn(&Member<Identity>) -> bool,
    ) -> Result<Vec<u8>, CodecError> {
        let (head, mut tail) = self.bytes.split_at(self.members_offset);
        let mut out = head.to_vec();
        for member in &self.members {
            tail.advance(MEMBER_BYTES);
            let (id, incarnation) = (*member.id(), member.incarnation());
            let is_other_down = member.state() == State::Down && id.index != self.header.src.index;
            let state = if is_other_down && is_doubted(member) { State::Suspect } else { member.state() };
            IdentityCodec.encode_member(&Member::new(id, incarnation, state), &mut out)?;
        }
        out.extend(tail);
        Ok(out)
    }
}

#[cfg(test)]
mod tests;
