//! All messages.

use serde::{Deserialize, Serialize};

use fennelgauge_batch::{Job, Page};
use fennelgauge_coordination::{
    Envelope, GiveUp, GiveUpRefusal, GivenUp, GroupNumber, Heard, HolderSeen, StoreView, View,
};
use fennelgauge_model::ServerList;
use fennelgauge_replication::{EntryBatch, EntryPosition, GroupCopy};
use fennelgauge_sharing::{StatsReport, StatsTotals};

/// A message with the number of its call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CallMessage<M> {
    pub call_id: u64,
    pub body: M,
}

/// What may be asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// To any process that has news: answered when there is something newer, or after a while.
    Watch(WatchRequest),
    Core(CoreRequest),
    /// Among the core's machines; what follows from it comes as messages of their own.
    Coordination(Box<Envelope>),
    Store(StoreRequest),
    /// Requests that began, to the head of the core.
    Usage(UsageReport),
    /// A store is there, and what it tells of its groups; to the head of the core.
    StoreHeartbeat(StoreHeartbeat),
    /// The servers that a process uses, to its home.
    ServerLoad(StatsReport),
}

/// What is answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    Watch(Box<WatchReply>),
    Core(CoreReply),
    Store(StoreReply),
    /// The servers that the home's other reporters use.
    ServerLoad(StatsTotals),
    /// Taken notice of.
    Acknowledged,
    /// The asked process does not do that.
    Unsupported,
}

/// What a watcher has already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Generation of the configuration.
    pub generation: u64,
    /// Life of the list's reader and the list's version.
    pub server_list: (u64, u64),
    pub store_view: u64,
    pub core_view: u64,
}

/// Asks for what is newer than what the watcher has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    pub known: KnownVersions,
    /// How long the answer may be held, in milliseconds.
    pub wait_ms: u64,
}

/// What is newer, and how fresh the source is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchReply {
    pub configuration: Option<ConfigurationUpdate>,
    pub server_list: Option<ServerList>,
    /// How long ago the list was read, in milliseconds.
    pub server_list_age_ms: u64,
    pub store_view: Option<StoreView>,
    pub core_view: Option<View>,
    /// How long ago the source's view was confirmed by a majority, in milliseconds.
    pub confirmed_age_ms: u64,
}

/// A configuration on its way to a watcher: packed, and by its changes where the watcher has an earlier one that the source has, too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    pub generation: u64,
    /// The generation whose text the changes are for; none where the whole text is sent.
    pub base_generation: Option<u64>,
    /// Of the text.
    pub checksum: u32,
    /// The text, or the parts of it in bincode.
    #[serde(with = "serde_bytes")]
    pub compressed: Vec<u8>,
}

/// A configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationBytes(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// From any control process to the head or the tail of the core.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CoreRequest {
    ChangeConfiguration(ConfigurationChange),
    /// The newest committed configuration, to the tail.
    ReadConfiguration,
    /// To empty a store, to the head.
    RetireStart {
        node: String,
    },
    RetireStatus {
        node: String,
    },
    /// What is known of a group of batch jobs, to the head.
    GroupStatus(GroupNumber),
    /// To give a group up, to the head.
    GiveUp(GiveUp),
}

/// The operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    pub kind: ChangeKind,
    /// The generation that it builds on.
    pub base_generation: u64,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How an order changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    Put,
    Patch,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CoreReply {
    ChangeConfiguration(ChangeReply),
    Configuration(Option<ConfigurationBytes>),
    Retire(RetireReply),
    GroupStatus(GroupStatusReply),
    GiveUp(GiveUpReply),
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    Acknowledged,
    /// Another generation is current.
    Conflict {
        current_generation: u64,
    },
    Invalid(String),
    /// Not taken; ask again.
    Unavailable,
    /// May have been taken.
    OutcomeUnknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireReply {
    Running,
    Succeeded,
    UnknownNode,
    TooFewStores,
    Unavailable,
}

/// What is known of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupStatusReply {
    Found(GroupStatus),
    UnknownGroup,
    Unavailable,
}

