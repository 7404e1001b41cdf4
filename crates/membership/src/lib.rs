//! Limiters that know each other: who is there, who failed, what to do while they disagree, and counts told among
//! them while the shared counter cannot serve. Pure: no sockets, time and chance handed in. What is to be sent is
//! taken out as datagrams, what came in is handed in; `docs/membership.md` tells what it is for.

pub mod clock;
mod codec;
pub mod counting;
pub mod frame;
pub mod identity;
pub mod members;
pub mod node;
pub mod shares;
pub mod token_bucket;
pub mod view;

/// A limiter by its place in the deployment's list, from 0.
pub type MemberIndex = u16;
