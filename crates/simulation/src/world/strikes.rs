//! Injects the faults of a day, and the power loss at its end.

use super::{Event, World, MAX_CLOSING_OUTAGE, RECOVERY_TIMEOUT};
use crate::day::{Micros, Trouble, CATCH_UP_TIME};
use crate::machine::Machine;

impl World<'_> {
    /// Turns a machine off and schedules its start after `for_`. With `wipe` it also loses its disk, if another loss is tolerated now.
    pub(super) fn power_off(&mut self, machine: usize, wipe: bool, for_: Micros) {
        let Some(ending) = self.machines.get_mut(machine) else { return };
        if ending.removed {
            return;
        }
        self.checker.record_end(&ending.identity);
        ending.power_off(&mut self.rng);
        ending.frozen_until = 0;
        let wipe = wipe && self.may_lose_a_disk();
        self.busy_until = self.busy_until.max(self.now + for_);
        if wipe {
            self.machines[machine].wipe();
        }
        self.schedule(self.now + for_, Event::Start(machine));
    }

    /// Returns whether another disk may be lost now, and if so counts it as lost. Earlier losses no longer count once no fault was
    /// active for `CATCH_UP_TIME`.
    fn may_lose_a_disk(&mut self) -> bool {
        if self.now >= self.busy_until + CATCH_UP_TIME {
            self.disks_lost = 0;
        }
        let may = self.disks_lost < self.day.losses;
        self.disks_lost += usize::from(may);
        may
    }

    /// Injects a fault.
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
                if machines.len() >= self.day.machines + self.day.diskless {
                    self.restart_watchers(*for_);
                }
                for machine in machines {
                    self.power_off(*machine, false, *for_);
                }
            }
            Trouble::Freeze { machine, for_ } => self.machines[*machine].frozen_until = now + for_,
            Trouble::Cut { inside, for_, one_way } => {
                self.network.partition(inside.clone(), now + for_, *one_way);
            }
            Trouble::PairCut { pair, for_ } => self.network.partition_pair(*pair, now + for_),
            Trouble::Lossy { for_, lost, doubled } => self.network.set_loss(now + for_, *lost, *doubled),
            Trouble::SlowLink { machine, for_, delay } => {
                self.network.add_delay(*machine, now + for_, *delay)
            }
            Trouble::SlowDisk { machine, for_, times } => {
                self.machines[*machine].slow_disk(now + for_, *times);
            }
            Trouble::Wipe { .. } | Trouble::Replace { .. } => {}
            Trouble::Behind { cut, wiped, missed_for, dark_for } => {
                self.network.partition(vec![*cut], now + missed_for + dark_for, false);
                let others = 0..self.machines.len();
                let dark = others.filter(|machine| machine != cut && machine != wiped).collect();
                let wiped = Event::WipeAndPowerOff { machine: *wiped, dark, dark_for: *dark_for };
                self.schedule(now + missed_for, wiped);
            }
            Trouble::AfterAck { wipe, for_, within } => self.ack_trap = Some((*wipe, *for_, *within)),
            Trouble::NewSeeds { seeds } => self.new_seeds = Some(seeds.clone()),
            Trouble::FreezeCaller { for_ } => self.call_trap = Some(*for_),
            Trouble::AnswersLost { for_, lost } => self.answer_loss = (now + for_, *lost),
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

    /// Removes a machine and starts a new one with an empty disk, if another disk loss is tolerated now.
    fn replace(&mut self, machine: usize, gap: Micros, planned: bool) {
        if self.machines[machine].removed || !self.may_lose_a_disk() {
            return;
        }
        self.busy_until = self.busy_until.max(self.now + gap);
        let number = self.machines.len();
        let mut new_machine = Machine::new(number, &[], false, self.rules, self.bug);
        new_machine.platform_delay = self.day.platform_delay;
        self.machines.push(new_machine);
        let (removal_delay, start_delay) = if planned { (gap, 0) } else { (0, gap) };
        self.schedule(self.now + start_delay, Event::Start(number));
        match removal_delay {
            0 => self.remove_machine(machine),
            _ => {
                self.schedule(self.now + removal_delay, Event::Remove(machine));
            }
        }
    }

    /// Turns a machine off for good.
    pub(super) fn remove_machine(&mut self, machine: usize) {
        let leaving = &mut self.machines[machine];
        self.checker.record_end(&leaving.identity);
        leaving.power_off(&mut self.rng);
        leaving.removed = true;
    }

    /// Ends all faults, turns all machines off, loses some disks, and schedules the starts and the final checks.
    pub(super) fn close(&mut self) {
        self.network.clear_faults();
        self.ack_trap = None;
        self.call_trap = None;
        self.answer_loss = (0, 0);
        // Decided before any power loss, because `power_off` extends `busy_until` and would keep earlier losses counted.
        let wipes =
            self.day.closing_wipes.iter().filter(|machine| !self.machines[**machine].removed).copied();
        let wipes: Vec<usize> = wipes.collect();
        let machines_to_wipe: Vec<usize> = wipes.into_iter().filter(|_| self.may_lose_a_disk()).collect();
        for machine in 0..self.machines.len() {
            self.machines[machine].clear_faults();
            let outage = self.rng.between(MAX_CLOSING_OUTAGE / 4, MAX_CLOSING_OUTAGE);
            if machines_to_wipe.contains(&machine) {
                self.machines[machine].wipe_on_power_off();
            }
            self.power_off(machine, false, outage);
        }
        self.restart_watchers(MAX_CLOSING_OUTAGE);
        self.all_back_at = self.now + MAX_CLOSING_OUTAGE;
        self.schedule(self.all_back_at + RECOVERY_TIMEOUT, Event::Check);
    }
}
