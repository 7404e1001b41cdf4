//! Days of the stores: what strikes them when. A seed draws a day; a family leans it towards one kind of trouble.

use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use super::client::MOST_QUEUED;
use super::configuration::MAX_ROUTES;
use super::moment::{Aimed, Blow, Moment, Whom};

use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND, SECOND};

const FIRST_TROUBLE: Micros = 4 * SECOND;
const MOST_ITEMS: usize = 4;
const ITEMS_AT_ONCE: usize = 4;

/// On days with failing items a head is lost each time after so long.
const HEAD_LOST_EVERY: (Micros, Micros) = (200 * MILLISECOND, 4 * SECOND);
const MOST_LOST_ANSWERS_PER_MILLE: u64 = 20;

/// What a day leans towards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreFamily {
    /// More stores than may be lost are dark at once, again and again; no disk is lost.
    Overlap,
    /// All are dark and come back one by one.
    AllDark,
    /// Two halves, one-way cuts.
    Halves,
    /// The same stores go down and up.
    Flap,
    /// Disks are lost and stores replaced while others are being repaired.
    Repair,
    /// Heads freeze between their sync and what they send; views that are old.
    HeadFreeze,
    /// Blows at the moment of a copy, a batch, a level link, a first word.
    Aimed,
    /// Disks are full, stalled, slow and lost, one after the other.
    Disks,
    /// Learners that join while their head makes so many entries more.
    Behind,
    /// Groups are lost beyond what is borne, and an operator gives them up.
    GivenUp,
    Mixed,
}

/// What happens to a store at the moment at which a view is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum AtView {
    Kill,
    /// All links before one that has just joined.
    KillAllButJoining,
    Freeze,
    SlowLink,
    Cut,
    Unheard,
}

/// Stores are named by rank: the links of one group first, head to tail, then the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreTrouble {
    /// Processes end; the disks stay.
    Kill {
        stores: Vec<usize>,
        for_: Micros,
    },
    Freeze {
        store: usize,
        for_: Micros,
    },
    /// The next store that heads a group and has something on its disk freezes before it sends it.
    FreezeHead {
        for_: Micros,
    },
    /// The next store that answers a reader is killed, or cut off from the core.
    StrikeReader {
        for_: Micros,
        kill: bool,
    },
    /// The store of that rank, when the next view is decided.
    StrikeAtView {
        for_: Micros,
        how: AtView,
        rank: usize,
    },
    Cut {
        inside: Vec<usize>,
        for_: Micros,
        one_way: bool,
    },
    /// Not heard by the core, and without its news.
    CutFromCore {
        stores: Vec<usize>,
        for_: Micros,
    },
    Lossy {
        for_: Micros,
        lost: u64,
    },
    SlowLink {
        store: usize,
        for_: Micros,
        delay: Micros,
    },
    SlowDisk {
        store: usize,
        for_: Micros,
        times: u64,
    },
    CoreDark {
        for_: Micros,
    },
    /// All lose power; each is back after its own time.
    AllDark {
        back: Vec<Micros>,
    },
    /// The disk is lost; the store comes back empty.
    Wipe {
        store: usize,
        for_: Micros,
    },
    /// Gone for good; an empty one comes at another address.
    Replace {
        store: usize,
        gap: Micros,
    },
    Retire {
        store: usize,
    },
    Add,
    /// A tail is not heard, and a data plane gets no news of who took its place.
    StaleTail {
        plane: usize,
        for_: Micros,
    },
    /// A data plane gets no news.
    StalePlane {
        plane: usize,
        for_: Micros,
    },
    /// A blow at a moment.
    AtMoment(Aimed),
    /// The next learner that has copied its group finds so many entries more there.
    Behind {
        entries: usize,
    },
    /// The next learner that has copied its group finds so many entries more, and the copy that it asks for then comes so late.
    LateCopy {
        entries: usize,
        for_: Micros,
    },
    /// A disk takes nothing.
    FullDisk {
        store: usize,
        for_: Micros,
    },
    /// A disk ends no write.
    StalledDisk {
        store: usize,
        for_: Micros,
    },
    /// All stores that hold a group lose their disks, more than is borne; or they are cut off with a data plane that has no news.
    LoseGroup {
        cut_off: bool,
        for_: Micros,
    },
    /// Tenants may have so many tokens queued from now on.
    Quota {
        most: u64,
    },
    /// A tenant is not in the configuration: it sends no new batch jobs.
    TenantAway {
        tenant: usize,
        for_: Micros,
    },
    /// After a loss of power by all, the first store that the core hears is struck at once.
    FirstWord {
        for_: Micros,
        whom: Whom,
    },
    /// Between the look at the stores and the word of the next view, a store goes.
    BetweenLookAndWord {
        rank: usize,
        for_: Micros,
    },
}

