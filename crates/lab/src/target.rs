//! Whom a fault hits: the words of a scenario, resolved to parties.

use crate::scenario::Deployment;
use rand::seq::IteratorRandom;
use rand::Rng;
use std::collections::BTreeSet;

/// Whoever takes part in a play. Numbers are places: a server replaced is another in the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    Front,
    Counter,
    Gateway(u32),
    Server(u32),
}

/// Which gateways or servers stand in a zone.
#[derive(Clone, Debug)]
pub struct Layout {
    pub gateways: Vec<u16>,
    pub servers: Vec<u16>,
}

impl Layout {
    /// Gateways in turn; servers by the zones' weights.
    pub fn new(deployment: &Deployment) -> Self {
        let zones = deployment.zones.len().max(1);
        let weights: Vec<f64> = (0..zones)
            .map(|zone| deployment.zone_weights.get(zone).copied().unwrap_or(1.0).max(0.01))
            .collect();
        let whole: f64 = weights.iter().sum();
        let mut given = vec![0.0; zones];
        let servers = (0..deployment.servers).map(|number| {
            // Whoever is furthest behind its part of those dealt so far.
            let dealt = f64::from(number) + 1.0;
            let behind = |zone: &usize| dealt * weights[*zone] / whole - given[*zone];
            let next = (0..zones).max_by(|a, b| behind(a).total_cmp(&behind(b)).then(b.cmp(a))).unwrap_or(0);
            given[next] += 1.0;
            next as u16
        });
        let servers = servers.collect();
        Self { gateways: (0..deployment.gateways).map(|it| (it as usize % zones) as u16).collect(), servers }
    }

    /// The counter stands in the first zone; the front in none.
    pub fn zone(&self, party: Party) -> Option<u16> {
        match party {
            Party::Front => None,
            Party::Counter => Some(0),
            Party::Gateway(number) => self.gateways.get(number as usize).copied(),
            Party::Server(number) => self.servers.get(number as usize).copied(),
        }
    }

    pub fn parties(&self) -> impl Iterator<Item = Party> + '_ {
        let gateways = (0..self.gateways.len() as u32).map(Party::Gateway);
        let servers = (0..self.servers.len() as u32).map(Party::Server);
        [Party::Front, Party::Counter].into_iter().chain(gateways).chain(servers)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    Gateways(Option<u16>),
    Servers(Option<u16>),
    One(Party),
    Zone(u16),
    Outside(u16),
}

impl Target {
    pub fn parse(text: &str, deployment: &Deployment) -> Result<Self, String> {
        let zone = |name: &str| {
            let found = deployment.zones.iter().position(|zone| zone == name);
            found.map(|at| at as u16).ok_or_else(|| format!("no zone is called `{name}`"))
        };
        let number = |text: &str, most: u32, what: &str| match text.parse::<u32>() {
            Ok(number) if number < most => Ok(number),
            _ => {
                Err(format!("`{text}` is no {what}: they are numbered from 0 to {}", most.saturating_sub(1)))
            }
        };
        let words: Vec<&str> = text.split_whitespace().collect();
        match words[..] {
            ["front"] => Ok(Self::One(Party::Front)),
            ["counter"] => Ok(Self::One(Party::Counter)),
            ["gateways"] => Ok(Self::Gateways(None)),
            ["servers"] => Ok(Self::Servers(None)),
            ["gateways", "in", name] => Ok(Self::Gateways(Some(zone(name)?))),
            ["servers", "in", name] => Ok(Self::Servers(Some(zone(name)?))),
            ["zone", name] => Ok(Self::Zone(zone(name)?)),
            ["outside", name] => Ok(Self::Outside(zone(name)?)),
            ["gateway", which] => {
                Ok(Self::One(Party::Gateway(number(which, deployment.gateways, "gateway")?)))
            }
            ["server", which] => Ok(Self::One(Party::Server(number(which, deployment.servers, "server")?))),
            _ => Err(format!("`{text}` names no target")),
        }
    }

    pub fn has_gateways(&self) -> bool {
        !matches!(self, Self::Servers(_) | Self::One(Party::Server(_) | Party::Counter | Party::Front))
    }

    pub fn has_servers(&self) -> bool {
        !matches!(self, Self::Gateways(_) | Self::One(Party::Gateway(_) | Party::Counter | Party::Front))
    }

    fn holds(&self, party: Party, layout: &Layout) -> bool {
        let zone = layout.zone(party);
        match (self, party) {
            (Self::Gateways(within), Party::Gateway(_)) | (Self::Servers(within), Party::Server(_)) => {
                within.is_none() || zone == *within
            }
            (Self::One(one), party) => *one == party,
            (Self::Zone(within), _) => zone == Some(*within),
            (Self::Outside(within), _) => zone.is_some_and(|zone| zone != *within),
            _ => false,
        }
    }

    /// The parties hit: all that fit, a share of them rounded to whole ones, or so many.
    pub fn resolve(
        &self,
        layout: &Layout,
        share: Option<f64>,
        count: Option<u32>,
        chance: &mut impl Rng,
    ) -> BTreeSet<Party> {
        let all: Vec<Party> = layout.parties().filter(|party| self.holds(*party, layout)).collect();
        let many = match (share, count) {
            (Some(share), _) => (share * all.len() as f64).round() as usize,
            (None, Some(count)) => (count as usize).min(all.len()),
            (None, None) => return all.into_iter().collect(),
        };
        all.into_iter().sample(chance, many).into_iter().collect()
    }
}
