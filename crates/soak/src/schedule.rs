//! Draws the troubles of a seed.

use std::time::Duration;

use fastrand::Rng;
use strum::{Display, IntoEnumIterator};

use crate::moments::{Aimed, Blow, Moment};
use crate::plan::Plan;

/// A kind of process, with its place among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Target {
    #[strum(to_string = "core-{0}")]
    Core(u8),
    #[strum(to_string = "store-{0}")]
    Store(u8),
    #[strum(to_string = "edge-{0}")]
    DataPlane(u8),
}

/// One trouble.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    Kill {
        targets: Vec<Target>,
        down: Duration,
    },
    Freeze {
        target: Target,
        for_: Duration,
    },
    Restart {
        target: Target,
        down: Duration,
    },
    Hangup {
        target: Target,
    },
    Wipe {
        store: u8,
        down: Duration,
    },
    Configure,
    PlatformSilent {
        for_: Duration,
    },
    /// From the second one, or from all.
    Cut {
        target: Target,
        from: Option<Target>,
        for_: Duration,
    },
    CutOneWay {
        target: Target,
        for_: Duration,
    },
    SlowLinks {
        target: Target,
        by: Duration,
        for_: Duration,
    },
    /// So many chunks of a hundred.
    LossyLinks {
        part: u8,
        for_: Duration,
    },
    ResetLink {
        target: Target,
    },
    StaleReader {
        store: u8,
        data_plane: u8,
        for_: Duration,
    },
    Aimed(Aimed),
    /// Each connection is as slow as is drawn for it, at most by so much.
    UnevenLinks {
        target: Target,
        by: Duration,
        for_: Duration,
    },
    FreezeServer {
        server: u8,
        for_: Duration,
    },
    ReplaceServer {
        server: u8,
        for_: Duration,
    },
}

/// A trouble and when it strikes, from the beginning of the troubles.
#[derive(Clone, Debug, PartialEq)]
pub struct Strike {
    pub at: Duration,
    pub trouble: Trouble,
}

/// All troubles of a seed, in order. The next one does not wait for the end of the last one.
pub fn drawn(plan: &Plan, seed: u64) -> Vec<Strike> {
    let mut chance = Rng::with_seed(seed);
    let mut strikes = Vec::new();
    let mut at = Duration::ZERO;
    let end = Duration::from_secs_f64(plan.troubled_s);
    loop {
        let most = plan.troubles.most_pause_ms.max(plan.troubles.least_pause_ms);
        at += Duration::from_millis(chance.u64(plan.troubles.least_pause_ms..=most));
        if at >= end {
            return strikes;
        }
        if let Some(trouble) = trouble(plan, &mut chance) {
            strikes.push(Strike { at, trouble });
        }
    }
}

fn trouble(plan: &Plan, chance: &mut Rng) -> Option<Trouble> {
    let troubles = &plan.troubles;
    let of_links = |weight: u32| if plan.relayed { weight } else { 0 };
    let weights = [
        troubles.kill_store,
        troubles.kill_stores,
        troubles.kill_core,
        troubles.kill_data_plane,
        troubles.freeze,
        troubles.restart,
        troubles.hangup,
        troubles.wipe_store,
        troubles.configure,
        troubles.platform_silent,
        of_links(troubles.cut),
        of_links(troubles.cut_one_way),
        of_links(troubles.slow_links),
        of_links(troubles.lossy_links),
        of_links(troubles.reset_link),
        of_links(troubles.aimed),
        of_links(troubles.stale_reader),
        of_links(troubles.uneven_links),
        troubles.freeze_server,
        troubles.replace_server,
    ];
    let sum: u32 = weights.iter().sum();
    if sum == 0 {
        return None;
    }
    let mut left = chance.u32(0..sum);
    let kind = weights.iter().position(|weight| match left.checked_sub(*weight) {
        Some(rest) => {
            left = rest;
            false
        }
        None => true,
    })?;
    let down = Duration::from_millis(chance.u64(50..=2_500));
    let store = |chance: &mut Rng| Target::Store(chance.u8(0..plan.stores));
    Some(match kind {
        0 => Trouble::Kill { targets: vec![store(chance)], down },
        1 => {
            let many = chance.u8(2..=plan.stores);
            let mut all: Vec<u8> = (0..plan.stores).collect();
            chance.shuffle(&mut all);
            Trouble::Kill { targets: all.into_iter().take(many.into()).map(Target::Store).collect(), down }
        }
        2 => Trouble::Kill { targets: vec![Target::Core(chance.u8(0..plan.core))], down },
        3 => Trouble::Kill { targets: vec![Target::DataPlane(chance.u8(0..plan.data_planes))], down },
        4 => Trouble::Freeze { target: any(plan, chance), for_: down },
        5 => Trouble::Restart { target: any(plan, chance), down: down / 4 },
        6 => Trouble::Hangup { target: any(plan, chance) },
        7 => Trouble::Wipe { store: chance.u8(0..plan.stores), down },
        8 => Trouble::Configure,
        9 => Trouble::PlatformSilent { for_: down },
        10 => {
            let (target, other) = (any(plan, chance), any(plan, chance));
            Trouble::Cut { target, from: (chance.bool() && other != target).then_some(other), for_: down }
        }
        11 => Trouble::CutOneWay { target: any(plan, chance), for_: down },
        12 => {
            let by = Duration::from_millis(chance.u64(5..=300));
            Trouble::SlowLinks { target: any(plan, chance), by, for_: down }
        }
        13 => Trouble::LossyLinks { part: chance.u8(2..=20), for_: down },
        14 => Trouble::ResetLink { target: any(plan, chance) },
        16 => {
            let (store, data_plane) = (chance.u8(0..plan.stores), chance.u8(0..plan.data_planes));
            Trouble::StaleReader { store, data_plane, for_: 2 * down }
        }
        17 => {
            let by = Duration::from_millis(chance.u64(300..=3_000));
            Trouble::UnevenLinks { target: store(chance), by, for_: 2 * down }
        }
        18 => Trouble::FreezeServer { server: chance.u8(0..plan.servers), for_: down },
        19 => Trouble::ReplaceServer { server: chance.u8(0..plan.servers), for_: down },
        _ => {
            let moments: Vec<Moment> = Moment::iter().collect();
            let blows: Vec<Blow> = Blow::iter().collect();
            Trouble::Aimed(Aimed {
                moment: moments[chance.usize(0..moments.len())],
                blow: blows[chance.usize(0..blows.len())],
                for_: down,
            })
        }
    })
}

fn any(plan: &Plan, chance: &mut Rng) -> Target {
    match chance.u8(0..10) {
        0..=4 => Target::Store(chance.u8(0..plan.stores)),
        5..=6 => Target::Core(chance.u8(0..plan.core)),
        _ => Target::DataPlane(chance.u8(0..plan.data_planes)),
    }
}

#[cfg(test)]
mod tests;
