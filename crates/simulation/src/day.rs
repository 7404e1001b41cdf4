//! Days: machines, and the troubles that strike them at set times. A seed draws a day; a family leans it towards one
//! kind of trouble.

use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::chance::Chance;

/// Microseconds of simulated time.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A replaced or wiped machine counts as lost until so long after it and all others are back, as in the users' deployments.
pub const CATCH_UP: Micros = 5_200 * MILLISECOND;
const FIRST_TROUBLE: Micros = 4 * SECOND;

/// What a day leans towards: the users' points (1) to (4), and everything mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Family {
    /// A machine is cut off for long, and orders go on.
    CutOff,
    /// Orders race, answers are lost, whoever acknowledges is struck.
    Races,
    /// One disk after the other is lost, machines are replaced, others are dark meanwhile.
    SecondLoss,
    /// Hundreds of changes while a machine is away.
    ManyChanges,
    /// Several machines at once take it upon themselves to change the view, with messages late and out of order.
    Duels,
    Mixed,
}

/// One trouble.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The process ends; the disk stays.
    Kill {
        machines: Vec<usize>,
        for_: Micros,
    },
    Freeze {
        machine: usize,
        for_: Micros,
    },
    /// The machines in `inside` and all others cannot reach each other; with `one_way` only the others do not hear them.
    Cut {
        inside: Vec<usize>,
        for_: Micros,
        one_way: bool,
    },
    /// Two machines cannot reach each other, while both reach all others.
    PairCut {
        pair: [usize; 2],
        for_: Micros,
    },
    /// So many messages in a thousand are lost, so many come twice.
    Lossy {
        for_: Micros,
        lost: u64,
        doubled: u64,
    },
    /// Everything from and to the machine takes so much longer.
    SlowLink {
        machine: usize,
        for_: Micros,
        delay: Micros,
    },
    /// Writes take so many times as long; with 0 they stand still.
    SlowDisk {
        machine: usize,
        for_: Micros,
        times: u64,
    },
    /// The disks are lost, the machines come back empty; the `dark` ones lose power at the same moment and come back later.
    Wipe {
        machines: Vec<usize>,
        for_: Micros,
        dark: Vec<usize>,
        dark_for: Micros,
    },
    /// The machine is gone for good, another comes at another address; planned: the other one first.
    Replace {
        machine: usize,
        gap: Micros,
        planned: bool,
    },
    /// One machine misses changes, then another loses its disk while the rest are dark; then all come back.
    Behind {
        cut: usize,
        wiped: usize,
        missed_for: Micros,
        dark_for: Micros,
    },
    /// Whoever acknowledges next loses power a moment later; with `wipe` its disk, too.
    AfterAck {
        wipe: bool,
        for_: Micros,
        within: Micros,
    },
    /// Answers to operators are lost, so many in a thousand.
    AnswersLost {
        for_: Micros,
        lost: u64,
    },
}

impl Trouble {
    /// From its beginning until all that it touches is well again; a trap lasts from when it springs.
    pub fn lasts(&self) -> Micros {
        match self {
            Self::Kill { for_, .. }
            | Self::Freeze { for_, .. }
            | Self::Cut { for_, .. }
            | Self::PairCut { for_, .. }
            | Self::Lossy { for_, .. }
            | Self::SlowLink { for_, .. }
            | Self::SlowDisk { for_, .. }
            | Self::AfterAck { for_, .. } => *for_,
            Self::Wipe { for_, dark, dark_for, .. } if !dark.is_empty() => *for_.max(dark_for),
            Self::Wipe { for_, .. } => *for_,
            Self::Replace { gap, .. } => *gap,
            Self::Behind { missed_for, dark_for, .. } => missed_for + dark_for,
            Self::AnswersLost { .. } => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    pub at: Micros,
    pub trouble: Trouble,
}

/// A day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Day {
    pub seed: u64,
    pub family: Family,
    /// Losses of disks at once that must be borne.
    pub losses: usize,
    /// Machines that count at the start; replacements take further numbers.
    pub machines: usize,
    pub operators: usize,
    /// Between an operator's orders.
    pub pause: Micros,
    pub strikes: Vec<Strike>,
    /// When the last trouble strikes: every machine is down, some lose their disks, all come back.
    pub closing: Micros,
    pub closing_wipes: Vec<usize>,
}

impl Day {
    /// Draws a day. The families take turns over the seeds.
    pub fn drawn(seed: u64) -> Self {
        let families: Vec<Family> = Family::iter().collect();
        Self::of_family(seed, families[(seed % families.len() as u64) as usize])
    }

