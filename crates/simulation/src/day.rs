//! Days: simulated test scenarios of the core, with faults that are injected at given times. A day is generated from a seed; its
//! family makes some kinds of fault more frequent.

use strum::{Display, EnumString};

use crate::chance::SeededRng;

/// Microseconds of simulated time.
pub type Micros = u64;

/// One millisecond of simulated time.
pub const MILLISECOND: Micros = 1_000;
/// One second of simulated time.
pub const SECOND: Micros = 1_000_000;

/// A replaced or wiped machine counts as lost until it and all others have been back for this time, as the deployments require.
pub const CATCH_UP_TIME: Micros = 5_200 * MILLISECOND;
/// The time until the platform answers is a multiple of this, up to so many times.
const PLATFORM_DELAY_STEP: Micros = 150 * MILLISECOND;
const PLATFORM_DELAY_STEPS: u64 = 8;
/// Largest number of seeds that the settings name.
const MAX_SEEDS: usize = 3;
/// Largest number of machines that are replaced on a day.
const MAX_REPLACEMENTS: usize = 2;
/// When the first fault is injected.
const FIRST_TROUBLE_AT: Micros = 4 * SECOND;

/// The kinds of fault that are frequent on a day. Its names are values of the command line, in kebab case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Family {
    /// A machine is partitioned for a long time while orders continue.
    CutOff,
    /// Orders are lost and repeated, responses are lost, and machines fail right after an acknowledgement.
    Races,
    /// Disks are lost one after the other and machines are replaced, while others have no power.
    SecondLoss,
    /// Hundreds of changes are made while a machine is absent.
    ManyChanges,
    /// Several machines propose views at the same time, and messages are late and out of order.
    Duels,
    /// All kinds of fault.
    Mixed,
    /// The settings name other seeds, some of them machines without a disk, and all processes end at once.
    NewSeeds,
    /// The head freezes among its calls to the platform.
    FrozenCalls,
}

impl Family {
    /// The families of faults of the core alone. A new family does not belong here: it would change the days of all seeds.
    pub const ROTATION: [Self; 6] =
        [Self::CutOff, Self::Races, Self::SecondLoss, Self::ManyChanges, Self::Duels, Self::Mixed];
    /// The families of faults between the core and those around it: watchers, and the platform.
    pub const AROUND_THE_CORE: [Self; 2] = [Self::NewSeeds, Self::FrozenCalls];
}

/// A fault to inject. `for_` is its duration. Variants and fields are printed under their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The machines lose power and start again after `for_`; the disks are kept.
    Kill { machines: Vec<usize>, for_: Micros },
    /// The process handles nothing until the fault ends.
    Freeze { machine: usize, for_: Micros },
    /// The machines in `inside` and all others cannot reach each other; with `one_way`, only messages from `inside` are blocked.
    Cut { inside: Vec<usize>, for_: Micros, one_way: bool },
    /// Two machines cannot reach each other, while both reach all others.
    PairCut { pair: [usize; 2], for_: Micros },
    /// Of 1000 messages, `lost` are lost, and `doubled` of the others are duplicated.
    Lossy { for_: Micros, lost: u64, doubled: u64 },
    /// Messages from and to the machine take up to `delay` longer.
    SlowLink { machine: usize, for_: Micros, delay: Micros },
    /// Writes take `times` times as long; with 0 they complete only after the fault.
    SlowDisk { machine: usize, for_: Micros, times: u64 },
    /// The machines lose their disks and start again empty after `for_`. The `dark` machines lose power at the same time and start
    /// again after `dark_for`.
    Wipe { machines: Vec<usize>, for_: Micros, dark: Vec<usize>, dark_for: Micros },
    /// The machine is removed for good, and a new one starts at another address. The new machine starts `gap` after the removal, or
    /// `gap` before it if `planned`.
    Replace { machine: usize, gap: Micros, planned: bool },
    /// The machine `cut` is partitioned for `missed_for` and longer, and misses changes. Then the machine `wiped` loses its disk and the
    /// rest lose power for `dark_for`, and all come back.
    Behind { cut: usize, wiped: usize, missed_for: Micros, dark_for: Micros },
    /// The next machine that acknowledges an order loses power `within` later, and with `wipe` also its disk.
    AfterAck { wipe: bool, for_: Micros, within: Micros },
    /// The settings of all processes name these machines as seeds from now on.
    NewSeeds { seeds: Vec<usize> },
    /// The next machine that calls the platform freezes right after its call.
    FreezeCaller { for_: Micros },
    /// Of 1000 responses to operators, `lost` are lost.
    AnswersLost { for_: Micros, lost: u64 },
}

