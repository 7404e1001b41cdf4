//! Counts among members, for while the shared counter is out of reach or its calls have to wait. Each count has one
//! member as its keeper, found by hashing: members tell the keeper their own sums and hear the total. A sum says all
//! that its sender has added in that life, so that loss, repeats and order do no harm. What is wanted besides is added
//! only where the total does not stand above a bound already: taken back by a second datagram each, units asked for in
//! vain were a third of all that was sent.

use crate::frame::{Kind, Refused, ROOM};
use crate::Number;
use fennelgauge::host::ConditionalAdd;
use fennelgauge::time::{Moment, Span};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// An ask is repeated after so many times what answers take of late, within these bounds: asked again earlier, slow
/// ways would double the datagrams; the longest is a third of what jobs can wait.
const AGAIN: f64 = 1.6;
const SOONEST: Span = Span::from_millis(15);
const LATEST: Span = Span::from_millis(100);
/// What answers are taken to take until some have come, in seconds.
const USUAL_S: f64 = 0.025;
/// So often: with one way in ten losing a datagram, one ask in a hundred stays unanswered. Jobs wait for it.
const TRIES: u8 = 3;
/// A keeper that left so many asks in a row unanswered is passed over, until it is heard or begins a new life, or for
/// this long: by then the members' own probes have found it out. Passed over for less, by bad luck, its counts would
/// be kept at two places.
const UNANSWERED: u8 = 2;
const PASSED_OVER: Span = Span::from_millis(10_000);
/// Counts live for three windows of any plan.
const KEPT: Span = Span::from_millis(30_000);
/// Names that are kept at most: some four a second of each of 300 members, for as long as they live.
const MOST_NAMES: usize = 40_000;
/// A datagram that many behind the latest of its sender is too old to tell anything.
const OLD: u16 = 1_024;
/// Datagrams of a former life come no later than this after the first of the next one.
const LATE: Span = Span::from_millis(2_000);

const BODY_HEAD: usize = 6;
const SUM: usize = 21;
const TOTAL: usize = 9;
const MOST_SUMS: usize = (ROOM - BODY_HEAD) / SUM;
/// Names on the wire: of some thousands that live at a time, two meet once in a hundred thousand fleets. The highest bit
/// of a total's tells whether what was wanted was added.
const NAME: u64 = (1 << 39) - 1;
const ADDED: u64 = 1 << 39;

pub type Name = u64;

/// What came of an ask: the total as it is, or would be, with what was wanted, and whether that was added. None: no
/// total will come.
pub type Outcome = Option<(f64, bool)>;

/// A member's own sum, and what it wants besides.
#[derive(Clone, Copy)]
struct Sum {
    firm: f64,
    wanted: ConditionalAdd,
    until: Moment,
}

struct Ask {
    keeper: Number,
    /// Answers to datagrams before this one do not hold the sum that is asked for.
    serial: u16,
    sent: Moment,
    again: Moment,
    tries: u8,
}

/// One sender's sum in one of its lives, and the datagram that told it.
struct Told {
    from: Number,
    life: u32,
    serial: u16,
    sum: f64,
}

struct Kept {
    until: Moment,
    by: Vec<Told>,
}

/// The latest life and datagram of a sender, and since when it is in that life.
struct Latest {
    life: u32,
    serial: u16,
    since: Moment,
}

/// What is known of who may keep counts.
pub trait Keepers {
    /// The member may be working; the life it is in.
    fn works(&self, number: Number) -> Option<u64>;
}

pub struct Tally {
    own: Number,
    of: Number,
    /// The lower half of the life: it tells two lives apart, and their order.
    life: u32,
    serial: u16,
    sums: BTreeMap<Name, Sum>,
    asks: BTreeMap<Name, Ask>,
    /// How long answers take of late, in seconds.
    usual_s: f64,
    kept: BTreeMap<Name, Kept>,
    latest: BTreeMap<Number, Latest>,
    /// Asks in a row that a keeper left unanswered; until when it is passed over, and in which life.
    silent: BTreeMap<Number, (u8, Moment, u64)>,
    /// Names whose sums go to that keeper with the next datagram.
    going: BTreeMap<Number, Vec<Name>>,
    sends: Vec<(Number, Kind, Vec<u8>)>,
    results: Vec<(Name, Outcome)>,
    cleans: Moment,
    /// Asks so far, how many went again, and how many stayed unanswered.
    pub asked: (u64, u64, u64),
}

