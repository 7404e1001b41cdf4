//! The simulated network between the machines: message delays, loss, duplication and partitions.

use std::net::{Ipv4Addr, SocketAddr};

use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND};

/// Minimum and maximum one-way delay of a link without faults.
const LINK_DELAY: (Micros, Micros) = (300, 1_400);

/// Separates a set of machines from all others until a point in time.
#[derive(Clone, Debug)]
struct Partition {
    inside: Vec<usize>,
    until: Micros,
    /// Only messages that leave the set are blocked.
    one_way: bool,
}

/// The faults of all links. A link without a fault delivers each message once, after a random delay.
#[derive(Debug, Default)]
pub struct Network {
    partitions: Vec<Partition>,
    /// Pairs of machines that cannot reach each other, and until when.
    blocked_pairs: Vec<([usize; 2], Micros)>,
    /// Until when messages are lost or duplicated, and how many in 1000 are lost and duplicated.
    message_loss: Option<(Micros, u64, u64)>,
    /// Machines with additional delay, until when, and the maximum of that delay.
    extra_delays: Vec<(usize, Micros, Micros)>,
}

impl Network {
    /// Returns the address under which the other machines reach a machine.
    pub fn address(machine: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(10, 0, 0, machine as u8 + 1), 7_360))
    }

    /// Returns the number of the machine with this address; a number that no machine has for an IPv6 address.
    pub fn machine(address: SocketAddr) -> usize {
        match address.ip() {
            std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]).saturating_sub(1),
            std::net::IpAddr::V6(_) => usize::MAX,
        }
    }

    /// Separates the machines in `inside` from all others; if `one_way`, only their outgoing messages are blocked.
    pub fn partition(&mut self, inside: Vec<usize>, until: Micros, one_way: bool) {
        self.partitions.push(Partition { inside, until, one_way });
    }

    /// Blocks messages between two machines in both directions.
    pub fn partition_pair(&mut self, pair: [usize; 2], until: Micros) {
        self.blocked_pairs.push((pair, until));
    }

    /// Loses `lost` of 1000 messages and duplicates `duplicated` of 1000 of the others, on all links.
    pub fn set_loss(&mut self, until: Micros, lost: u64, duplicated: u64) {
        self.message_loss = Some((until, lost, duplicated));
    }

    /// Delays messages from and to a machine by a further random time of up to `delay`.
    pub fn add_delay(&mut self, machine: usize, until: Micros, delay: Micros) {
        self.extra_delays.push((machine, until, delay));
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        *self = Self::default();
    }

    /// Returns whether a message that is sent now is not blocked by a partition.
    pub fn can_reach(&self, now: Micros, from: usize, to: usize) -> bool {
        let is_pair_blocked = self
            .blocked_pairs
            .iter()
            .any(|(pair, until)| now < *until && pair.contains(&from) && pair.contains(&to));
        !is_pair_blocked
            && !self.partitions.iter().any(|partition| {
                let (from_inside, to_inside) =
                    (partition.inside.contains(&from), partition.inside.contains(&to));
                now < partition.until && from_inside != to_inside && (!partition.one_way || from_inside)
            })
    }

    /// Returns the arrival times of a message that is sent now: none if it is lost, two if it is duplicated.
    pub fn arrivals(&self, now: Micros, from: usize, to: usize, rng: &mut SeededRng) -> Vec<Micros> {
        if !self.can_reach(now, from, to) {
            return Vec::new();
        }
        let extra_delays = self
            .extra_delays
            .iter()
            .filter(|(machine, until, _)| now < *until && (*machine == from || *machine == to));
        let max_extra_delay: Micros = extra_delays.map(|(_, _, delay)| *delay).max().unwrap_or(0);
        let extra_delay =
            if max_extra_delay > 0 { rng.between(max_extra_delay / 8, max_extra_delay) } else { 0 };
        let outlier_delay = match rng.per_mille(5) {
            true => rng.between(0, 60 * MILLISECOND),
            false => 0,
        };
        let arrival = now + rng.between(LINK_DELAY.0, LINK_DELAY.1) + outlier_delay + extra_delay;
        match self.message_loss.filter(|(until, _, _)| now < *until) {
            Some((_, lost, _)) if rng.per_mille(lost) => Vec::new(),
            Some((_, _, duplicated)) if rng.per_mille(duplicated) => {
                vec![arrival, arrival + rng.between(0, 40 * MILLISECOND)]
            }
            _ => vec![arrival],
        }
    }
}
