//! Counts that the members keep among themselves while the shared counter is unreachable or its calls have to wait.
//!
//! Each count is owned by one member, chosen by rendezvous hashing. Members send the owner their own sums, and it
//! replies with the total. A sum is cumulative over the sender's generation, so lost, repeated or reordered datagrams
//! do no harm. A conditional amount is added only if the total is not above a bound already: when it was added first
//! and withdrawn by a second datagram, such withdrawals were a third of all datagrams.

use crate::frame::{FrameKind, RejectReason, MAX_BODY_BYTES};
use crate::MemberIndex;
use fennelgauge::host::ConditionalAdd;
use fennelgauge::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A query is retried after this multiple of the average response time, between [`MIN_RETRY_DELAY`] and
/// [`MAX_RETRY_DELAY`]. Earlier retries would double the datagrams on slow links.
const RETRY_FACTOR: f64 = 1.6;
/// Shortest time until a retry.
const MIN_RETRY_DELAY: Span = Span::from_millis(15);
/// Longest time until a retry: a third of the time that jobs can wait.
const MAX_RETRY_DELAY: Span = Span::from_millis(100);
/// Assumed response time before the first reply, in seconds.
const INITIAL_RESPONSE_TIME_S: f64 = 0.025;
/// Transmissions of a query in total. With 10% loss in each direction, one query in a hundred gets no reply. Jobs wait
/// for the reply.
const MAX_TRIES: u8 = 3;
/// After this many queries in a row without a reply, an owner is avoided until it is heard again, begins a new
/// generation, or [`AVOID_OWNER_FOR`] has passed. With a lower limit, random loss would give its counts two owners.
const MAX_UNANSWERED: u8 = 2;
/// How long an unresponsive owner is avoided: by then the failure detector has noticed a failure.
const AVOID_OWNER_FOR: Span = Span::from_millis(10_000);
/// How long a count is kept after its last update: three quota windows of any plan.
const COUNT_TTL: Span = Span::from_millis(30_000);
/// Most counts that one member owns: about four new keys per second from each of 300 members during [`COUNT_TTL`].
const MAX_KEYS: usize = 40_000;
/// A datagram whose serial number is this far behind the sender's latest is rejected as stale.
const MAX_SERIAL_LAG: u16 = 1_024;
/// Datagrams of an earlier generation arrive at most this long after the first one of the next generation.
const MAX_DATAGRAM_DELAY: Span = Span::from_millis(2_000);

/// Generation (4) and serial number (2) at the start of a body.
const BODY_HEADER_BYTES: usize = 6;
/// Encoded size of an update: key (5) and four 32-bit floats.
const UPDATE_BYTES: usize = 21;
/// Encoded size of a total: key with [`ADDED_FLAG`] (5) and a 32-bit float.
const TOTAL_BYTES: usize = 9;
const MAX_UPDATES_PER_DATAGRAM: usize = (MAX_BODY_BYTES - BODY_HEADER_BYTES) / UPDATE_BYTES;
/// Bits of a key that are sent. Among the few thousand keys in use at a time, two collide in one of a hundred thousand
/// deployments.
const KEY_MASK: u64 = (1 << 39) - 1;
/// Set in the key of a total if the conditional amount was added.
const ADDED_FLAG: u64 = 1 << 39;

/// Hash that identifies a count; only the lower 39 bits are sent.
pub type CounterKey = u64;

/// Result of adding to a count: the total including the conditional amount, and whether that amount was added. `None`
/// if the owner did not reply or had no room for the key.
pub type AddOutcome = Option<(f64, bool)>;

/// This member's own sum of a count, and the conditional amount that is being requested.
#[derive(Clone, Copy)]
struct LocalSum {
    committed: f64,
    conditional: ConditionalAdd,
    expires_at: Moment,
}

/// A query that waits for the owner's reply.
struct PendingQuery {
    owner: MemberIndex,
    /// Serial number of the query's datagram. Replies to earlier ones do not include the present sum.
    serial: u16,
    sent: Moment,
    retry_at: Moment,
    tries: u8,
}

/// The sum of one generation of a member, and the serial number of the datagram that reported it.
struct MemberSum {
    from: MemberIndex,
    generation: u32,
    serial: u16,
    sum: f64,
}