fn draw(name: Name, number: Number) -> u64 {
    let mut hasher = DefaultHasher::new();
    (name, number).hash(&mut hasher);
    hasher.finish()
}

fn head(life: u32, serial: u16) -> Vec<u8> {
    let mut out = Vec::with_capacity(ROOM);
    out.extend(life.to_be_bytes());
    out.extend(serial.to_be_bytes());
    out
}

fn put_name(out: &mut Vec<u8>, name: Name) {
    out.extend(&name.to_be_bytes()[3..]);
}

fn put_figure(out: &mut Vec<u8>, figure: f64) {
    out.extend((figure as f32).to_be_bytes());
}

fn name(bytes: &[u8; 5]) -> Name {
    let [n0, n1, n2, n3, n4] = *bytes;
    u64::from_be_bytes([0, 0, 0, n0, n1, n2, n3, n4])
}

/// A figure that is none is refused: it would spoil the total for all.
fn figure(bytes: &[u8; 4]) -> Result<f64, Refused> {
    let figure = f64::from(f32::from_be_bytes(*bytes));
    figure.is_finite().then_some(figure).ok_or(Refused::Unreadable)
}

/// The life and serial of a datagram, and its items.
fn read<const N: usize>(bytes: &[u8]) -> Result<(u32, u16, &[[u8; N]]), Refused> {
    let (Some(head), Some(rest)) = (bytes.first_chunk::<BODY_HEAD>(), bytes.get(BODY_HEAD..)) else {
        return Err(Refused::Unreadable);
    };
    let [l0, l1, l2, l3, s0, s1] = *head;
    let (items, left) = rest.as_chunks::<N>();
    if !left.is_empty() || items.is_empty() {
        return Err(Refused::Unreadable);
    }
    Ok((u32::from_be_bytes([l0, l1, l2, l3]), u16::from_be_bytes([s0, s1]), items))
}

fn read_sum(item: &[u8; SUM]) -> Result<(Name, f64, ConditionalAdd), Refused> {
    let [n0, n1, n2, n3, n4, f0, f1, f2, f3, w0, w1, w2, w3, a0, a1, a2, a3, b0, b1, b2, b3] = *item;
    let wanted = ConditionalAdd {
        amount: figure(&[w0, w1, w2, w3])?,
        max_total: figure(&[a0, a1, a2, a3])?,
        max_with_deficit: figure(&[b0, b1, b2, b3])?,
    };
    Ok((name(&[n0, n1, n2, n3, n4]) & NAME, figure(&[f0, f1, f2, f3])?, wanted))
}

fn read_total(item: &[u8; TOTAL]) -> Result<(Name, f64, bool), Refused> {
    let [n0, n1, n2, n3, n4, f0, f1, f2, f3] = *item;
    let name = name(&[n0, n1, n2, n3, n4]);
    Ok((name & NAME, figure(&[f0, f1, f2, f3])?, name & ADDED > 0))
}

impl Tally {
    /// `life` in milliseconds of Unix time: the process's own, which no news changes.
    pub fn new(now: Moment, own: Number, of: Number, life: u64) -> Self {
        Self {
            own,
            of,
            life: life as u32,
            serial: 0,
            sums: BTreeMap::new(),
            asks: BTreeMap::new(),
            usual_s: USUAL_S,
            kept: BTreeMap::new(),
            latest: BTreeMap::new(),
            silent: BTreeMap::new(),
            going: BTreeMap::new(),
            sends: Vec::new(),
            results: Vec::new(),
            cleans: now + KEPT,
            asked: (0, 0, 0),
        }
    }

    /// The keeper of a count: the member that may work with the highest draw, so that when one goes only its own
    /// counts move.
    pub fn keeper(&self, name: Name, now: Moment, keepers: &impl Keepers) -> Number {
        let works = |number: &Number| {
            if *number == self.own {
                return true;
            }
            let Some(life) = keepers.works(*number) else { return false };
            let silent = self.silent.get(number).filter(|it| it.0 >= UNANSWERED && life <= it.2);
            silent.is_none_or(|it| now >= it.1)
        };
        (0..self.of).filter(works).max_by_key(|number| draw(name & NAME, *number)).unwrap_or(self.own)
    }

