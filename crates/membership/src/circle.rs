//! A limiter's place among the others: datagrams in, datagrams out, a view, and counts.

use crate::budget::Budget;
use crate::clock::BEAT;
use crate::frame::{Frame, Kind, Refused};
use crate::members::Members;
use crate::shares;
use crate::tally::{Keepers, Name, Outcome, Tally};
use crate::view::{Change, Reach, State, View};
use crate::Number;
use fennelgauge::host::ConditionalAdd;
use fennelgauge::time::{Moment, Span};
use std::collections::BTreeMap;

/// What a limiter needs to know to take its place.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub own: Number,
    /// Members in the list, this limiter included.
    pub of: Number,
    /// Its place among the zones.
    pub zone: Option<u8>,
    /// Datagrams a second that a limiter takes in.
    pub mail_per_s: f64,
    /// Whether counts are told among members.
    pub counts: bool,
    pub seed: u64,
}

/// Shares of what a limiter takes in a second: each is sent about as much as it sends. A count costs two datagrams,
/// there and back; probes and news have what is left, of which they need a tenth on a quiet day.
const COUNTS: f64 = 0.4;
/// While more than this part of what it takes in comes in already, a limiter asks for no counts: what is beyond would be
/// dropped at its own door, answers first.
const FULL: f64 = 0.85;
/// Over which what comes in is averaged, in seconds.
const OVER_S: f64 = 0.7;
const NEWS: f64 = 0.5;

pub struct Circle {
    terms: Terms,
    members: Members,
    tally: Tally,
    news: Budget,
    counts: Budget,
    taken: Budget,
    refused: BTreeMap<Refused, u64>,
    /// Datagrams and bytes, sent and taken in.
    pub sent: (u64, u64),
    pub came: (u64, u64),
    /// Datagrams a second of late, as of a moment awake.
    inflow: (f64, Moment),
    out: Vec<(Number, Vec<u8>)>,
    left: bool,
}

impl Keepers for Members {
    fn works(&self, number: Number) -> Option<u64> {
        // One that is suspected is passed over at once: the suspicion goes round within a second, and a count kept at
        // two places for as long says too little, while one kept nowhere says nothing.
        let fact = self.view().fact(number)?;
        matches!(fact.state, State::Present | State::NeverHeard).then_some(fact.life)
    }
}

impl Circle {
    pub fn start(now: Moment, terms: Terms) -> Self {
        let members = Members::start(now, terms.own, terms.of, terms.zone, terms.seed);
        let budget =
            |share: f64| Budget::new(now, terms.mail_per_s * share, (terms.mail_per_s * share).max(4.0));
        Self {
            tally: Tally::new(now, terms.own, terms.of, members.identity().life),
            members,
            news: budget(NEWS),
            counts: budget(COUNTS),
            taken: budget(2.0),
            refused: BTreeMap::new(),
            sent: (0, 0),
            came: (0, 0),
            inflow: (0.0, now),
            out: Vec::new(),
            left: false,
            terms,
        }
    }

    /// A datagram has come, from the address of that member; none: of no member. What is refused is counted.
    pub fn take(&mut self, now: Moment, from: Option<Number>, bytes: &[u8]) -> Result<(), Refused> {
        self.came = (self.came.0 + 1, self.came.1 + bytes.len() as u64);
        let awake = self.members.awake(now);
        self.inflow.0 = self.inflow(awake) + 1.0 / OVER_S;
        let taken = self.taken(now, awake, from, bytes);
        if let Err(refused) = taken {
            *self.refused.entry(refused).or_default() += 1;
        }
        taken
    }

    fn taken(
        &mut self,
        now: Moment,
        awake: Moment,
        from: Option<Number>,
        bytes: &[u8],
    ) -> Result<(), Refused> {
        let from = from.filter(|from| *from != self.terms.own).ok_or(Refused::Stranger)?;
        let frame = Frame::decode(bytes, self.terms.of, from)?;
        // A member gone mad must not take all of this limiter's time.
        if !self.taken.take(awake) {
            return Err(Refused::Flood);
        }
        match frame.kind {
            Kind::Members => self.members.heard(now, from, frame.body)?,
            Kind::Sums => self.tally.heard_sums(awake, from, frame.body)?,
            Kind::Totals => self.tally.heard_totals(awake, from, frame.body)?,
        }
        self.members.seen(awake, from);
        self.collect(awake);
        Ok(())
    }

    /// Sees to what is due; to be called when [`Self::next`] says, and after input.
    pub fn due(&mut self, now: Moment) {
        self.members.due(now);
        let awake = self.members.awake(now);
        self.tally.due(awake, &self.members);
        self.collect(awake);
    }