/// A group of batch jobs as the head of the core sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    pub group: u16,
    /// Of the stores.
    pub view: u64,
    pub is_open: bool,
    pub holders: Vec<HolderSeen>,
    pub joining: Vec<String>,
    pub learner: Option<String>,
    /// Oldest first.
    pub given_up: Vec<GivenUp>,
}

/// What became of an order to give a group up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveUpReply {
    Done,
    Refused(GiveUpRefusal),
    /// Not taken; ask again.
    Unavailable,
    /// May have been carried out.
    OutcomeUnknown,
}

/// A store is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHeartbeat {
    pub store: Heard,
    /// Now and then: how many entries it has, by group.
    pub entry_counts: Vec<(GroupNumber, u64)>,
    /// Batch jobs that it has taken as a head since it told last.
    pub accepted_jobs: Vec<(GroupNumber, Vec<String>)>,
}

/// Requests of each tenant that began in each window, as one process counted them so far.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageReport {
    pub node: String,
    /// Drawn at the process's start.
    pub incarnation: u64,
    pub windows: Vec<WindowCounts>,
    pub timeliness: Vec<ServiceTimeliness>,
}

/// Answers of one service since the process's start, and how many of them were late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTimeliness {
    pub service: String,
    pub responses: u64,
    pub late: u64,
}

/// Counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    pub window: u64,
    pub tenant_counts: Vec<(String, u64)>,
}

/// To stores. `epoch` is that of the stores' view.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreRequest {
    Submit {
        epoch: u64,
        group: GroupNumber,
        job: Job,
        max_queued: u64,
    },
    Cancel {
        epoch: u64,
        group: GroupNumber,
        tenant: String,
        job: String,
    },
    ReadResults {
        epoch: u64,
        group: GroupNumber,
        tenant: String,
        job: String,
        start_after: u32,
        wait_ms: u64,
    },
    ReadItemBody {
        epoch: u64,
        group: GroupNumber,
        tenant: String,
        job: String,
        item: String,
    },
    /// Entries on their way along chains.
    Append {
        epoch: u64,
        batches: Vec<EntryBatch>,
    },
    /// Whether the view still stands, and how far the asked store is in a group.
    Position {
        epoch: u64,
        group: GroupNumber,
    },
    /// A link that is not level in the view, to its predecessor: look after these groups.
    RecheckGroups {
        epoch: u64,
        groups: Vec<GroupNumber>,
    },
    /// What follows a position, for a learner.
    FetchEntries {
        epoch: u64,
        group: GroupNumber,
        after: EntryPosition,
    },
    /// A whole copy of a group, from its predecessor in the chain.
    InstallCopy {
        epoch: u64,
        group: GroupNumber,
        copy: GroupCopy,
    },
    /// What the store has done since it began.
    Counters,
}

/// What a store has done since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Files of the journal, each written and synced by itself.
    pub journal_syncs: u64,
    pub journal_bytes: u64,
    /// Calls to other processes.
    pub calls: u64,
    pub call_bytes: u64,
    /// Entries made as a head.
    pub head_entries: u64,
    /// Results among them.
    pub head_results: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreReply {
    Accepted,
    OverQuota,
    /// Certainly not taken: wrong store, wrong view, no room.
    NotAccepted,
    /// May have been taken.
    OutcomeUnknown,
    Page(Page),
    Body(serde_bytes::ByteBuf),
    NotFound,
    /// The batch job was given up with its group, or there never was one of that name.
    GivenUp,
    /// Nobody here can be sure.
    Undetermined,
    /// Groups in which every further link is level and has the entries, too.
    Appended {
        replicated: Vec<GroupNumber>,
    },
    /// Taken notice of.
    Acknowledged,
    /// The asked store is in that view.
    EpochMismatch(u64),
    Position(EntryPosition),
    /// The copy is on the disk.
    Installed,
    Entries(EntryBatch),
    Copy(GroupCopy),
    Counters(StoreCounters),
}