    /// Adds to this member's own sum and asks for the total; it comes among [`Self::results`]. One ask by name.
    pub fn add(
        &mut self,
        now: Moment,
        name: Name,
        amount: f64,
        wanted: ConditionalAdd,
        keepers: &impl Keepers,
    ) {
        let until = now + KEPT;
        let firm = self.sums.get(&name).map_or(0.0, |it| it.firm) + amount;
        self.sums.insert(name, Sum { firm, wanted, until });
        self.asked.0 += 1;
        self.ask(now, name, 0, keepers);
    }

    fn ask(&mut self, now: Moment, name: Name, tries: u8, keepers: &impl Keepers) {
        let keeper = self.keeper(name, now, keepers);
        let Some(sum) = self.sums.get(&name).copied() else { return };
        if keeper == self.own {
            let (own, life, serial) = (self.own, self.life, self.serial);
            let outcome = self.keep(now, name & NAME, own, (life, serial), sum.firm, sum.wanted);
            return self.over(name, outcome);
        }
        // The datagram that will carry it.
        let serial = self.serial.wrapping_add(1);
        let again = now + Span::from_secs(self.usual_s * AGAIN).clamp(SOONEST, LATEST);
        self.asks.insert(name, Ask { keeper, serial, sent: now, again, tries });
        self.going.entry(keeper).or_default().push(name);
    }

    /// An ask has its outcome. What may have been added counts as added.
    fn over(&mut self, name: Name, outcome: Outcome) {
        self.asks.remove(&name);
        if let Some(sum) = self.sums.get_mut(&name).filter(|_| outcome.is_none_or(|it| it.1)) {
            sum.firm += sum.wanted.amount;
        }
        if let Some(sum) = self.sums.get_mut(&name) {
            sum.wanted = ConditionalAdd::default();
        }
        self.results.push((name, outcome));
    }

    /// Takes in a sender's sum; none where no more names fit. The same datagram taken in twice comes to the same.
    fn keep(
        &mut self,
        now: Moment,
        name: Name,
        from: Number,
        (life, serial): (u32, u16),
        firm: f64,
        wanted: ConditionalAdd,
    ) -> Outcome {
        if self.kept.len() >= MOST_NAMES && !self.kept.contains_key(&name) {
            return None;
        }
        let most = usize::from(self.of) * 2;
        let kept = self.kept.entry(name).or_insert_with(|| Kept { until: now, by: Vec::new() });
        kept.until = now + KEPT;
        let own = kept.by.iter().position(|known| (known.from, known.life) == (from, life));
        let others =
            kept.by.iter().enumerate().filter(|it| Some(it.0) != own).map(|it| it.1.sum).sum::<f64>();
        let before = others + firm;
        let added = wanted.permits(before);
        let sum = if added { firm + wanted.amount } else { firm };
        let told = Told { from, life, serial, sum };
        match own {
            // Overtaken on the way by a later one of the same sender.
            Some(at) if is_before(serial, kept.by[at].serial) => {}
            Some(at) => kept.by[at] = told,
            // What a former life used stays used. So many lives in one window are no restarts.
            None if kept.by.len() >= most => return None,
            None => kept.by.push(told),
        }
        Some((before + wanted.amount, added))
    }

    /// A member's sums; the totals go back to it.
    pub fn heard_sums(&mut self, now: Moment, from: Number, bytes: &[u8]) -> Result<(), Refused> {
        let (life, serial, items) = read::<SUM>(bytes)?;
        let items = items.iter().map(read_sum).collect::<Result<Vec<_>, _>>()?;
        self.is_new(now, from, life, serial)?;
        self.silent.remove(&from);
        let mut out = head(life, serial);
        for (name, firm, wanted) in items {
            if let Some((total, added)) = self.keep(now, name, from, (life, serial), firm, wanted) {
                put_name(&mut out, name | if added { ADDED } else { 0 });
                put_figure(&mut out, total);
            }
        }
        if out.len() == BODY_HEAD {
            return Err(Refused::Flood);
        }
        self.sends.push((from, Kind::Totals, out));
        Ok(())
    }