/// A count that this member owns.
struct OwnedCount {
    expires_at: Moment,
    sums: Vec<MemberSum>,
}

/// Latest generation and serial number of a sender, and when its first datagram of that generation arrived.
struct LatestDatagram {
    generation: u32,
    serial: u16,
    since: Moment,
}

/// Tells which members can own counts.
pub trait OwnerLiveness {
    /// Returns the member's generation, or `None` if it must not own counts at present.
    fn live_generation(&self, index: MemberIndex) -> Option<u64>;
}

/// The counts of one member: its own sums, the queries for totals, and the counts that it owns.
pub struct PeerCounts {
    own_index: MemberIndex,
    member_count: MemberIndex,
    /// The lower 32 bits of the generation, enough to tell two generations and their order apart.
    generation: u32,
    serial: u16,
    local_sums: BTreeMap<CounterKey, LocalSum>,
    pending: BTreeMap<CounterKey, PendingQuery>,
    /// Moving average of the response time, in seconds.
    response_time_s: f64,
    owned_counts: BTreeMap<CounterKey, OwnedCount>,
    latest_datagrams: BTreeMap<MemberIndex, LatestDatagram>,
    /// Per owner: queries in a row without a reply, until when it is avoided, and its generation then.
    unresponsive: BTreeMap<MemberIndex, (u8, Moment, u64)>,
    /// Keys to be sent to each owner with the next datagrams.
    queued: BTreeMap<MemberIndex, Vec<CounterKey>>,
    datagrams: Vec<(MemberIndex, FrameKind, Vec<u8>)>,
    outcomes: Vec<(CounterKey, AddOutcome)>,
    next_cleanup: Moment,
    /// Number of queries, of retries, and of queries without a reply, since the start.
    pub query_stats: (u64, u64, u64),
}

/// Weight of a member as the owner of a key; the member with the highest weight owns it.
fn rendezvous_weight(key: CounterKey, index: MemberIndex) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, index).hash(&mut hasher);
    hasher.finish()
}

fn body_header(generation: u32, serial: u16) -> Vec<u8> {
    let mut out = Vec::with_capacity(MAX_BODY_BYTES);
    out.extend(generation.to_be_bytes());
    out.extend(serial.to_be_bytes());
    out
}

fn write_key(out: &mut Vec<u8>, key: CounterKey) {
    out.extend(&key.to_be_bytes()[3..]);
}

fn write_f32(out: &mut Vec<u8>, value: f64) {
    out.extend((value as f32).to_be_bytes());
}

fn read_key(bytes: &[u8; 5]) -> CounterKey {
    let [n0, n1, n2, n3, n4] = *bytes;
    u64::from_be_bytes([0, 0, 0, n0, n1, n2, n3, n4])
}

/// Decodes a float. Errs for NaN and infinity, which would corrupt the total of all members.
fn read_f32(bytes: &[u8; 4]) -> Result<f64, RejectReason> {
    let value = f64::from(f32::from_be_bytes(*bytes));
    value.is_finite().then_some(value).ok_or(RejectReason::Malformed)
}

/// Splits a body into generation, serial number and items of `N` bytes.
fn read_items<const N: usize>(bytes: &[u8]) -> Result<(u32, u16, &[[u8; N]]), RejectReason> {
    let (Some(head), Some(rest)) = (bytes.first_chunk::<BODY_HEADER_BYTES>(), bytes.get(BODY_HEADER_BYTES..))
    else {
        return Err(RejectReason::Malformed);
    };
    let [l0, l1, l2, l3, s0, s1] = *head;
    let (items, left) = rest.as_chunks::<N>();
    if !left.is_empty() || items.is_empty() {
        return Err(RejectReason::Malformed);
    }
    Ok((u32::from_be_bytes([l0, l1, l2, l3]), u16::from_be_bytes([s0, s1]), items))
}

