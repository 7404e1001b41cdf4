//! Who a member is: its place in the list, and which of its lives.

use crate::Number;

/// Lives are told in so many bits: milliseconds of Unix time until the year 10889.
pub const LIFE_BITS: u32 = 48;
/// A member in no zone, or of a zone that is not known.
pub const NO_ZONE: u8 = u8::MAX;

/// A member in one of its lives. A restart at the same address is another life: news of the former one, however late,
/// must not end the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    pub number: Number,
    /// Unix time of its start in milliseconds; raised where others know a later one.
    pub life: u64,
    /// Its place among the deployment's zones.
    pub zone: u8,
}

impl Identity {
    /// Somebody at that place, in whichever life.
    pub fn anybody(number: Number) -> Self {
        Self { number, life: 0, zone: NO_ZONE }
    }

    /// The same member in a life after `life`.
    pub fn after(self, life: u64) -> Self {
        Self { life: (life + 1).min((1 << LIFE_BITS) - 1), ..self }
    }
}

impl foca::Identity for Identity {
    type Addr = Number;

    /// One that was declared failed while it lived goes on as a new life.
    fn renew(&self) -> Option<Self> {
        Some(self.after(self.life))
    }

    fn addr(&self) -> Number {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.life > adversary.life
    }
}
