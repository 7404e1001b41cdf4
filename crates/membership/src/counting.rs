//! Counts among members, for while the shared counter is out of reach or its calls have to wait. Each count has one
//! member as its keeper, found by hashing: members tell the keeper their own sums and hear the total. A sum says all
//! that its sender has added in that life, so that loss, repeats and order do no harm. What is wanted besides is added
//! only where the total does not stand above a bound already: taken back by a second datagram each, units asked for in
//! vain were a third of all that was sent.

use crate::frame::{FrameKind, RejectReason, MAX_BODY_BYTES};
use crate::MemberIndex;
use fennelgauge::host::ConditionalAdd;
use fennelgauge::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// An ask is repeated after so many times what answers take of late, within these bounds: asked again earlier, slow
/// ways would double the datagrams; the longest is a third of what jobs can wait.
const RETRY_FACTOR: f64 = 1.6;
const MIN_RETRY_DELAY: Span = Span::from_millis(15);
const MAX_RETRY_DELAY: Span = Span::from_millis(100);
/// What answers are taken to take until some have come, in seconds.
const INITIAL_RESPONSE_TIME_S: f64 = 0.025;
/// So often: with one way in ten losing a datagram, one ask in a hundred stays unanswered. Jobs wait for it.
const MAX_TRIES: u8 = 3;
/// A keeper that left so many asks in a row unanswered is passed over, until it is heard or begins a new life, or for
/// this long: by then the members' own probes have found it out. Passed over for less, by bad luck, its counts would
/// be kept at two places.
const MAX_UNANSWERED: u8 = 2;
const AVOID_OWNER_FOR: Span = Span::from_millis(10_000);
/// Counts live for three windows of any plan.
const COUNT_TTL: Span = Span::from_millis(30_000);
/// Names that are kept at most: some four a second of each of 300 members, for as long as they live.
const MAX_KEYS: usize = 40_000;
/// A datagram that many behind the latest of its sender is too old to tell anything.
const MAX_SERIAL_LAG: u16 = 1_024;
/// Datagrams of a former life come no later than this after the first of the next one.
const MAX_DATAGRAM_DELAY: Span = Span::from_millis(2_000);

const BODY_HEADER_BYTES: usize = 6;
const UPDATE_BYTES: usize = 21;
const TOTAL_BYTES: usize = 9;
const MAX_UPDATES_PER_DATAGRAM: usize = (MAX_BODY_BYTES - BODY_HEADER_BYTES) / UPDATE_BYTES;
/// Names on the wire: of some thousands that live at a time, two meet once in a hundred thousand fleets. The highest bit
/// of a total's tells whether what was wanted was added.
const KEY_MASK: u64 = (1 << 39) - 1;
const ADDED_FLAG: u64 = 1 << 39;

pub type CounterKey = u64;

/// What came of an ask: the total as it is, or would be, with what was wanted, and whether that was added. None: no
/// total will come.
pub type AddOutcome = Option<(f64, bool)>;

/// A member's own sum, and what it wants besides.
#[derive(Clone, Copy)]
struct LocalSum {
    committed: f64,
    conditional: ConditionalAdd,
    expires_at: Moment,
}

struct PendingQuery {
    owner: MemberIndex,
    /// Answers to datagrams before this one do not hold the sum that is asked for.
    serial: u16,
    sent: Moment,
    retry_at: Moment,
    tries: u8,
}

/// One sender's sum in one of its lives, and the datagram that told it.
struct MemberSum {
    from: MemberIndex,
    generation: u32,
    serial: u16,
    sum: f64,
}

struct OwnedCount {
    expires_at: Moment,
    sums: Vec<MemberSum>,
}

/// The latest life and datagram of a sender, and since when it is in that life.
struct LatestDatagram {
    generation: u32,
    serial: u16,
    since: Moment,
}

/// What is known of who may keep counts.
pub trait OwnerLiveness {
    /// The member may be working; the life it is in.
    fn live_generation(&self, index: MemberIndex) -> Option<u64>;
}

