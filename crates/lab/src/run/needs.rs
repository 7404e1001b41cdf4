//! What a real play takes of the machine, and whether it has that.

use crate::links::Links;
use crate::scenario::Scenario;
use crate::timeline::Timeline;
use rustix::process::{getrlimit, Resource};

/// The most processes that one play starts; beyond that only the simulation goes.
pub const MOST_PROCESSES: u32 = 300;
/// Of this process besides its sockets: files of logs, pipes, the runtime.
const KEPT_BACK: u64 = 64;
/// Descriptors that a gateway is allowed.
pub const OF_A_GATEWAY: u64 = 640;
/// What a gateway takes in memory at most, and in practice, in mebibytes.
pub const MEMORY_MB: u64 = 64;
const USUAL_MEMORY_MB: u64 = 8;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Needs {
    pub processes: u32,
    /// Listening sockets of the stand-ins.
    pub listeners: u64,
    /// Descriptors of the laboratory's own process, connections included.
    pub descriptors: u64,
    pub memory_mb: u64,
}

/// Servers that stand at the same time or one after another.
fn servers(scenario: &Scenario, timeline: &Timeline) -> u64 {
    use crate::timeline::{Act, OnServer};
    let replaced =
        timeline.steps.iter().filter(|step| matches!(step.act, Act::Server(_, OnServer::Replace))).count();
    u64::from(scenario.deployment.servers) + replaced as u64
}

pub fn needs(scenario: &Scenario) -> Needs {
    let timeline = Timeline::new(scenario);
    let gateways = u64::from(scenario.deployment.gateways);
    let classes = class_count(&timeline.links);
    // A gateway has an agent and a line to the counter; the others' connections follow from the load: a job
    // takes one of its client's and one to a server, kept open and some idle.
    let listeners = servers(scenario, &timeline) * classes + 2 * gateways;
    let jobs =
        scenario.load.jobs_per_s * timeline.bursts.iter().map(|burst| burst.times.max(1.0)).product::<f64>();
    let open = (jobs * 4.0) as u64 + gateways * (3 + 12);
    Needs {
        processes: scenario.deployment.gateways,
        listeners,
        descriptors: listeners + open + KEPT_BACK,
        memory_mb: gateways * USUAL_MEMORY_MB + 256,
    }
}

fn class_count(links: &Links) -> u64 {
    links.classes().into_iter().max().map_or(1, |most| most as u64 + 1)
}

impl Needs {
    /// A clear word on what the machine can't hold.
    pub fn check(&self) -> Result<(), String> {
        if self.processes > MOST_PROCESSES {
            return Err(format!(
                "{} gateways: at most {MOST_PROCESSES} processes are started; `sim` takes more",
                self.processes
            ));
        }
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        if self.descriptors > allowed {
            return Err(format!(
                "about {} descriptors are needed ({} of them listen), {allowed} are allowed: raise the limit \
                 (ulimit -n), or have fewer servers or link faults that tell fewer gateways apart",
                self.descriptors, self.listeners
            ));
        }
        if allowed < OF_A_GATEWAY {
            return Err(format!("a gateway may hold {OF_A_GATEWAY} descriptors, {allowed} are allowed"));
        }
        let Some(free) = available_mb() else { return Ok(()) };
        if self.memory_mb > free {
            return Err(format!("about {} MB of memory are needed, {free} are free", self.memory_mb));
        }
        Ok(())
    }
}

fn available_mb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb / 1024)
}