    pub fn next(&self, now: Moment) -> Moment {
        let next = self.members.next().min(now + BEAT);
        self.tally.next().map_or(next, |at| self.members.real(at).min(next))
    }

    /// Whether members can keep counts now: they may, some are heard, and the budget has room.
    pub fn may_count(&mut self, now: Moment) -> bool {
        let awake = self.members.awake(now);
        let full = self.inflow(awake) > FULL * self.terms.mail_per_s;
        self.terms.counts && !self.left && !full && self.counts.has(awake) && !self.is_cut_off(awake)
    }

    /// Adds to a count among members; its total, or word that none will come, comes among [`Self::results`].
    pub fn add(&mut self, now: Moment, name: Name, amount: f64, wanted: ConditionalAdd) {
        let awake = self.members.awake(now);
        self.counts.take(awake);
        self.tally.add(awake, name, amount, wanted, &self.members);
    }

    fn inflow(&mut self, awake: Moment) -> f64 {
        let faded = self.inflow.0 * (-awake.since(self.inflow.1).secs() / OVER_S).exp();
        self.inflow = (faded, awake);
        faded
    }

    /// So few hear this limiter that a total among members would say nothing.
    fn is_cut_off(&self, awake: Moment) -> bool {
        matches!(self.members.view().reach(awake), Reach::CutOff | Reach::OwnSite)
    }

    pub fn results(&mut self) -> Vec<(Name, Outcome)> {
        self.tally.results()
    }

    /// Among how many a customer's quota is shared; see [`shares::parts`].
    pub fn parts(&mut self, now: Moment, first: u32, size: f64) -> f64 {
        let awake = self.members.awake(now);
        shares::parts(self.members.view(), awake, first, size)
    }

    /// This limiter goes, and says so; nothing is asked of it any more.
    pub fn leave(&mut self, now: Moment) {
        self.left = true;
        self.members.leave(now);
        let awake = self.members.awake(now);
        self.collect(awake);
    }

    fn collect(&mut self, awake: Moment) {
        let own = self.terms.own;
        let frame = |kind, body: &[u8]| Frame { kind, body }.encode(self.terms.of, own);
        for (to, body) in self.members.sends() {
            // What the budget does not allow is as if lost on the way.
            if to != own && self.news.take(awake) {
                self.out.push((to, frame(Kind::Members, &body)));
            }
        }
        for (to, kind, body) in self.tally.sends() {
            self.out.push((to, frame(kind, &body)));
        }
    }

    /// What is to be sent now: to whom, and the whole datagram.
    pub fn sends(&mut self, now: Moment) -> Vec<(Number, Vec<u8>)> {
        let awake = self.members.awake(now);
        self.collect(awake);
        let out = std::mem::take(&mut self.out);
        let bytes: usize = out.iter().map(|it| it.1.len()).sum();
        self.sent = (self.sent.0 + out.len() as u64, self.sent.1 + bytes as u64);
        out
    }

    pub fn view(&self) -> &View {
        self.members.view()
    }

    pub fn reach(&mut self, now: Moment) -> Reach {
        let awake = self.members.awake(now);
        self.members.view().reach(awake)
    }

    /// How many members hold another view, and for how long one has.
    pub fn disagreement(&mut self, now: Moment) -> (usize, Span) {
        let awake = self.members.awake(now);
        self.members.view().disagreement(awake)
    }

    pub fn changes(&mut self) -> Vec<Change> {
        self.members.view_mut().take_changes()
    }

    /// Datagrams dropped, by reason.
    pub fn refused(&self) -> &BTreeMap<Refused, u64> {
        &self.refused
    }

    /// Datagrams of its own that the budget held back, of news and of counts.
    pub fn held_back(&self) -> (u64, u64) {
        (self.news.refused, self.counts.refused)
    }

    pub fn slept(&self) -> Span {
        self.members.slept()
    }

    /// Asks for totals so far, how many went again, and how many stayed unanswered.
    pub fn asks(&self) -> (u64, u64, u64) {
        self.tally.asked
    }

    /// Names of counts kept for others and of its own.
    pub fn counts(&self) -> (usize, usize) {
        self.tally.size()
    }

    /// Its present life; another than that of its start where others had declared it failed.
    pub fn life(&self) -> u64 {
        self.members.identity().life
    }

    /// A moment of the time awake, for ages of facts.
    pub fn awake(&mut self, now: Moment) -> Moment {
        self.members.awake(now)
    }
}