    pub fn of_family(seed: u64, family: Family) -> Self {
        Draw { chance: Chance::new(seed), busy_until: 0, replaced: Vec::new() }.day(seed, family)
    }
}

struct Draw {
    chance: Chance,
    /// When the troubles that were drawn will be over.
    busy_until: Micros,
    replaced: Vec<usize>,
}

impl Draw {
    fn day(&mut self, seed: u64, family: Family) -> Day {
        let losses = 1 + usize::from(self.chance.in_thousand(200));
        let fewest = 2 * losses + 1;
        let machines = fewest + self.chance.below(losses + 2);
        let length = self.chance.between(20, 34) * SECOND;
        let pause = match family {
            Family::ManyChanges => self.chance.between(8, 40) * MILLISECOND,
            _ => self.chance.between(40, 500) * MILLISECOND,
        };
        let mut strikes = Vec::new();
        let mut at = FIRST_TROUBLE;
        while at < length {
            let trouble = self.trouble(family, machines, losses);
            self.busy_until = self.busy_until.max(at + trouble.lasts());
            strikes.push(Strike { at, trouble });
            let longest = if family == Family::Duels { SECOND } else { 6 * SECOND };
            at += self.chance.between(200 * MILLISECOND, longest);
            // A further disk may be lost only once what was lost is made good: wait for that now and then.
            if self.chance.in_thousand(if family == Family::SecondLoss { 700 } else { 250 }) {
                at = at.max(self.busy_until + CATCH_UP + self.chance.between(0, 300 * MILLISECOND));
            }
        }
        let closing = match self.chance.in_thousand(500) {
            true => length.max(self.busy_until + CATCH_UP) + self.chance.between(0, SECOND),
            false => length,
        };
        let closing_wipes = match self.chance.in_thousand(600) {
            true => self.some(machines, losses),
            false => Vec::new(),
        };
        Day {
            seed,
            family,
            losses,
            machines,
            operators: 2 + self.chance.below(2),
            pause,
            strikes,
            closing,
            closing_wipes,
        }
    }

    fn some(&mut self, machines: usize, most: usize) -> Vec<usize> {
        let count = 1 + self.chance.below(most);
        let mut chosen: Vec<usize> = Vec::new();
        while chosen.len() < count {
            let machine = self.chance.below(machines);
            if !chosen.contains(&machine) {
                chosen.push(machine);
            }
        }
        chosen
    }

    fn trouble(&mut self, family: Family, machines: usize, losses: usize) -> Trouble {
        let kinds: &[usize] = match family {
            Family::CutOff => &[2, 2, 2, 2, 1, 0, 9, 11],
            Family::Races => &[8, 8, 10, 10, 3, 0, 2, 11],
            Family::SecondLoss => &[6, 6, 7, 7, 9, 9, 0, 2, 8],
            Family::ManyChanges => &[0, 2, 1, 6, 9, 4, 5],
            Family::Duels => &[11, 11, 4, 4, 4, 1, 3, 2],
            Family::Mixed => &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 11],
        };
        let kind = *self.chance.pick(kinds).unwrap_or(&0);
        let machine = self.chance.below(machines);
        let short = self.chance.between(50 * MILLISECOND, 4 * SECOND);
        match kind {
            1 => Trouble::Freeze { machine, for_: self.chance.between(300, 8_000) * MILLISECOND },
            2 => self.cut(family, machines),
            3 => Trouble::Lossy {
                for_: short,
                lost: self.chance.between(10, 400),
                doubled: self.chance.between(0, 300),
            },
            4 => Trouble::SlowLink { machine, for_: short, delay: self.chance.between(5, 900) * MILLISECOND },
            5 => Trouble::SlowDisk { machine, for_: short, times: self.chance.between(0, 60) },
            6 => self.wipe(machines, losses),
            7 if self.replaced.len() < 2 => {
                let gap = self.chance.between(200, 2_500) * MILLISECOND;
                self.replaced.push(machine);
                Trouble::Replace { machine, gap, planned: self.chance.in_thousand(400) }
            }
            8 => {
                let wipe = self.chance.in_thousand(500);
                Trouble::AfterAck { wipe, for_: short, within: self.chance.between(0, 6) * MILLISECOND }
            }
            9 => self.behind(machines),
            11 => Trouble::PairCut {
                pair: [machine, (machine + 1 + self.chance.below(machines - 1)) % machines],
                for_: self.chance.between(500, 8_000) * MILLISECOND,
            },
            10 => Trouble::AnswersLost { for_: short, lost: self.chance.between(300, 900) },
            _ => {
                let all = self.chance.in_thousand(250);
                let machines = if all { (0..machines + 4).collect() } else { vec![machine] };
                Trouble::Kill { machines, for_: short }
            }
        }
    }

    fn cut(&mut self, family: Family, machines: usize) -> Trouble {
        let half = self.chance.in_thousand(300);
        let inside = if half { self.some(machines, machines / 2) } else { vec![self.chance.below(machines)] };
        let longest = if family == Family::CutOff { 20 } else { 8 };
        Trouble::Cut {
            inside,
            for_: self.chance.between(500, longest * 1_000) * MILLISECOND,
            one_way: self.chance.in_thousand(250),
        }
    }

    fn wipe(&mut self, machines: usize, losses: usize) -> Trouble {
        let wiped = self.some(machines, losses);
        let for_ = self.chance.between(50, 3_000) * MILLISECOND;
        let dark_for = self.chance.between(100, 4_000) * MILLISECOND;
        let all_dark = self.chance.in_thousand(400);
        let dark = match all_dark {
            true => (0..machines).filter(|machine| !wiped.contains(machine)).collect(),
            false => Vec::new(),
        };
        Trouble::Wipe { machines: wiped, for_, dark, dark_for }
    }

    fn behind(&mut self, machines: usize) -> Trouble {
        let cut = self.chance.below(machines);
        let wiped = (cut + 1 + self.chance.below(machines - 1)) % machines;
        let missed_for = self.chance.between(1_000, 6_000) * MILLISECOND;
        let dark_for = self.chance.between(200, 4_000) * MILLISECOND;
        Trouble::Behind { cut, wiped, missed_for, dark_for }
    }
}
