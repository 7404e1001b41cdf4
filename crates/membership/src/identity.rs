//! Who a member is: its place in the list, and which of its lives.

use crate::MemberIndex;

/// Lives are told in so many bits: milliseconds of Unix time until the year 10889.
pub const GENERATION_BITS: u32 = 48;
/// A member in no zone, or of a zone that is not known.
pub const NO_ZONE: u8 = u8::MAX;

/// A member in one of its lives. A restart at the same address is another life: news of the former one, however late,
/// must not end the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    pub index: MemberIndex,
    /// Unix time of its start in milliseconds; raised where others know a later one.
    pub generation: u64,
    /// Its place among the deployment's zones.
    pub zone: u8,
}

impl Identity {
    /// Somebody at that place, in whichever life.
    pub fn any_generation(index: MemberIndex) -> Self {
        Self { index, generation: 0, zone: NO_ZONE }
    }

    /// The same member in a life after `generation`.
    pub fn with_generation_after(self, generation: u64) -> Self {
        Self { generation: (generation + 1).min((1 << GENERATION_BITS) - 1), ..self }
    }
}

impl foca::Identity for Identity {
    type Addr = MemberIndex;

    /// One that was declared failed while it lived goes on as a new life.
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