    fn is_new(&mut self, now: Moment, from: Number, life: u32, serial: u16) -> Result<(), Refused> {
        let latest = self.latest.entry(from).or_insert(Latest { life, serial, since: now });
        if life == latest.life {
            if is_before(serial, latest.serial.wrapping_sub(OLD)) {
                return Err(Refused::Old);
            }
            latest.serial = if is_before(latest.serial, serial) { serial } else { latest.serial };
            return Ok(());
        }
        // A life that looks earlier is one: unless the present one is long known, and a clock was set back.
        if life.wrapping_sub(latest.life) > u32::MAX / 2 && now.since(latest.since) < LATE {
            return Err(Refused::Old);
        }
        *latest = Latest { life, serial, since: now };
        Ok(())
    }

    /// A keeper's totals.
    pub fn heard_totals(&mut self, now: Moment, from: Number, bytes: &[u8]) -> Result<(), Refused> {
        let (life, serial, items) = read::<TOTAL>(bytes)?;
        let items = items.iter().map(read_total).collect::<Result<Vec<_>, _>>()?;
        if life != self.life || is_before(self.serial, serial) {
            return Err(Refused::Old);
        }
        self.silent.remove(&from);
        for (told, total, added) in items {
            let is_it = |it: &(&Name, &Ask)| *it.0 & NAME == told && it.1.keeper == from;
            let found = self.asks.iter().find(is_it).map(|(name, ask)| (*name, ask.sent, ask.serial));
            // A second answer, or one to a sum that is not the present one, is nothing new.
            if let Some((name, sent, _)) = found.filter(|it| !is_before(serial, it.2)) {
                self.usual_s += 0.1 * (now.since(sent).secs() - self.usual_s);
                self.over(name, Some((total, added)));
            }
        }
        Ok(())
    }

    /// Repeats what is unanswered, gives up what was repeated enough, forgets what is old.
    pub fn due(&mut self, now: Moment, keepers: &impl Keepers) {
        let late: Vec<Name> = self.asks.iter().filter(|(_, ask)| now >= ask.again).map(|it| *it.0).collect();
        for name in late {
            let Some(ask) = self.asks.remove(&name) else { continue };
            if ask.tries + 1 < TRIES {
                self.asked.1 += 1;
                self.ask(now, name, ask.tries + 1, keepers);
                continue;
            }
            let life = keepers.works(ask.keeper).unwrap_or_default();
            let silent = self.silent.entry(ask.keeper).or_default();
            *silent = (silent.0.saturating_add(1), now + PASSED_OVER, life);
            self.asked.2 += 1;
            self.over(name, None);
        }
        if now >= self.cleans {
            self.cleans = now + Span::from_millis(1_000);
            self.sums.retain(|_, sum| now < sum.until);
            self.kept.retain(|_, kept| now < kept.until);
            self.silent.retain(|_, silent| now < silent.1);
        }
    }

    pub fn next(&self) -> Option<Moment> {
        self.asks.values().map(|ask| ask.again).min()
    }

    /// Totals that came, or none for those that will not.
    pub fn results(&mut self) -> Vec<(Name, Outcome)> {
        std::mem::take(&mut self.results)
    }

    /// Datagrams' bodies to be sent: sums asked for at one time go to their keeper together.
    pub fn sends(&mut self) -> Vec<(Number, Kind, Vec<u8>)> {
        for (keeper, names) in std::mem::take(&mut self.going) {
            for part in names.chunks(MOST_SUMS) {
                self.serial = self.serial.wrapping_add(1);
                let mut out = head(self.life, self.serial);
                for name in part {
                    let Some(sum) = self.sums.get(name) else { continue };
                    put_name(&mut out, name & NAME);
                    let ConditionalAdd { amount, max_total: most, max_with_deficit: most_marked } =
                        sum.wanted;
                    [sum.firm, amount, most, most_marked].iter().for_each(|it| put_figure(&mut out, *it));
                }
                self.sends.push((keeper, Kind::Sums, out));
            }
        }
        std::mem::take(&mut self.sends)
    }

    /// Names kept for others and of its own: what memory goes by.
    pub fn size(&self) -> (usize, usize) {
        (self.kept.len(), self.sums.len())
    }
}

/// Serials count round.
fn is_before(a: u16, b: u16) -> bool {
    a != b && b.wrapping_sub(a) < u16::MAX / 2
}
