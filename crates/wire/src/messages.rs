//! The messages of the protocol.
//!
//! They are encoded with bincode, so their names do not reach the wire, but the order and the types of fields and variants
//! do: changing them breaks compatibility with running processes.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use fennelgauge_batch::{Job, Page};
use fennelgauge_coordination::{
    Envelope, GiveUpError, GiveUpRecord, GiveUpRequest, GroupNumber, HolderStatus, StoreReport, StoreView,
    View,
};
use fennelgauge_model::ServerList;
use fennelgauge_replication::{EntryBatch, EntryPosition, GroupSnapshot};
use fennelgauge_sharing::{StatsReport, StatsTotals};

/// A request or a reply with the id of its call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CallMessage<M> {
    /// Chosen by the client, unique on its connection; the reply carries the id of its request.
    pub call_id: u64,
    /// A [`Request`] or a [`Reply`].
    pub body: M,
}

/// A request to another process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// To any process: a long poll for newer configuration, server list and views.
    Watch(WatchRequest),
    /// To the head or the tail of the core.
    Core(CoreRequest),
    /// A message of the coordination protocol among the machines of the core. It is only acknowledged; what follows from it
    /// is sent as further requests.
    Coordination(Box<Envelope>),
    /// To a store.
    Store(StoreRequest),
    /// To the machines of the core: how many requests of each tenant a data plane started.
    Usage(UsageReport),
    /// To the head of the core: a store is alive.
    StoreHeartbeat(StoreHeartbeat),
    /// To the machine of the core that aggregates the server statistics of the sending process.
    ServerStats(StatsReport),
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Request::Watch`].
    Watch(Box<WatchReply>),
    /// To [`Request::Core`].
    Core(CoreReply),
    /// To [`Request::Store`].
    Store(StoreReply),
    /// The summed server statistics of the aggregator's other reporters.
    ServerStats(StatsTotals),
    /// The request was received; it has no other reply.
    Acknowledged,
    /// The receiving process does not serve this request.
    Unsupported,
}

/// The versions that a watcher already has. Zero stands for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Generation of the configuration.
    pub generation: u64,
    /// Incarnation of the process that read the server list, and the list's version, which counts up within an incarnation.
    pub server_list: (u64, u64),
    /// Epoch of the stores' view.
    pub store_view: u64,
    /// Epoch of the core's view.
    pub core_view: u64,
}

/// A long poll for state that is newer than what the watcher has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What the watcher has.
    pub known: KnownVersions,
    /// Longest time that the reply may be held back while there is nothing newer, in milliseconds.
    pub wait_ms: u64,
}

/// The state that is newer than what the watcher has, and how fresh the source's own state is. A field is `None` where
/// there is nothing newer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchReply {
    /// The newest configuration.
    pub configuration: Option<ConfigurationUpdate>,
    /// The newest server list.
    pub server_list: Option<ServerList>,
    /// Time since the source's server list was read from the platform, in milliseconds.
    pub server_list_age_ms: u64,
    /// The newest view of the stores.
    pub store_view: Option<StoreView>,
    /// The newest view of the core.
    pub core_view: Option<View>,
    /// Time since a majority confirmed the core's view that the source has, in milliseconds.
    pub confirmed_age_ms: u64,
    /// Generation of the configuration that the source has; 0 if it has none.
    pub generation: u64,
    /// Age of the newest confirmation, in milliseconds, that no configuration was acknowledged that the source lacks.
    pub configuration_confirmed_age_ms: u64,
}

/// A configuration for a watcher: compressed, and as a delta where the source still has the watcher's generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// Generation of the resulting document.
    pub generation: u64,
    /// Generation of the document that the delta applies to; `None` if the whole document is sent.
    pub base_generation: Option<u64>,
    /// Checksum of the resulting document.
    pub checksum: u32,
    /// The compressed document, or the compressed bincode of the delta.
    #[serde(with = "serde_bytes")]
    pub compressed: Vec<u8>,
}

/// A configuration document, JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationBytes(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// A request to the core, sent by the machine that serves the operator's API.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CoreRequest {
    /// To the head: changes the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// To the tail: reads the newest committed configuration.
    ReadConfiguration,
    /// To the head: starts moving all data off the store of that name, so that it can be removed.
    RetireStart { node: String },
    /// To the head: asks for the state of the retirement of the store of that name.
    RetireStatus { node: String },
    /// To the head: asks for the state of a group of batch jobs.
    GroupStatus(GroupNumber),
    /// To the head: gives up the data of a group whose holders are lost.
    GiveUp(GiveUpRequest),
}

/// A configuration change that an operator sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// How the body is to be read.
    pub kind: ChangeKind,
    /// The generation that has to be current for the change to apply.
    pub base_generation: u64,
    /// JSON: the new document or the patch.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How a change's body is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The body replaces the whole configuration.
    Put,
    /// The body lists what to insert, replace and remove.
    Patch,
}

/// The reply to a [`CoreRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CoreReply {
    /// To [`CoreRequest::ChangeConfiguration`].
    ChangeConfiguration(ChangeReply),
    /// To [`CoreRequest::ReadConfiguration`]. `None` if there is no configuration, or the machine is not the tail of a confirmed view.
    Configuration(Option<ConfigurationBytes>),
    /// To [`CoreRequest::RetireStart`] and [`CoreRequest::RetireStatus`].
    Retire(RetireReply),
    /// To [`CoreRequest::GroupStatus`].
    GroupStatus(GroupStatusReply),
    /// To [`CoreRequest::GiveUp`].
    GiveUp(GiveUpReply),
}

