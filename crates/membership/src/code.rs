//! Identities and members as bytes of fixed size, most significant first, for the library that keeps the membership.

use crate::identity::{Identity, LIFE_BITS};
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};
use std::fmt::{Display, Formatter};

const IDENTITY: usize = 9;
const MEMBER: usize = IDENTITY + 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wrong {
    /// There is no room for it, or too little has come.
    Short,
    /// A tag that stands for nothing.
    Tag(u8),
}

impl Display for Wrong {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Short => out.write_str("too short"),
            Self::Tag(tag) => write!(out, "unknown tag {tag}"),
        }
    }
}

impl std::error::Error for Wrong {}

pub struct Code;

fn put(identity: &Identity, out: &mut impl BufMut) {
    out.put_u16(identity.number);
    out.put_uint(identity.life, LIFE_BITS as usize / 8);
    out.put_u8(identity.zone);
}

fn take(from: &mut impl Buf) -> Result<Identity, Wrong> {
    if from.remaining() < IDENTITY {
        return Err(Wrong::Short);
    }
    Ok(Identity { number: from.get_u16(), life: from.get_uint(LIFE_BITS as usize / 8), zone: from.get_u8() })
}

/// A message's tag, and what it carries besides: another member, and the number of the probe.
fn parts(message: &Message<Identity>) -> (u8, Option<&Identity>, Option<u8>) {
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

fn message(tag: u8, from: &mut impl Buf) -> Result<Message<Identity>, Wrong> {
    let probe = |from: &mut dyn Buf| match from.remaining() {
        0 => Err(Wrong::Short),
        _ => Ok(from.get_u8()),
    };
    Ok(match tag {
        0 => Message::Ping(probe(from)?),
        1 => Message::Ack(probe(from)?),
        2 => Message::PingReq { target: take(from)?, probe_number: probe(from)? },
        3 => Message::IndirectPing { origin: take(from)?, probe_number: probe(from)? },
        4 => Message::IndirectAck { target: take(from)?, probe_number: probe(from)? },
        5 => Message::ForwardedAck { origin: take(from)?, probe_number: probe(from)? },
        6 => Message::Announce,
        7 => Message::Feed,
        8 => Message::Gossip,
        9 => Message::Broadcast,
        10 => Message::TurnUndead,
        tag => return Err(Wrong::Tag(tag)),
    })
}

impl Codec<Identity> for Code {
    type Error = Wrong;

    fn encode_header(&mut self, header: &Header<Identity>, mut buf: impl BufMut) -> Result<(), Wrong> {
        let (tag, other, probe) = parts(&header.message);
        let needed = 2 * IDENTITY + 3 + other.map_or(0, |_| IDENTITY) + probe.map_or(0, |_| 1);
        if buf.remaining_mut() < needed {
            return Err(Wrong::Short);
        }
        put(&header.src, &mut buf);
        buf.put_u16(header.src_incarnation);
        put(&header.dst, &mut buf);
        buf.put_u8(tag);
        if let Some(other) = other {
            put(other, &mut buf);
        }
        if let Some(probe) = probe {
            buf.put_u8(probe);
        }
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<Identity>, Wrong> {
        let src = take(&mut buf)?;
        if buf.remaining() < 2 {
            return Err(Wrong::Short);
        }
        let src_incarnation = buf.get_u16();
        let dst = take(&mut buf)?;
        if buf.remaining() < 1 {
            return Err(Wrong::Short);
        }
        let tag = buf.get_u8();
        Ok(Header { src, src_incarnation, dst, message: message(tag, &mut buf)? })
    }

    fn encode_member(&mut self, member: &Member<Identity>, mut buf: impl BufMut) -> Result<(), Wrong> {
        if buf.remaining_mut() < MEMBER {
            return Err(Wrong::Short);
        }
        put(member.id(), &mut buf);
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<Identity>, Wrong> {
        let id = take(&mut buf)?;
        if buf.remaining() < 3 {
            return Err(Wrong::Short);
        }
        let incarnation = buf.get_u16();
        let state = match buf.get_u8() {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            tag => return Err(Wrong::Tag(tag)),
        };
        Ok(Member::new(id, incarnation, state))
    }
}

/// A message that also tells its receiver, or whoever it asks to try, that a member is suspected: the member answers
/// with a later incarnation, and nobody's word is needed but its own.
pub fn asking(own: Identity, to: Identity, suspect: &Member<Identity>) -> Result<Vec<u8>, Wrong> {
    // Of no probe that anybody waits for: the answer counts by whom it is from.
    let probe_number = 0;
    let message = if to.number == suspect.id().number {
        Message::Ping(probe_number)
    } else {
        Message::PingReq { target: *suspect.id(), probe_number }
    };
    let mut out = Vec::new();
    // An incarnation that is not the latest says nothing: the receivers know better.
    Code.encode_header(&Header { src: own, src_incarnation: 0, dst: to, message }, &mut out)?;
    out.put_u16(1);
    Code.encode_member(suspect, &mut out)?;
    Ok(out)
}

/// A message, before anything is made of it.
pub struct Opened<'a> {
    bytes: &'a [u8],
    header: Header<Identity>,
    /// Those that it tells of.
    members: Vec<Member<Identity>>,
    /// Where they begin among its bytes.
    begin: usize,
}

impl<'a> Opened<'a> {
    pub fn new(bytes: &'a [u8]) -> Result<Self, Wrong> {
        let mut rest = bytes;
        let header = Code.decode_header(&mut rest)?;
        let carries = !matches!(header.message, Message::Announce | Message::TurnUndead | Message::Broadcast);
        let told = if carries && rest.remaining() >= 2 { rest.get_u16() } else { 0 };
        let begin = bytes.len() - rest.remaining();
        let members: Result<Vec<_>, Wrong> = (0..told).map(|_| Code.decode_member(&mut rest)).collect();
        Ok(Self { bytes, header, members: members?, begin })
    }

    /// Whom it is from and for, and the members that it names.
    pub fn named(&self) -> Vec<Identity> {
        let mut named = vec![self.header.src, self.header.dst];
        named.extend(parts(&self.header.message).1);
        named.extend(self.members.iter().map(|member| *member.id()));
        named
    }

    /// Those that it says to be alive, its sender first.
    pub fn alive(&self) -> impl Iterator<Item = Member<Identity>> + '_ {
        let sender = Member::new(self.header.src, self.header.src_incarnation, State::Alive);
        let alive = self.members.iter().filter(|member| member.state() == State::Alive);
        std::iter::once(sender).chain(alive.cloned())
    }

    /// The message with those members only suspected that it holds to be down and `doubted` doubts. What a member says
    /// of itself is not doubted.
    pub fn with_doubts(&self, doubted: impl Fn(&Member<Identity>) -> bool) -> Result<Vec<u8>, Wrong> {
        let (head, mut tail) = self.bytes.split_at(self.begin);
        let mut out = head.to_vec();
        for member in &self.members {
            tail.advance(MEMBER);
            let (id, incarnation) = (*member.id(), member.incarnation());
            let others = member.state() == State::Down && id.number != self.header.src.number;
            let state = if others && doubted(member) { State::Suspect } else { member.state() };
            Code.encode_member(&Member::new(id, incarnation, state), &mut out)?;
        }
        out.extend(tail);
        Ok(out)
    }
}

#[cfg(test)]
mod tests;