fn read_update(item: &[u8; UPDATE_BYTES]) -> Result<(CounterKey, f64, ConditionalAdd), RejectReason> {
    let [n0, n1, n2, n3, n4, f0, f1, f2, f3, w0, w1, w2, w3, a0, a1, a2, a3, b0, b1, b2, b3] = *item;
    let conditional = ConditionalAdd {
        amount: read_f32(&[w0, w1, w2, w3])?,
        max_total: read_f32(&[a0, a1, a2, a3])?,
        max_with_deficit: read_f32(&[b0, b1, b2, b3])?,
    };
    Ok((read_key(&[n0, n1, n2, n3, n4]) & KEY_MASK, read_f32(&[f0, f1, f2, f3])?, conditional))
}

fn read_total(item: &[u8; TOTAL_BYTES]) -> Result<(CounterKey, f64, bool), RejectReason> {
    let [n0, n1, n2, n3, n4, f0, f1, f2, f3] = *item;
    let key = read_key(&[n0, n1, n2, n3, n4]);
    Ok((key & KEY_MASK, read_f32(&[f0, f1, f2, f3])?, key & ADDED_FLAG > 0))
}

impl PeerCounts {
    /// Creates empty counts. `generation` is the one at the start of this process, in milliseconds of Unix time; it
    /// does not change later, even if the failure detector's generation does.
    pub fn new(now: Moment, own_index: MemberIndex, member_count: MemberIndex, generation: u64) -> Self {
        Self {
            own_index,
            member_count,
            generation: generation as u32,
            serial: 0,
            local_sums: BTreeMap::new(),
            pending: BTreeMap::new(),
            response_time_s: INITIAL_RESPONSE_TIME_S,
            owned_counts: BTreeMap::new(),
            latest_datagrams: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            queued: BTreeMap::new(),
            datagrams: Vec::new(),
            outcomes: Vec::new(),
            next_cleanup: now + COUNT_TTL,
            query_stats: (0, 0, 0),
        }
    }

    /// Returns the owner of a count: the live member with the highest rendezvous weight. When a member fails, only the
    /// counts that it owned move.
    pub fn owner(&self, key: CounterKey, now: Moment, liveness: &impl OwnerLiveness) -> MemberIndex {
        let is_candidate = |index: &MemberIndex| {
            if *index == self.own_index {
                return true;
            }
            let Some(generation) = liveness.live_generation(*index) else { return false };
            let unresponsive =
                self.unresponsive.get(index).filter(|it| it.0 >= MAX_UNANSWERED && generation <= it.2);
            unresponsive.is_none_or(|it| now >= it.1)
        };
        (0..self.member_count)
            .filter(is_candidate)
            .max_by_key(|index| rendezvous_weight(key & KEY_MASK, *index))
            .unwrap_or(self.own_index)
    }

    /// Adds to this member's own sum and queries the total, which [`Self::take_outcomes`] returns later. At most one
    /// query per key is pending.
    pub fn add(
        &mut self,
        now: Moment,
        key: CounterKey,
        amount: f64,
        conditional: ConditionalAdd,
        liveness: &impl OwnerLiveness,
    ) {
        let expires_at = now + COUNT_TTL;
        let committed = self.local_sums.get(&key).map_or(0.0, |it| it.committed) + amount;
        self.local_sums.insert(key, LocalSum { committed, conditional, expires_at });
        self.query_stats.0 += 1;
        self.query(now, key, 0, liveness);
    }

    /// Queries the total of a count, from the owner or, if this member owns it, directly.
    fn query(&mut self, now: Moment, key: CounterKey, tries: u8, liveness: &impl OwnerLiveness) {
        let owner = self.owner(key, now, liveness);
        let Some(sum) = self.local_sums.get(&key).copied() else { return };
        if owner == self.own_index {
            let (own_index, generation, serial) = (self.own_index, self.generation, self.serial);
            let outcome = self.apply_update(
                now,
                key & KEY_MASK,
                own_index,
                (generation, serial),
                sum.committed,
                sum.conditional,
            );
            return self.finish(key, outcome);
        }
        // Serial number of the next datagram, which will carry this query.
        let serial = self.serial.wrapping_add(1);
        let retry_at = now
            + Span::from_secs(self.response_time_s * RETRY_FACTOR).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        self.pending.insert(key, PendingQuery { owner, serial, sent: now, retry_at, tries });
        self.queued.entry(owner).or_default().push(key);
    }

