//! Group membership of the gateways: failure detection, the view of each member, and request counts that the members
//! keep among themselves while the shared counter is unavailable.
//!
//! The crate does no I/O: the caller passes in the time, the random seed and received datagrams, and sends the
//! datagrams that [`node::MembershipNode`] returns. `docs/membership.md` describes the purpose and the protocol.

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

/// Position of a member in the deployment's list of gateways, from 0.
pub type MemberIndex = u16;
