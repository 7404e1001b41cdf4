//! What strikes the machines: troubles, and the closing of the day.

use super::{Event, World, CLOSING_DARK, RECOVER};
use crate::day::{Micros, Trouble, CATCH_UP};
use crate::machine::Machine;

impl World<'_> {
    pub(super) fn power_off(&mut self, machine: usize, wipe: bool, for_: Micros) {
        let Some(ending) = self.machines.get_mut(machine) else { return };
        if ending.gone {
            return;
        }
        self.judge.saw_end(&ending.identity);
        ending.end(&mut self.chance);
        ending.frozen_until = 0;
        let wipe = wipe && self.may_lose_a_disk();
        self.busy_until = self.busy_until.max(self.now + for_);
        if wipe {
            self.machines[machine].wipe();
        }
        self.at(self.now + for_, Event::Start(machine));
    }

    /// Whether one more disk may be lost now; it counts as lost from now on. What was lost before is made good once nothing
    /// was in trouble for a while.
    fn may_lose_a_disk(&mut self) -> bool {
        if self.now >= self.busy_until + CATCH_UP {
            self.disks_lost = 0;
        }
        let may = self.disks_lost < self.day.losses;
        self.disks_lost += usize::from(may);
        may
    }

    pub(super) fn strike(&mut self, trouble: &Trouble) {
        let now = self.now;
        if let Trouble::Replace { machine, gap, planned } = trouble {
            return self.replace(*machine, *gap, *planned);
        }
        if let Trouble::Wipe { machines, for_, dark, dark_for } = trouble {
            return self.wipe(machines, *for_, dark, *dark_for);
        }
        self.busy_until = self.busy_until.max(now + trouble.lasts());
        match trouble {
            Trouble::Kill { machines, for_ } => {
                for machine in machines {
                    self.power_off(*machine, false, *for_);
                }
            }
            Trouble::Freeze { machine, for_ } => self.machines[*machine].frozen_until = now + for_,
            Trouble::Cut { inside, for_, one_way } => {
                self.network.cut(inside.clone(), now + for_, *one_way);
            }
            Trouble::PairCut { pair, for_ } => self.network.cut_pair(*pair, now + for_),
            Trouble::Lossy { for_, lost, doubled } => self.network.lose(now + for_, *lost, *doubled),
            Trouble::SlowLink { machine, for_, delay } => {
                self.network.slow_down(*machine, now + for_, *delay)
            }
            Trouble::SlowDisk { machine, for_, times } => {
                self.machines[*machine].slow_disk(now + for_, *times);
            }
            Trouble::Wipe { .. } | Trouble::Replace { .. } => {}
            Trouble::Behind { cut, wiped, missed_for, dark_for } => {
                self.network.cut(vec![*cut], now + missed_for + dark_for, false);
                let others = 0..self.machines.len();
                let dark = others.filter(|machine| machine != cut && machine != wiped).collect();
                let wiped = Event::Wiped { machine: *wiped, dark, dark_for: *dark_for };
                self.at(now + missed_for, wiped);
            }
            Trouble::AfterAck { wipe, for_, within } => self.trap = Some((*wipe, *for_, *within)),
            Trouble::AnswersLost { for_, lost } => self.answers_lost = (now + for_, *lost),
        }
    }

    fn wipe(&mut self, machines: &[usize], for_: Micros, dark: &[usize], dark_for: Micros) {
        for machine in machines {
            self.power_off(*machine, true, for_);
        }
        for machine in dark {
            self.power_off(*machine, false, dark_for);
        }
    }

    fn replace(&mut self, machine: usize, gap: Micros, planned: bool) {
        if self.machines[machine].gone || !self.may_lose_a_disk() {
            return;
        }
        self.busy_until = self.busy_until.max(self.now + gap);
        let number = self.machines.len();
        self.machines.push(Machine::new(number, &[], false, self.rules, self.plant));
        let (leaves, comes) = if planned { (gap, 0) } else { (0, gap) };
        self.at(self.now + comes, Event::Start(number));
        match leaves {
            0 => self.take_away(machine),
            _ => {
                self.at(self.now + leaves, Event::TakeAway(machine));
            }
        }
    }

    pub(super) fn take_away(&mut self, machine: usize) {
        let leaving = &mut self.machines[machine];
        self.judge.saw_end(&leaving.identity);
        leaving.end(&mut self.chance);
        leaving.gone = true;
    }

    /// The last trouble: all power is off, some disks are lost, all come back.
    pub(super) fn close(&mut self) {
        self.network.heal();
        self.trap = None;
        self.answers_lost = (0, 0);
        // Before any power is off, so that this trouble does not count against itself.
        let wipes = self.day.closing_wipes.iter().filter(|machine| !self.machines[**machine].gone).copied();
        let wipes: Vec<usize> = wipes.collect();
        let wiped: Vec<usize> = wipes.into_iter().filter(|_| self.may_lose_a_disk()).collect();
        for machine in 0..self.machines.len() {
            self.machines[machine].heal();
            let dark = self.chance.between(CLOSING_DARK / 4, CLOSING_DARK);
            if wiped.contains(&machine) {
                self.machines[machine].wipe_at_end();
            }
            self.power_off(machine, false, dark);
        }
        self.back_at = self.now + CLOSING_DARK;
        self.at(self.back_at + RECOVER, Event::Check);
    }
}