    /// Ends a query. Without a reply the conditional amount counts as added, because the owner may have added it.
    fn finish(&mut self, key: CounterKey, outcome: AddOutcome) {
        self.pending.remove(&key);
        if let Some(sum) = self.local_sums.get_mut(&key).filter(|_| outcome.is_none_or(|it| it.1)) {
            sum.committed += sum.conditional.amount;
        }
        if let Some(sum) = self.local_sums.get_mut(&key) {
            sum.conditional = ConditionalAdd::default();
        }
        self.outcomes.push((key, outcome));
    }

    /// Applies a sender's sum to an owned count. Returns `None` if there is no room for the key or for another
    /// generation. Applying the same datagram twice has no further effect.
    fn apply_update(
        &mut self,
        now: Moment,
        key: CounterKey,
        from: MemberIndex,
        (generation, serial): (u32, u16),
        committed: f64,
        conditional: ConditionalAdd,
    ) -> AddOutcome {
        if self.owned_counts.len() >= MAX_KEYS && !self.owned_counts.contains_key(&key) {
            return None;
        }
        let max_sums = usize::from(self.member_count) * 2;
        let entry =
            self.owned_counts.entry(key).or_insert_with(|| OwnedCount { expires_at: now, sums: Vec::new() });
        entry.expires_at = now + COUNT_TTL;
        let own = entry.sums.iter().position(|known| (known.from, known.generation) == (from, generation));
        let others =
            entry.sums.iter().enumerate().filter(|it| Some(it.0) != own).map(|it| it.1.sum).sum::<f64>();
        let before = others + committed;
        let added = conditional.permits(before);
        let sum = if added { committed + conditional.amount } else { committed };
        let member_sum = MemberSum { from, generation, serial, sum };
        match own {
            // A later datagram of the same sender arrived first.
            Some(at) if serial_precedes(serial, entry.sums[at].serial) => {}
            Some(at) => entry.sums[at] = member_sum,
            // Sums of earlier generations stay part of the total. More generations than this within one window can't
            // come from restarts.
            None if entry.sums.len() >= max_sums => return None,
            None => entry.sums.push(member_sum),
        }
        Some((before + conditional.amount, added))
    }

    /// Processes a member's sums and queues the reply with the totals.
    pub fn receive_updates(
        &mut self,
        now: Moment,
        from: MemberIndex,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        let (generation, serial, items) = read_items::<UPDATE_BYTES>(bytes)?;
        let items = items.iter().map(read_update).collect::<Result<Vec<_>, _>>()?;
        self.check_freshness(now, from, generation, serial)?;
        self.unresponsive.remove(&from);
        let mut out = body_header(generation, serial);
        for (key, committed, conditional) in items {
            if let Some((total, added)) =
                self.apply_update(now, key, from, (generation, serial), committed, conditional)
            {
                write_key(&mut out, key | if added { ADDED_FLAG } else { 0 });
                write_f32(&mut out, total);
            }
        }
        if out.len() == BODY_HEADER_BYTES {
            return Err(RejectReason::RateLimited);
        }
        self.datagrams.push((from, FrameKind::CountTotals, out));
        Ok(())
    }

    /// Errs if a datagram is far behind the sender's latest or of an earlier generation; else records it as the latest.
    fn check_freshness(
        &mut self,
        now: Moment,
        from: MemberIndex,
        generation: u32,
        serial: u16,
    ) -> Result<(), RejectReason> {
        let latest =
            self.latest_datagrams.entry(from).or_insert(LatestDatagram { generation, serial, since: now });
        if generation == latest.generation {
            if serial_precedes(serial, latest.serial.wrapping_sub(MAX_SERIAL_LAG)) {
                return Err(RejectReason::Stale);
            }
            latest.serial = if serial_precedes(latest.serial, serial) { serial } else { latest.serial };
            return Ok(());
        }
        // A lower generation is an earlier one, unless the present one has been known for long: then the sender
        // restarted with a clock that was set back.
        if generation.wrapping_sub(latest.generation) > u32::MAX / 2
            && now.since(latest.since) < MAX_DATAGRAM_DELAY
        {
            return Err(RejectReason::Stale);
        }
        *latest = LatestDatagram { generation, serial, since: now };
        Ok(())
    }

