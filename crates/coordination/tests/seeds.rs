//! How machines without a view find the core through the seeds, on a simulated clock.

mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{member, version, view, Text};
use fennelgauge_coordination::{
    Acceptor, Coordinator, DurableState, Effects, Member, Message, Replica, Replicated, Timing, Version,
    ViewRules, VotingRecord,
};

const TICK: Duration = Duration::from_millis(50);
/// Time within which every machine has to know the core's view.
const FOUND_WITHIN: Duration = Duration::from_secs(5);
/// Epoch of the view on the disks.
const EPOCH: u64 = 5;
const CORE: [u8; 3] = [1, 2, 3];
const DISKLESS: [u8; 3] = [4, 5, 6];

/// Machines whose messages arrive at once.
struct Machines {
    coordinators: Vec<Coordinator<Text>>,
    in_flight: VecDeque<(Member, SocketAddr, Message)>,
    now: Duration,
}

impl Machines {
    /// Starts the machines of the core from their disks and machines without a disk, which know the given seeds only.
    fn start(core_seeds: &[u8], diskless_seeds: &[u8]) -> Self {
        let core = CORE.iter().map(|number| coordinator(*number, true, stored(), core_seeds));
        let diskless = DISKLESS
            .iter()
            .map(|number| coordinator(*number, false, DurableState::empty(&[]), diskless_seeds));
        Self { coordinators: core.chain(diskless).collect(), in_flight: VecDeque::new(), now: Duration::ZERO }
    }

    /// Lets simulated time pass.
    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            for index in 0..self.coordinators.len() {
                let due = self.coordinators[index].tick(self.now);
                self.perform(index, due);
            }
            while let Some((from, to, message)) = self.in_flight.pop_front() {
                let is_receiver = |it: &Coordinator<Text>| it.replica().own_member().peer == to;
                let Some(index) = self.coordinators.iter().position(is_receiver) else { continue };
                let effects = self.coordinators[index].handle(self.now, &from, message);
                self.perform(index, effects);
            }
            self.now += TICK;
        }
    }

    fn perform(&mut self, index: usize, effects: Effects) {
        let from = self.coordinators[index].replica().own_member().clone();
        self.in_flight.extend(effects.sends.into_iter().map(|(to, message)| (from.clone(), to, message)));
    }

    /// Returns the numbers of the machines that know no view as new as that on the disks.
    fn without_view(&self) -> Vec<usize> {
        let machines = self.coordinators.iter().enumerate();
        let lacking = machines.filter(|(_, machine)| machine.replica().latest_view().epoch < EPOCH);
        lacking.map(|(index, _)| index + 1).collect()
    }
}

/// Returns what each machine of the core has on its disk.
fn stored() -> DurableState<Text> {
    let value = Arc::new(Text("a".to_owned()));
    let start = Version { digest: value.digest(), ..version(EPOCH - 1, 1, "a") };
    DurableState {
        record: VotingRecord {
            acceptor: Acceptor::new(view(EPOCH, &CORE, &CORE, start)),
            persist_request: None,
        },
        version: start.with_epoch(EPOCH),
        value,
    }
}

fn coordinator(number: u8, has_disk: bool, stored: DurableState<Text>, seeds: &[u8]) -> Coordinator<Text> {
    let replica = Replica::new(member(number, 1), has_disk, ViewRules::tolerating(1), stored);
    Coordinator::new(replica, Timing::default(), addresses(seeds), Duration::ZERO)
}

fn addresses(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| member(*number, 1).peer).collect()
}

/// Guards against a core that nobody finds: after all machines were down, the seeds have no disk and know no view, and the
/// core's machines, which have one, asked only each other.
#[test]
fn seeds_without_a_disk_learn_the_view_from_the_core_after_all_were_down() {
    let cases: [(&str, &[u8], &[u8]); 5] = [
        ("all name machines without a disk", &[4, 5, 6], &[4, 5, 6]),
        ("one machine without a disk is named, by the core only", &[4], &[4, 5, 6]),
        ("the core names itself, the others name one of it", &[1, 2, 3], &[3]),
        ("a chain of seeds leads to the core", &[5], &[6]),
        ("the core names a machine that names itself", &[6], &[6]),
    ];
    for (name, core_seeds, diskless_seeds) in cases {
        let mut machines = Machines::start(core_seeds, diskless_seeds);
        machines.run_for(FOUND_WITHIN);
        assert_eq!(machines.without_view(), [0_usize; 0], "{name}");
    }
}