impl Trouble {
    /// Returns the time from the start of the fault until everything that it affects works again. For `AfterAck` and
    /// `FreezeCaller` the time counts from the acknowledgement or the call.
    pub fn lasts(&self) -> Micros {
        match self {
            Self::Kill { for_, .. }
            | Self::Freeze { for_, .. }
            | Self::Cut { for_, .. }
            | Self::PairCut { for_, .. }
            | Self::Lossy { for_, .. }
            | Self::SlowLink { for_, .. }
            | Self::SlowDisk { for_, .. }
            | Self::FreezeCaller { for_ }
            | Self::AfterAck { for_, .. } => *for_,
            Self::Wipe { for_, dark, dark_for, .. } if !dark.is_empty() => *for_.max(dark_for),
            Self::Wipe { for_, .. } => *for_,
            Self::Replace { gap, .. } => *gap,
            Self::Behind { missed_for, dark_for, .. } => missed_for + dark_for,
            Self::AnswersLost { .. } | Self::NewSeeds { .. } => 0,
        }
    }
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    pub at: Micros,
    pub trouble: Trouble,
}

/// A simulated test scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Day {
    pub seed: u64,
    pub family: Family,
    /// Number of simultaneous disk losses that the core must tolerate.
    pub losses: usize,
    /// Number of machines with a disk at the start.
    pub machines: usize,
    /// Number of control planes without a disk, which follow the machines with one; replacements get the numbers after these.
    pub diskless: usize,
    /// Number of processes outside the core that watch it, besides the control planes without a disk.
    pub watchers: usize,
    /// Time until the platform answers a call.
    pub platform_delay: Micros,
    /// Number of operators that send orders; one more only reads.
    pub operators: usize,
    /// Mean time between an acknowledgement and the operator's next order.
    pub pause: Micros,
    /// The faults, in the order of time.
    pub strikes: Vec<Strike>,
    /// When all machines lose power at the end of the day, before they come back for the final checks.
    pub closing: Micros,
    /// Machines that then lose their disks.
    pub closing_wipes: Vec<usize>,
}

impl Day {
    /// Generates the day of a seed. The families of [`Family::ROTATION`] alternate from seed to seed.
    pub fn drawn(seed: u64) -> Self {
        Self::of_rotation(seed, &Family::ROTATION)
    }

    /// Generates the day of a seed in one of the families of processes around the core, which alternate.
    pub fn around_the_core(seed: u64) -> Self {
        Self::of_rotation(seed, &Family::AROUND_THE_CORE)
    }

    fn of_rotation(seed: u64, families: &[Family]) -> Self {
        Self::of_family(seed, families[(seed % families.len() as u64) as usize])
    }

    /// Generates the day of a seed in a given family.
    pub fn of_family(seed: u64, family: Family) -> Self {
        DayGenerator { rng: SeededRng::new(seed), busy_until: 0, replaced: Vec::new() }.generate(seed, family)
    }
}

/// The machines among which faults are drawn.
#[derive(Clone, Copy)]
struct Machines {
    with_disk: usize,
    diskless: usize,
}

impl Machines {
    /// Returns a number that no machine of the day reaches, replacements included.
    fn all_with_replacements(self) -> usize {
        self.with_disk + self.diskless + MAX_REPLACEMENTS
    }
}

/// Generates a day. The order of the random draws determines the day, so it must not change.
struct DayGenerator {
    rng: SeededRng,
    /// When the faults that were generated so far will be over.
    busy_until: Micros,
    /// Machines that are replaced during the day.
    replaced: Vec<usize>,
}

impl DayGenerator {
    fn generate(&mut self, seed: u64, family: Family) -> Day {
        let losses = 1 + usize::from(self.rng.per_mille(200));
        let min_machines = 2 * losses + 1;
        let machines = min_machines + self.rng.below(losses + 2);
        let length = self.rng.between(20, 34) * SECOND;
        let pause = match family {
            Family::ManyChanges => self.rng.between(8, 40) * MILLISECOND,
            _ => self.rng.between(40, 500) * MILLISECOND,
        };
        let (diskless, watchers) = match family {
            Family::NewSeeds => (1 + self.rng.below(3), 1 + self.rng.below(3)),
            _ => (0, 0),
        };
        let platform_delay = PLATFORM_DELAY_STEP * (1 + seed % PLATFORM_DELAY_STEPS);
        let mut strikes = Vec::new();
        let mut at = FIRST_TROUBLE_AT;
        while at < length {
            let trouble = self.random_trouble(family, Machines { with_disk: machines, diskless }, losses);
            self.busy_until = self.busy_until.max(at + trouble.lasts());
            strikes.push(Strike { at, trouble });
            let longest = if family == Family::Duels { SECOND } else { 6 * SECOND };
            at += self.rng.between(200 * MILLISECOND, longest);
            // Another disk may be lost only after the cluster has recovered from the previous loss, so some faults wait for that.
            if self.rng.per_mille(if family == Family::SecondLoss { 700 } else { 250 }) {
                at = at.max(self.busy_until + CATCH_UP_TIME + self.rng.between(0, 300 * MILLISECOND));
            }
        }
        let closing = match self.rng.per_mille(500) {
            true => length.max(self.busy_until + CATCH_UP_TIME) + self.rng.between(0, SECOND),
            false => length,
        };
        let closing_wipes = match self.rng.per_mille(600) {
            true => self.random_machines(machines, losses),
            false => Vec::new(),
        };
        Day {
            seed,
            family,
            losses,
            machines,
            diskless,
            watchers,
            platform_delay,
            operators: 2 + self.rng.below(2),
            pause,
            strikes,
            closing,
            closing_wipes,
        }
    }