pub struct PeerCounts {
    own_index: MemberIndex,
    member_count: MemberIndex,
    /// The lower half of the life: it tells two lives apart, and their order.
    generation: u32,
    serial: u16,
    local_sums: BTreeMap<CounterKey, LocalSum>,
    pending: BTreeMap<CounterKey, PendingQuery>,
    /// How long answers take of late, in seconds.
    response_time_s: f64,
    owned_counts: BTreeMap<CounterKey, OwnedCount>,
    latest_datagrams: BTreeMap<MemberIndex, LatestDatagram>,
    /// Asks in a row that a keeper left unanswered; until when it is passed over, and in which life.
    unresponsive: BTreeMap<MemberIndex, (u8, Moment, u64)>,
    /// Names whose sums go to that keeper with the next datagram.
    queued: BTreeMap<MemberIndex, Vec<CounterKey>>,
    datagrams: Vec<(MemberIndex, FrameKind, Vec<u8>)>,
    outcomes: Vec<(CounterKey, AddOutcome)>,
    next_cleanup: Moment,
    /// Asks so far, how many went again, and how many stayed unanswered.
    pub query_stats: (u64, u64, u64),
}

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

/// A figure that is none is refused: it would spoil the total for all.
fn read_f32(bytes: &[u8; 4]) -> Result<f64, RejectReason> {
    let value = f64::from(f32::from_be_bytes(*bytes));
    value.is_finite().then_some(value).ok_or(RejectReason::Malformed)
}

/// The life and serial of a datagram, and its items.
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
    /// `generation` in milliseconds of Unix time: the process's own, which no news changes.
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

    /// The keeper of a count: the member that may work with the highest draw, so that when one goes only its own
    /// counts move.
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

    /// Adds to this member's own sum and asks for the total; it comes among [`Self::results`]. One ask by name.
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
        // The datagram that will carry it.
        let serial = self.serial.wrapping_add(1);
        let retry_at = now
            + Span::from_secs(self.response_time_s * RETRY_FACTOR).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        self.pending.insert(key, PendingQuery { owner, serial, sent: now, retry_at, tries });
        self.queued.entry(owner).or_default().push(key);
    }

    /// An ask has its outcome. What may have been added counts as added.
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

    /// Takes in a sender's sum; none where no more names fit. The same datagram taken in twice comes to the same.
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
            // Overtaken on the way by a later one of the same sender.
            Some(at) if serial_precedes(serial, entry.sums[at].serial) => {}
            Some(at) => entry.sums[at] = member_sum,
            // What a former life used stays used. So many lives in one window are no restarts.
            None if entry.sums.len() >= max_sums => return None,
            None => entry.sums.push(member_sum),
        }
        Some((before + conditional.amount, added))
    }

    /// A member's sums; the totals go back to it.
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
        // A life that looks earlier is one: unless the present one is long known, and a clock was set back.
        if generation.wrapping_sub(latest.generation) > u32::MAX / 2
            && now.since(latest.since) < MAX_DATAGRAM_DELAY
        {
            return Err(RejectReason::Stale);
        }
        *latest = LatestDatagram { generation, serial, since: now };
        Ok(())
    }

    /// A keeper's totals.
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
            // A second answer, or one to a sum that is not the present one, is nothing new.
            if let Some((key, sent, _)) = found.filter(|it| !serial_precedes(serial, it.2)) {
                self.response_time_s += 0.1 * (now.since(sent).secs() - self.response_time_s);
                self.finish(key, Some((total, added)));
            }
        }
        Ok(())
    }

    /// Repeats what is unanswered, gives up what was repeated enough, forgets what is old.
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

    pub fn next_due_at(&self) -> Option<Moment> {
        self.pending.values().map(|query| query.retry_at).min()
    }

    /// Totals that came, or none for those that will not.
    pub fn take_outcomes(&mut self) -> Vec<(CounterKey, AddOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Datagrams' bodies to be sent: sums asked for at one time go to their keeper together.
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

    /// Names kept for others and of its own: what memory goes by.
    pub fn sizes(&self) -> (usize, usize) {
        (self.owned_counts.len(), self.local_sums.len())
    }
}

/// Serials count round.
fn serial_precedes(a: u16, b: u16) -> bool {
    a != b && b.wrapping_sub(a) < u16::MAX / 2
}