impl StoreTrouble {
    /// With the stores that have these ranks at the time.
    pub fn at(self, of_rank: &impl Fn(usize) -> usize) -> Self {
        let all = |ranks: Vec<usize>| ranks.into_iter().map(of_rank).collect();
        match self {
            Self::Kill { stores, for_ } => Self::Kill { stores: all(stores), for_ },
            Self::Freeze { store, for_ } => Self::Freeze { store: of_rank(store), for_ },
            Self::Cut { inside, for_, one_way } => Self::Cut { inside: all(inside), for_, one_way },
            Self::CutFromCore { stores, for_ } => Self::CutFromCore { stores: all(stores), for_ },
            Self::SlowLink { store, for_, delay } => Self::SlowLink { store: of_rank(store), for_, delay },
            Self::SlowDisk { store, for_, times } => Self::SlowDisk { store: of_rank(store), for_, times },
            Self::Wipe { store, for_ } => Self::Wipe { store: of_rank(store), for_ },
            Self::Replace { store, gap } => Self::Replace { store: of_rank(store), gap },
            Self::Retire { store } => Self::Retire { store: of_rank(store) },
            Self::FullDisk { store, for_ } => Self::FullDisk { store: of_rank(store), for_ },
            Self::StalledDisk { store, for_ } => Self::StalledDisk { store: of_rank(store), for_ },
            other => other,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreStrike {
    pub at: Micros,
    pub trouble: StoreTrouble,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreDay {
    pub seed: u64,
    pub family: StoreFamily,
    pub losses: usize,
    pub stores: usize,
    pub zones: usize,
    pub tenants: usize,
    /// Between a tenant's batch jobs.
    pub pause: Micros,
    pub strikes: Vec<StoreStrike>,
    /// When all lose power at last, and so many disks are lost.
    pub closing: Micros,
    pub closing_wipes: usize,
    /// Whether an operator gives up what is lost.
    pub gives_up: bool,
    /// What a sync takes at each store; drawn where there is none.
    pub fixed_sync: Option<Micros>,
    /// Items of a batch job at most, and how many run at once at a store.
    pub most_items: usize,
    pub items_at_once: usize,
    /// Whether an operator keeps adding, removing and changing batch routes.
    pub changes_routes: bool,
    /// Whether most items fail at each run or are rejected, and configurations follow each other without a pause.
    pub has_failing_items: bool,
    /// Whether submissions arrive late now and then, also after their client has stopped waiting, and tenants are at their quota.
    pub has_late_calls: bool,
    /// Of a thousand answers of servers to stores, so many are lost.
    pub lost_answers_per_mille: u64,
}

/// A holder may be given up after so long, and a store goes on so long without the core: the program's times, made short.
pub const GIVE_UP_AFTER: Micros = 5 * SECOND;
pub const STORE_LEASE: Micros = 2_500 * MILLISECOND;

impl StoreDay {
    /// The day of a seed; families take turns.
    pub fn drawn(seed: u64) -> Self {
        let families: Vec<StoreFamily> = StoreFamily::iter().collect();
        Self::of_family(seed, families[(seed % families.len() as u64) as usize])
    }

    /// The day of a seed, while an operator keeps adding, removing and changing batch routes.
    pub fn with_changing_routes(seed: u64) -> Self {
        Self::drawn(seed).changing_routes()
    }

    /// The same day while an operator changes batch routes. A tenant's quota counts for each route, so stores run as many more items at
    /// once: what has no result in the end is to wait without end, and not for its turn.
    pub fn changing_routes(self) -> Self {
        Self { changes_routes: true, items_at_once: ITEMS_AT_ONCE * MAX_ROUTES, ..self }
    }

    /// The day of a seed on which submissions arrive late, and tenants are at their quota.
    pub fn with_late_calls(seed: u64) -> Self {
        Self { has_late_calls: true, ..Self::drawn(seed) }
    }

    /// The tokens of each tenant that may be queued on a route at first.
    pub fn most_queued(&self) -> u64 {
        match self.has_late_calls {
            true => MOST_QUEUED / 8,
            false => MOST_QUEUED,
        }
    }

    /// The day of a seed with changing routes, on which items fail, and heads are lost again and again.
    pub fn with_failing_items(seed: u64) -> Self {
        Self::with_changing_routes(seed).failing_items()
    }

    /// The same day with items that fail at each run or are rejected, changes each tenth of a second, lost answers, and heads, or
    /// all stores, that lose power again and again.
    pub fn failing_items(self) -> Self {
        let mut chance = SeededRng::new(self.seed ^ 0x6661_696c);
        let mut day = Self {
            has_failing_items: true,
            lost_answers_per_mille: chance.between(0, MOST_LOST_ANSWERS_PER_MILLE),
            ..self
        };
        let most_between = chance.between(HEAD_LOST_EVERY.0, HEAD_LOST_EVERY.1);
        let mut at = FIRST_TROUBLE;
        while at < day.closing {
            let back = |chance: &mut SeededRng| chance.between(50 * MILLISECOND, 900 * MILLISECOND);
            let trouble = match chance.per_mille(300) {
                true => StoreTrouble::AllDark { back: (0..day.stores).map(|_| back(&mut chance)).collect() },
                false => StoreTrouble::Kill { stores: vec![0], for_: back(&mut chance) },
            };
            day.strikes.push(StoreStrike { at, trouble });
            at += chance.between(HEAD_LOST_EVERY.0, most_between);
        }
        day.strikes.sort_by_key(|strike| strike.at);
        day
    }

    pub fn of_family(seed: u64, family: StoreFamily) -> Self {
        let mut chance = SeededRng::new(seed ^ 0x7374_6f72);
        let losses = 1 + chance.below(2);
        let stores = losses + 3 + chance.below(7 - losses);
        let zones = 2 + chance.below(3);
        let length = chance.between(6 * SECOND, 16 * SECOND);
        let mut day = Self {
            seed,
            family,
            losses,
            stores,
            zones,
            tenants: 1 + chance.below(3),
            pause: chance.between(80 * MILLISECOND, 900 * MILLISECOND),
            strikes: Vec::new(),
            closing: FIRST_TROUBLE + length,
            closing_wipes: chance.below(losses + 1),
            gives_up: family == StoreFamily::GivenUp,
            changes_routes: false,
            has_failing_items: false,
            has_late_calls: false,
            lost_answers_per_mille: 0,
            fixed_sync: None,
            most_items: MOST_ITEMS,
            items_at_once: ITEMS_AT_ONCE,
        };
        if day.gives_up {
            day.closing_wipes = 0;
        }
        let count = 3 + chance.below(14);
        for _ in 0..count {
            let at = FIRST_TROUBLE + chance.between(0, length);
            let trouble = day.trouble(&mut chance);
            day.strikes.push(StoreStrike { at, trouble });
        }
        day.strikes.sort_by_key(|strike| strike.at);
        day
    }

    /// A day without troubles, to see what an item costs: chains of so many links, so much for a sync, so many items at once.
    pub fn calm(seed: u64, links: usize, sync: Micros, items: usize) -> Self {
        Self {
            losses: links.saturating_sub(2),
            stores: links + 1,
            zones: links,
            tenants: 1,
            pause: 700 * MILLISECOND,
            strikes: Vec::new(),
            closing: FIRST_TROUBLE + 30 * SECOND,
            closing_wipes: 0,
            fixed_sync: Some(sync),
            most_items: items,
            items_at_once: items,
            ..Self::of_family(seed, StoreFamily::Overlap)
        }
    }

    fn trouble(&self, chance: &mut SeededRng) -> StoreTrouble {
        let kind = match self.family {
            StoreFamily::GivenUp => return self.of_given_up(chance),
            StoreFamily::Aimed if chance.per_mille(650) => return Self::aimed(chance),
            StoreFamily::Aimed if chance.per_mille(500) => return self.kill(chance, self.losses),
            StoreFamily::Disks if chance.per_mille(700) => return self.of_disks(chance),
            StoreFamily::Behind if chance.per_mille(600) => return self.of_behind(chance),
            _ if chance.per_mille(100) => return self.of_configuration(chance),
            _ if chance.per_mille(100) => return Self::aimed(chance),
            StoreFamily::Mixed | StoreFamily::Aimed | StoreFamily::Disks | StoreFamily::Behind => {
                chance.below(100)
            }
            _ if chance.per_mille(250) => chance.below(100),
            _ if chance.per_mille(200) => return self.at_view(chance),
            StoreFamily::Overlap => return self.kill(chance, self.losses + 2),
            StoreFamily::AllDark if chance.per_mille(350) => return self.all_dark(chance),
            StoreFamily::AllDark => return self.kill(chance, self.losses),
            StoreFamily::Halves => 30 + chance.below(25),
            StoreFamily::Flap => {
                let store = chance.below(2);
                return match chance.per_mille(600) {
                    true => StoreTrouble::Kill { stores: vec![store], for_: short(chance) },
                    false => StoreTrouble::Freeze { store, for_: short(chance) },
                };
            }
            StoreFamily::Repair if chance.per_mille(500) => 80 + chance.below(20),
            StoreFamily::Repair => return self.kill(chance, self.losses),
            StoreFamily::HeadFreeze => 15 + chance.below(15),
        };
        let store = chance.below(self.stores);
        match kind {
            0..=9 => self.kill(chance, self.losses + 1),
            10..=14 => StoreTrouble::Freeze { store, for_: short(chance) },
            15..=21 => StoreTrouble::FreezeHead { for_: short(chance) },
            22..=25 => StoreTrouble::StrikeReader { for_: short(chance), kill: chance.per_mille(500) },
            26..=27 => StoreTrouble::StaleTail { plane: chance.below(3), for_: 2 * short(chance) },
            28..=29 => StoreTrouble::StalePlane { plane: chance.below(3), for_: 2 * short(chance) },
            30..=40 => {
                let size = 1 + chance.below(self.stores / 2 + 1);
                let inside = self.some(chance, size);
                StoreTrouble::Cut { inside, for_: short(chance), one_way: chance.per_mille(350) }
            }
            41..=48 => {
                let stores = self.some(chance, self.losses + 1);
                StoreTrouble::CutFromCore { stores, for_: short(chance) }
            }
            49..=54 => StoreTrouble::CoreDark { for_: short(chance) },
            55..=59 => StoreTrouble::Lossy { for_: short(chance), lost: chance.between(50, 400) },
            60..=64 => {
                let most = if chance.per_mille(150) { 9 * SECOND } else { 2 * SECOND };
                let delay = chance.between(20 * MILLISECOND, most);
                StoreTrouble::SlowLink { store, for_: short(chance), delay }
            }
            65..=69 => StoreTrouble::SlowDisk { store, for_: short(chance), times: chance.between(5, 200) },
            70..=74 => self.all_dark(chance),
            75..=79 => StoreTrouble::Add,
            80..=89 => StoreTrouble::Wipe { store, for_: short(chance) },
            90..=95 => StoreTrouble::Replace { store, gap: short(chance) },
            _ => StoreTrouble::Retire { store },
        }
    }

    fn aimed(chance: &mut SeededRng) -> StoreTrouble {
        if chance.per_mille(80) {
            return StoreTrouble::FirstWord { for_: short(chance), whom: one_of(chance) };
        }
        if chance.per_mille(120) {
            return StoreTrouble::BetweenLookAndWord { rank: chance.below(4), for_: short(chance) };
        }
        StoreTrouble::AtMoment(Aimed {
            moment: one_of(chance),
            passes: chance.below(4),
            blow: one_of(chance),
            whom: one_of(chance),
            for_: short(chance),
        })
    }

    fn of_disks(&self, chance: &mut SeededRng) -> StoreTrouble {
        let (store, for_) = (chance.below(self.stores), short(chance));
        match chance.below(4) {
            0 => StoreTrouble::FullDisk { store, for_ },
            1 => StoreTrouble::StalledDisk { store, for_ },
            2 => StoreTrouble::SlowDisk { store, for_, times: chance.between(5, 200) },
            _ => StoreTrouble::Wipe { store, for_ },
        }
    }

    fn of_behind(&self, chance: &mut SeededRng) -> StoreTrouble {
        let entries = [0, 1, 24, 25, 600];
        match chance.below(7) {
            5 | 6 => {
                let late = chance.between(200 * MILLISECOND, 2_500 * MILLISECOND);
                StoreTrouble::LateCopy { entries: 600, for_: late }
            }
            0 | 1 => StoreTrouble::Behind { entries: chance.choose(&entries).copied().unwrap_or(0) },
            2 => StoreTrouble::Wipe { store: chance.below(self.stores), for_: short(chance) },
            3 => StoreTrouble::AtMoment(Aimed {
                moment: if chance.per_mille(500) { Moment::CopySent } else { Moment::Copied },
                passes: chance.below(2),
                blow: if chance.per_mille(600) { Blow::LateMessage } else { one_of(chance) },
                whom: one_of(chance),
                for_: short(chance),
            }),
            _ => self.kill(chance, self.losses),
        }
    }

    fn of_given_up(&self, chance: &mut SeededRng) -> StoreTrouble {
        match chance.below(10) {
            0..=3 => StoreTrouble::LoseGroup {
                cut_off: chance.per_mille(500),
                for_: chance.between(GIVE_UP_AFTER, 3 * GIVE_UP_AFTER),
            },
            4 => StoreTrouble::AtMoment(Aimed {
                moment: Moment::BegunAnew,
                passes: 0,
                blow: if chance.per_mille(500) { Blow::Kill } else { Blow::Cut },
                whom: one_of(chance),
                for_: short(chance),
            }),
            5 => StoreTrouble::CoreDark { for_: short(chance) },
            6 => StoreTrouble::Freeze { store: chance.below(self.stores), for_: short(chance) },
            7 => StoreTrouble::StalePlane { plane: chance.below(3), for_: 2 * short(chance) },
            _ => self.kill(chance, self.losses),
        }
    }

    fn of_configuration(&self, chance: &mut SeededRng) -> StoreTrouble {
        match chance.per_mille(500) {
            true => StoreTrouble::Quota { most: chance.between(60, 400) },
            false => StoreTrouble::TenantAway { tenant: chance.below(self.tenants), for_: 2 * short(chance) },
        }
    }

    fn kill(&self, chance: &mut SeededRng, most: usize) -> StoreTrouble {
        let size = 1 + chance.below(most);
        StoreTrouble::Kill { stores: self.some(chance, size), for_: short(chance) }
    }

    fn at_view(&self, chance: &mut SeededRng) -> StoreTrouble {
        let ways: Vec<AtView> = AtView::iter().collect();
        let how = chance.choose(&ways).copied().unwrap_or(AtView::Kill);
        StoreTrouble::StrikeAtView { for_: short(chance), how, rank: chance.below(self.losses + 3) }
    }

    fn all_dark(&self, chance: &mut SeededRng) -> StoreTrouble {
        let apart = chance.between(0, 1_500 * MILLISECOND);
        let back = (0..self.stores).map(|_| chance.between(0, 1 + apart * self.stores as u64 / 2));
        StoreTrouble::AllDark { back: back.map(|more| 300 * MILLISECOND + more).collect() }
    }

    fn some(&self, chance: &mut SeededRng, size: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.stores).collect();
        let mut some = Vec::new();
        for _ in 0..size.min(self.stores) {
            some.push(all.swap_remove(chance.below(all.len())));
        }
        some
    }
}

/// One of all ways.
fn one_of<T: IntoEnumIterator + Copy>(chance: &mut SeededRng) -> T {
    let all: Vec<T> = T::iter().collect();
    all[chance.below(all.len())]
}

/// Around the time after which a silent store is put out.
fn short(chance: &mut SeededRng) -> Micros {
    match chance.per_mille(700) {
        true => chance.between(200 * MILLISECOND, 2_000 * MILLISECOND),
        false => chance.between(1_000 * MILLISECOND, 4_000 * MILLISECOND),
    }
}
