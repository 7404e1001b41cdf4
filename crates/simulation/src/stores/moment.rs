//! Moments at which troubles strike, and the blows that they deal there.

use fennelgauge_coordination::{GroupNumber, StoreNumber};
use strum::EnumIter;

use crate::day::Micros;

/// Something that happens at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter)]
pub enum Moment {
    /// It asks its head for what it lacks, as a learner.
    CopyAsked,
    /// It sends a whole copy, to a learner or its successor.
    CopySent,
    /// It has become a copy, which is not on its disk yet.
    CopyInMemory,
    /// A batch that it made is on its disk and goes on.
    BatchSynced,
    /// It has taken a batch, which is not on its disk yet.
    BatchTaken,
    /// It has stood where its predecessor stands for the first time in a view.
    ToldLevel,
    /// It has copied a group, as a learner.
    Copied,
    /// It has everything, as a joining link.
    Holds,
    /// It has answered a reader.
    ReaderAnswered,
    /// A question of its to the other links is on its way.
    LinksAsked,
    /// It has begun a group anew that was given up.
    BegunAnew,
}

/// A moment, and who has a part in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Occasion {
    pub moment: Moment,
    pub group: GroupNumber,
    /// The other store of the exchange.
    pub peer: Option<StoreNumber>,
}

/// Whom a blow strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Whom {
    Actor,
    Peer,
    Head,
    /// All links of the group but the actor.
    Others,
    /// All links of the group.
    Links,
    /// All stores.
    All,
}

/// What is done at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Blow {
    Kill,
    Freeze,
    Cut,
    /// Only what it sends does not arrive.
    CutOneWay,
    Unheard,
    SlowLink,
    /// The actor's next message is late by itself.
    LateMessage,
    Wipe,
    SlowDisk,
}

/// A blow that waits for its moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aimed {
    pub moment: Moment,
    /// So many occasions are let pass before.
    pub passes: usize,
    pub blow: Blow,
    pub whom: Whom,
    pub for_: Micros,
}