/// The outcome of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The change is committed.
    Acknowledged,
    /// The change does not build on the current generation.
    Conflict { current_generation: u64 },
    /// The change is malformed, for the given reason.
    Invalid(String),
    /// The change was certainly not applied; it can be sent again.
    Unavailable,
    /// The change may have been applied; it can be sent again unchanged.
    OutcomeUnknown,
}

/// The state of a store's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireReply {
    /// Data is still being moved off the store.
    Running,
    /// The store holds no data any more and can be removed.
    Succeeded,
    /// There is no store of that name, or its retirement was never started.
    UnknownNode,
    /// Too few stores would remain to tolerate the configured number of failures.
    TooFewStores,
    /// The machine is not the head of a confirmed view, or could not commit the request.
    Unavailable,
}

/// The reply to a request for a group's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupStatusReply {
    /// The group's state.
    Found(GroupStatus),
    /// There is no group with that number, or it is not placed on stores yet.
    UnknownGroup,
    /// The machine is not the head of a confirmed view.
    Unavailable,
}

/// A group of batch jobs as the head of the core sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group's number.
    pub group: u16,
    /// Epoch of the stores' view.
    pub view: u64,
    /// Whether the group accepts batch jobs.
    pub is_open: bool,
    /// The stores that hold the group's data or did when they were last heard from.
    pub holders: Vec<HolderStatus>,
    /// Names of stores that were added to the group's chain and do not have all its entries yet.
    pub joining: Vec<String>,
    /// Name of the store that copies the group before it joins the chain.
    pub learner: Option<String>,
    /// The times that the group was given up, oldest first.
    pub given_up: Vec<GiveUpRecord>,
}

/// The outcome of giving a group up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveUpReply {
    /// The group was given up, by this request or before by the same one.
    Done,
    /// The group was not given up, for the given reason.
    Refused(GiveUpError),
    /// The group was certainly not given up; the request can be sent again.
    Unavailable,
    /// The group may have been given up; the request can be sent again.
    OutcomeUnknown,
}

/// Periodic report of a store to the head of the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHeartbeat {
    /// The store and the groups that it holds or has copied.
    pub report: StoreReport,
    /// Number of entries in each group that the store has; empty in most heartbeats.
    pub entry_counts: Vec<(GroupNumber, u64)>,
    /// Ids of batch jobs that the store accepted as a head and has not reported to this head of the core yet, by group.
    pub accepted_jobs: Vec<(GroupNumber, Vec<String>)>,
}

/// Numbers of requests that one data plane started, by window and tenant, and the timeliness of its responses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the reporting process.
    pub node: String,
    /// Random number drawn at the process's start; tells its counts from those of an earlier run.
    pub incarnation: u64,
    /// Totals so far of the newest windows.
    pub windows: Vec<WindowCounts>,
    /// Totals by service since the process's start.
    pub timeliness: Vec<ServiceTimeliness>,
}

