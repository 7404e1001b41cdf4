//! Links among the machines.

use std::net::{Ipv4Addr, SocketAddr};

use crate::chance::Chance;
use crate::day::{Micros, MILLISECOND};

/// A delay each way, without trouble, in microseconds.
const DELAY: (Micros, Micros) = (300, 1_400);

#[derive(Clone, Debug)]
struct CutOff {
    inside: Vec<usize>,
    until: Micros,
    one_way: bool,
}

/// All links.
#[derive(Debug, Default)]
pub struct Network {
    cuts: Vec<CutOff>,
    pairs: Vec<([usize; 2], Micros)>,
    lossy: Option<(Micros, u64, u64)>,
    slow: Vec<(usize, Micros, Micros)>,
}

impl Network {
    /// The address of a machine for the others.
    pub fn address(machine: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(10, 0, 0, machine as u8 + 1), 7_360))
    }

    pub fn machine(address: SocketAddr) -> usize {
        match address.ip() {
            std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]).saturating_sub(1),
            std::net::IpAddr::V6(_) => usize::MAX,
        }
    }

    pub fn cut(&mut self, inside: Vec<usize>, until: Micros, one_way: bool) {
        self.cuts.push(CutOff { inside, until, one_way });
    }

    pub fn cut_pair(&mut self, pair: [usize; 2], until: Micros) {
        self.pairs.push((pair, until));
    }

    pub fn lose(&mut self, until: Micros, lost: u64, doubled: u64) {
        self.lossy = Some((until, lost, doubled));
    }

    pub fn slow_down(&mut self, machine: usize, until: Micros, delay: Micros) {
        self.slow.push((machine, until, delay));
    }

    pub fn heal(&mut self) {
        *self = Self::default();
    }

    pub fn reaches(&self, now: Micros, from: usize, to: usize) -> bool {
        let pair =
            self.pairs.iter().any(|(pair, until)| now < *until && pair.contains(&from) && pair.contains(&to));
        !pair
            && !self.cuts.iter().any(|cut| {
                let (from_inside, to_inside) = (cut.inside.contains(&from), cut.inside.contains(&to));
                now < cut.until && from_inside != to_inside && (!cut.one_way || from_inside)
            })
    }

    /// When a message that is sent now arrives: never, once or twice.
    pub fn arrivals(&self, now: Micros, from: usize, to: usize, chance: &mut Chance) -> Vec<Micros> {
        if !self.reaches(now, from, to) {
            return Vec::new();
        }
        let slow = self
            .slow
            .iter()
            .filter(|(machine, until, _)| now < *until && (*machine == from || *machine == to));
        let most: Micros = slow.map(|(_, _, delay)| *delay).max().unwrap_or(0);
        let more = if most > 0 { chance.between(most / 8, most) } else { 0 };
        let late = match chance.in_thousand(5) {
            true => chance.between(0, 60 * MILLISECOND),
            false => 0,
        };
        let at = now + chance.between(DELAY.0, DELAY.1) + late + more;
        match self.lossy.filter(|(until, _, _)| now < *until) {
            Some((_, lost, _)) if chance.in_thousand(lost) => Vec::new(),
            Some((_, _, doubled)) if chance.in_thousand(doubled) => {
                vec![at, at + chance.between(0, 40 * MILLISECOND)]
            }
            _ => vec![at],
        }
    }
}
