//! The configurations of a simulated day: an operator adds, removes and changes batch routes, and each process knows the newest
//! one as of some moment.

use std::collections::BTreeMap;
use std::sync::Arc;

use fennelgauge_batch::ItemLimits;
use fennelgauge_batch_judge::{RouteTerms, Routes};

use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND, SECOND};

/// Batch routes that there may be at once.
pub const MAX_ROUTES: usize = 3;
const RETENTION: (Micros, Micros) = (SECOND, 6 * SECOND);
const MAX_RETRIES: usize = 3;
/// Generations rise by up to this much.
const MAX_GENERATION_STEP: u64 = 3;
/// Name of the route that sets no retention.
const ENDLESS_ROUTE: &str = "r0";
/// Name of the only route on days on which the configuration does not change.
pub const UNCHANGING_ROUTE: &str = "r";

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Version {
    pub generation: u64,
    /// Limits of the batch routes, by name.
    pub routes: BTreeMap<String, ItemLimits>,
}

impl Version {
    /// Returns the version of a day on which the configuration does not change.
    pub fn unchanging() -> Self {
        let routes = BTreeMap::from([(UNCHANGING_ROUTE.to_owned(), ItemLimits::default())]);
        Self { generation: 0, routes }
    }

    /// Returns the routes as the judge knows them.
    pub fn judged(&self) -> Routes {
        let terms = |limits: &ItemLimits| RouteTerms {
            retention: limits.retention_ms.map(|retention_ms| retention_ms * MILLISECOND),
            retries: limits.retries as usize,
        };
        self.routes.iter().map(|(name, limits)| (name.clone(), terms(limits))).collect()
    }
}

/// All versions that were acknowledged, oldest first, each with the time of its acknowledgement.
#[derive(Clone, Debug)]
pub struct Configurations(Vec<(Micros, Arc<Version>)>);

impl Configurations {
    pub fn new(first: Version) -> Self {
        Self(vec![(0, Arc::new(first))])
    }

    /// Returns the newest version as of a moment.
    pub fn as_of(&self, at: Micros) -> Arc<Version> {
        let known = self.0.iter().rev().find(|(from, _)| *from <= at).or(self.0.first());
        known.map(|(_, version)| version.clone()).unwrap_or_default()
    }

    /// Adds a route, removes one or changes the limits of one; a route that was removed may be added again.
    /// With `fixed_retries` the retries of a route are always the same, so that the bound on its items' failures is.
    pub fn change(&mut self, now: Micros, fixed_retries: bool, chance: &mut SeededRng) -> Arc<Version> {
        let mut next = Version::clone(&self.as_of(now));
        next.generation += chance.between(1, MAX_GENERATION_STEP);
        let number = chance.below(MAX_ROUTES);
        let name = format!("r{number}");
        match next.routes.contains_key(&name) && chance.per_mille(500) {
            true => drop(next.routes.remove(&name)),
            false => {
                let mut limits = drawn_limits(&name, chance);
                if fixed_retries {
                    limits.retries = 1 + (number % MAX_RETRIES) as u32;
                }
                next.routes.insert(name, limits);
            }
        }
        let next = Arc::new(next);
        self.0.push((now, next.clone()));
        next
    }
}

fn drawn_limits(route: &str, chance: &mut SeededRng) -> ItemLimits {
    let retention_ms = chance.between(RETENTION.0, RETENTION.1) / MILLISECOND;
    ItemLimits {
        retention_ms: (route != ENDLESS_ROUTE).then_some(retention_ms),
        retries: 1 + chance.below(MAX_RETRIES) as u32,
    }
}

/// A store's wait for the core to confirm its configuration, or to send one by which items run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConfigurationWait {
    pub since: Micros,
}

/// What becomes of an item at servers, whatever store sends it. It stands in the first byte of the item's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemNature {
    Runs,
    /// Servers reject it for good.
    Rejected,
    /// Servers fail to run it.
    Fails,
    /// No server has room for it.
    FindsNoServer,
}

impl ItemNature {
    /// Draws the nature of an item of a route. Where the retention never ends, all items find a server.
    pub fn drawn(route: &str, chance: &mut SeededRng) -> Self {
        match chance.below(20) {
            0 => Self::Rejected,
            1 | 2 => Self::Fails,
            3 if route != ENDLESS_ROUTE => Self::FindsNoServer,
            _ => Self::Runs,
        }
    }

    pub fn to_body(self) -> Vec<u8> {
        vec![match self {
            Self::Runs => 1,
            Self::Rejected => 2,
            Self::Fails => 3,
            Self::FindsNoServer => 4,
        }]
    }

    pub fn of_body(body: &[u8]) -> Self {
        match body {
            [2, ..] => Self::Rejected,
            [3, ..] => Self::Fails,
            [4, ..] => Self::FindsNoServer,
            _ => Self::Runs,
        }
    }
}
