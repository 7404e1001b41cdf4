//! Identity of a member: its index in the list and its generation.

use crate::MemberIndex;

/// Width of a generation on the wire: enough for milliseconds of Unix time until the year 10889.
pub const GENERATION_BITS: u32 = 48;
/// Value of [`Identity::zone`] for a member without a zone or with an unknown one.
pub const NO_ZONE: u8 = u8::MAX;

/// One generation of a member. A restart at the same address begins a new generation, so that a late report about the
/// previous one cannot declare the running process failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Position in the deployment's list.
    pub index: MemberIndex,
    /// Start time in milliseconds of Unix time; raised if other members know a later generation of this one.
    pub generation: u64,
    /// Index of its zone among the deployment's zones, or [`NO_ZONE`].
    pub zone: u8,
}

impl Identity {
    /// Addresses a member whose generation is not known.
    pub fn any_generation(index: MemberIndex) -> Self {
        Self { index, generation: 0, zone: NO_ZONE }
    }

    /// Returns the same member with the generation that follows `generation`.
    pub fn with_generation_after(self, generation: u64) -> Self {
        Self { generation: (generation + 1).min((1 << GENERATION_BITS) - 1), ..self }
    }
}

impl foca::Identity for Identity {
    type Addr = MemberIndex;

    /// Returns the identity under which a member continues that was declared failed while it ran.
    fn renew(&self) -> Option<Self> {
        Some(self.with_generation_after(self.generation))
    }

    fn addr(&self) -> MemberIndex {
        self.index
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.generation > adversary.generation
    }
}