    /// Processes an owner's reply with totals.
    pub fn receive_totals(
        &mut self,
        now: Moment,
        from: MemberIndex,
        bytes: &[u8],
    ) -> Result<(), RejectReason> {
        let (generation, serial, items) = read_items::<TOTAL_BYTES>(bytes)?;
        let items = items.iter().map(read_total).collect::<Result<Vec<_>, _>>()?;
        if generation != self.generation || serial_precedes(self.serial, serial) {
            return Err(RejectReason::Stale);
        }
        self.unresponsive.remove(&from);
        for (reported, total, added) in items {
            let is_it =
                |it: &(&CounterKey, &PendingQuery)| *it.0 & KEY_MASK == reported && it.1.owner == from;
            let found = self.pending.iter().find(is_it).map(|(key, query)| (*key, query.sent, query.serial));
            // Ignores a repeated reply and a reply to an earlier sum.
            if let Some((key, sent, _)) = found.filter(|it| !serial_precedes(serial, it.2)) {
                self.response_time_s += 0.1 * (now.since(sent).secs() - self.response_time_s);
                self.finish(key, Some((total, added)));
            }
        }
        Ok(())
    }

    /// Retries overdue queries, ends those without tries left, and deletes expired counts.
    pub fn run_due(&mut self, now: Moment, liveness: &impl OwnerLiveness) {
        let overdue: Vec<CounterKey> =
            self.pending.iter().filter(|(_, query)| now >= query.retry_at).map(|it| *it.0).collect();
        for key in overdue {
            let Some(query) = self.pending.remove(&key) else { continue };
            if query.tries + 1 < MAX_TRIES {
                self.query_stats.1 += 1;
                self.query(now, key, query.tries + 1, liveness);
                continue;
            }
            let generation = liveness.live_generation(query.owner).unwrap_or_default();
            let unresponsive = self.unresponsive.entry(query.owner).or_default();
            *unresponsive = (unresponsive.0.saturating_add(1), now + AVOID_OWNER_FOR, generation);
            self.query_stats.2 += 1;
            self.finish(key, None);
        }
        if now >= self.next_cleanup {
            self.next_cleanup = now + Span::from_millis(1_000);
            self.local_sums.retain(|_, sum| now < sum.expires_at);
            self.owned_counts.retain(|_, count| now < count.expires_at);
            self.unresponsive.retain(|_, unresponsive| now < unresponsive.1);
        }
    }

    /// Returns when [`Self::run_due`] must be called next, in active time; `None` while no query is pending.
    pub fn next_due_at(&self) -> Option<Moment> {
        self.pending.values().map(|query| query.retry_at).min()
    }

    /// Returns the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(CounterKey, AddOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Returns the frame bodies to send, each with receiver and kind. Queries queued for the same owner share a
    /// datagram.
    pub fn take_datagrams(&mut self) -> Vec<(MemberIndex, FrameKind, Vec<u8>)> {
        for (owner, keys) in std::mem::take(&mut self.queued) {
            for part in keys.chunks(MAX_UPDATES_PER_DATAGRAM) {
                self.serial = self.serial.wrapping_add(1);
                let mut out = body_header(self.generation, self.serial);
                for key in part {
                    let Some(sum) = self.local_sums.get(key) else { continue };
                    write_key(&mut out, key & KEY_MASK);
                    let ConditionalAdd { amount, max_total, max_with_deficit } = sum.conditional;
                    [sum.committed, amount, max_total, max_with_deficit]
                        .iter()
                        .for_each(|it| write_f32(&mut out, *it));
                }
                self.datagrams.push((owner, FrameKind::CountUpdates, out));
            }
        }
        std::mem::take(&mut self.datagrams)
    }

    /// Returns the number of owned counts and of own sums, which determine the memory use.
    pub fn sizes(&self) -> (usize, usize) {
        (self.owned_counts.len(), self.local_sums.len())
    }
}

/// Returns whether serial number `a` precedes `b`, with wraparound.
fn serial_precedes(a: u16, b: u16) -> bool {
    a != b && b.wrapping_sub(a) < u16::MAX / 2
}