    /// Returns 1 to `max_count` different machines.
    fn random_machines(&mut self, machines: usize, max_count: usize) -> Vec<usize> {
        let count = 1 + self.rng.below(max_count);
        let mut chosen: Vec<usize> = Vec::new();
        while chosen.len() < count {
            let machine = self.rng.below(machines);
            if !chosen.contains(&machine) {
                chosen.push(machine);
            }
        }
        chosen
    }

    fn random_trouble(&mut self, family: Family, among: Machines, losses: usize) -> Trouble {
        let machines = among.with_disk;
        let kinds: &[usize] = match family {
            Family::CutOff => &[2, 2, 2, 2, 1, 0, 9, 11],
            Family::Races => &[8, 8, 10, 10, 3, 0, 2, 11],
            Family::SecondLoss => &[6, 6, 7, 7, 9, 9, 0, 2, 8],
            Family::ManyChanges => &[0, 2, 1, 6, 9, 4, 5],
            Family::Duels => &[11, 11, 4, 4, 4, 1, 3, 2],
            Family::Mixed => &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 11],
            Family::NewSeeds => &[12, 12, 12, 0, 0, 14, 14, 2, 1, 6, 7, 9],
            Family::FrozenCalls => &[13, 13, 13, 13, 1, 4, 2, 0, 11],
        };
        let kind = *self.rng.choose(kinds).unwrap_or(&0);
        let machine = self.rng.below(machines);
        let duration = self.rng.between(50 * MILLISECOND, 4 * SECOND);
        match kind {
            1 => Trouble::Freeze { machine, for_: self.rng.between(300, 8_000) * MILLISECOND },
            2 => self.random_cut(family, machines),
            3 => Trouble::Lossy {
                for_: duration,
                lost: self.rng.between(10, 400),
                doubled: self.rng.between(0, 300),
            },
            4 => Trouble::SlowLink { machine, for_: duration, delay: self.rng.between(5, 900) * MILLISECOND },
            5 => Trouble::SlowDisk { machine, for_: duration, times: self.rng.between(0, 60) },
            6 => self.random_wipe(machines, losses),
            7 if self.replaced.len() < MAX_REPLACEMENTS => {
                let gap = self.rng.between(200, 2_500) * MILLISECOND;
                self.replaced.push(machine);
                Trouble::Replace { machine, gap, planned: self.rng.per_mille(400) }
            }
            8 => {
                let wipe = self.rng.per_mille(500);
                Trouble::AfterAck { wipe, for_: duration, within: self.rng.between(0, 6) * MILLISECOND }
            }
            9 => self.random_behind(machines),
            11 => Trouble::PairCut {
                pair: [machine, (machine + 1 + self.rng.below(machines - 1)) % machines],
                for_: self.rng.between(500, 8_000) * MILLISECOND,
            },
            12 => Trouble::NewSeeds { seeds: self.random_machines(machines + among.diskless, MAX_SEEDS) },
            13 => Trouble::FreezeCaller { for_: self.rng.between(300, 6_000) * MILLISECOND },
            14 => Trouble::Kill { machines: (0..among.all_with_replacements()).collect(), for_: duration },
            10 => Trouble::AnswersLost { for_: duration, lost: self.rng.between(300, 900) },
            _ => {
                let is_all = self.rng.per_mille(250);
                let machines = if is_all { (0..machines + 4).collect() } else { vec![machine] };
                Trouble::Kill { machines, for_: duration }
            }
        }
    }

    fn random_cut(&mut self, family: Family, machines: usize) -> Trouble {
        let is_split = self.rng.per_mille(300);
        let inside = if is_split {
            self.random_machines(machines, machines / 2)
        } else {
            vec![self.rng.below(machines)]
        };
        let longest = if family == Family::CutOff { 20 } else { 8 };
        Trouble::Cut {
            inside,
            for_: self.rng.between(500, longest * 1_000) * MILLISECOND,
            one_way: self.rng.per_mille(250),
        }
    }

    fn random_wipe(&mut self, machines: usize, losses: usize) -> Trouble {
        let wiped = self.random_machines(machines, losses);
        let for_ = self.rng.between(50, 3_000) * MILLISECOND;
        let dark_for = self.rng.between(100, 4_000) * MILLISECOND;
        let all_dark = self.rng.per_mille(400);
        let dark = match all_dark {
            true => (0..machines).filter(|machine| !wiped.contains(machine)).collect(),
            false => Vec::new(),
        };
        Trouble::Wipe { machines: wiped, for_, dark, dark_for }
    }

    fn random_behind(&mut self, machines: usize) -> Trouble {
        let cut = self.rng.below(machines);
        let wiped = (cut + 1 + self.rng.below(machines - 1)) % machines;
        let missed_for = self.rng.between(1_000, 6_000) * MILLISECOND;
        let dark_for = self.rng.between(200, 4_000) * MILLISECOND;
        Trouble::Behind { cut, wiped, missed_for, dark_for }
    }
}