/// Responses of one service since the reporting process's start, and how many of them were late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTimeliness {
    /// Name of the service.
    pub service: String,
    /// All responses, the late ones included.
    pub responses: u64,
    /// Responses that failed, or missed the route's objective for the first byte or for a pause between two pieces.
    pub late: u64,
}

/// Number of requests started in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Start of the window since 1970, in units of the window's width.
    pub window: u64,
    /// Requests by name of the tenant.
    pub tenant_counts: Vec<(String, u64)>,
}

/// A request to a store, from a data plane or another store. `epoch` is that of the stores' view on which the sender acts;
/// a store does not act on a request from a view that is not its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreRequest {
    /// To the head of the group's chain: accepts a batch job.
    Submit {
        epoch: u64,
        group: GroupNumber,
        job: Job,
        /// The tenant's limit of queued tokens.
        max_queued: u64,
    },
    /// To the head: cancels a batch job; its remaining items do not run.
    Cancel { epoch: u64, group: GroupNumber, tenant: String, job: String },
    /// To the tail: reads a batch job's results.
    ReadResults {
        epoch: u64,
        group: GroupNumber,
        tenant: String,
        job: String,
        /// How many results to skip.
        start_after: u32,
        /// Longest time that the reply may be held back while there is no further result, in milliseconds.
        wait_ms: u64,
    },
    /// To the tail: reads the body of an item that has no result yet.
    ReadItemBody { epoch: u64, group: GroupNumber, tenant: String, job: String, item: String },
    /// To the successor in the groups' chains: appends entries.
    Append { epoch: u64, batches: Vec<EntryBatch> },
    /// Asks whether the store's view has that epoch, and for its position in a group.
    Position { epoch: u64, group: GroupNumber },
    /// To the predecessor, from a store that has stayed behind in the view: check the sender's state of these groups again
    /// and send what it lacks.
    RecheckGroups { epoch: u64, groups: Vec<GroupNumber> },
    /// From a learner: reads the entries after a position, or a snapshot of the group if they are no longer kept.
    FetchEntries { epoch: u64, group: GroupNumber, after: EntryPosition },
    /// From the predecessor in the chain: replaces the store's state of a group by a snapshot.
    InstallSnapshot { epoch: u64, group: GroupNumber, snapshot: GroupSnapshot },
    /// Reads the store's counters.
    Counters,
}

/// Work that a store has done since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Journal files written, each with a sync of its own.
    pub journal_syncs: u64,
    /// Bytes in these files.
    pub journal_bytes: u64,
    /// Calls to other processes.
    pub calls: u64,
    /// Bytes of these calls' requests.
    pub call_bytes: u64,
    /// Entries that the store created as the head of a chain.
    pub head_entries: u64,
    /// Results of items in these entries.
    pub head_results: u64,
}

/// The reply to a [`StoreRequest`]; as a string, the name of its variant.
#[derive(Clone, Debug, IntoStaticStr, Serialize, Deserialize)]
pub enum StoreReply {
    /// The batch job was accepted or cancelled, and this is committed.
    Accepted,
    /// The batch job would exceed the tenant's limit of queued tokens.
    OverQuota,
    /// The request was certainly not executed: wrong store, wrong view or no room.
    NotAccepted,
    /// The request may have been executed.
    OutcomeUnknown,
    /// A page of results.
    Page(Page),
    /// The body of an item.
    Body(serde_bytes::ByteBuf),
    /// There is no such batch job or item.
    NotFound,
    /// The batch job was lost when its group was given up, or no batch job of that name ever existed.
    GivenUp,
    /// The store could not make sure that its state of the group is current, or could not write to its disk in time.
    Undetermined,
    /// The entries were appended.
    Appended {
        /// Groups in which every further store of the chain is caught up and has the entries, too.
        replicated: Vec<GroupNumber>,
    },
    /// The request was received; it has no other reply.
    Acknowledged,
    /// The store is in the view of this epoch, not in that of the request.
    EpochMismatch(u64),
    /// The store's position in a group.
    Position(EntryPosition),
    /// The snapshot is on the store's disk.
    Installed,
    /// Entries after the position of a [`StoreRequest::FetchEntries`].
    Entries(EntryBatch),
    /// A snapshot of the group, since entries after the position are no longer kept.
    Snapshot(GroupSnapshot),
    /// The store's counters.
    Counters(StoreCounters),
}
