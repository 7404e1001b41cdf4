//! A scenario: the deployment, the load on it and the faults, as one TOML file says it. Everything is checked
//! before anything starts; an error names the file, the line and the reason.

use serde::{Deserialize, Serialize};
use std::path::Path;

pub use fennelgauge_launch::operator::ConfigError;

/// Spans are in the unit that ends the name, `_s` or `_ms`; shares lie from 0 to 1.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Of all chance in the load, the world and the choice of targets.
    pub seed: u64,
    /// How long jobs are sent; the play goes on until the last is answered.
    pub length_s: f64,
    pub deployment: Deployment,
    pub band: Vec<Band>,
    pub plan: Vec<Plan>,
    pub load: Load,
    #[serde(default)]
    pub servers: Servers,
    pub counter: Option<Counter>,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub front: Front,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub judge: Judge,
    /// Gateways that know each other; off where left out.
    pub membership: Option<Membership>,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// What the judge grants beyond the rules' own figures: how late an answer or a send may be for the way there.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Judge {
    pub answer_slack_ms: f64,
    pub drain_slack_ms: f64,
}

/// What the operator's file switches on, and what datagrams between gateways meet.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    pub counts: bool,
    pub shares: bool,
    pub mail_per_s: f64,
    /// One way, drawn for each between these, beside the network's own delay.
    pub delay_ms: [f64; 2],
    pub loss: f64,
    /// After the load the play goes on for so long at most, until all that run hold one view.
    pub settle_s: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    pub gateways: u32,
    pub servers: u32,
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// How the servers are dealt to the zones; evenly where left out.
    #[serde(default)]
    pub zone_weights: Vec<f64>,
    #[serde(default = "two")]
    pub tick_ms: f64,
    #[serde(default = "three")]
    pub most_relays: u8,
    #[serde(default = "yes")]
    pub may_withdraw: bool,
    /// The longest wait that clients take as advice; 0: they take none.
    #[serde(default)]
    pub hold_off_s: f64,
    #[serde(default)]
    pub cold: Cold,
    #[serde(default = "drain_grace")]
    pub drain_grace_ms: f64,
}

/// How a freshly started server behaves, and what it bears from all gateways together.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    pub share: f64,
    pub warm_after_s: f64,
    pub fall_multiple: f64,
    pub fall_span_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Pure,
    Receipted,
    Effectful,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Band {
    pub name: String,
    /// Of all jobs, by weight among the bands.
    #[serde(default = "one")]
    pub share: f64,
    pub target_ms: f64,
    pub abandon_ms: f64,
    #[serde(default = "one")]
    pub benefit: f64,
    #[serde(default)]
    pub late_share: f64,
    pub repeat: Repeat,
    #[serde(default)]
    pub group: Group,
    /// How long servers of the group drop a receipted job's repeat.
    #[serde(default)]
    pub window_ms: f64,
    /// Mean work of a job of the mean size, in milliseconds of one core at speed 1.
    pub work_ms: f64,
    /// Standard deviation over the mean, lognormal.
    #[serde(default = "half")]
    pub work_cv: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Of all jobs, by weight among the plans.
    #[serde(default = "one")]
    pub share: f64,
    pub customers: u32,
    /// The exponent of the customers' popularity (Zipf); 0: all alike.
    #[serde(default)]
    pub popularity: f64,
    /// How many gateways a customer's jobs come in through; 0: all.
    #[serde(default)]
    pub set: u32,
    #[serde(default)]
    pub rate: f64,
    #[serde(default)]
    pub burst: f64,
    #[serde(default)]
    pub relays_out: f64,
    #[serde(default = "one")]
    pub price: f64,
    #[serde(default)]
    pub over_share: f64,
    #[serde(default)]
    pub over_cost: f64,
    pub ceiling: Option<Ceiling>,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Ceiling {
    pub rate: f64,
    pub burst: f64,
    pub slack: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub jobs_per_s: f64,
    /// Jobs come evenly apart, and from each plan's customers in turn, in place of by chance; customers' sets then
    /// begin at the gateways in turn.
    #[serde(default)]
    pub even: bool,
    /// Units are drawn evenly from 1 to this.
    #[serde(default = "one_unit")]
    pub most_units: u32,
    /// A client gives a try up after a share of the band's abandon time, drawn between these.
    #[serde(default = "all_of_it")]
    pub give_up: [f64; 2],
    /// Further tries a client makes after a dismissal, or a failure of a pure job.
    #[serde(default)]
    pub retries: u32,
    /// The first wait before a further try; doubled each time.
    #[serde(default = "hundred")]
    pub backoff_ms: f64,
    /// Clients that leave before their time, at a moment drawn from it.
    #[serde(default)]
    pub impatient: f64,
    /// How unevenly a customer's jobs fall on its set, and how often that changes; 0: never.
    #[serde(default)]
    pub skew: f64,
    #[serde(default)]
    pub shift_s: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Servers {
    pub cores: u32,
    /// Drawn for each between these; the rating told is the cores times the nominal speed of 1, unless
    /// `ratings` are given, dealt out in turn, which multiply the cores too.
    pub speed: [f64; 2],
    pub ratings: Vec<f64>,
    /// Jobs in work at once, and waiting, by core.
    pub slots: u32,
    pub queue: u32,
    /// Connections it holds, and what a new one costs it and the first job on it.
    pub connections: u32,
    pub handshake_ms: f64,
    pub idle_s: f64,
    /// Servers in a cell, which share what repeats they have seen.
    pub cell: u32,
    /// What a closed connection drops: `none`, `queued` or `all`.
    pub cancel: Cancel,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Cancel {
    None,
    #[default]
    Queued,
    All,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Calls a second of each part, what a call takes beside, and how many may wait.
    pub per_s: f64,
    pub parts: u32,
    pub answer_ms: f64,
    pub line: u32,
    pub timeout_ms: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How late a limiter hears of a change, drawn for each between these.
    pub delay_ms: [f64; 2],
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// How late it notices a dead limiter, drawn between these.
    pub notice_ms: [f64; 2],
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way inside a zone and between zones; plus up to the jitter.
    pub delay_ms: f64,
    pub cross_ms: f64,
    pub jitter_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Gateways: killed outright; back after `for_s`, or never.
    Kill,
    /// Gateways: stopped, and continued after `for_s`.
    Stop,
    /// Gateways: told to stop; started again `for_s` after they have ended.
    Restart,
    /// Servers: the process dies, connections are reset; back cold after `for_s`, or never.
    Crash,
    /// Servers: cut off without a word; back cold after `for_s`, or never.
    Vanish,
    /// Servers: gone, and others started cold in their place.
    Replace,
    /// Servers: drain, and are gone after `for_s`.
    Drain,
    /// Servers: nothing goes on for `for_s`.
    Pause,
    /// Servers: `size` times slower for `for_s`.
    Slow,
    /// Servers: a share `size` of the jobs fails at once for `for_s`.
    Fail,
    /// Servers: every job is turned away for `for_s`.
    TurnAway,
    /// The counter says nothing for `for_s`; calls made meanwhile are never counted.
    CounterSilent,
    /// The counter turns every call away for `for_s`.
    CounterBusy,
    /// The counter answers `size` times slower for `for_s`.
    CounterSlow,
    /// The counter loses a share `size` of its counts.
    CounterFlush,
    /// For `for_s` the limiters of `on` speak with a half of their own; afterwards the first half stays.
    CounterSplit,
    /// Another counter stands in its place, from zero.
    CounterReplace,
    /// Lists come `size` seconds later than usual for `for_s`.
    ListsLate,
    /// The agents of `on` say nothing for `for_s`.
    ListsSilent,
    /// A link, or all between two sides, for `for_s`.
    Link,
    /// `size` times the load for `for_s`, of the plan named by `plan` or of all.
    Burst,
    /// Customers' jobs move to other limiters of their sets, for a share of the customers.
    Shift,
}

/// Which directions of a link are cut, seen from `from`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    Both,
    Forth,
    Back,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub what: What,
    /// Whom it hits: `gateways`, `gateways in ZONE`, `gateway N`, the same of servers, `zone ZONE`.
    pub on: Option<String>,
    /// Of these, a share or so many, drawn by the scenario's seed.
    pub share: Option<f64>,
    pub count: Option<u32>,
    pub for_s: Option<f64>,
    pub size: Option<f64>,
    pub plan: Option<String>,
    /// The two sides of a link: as `on`, or `counter`, `front`, `outside ZONE`.
    pub from: Option<String>,
    pub to: Option<String>,
    pub cut: Option<Cut>,
    pub delay_ms: Option<f64>,
    pub jitter_ms: Option<f64>,
    /// Datagrams lost.
    pub loss: Option<f64>,
    /// Datagrams that come twice.
    pub twice: Option<f64>,
    /// Requests whose connection is reset under them.
    pub reset: Option<f64>,
    /// Connections open at its start stay open and silent for good.
    #[serde(default)]
    pub half_open: bool,
    pub bytes_per_s: Option<f64>,
}

fn one_zone() -> Vec<String> {
    vec!["here".into()]
}
fn one() -> f64 {
    1.0
}
fn half() -> f64 {
    0.5
}
fn two() -> f64 {
    2.0
}
fn three() -> u8 {
    3
}
fn yes() -> bool {
    true
}
fn one_unit() -> u32 {
    1
}
fn hundred() -> f64 {
    100.0
}
fn all_of_it() -> [f64; 2] {
    [1.0, 1.0]
}
fn drain_grace() -> f64 {
    250.0
}

impl Default for Cold {
    fn default() -> Self {
        Self { share: 0.3, warm_after_s: 10.0, fall_multiple: 2.0, fall_span_s: 1.0 }
    }
}

/// As the protocol page has it: each time limit grows by 50 ms on sockets.
impl Default for Judge {
    fn default() -> Self {
        Self { answer_slack_ms: 50.0, drain_slack_ms: 50.0 }
    }
}

/// Ways and losses as the deployments that allow messages draw them.
impl Default for Membership {
    fn default() -> Self {
        Self {
            counts: false,
            shares: false,
            mail_per_s: 40.0,
            delay_ms: [2.3, 19.0],
            loss: 0.04,
            settle_s: 60.0,
        }
    }
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            cores: 2,
            speed: [1.0, 1.0],
            ratings: Vec::new(),
            slots: 8,
            queue: 12,
            connections: 1_000,
            handshake_ms: 1.0,
            idle_s: 30.0,
            cell: 4,
            cancel: Cancel::Queued,
        }
    }
}

impl Default for Counter {
    fn default() -> Self {
        Self { per_s: 1_500.0, parts: 1, answer_ms: 1.0, line: 100, timeout_ms: 30.0 }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Self { delay_ms: [200.0, 800.0] }
    }
}

impl Default for Front {
    fn default() -> Self {
        Self { notice_ms: [1_200.0, 3_500.0] }
    }
}

impl Default for Network {
    fn default() -> Self {
        Self { delay_ms: 0.2, cross_ms: 1.0, jitter_ms: 0.1 }
    }
}

/// A mistake in one figure, by its path in the file.
struct Wrong {
    path: Vec<String>,
    reason: String,
}

/// Collects what is out of bounds.
struct Checks(Vec<Wrong>);

impl Checks {
    fn wrong(&mut self, path: &str, reason: impl Into<String>) {
        self.0.push(Wrong { path: path.split('.').map(str::to_string).collect(), reason: reason.into() });
    }

    fn within(&mut self, path: &str, value: f64, least: f64, most: f64) {
        if !(value >= least && value <= most) {
            self.wrong(path, format!("{value} is not between {least} and {most}"));
        }
    }

    fn range(&mut self, path: &str, range: [f64; 2], least: f64, most: f64) {
        range.iter().for_each(|value| self.within(path, *value, least, most));
        if range[0] > range[1] {
            self.wrong(path, format!("the range {} to {} is upside down", range[0], range[1]));
        }
    }
}

/// The longest play, and the most of each: what the simulation is held to.
const LONGEST_S: f64 = 7_200.0;
pub const MOST_GATEWAYS: f64 = 1_000.0;
pub const MOST_SERVERS: f64 = 600.0;
const MOST_MS: f64 = 600_000.0;

impl Scenario {
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text =
            text.map_err(|error| ConfigError { file: file.clone(), line: 0, reason: error.to_string() })?;
        Self::parse(&file, &text)
    }

    /// Reads and checks a scenario; `file` is what errors call it.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let line_at = |offset: usize| 1 + text[..offset.min(text.len())].matches('\n').count();
        let scenario: Self = toml::from_str(text).map_err(|error| ConfigError {
            file: file.to_string(),
            line: error.span().map_or(0, |span| line_at(span.start)),
            reason: error.message().to_string(),
        })?;
        let mut checks = Checks(Vec::new());
        scenario.check(&mut checks);
        match checks.0.into_iter().next() {
            None => Ok(scenario),
            Some(wrong) => Err(ConfigError {
                file: file.to_string(),
                line: place(text, &wrong.path).map_or(0, line_at),
                reason: format!("{}: {}", wrong.path.join("."), wrong.reason),
            }),
        }
    }

    fn check(&self, checks: &mut Checks) {
        checks.within("length_s", self.length_s, 0.1, LONGEST_S);
        let deployment = &self.deployment;
        checks.within("deployment.gateways", f64::from(deployment.gateways), 1.0, MOST_GATEWAYS);
        checks.within("deployment.servers", f64::from(deployment.servers), 1.0, MOST_SERVERS);
        checks.within("deployment.tick_ms", deployment.tick_ms, 0.1, 1_000.0);
        checks.within("deployment.most_relays", f64::from(deployment.most_relays), 1.0, 20.0);
        checks.within("deployment.hold_off_s", deployment.hold_off_s, 0.0, 60.0);
        checks.within("deployment.drain_grace_ms", deployment.drain_grace_ms, 0.0, MOST_MS);
        let zones = &deployment.zones;
        if zones.is_empty() || zones.iter().any(String::is_empty) {
            checks.wrong("deployment.zones", "a zone needs a name, and there must be one");
        }
        if (1..zones.len()).any(|at| zones[..at].contains(&zones[at])) {
            checks.wrong("deployment.zones", "a zone is named twice");
        }
        let weights = &deployment.zone_weights;
        if !weights.is_empty() && weights.len() != zones.len() {
            checks.wrong("deployment.zone_weights", "one for each zone, or none");
        }
        weights.iter().for_each(|weight| checks.within("deployment.zone_weights", *weight, 0.01, 1e6));
        checks.within("deployment.cold.share", deployment.cold.share, 0.01, 1.0);
        checks.within("deployment.cold.warm_after_s", deployment.cold.warm_after_s, 0.0, 600.0);
        checks.within("deployment.cold.fall_multiple", deployment.cold.fall_multiple, 0.5, 100.0);
        checks.within("deployment.cold.fall_span_s", deployment.cold.fall_span_s, 0.05, 60.0);
        self.check_sold(checks);
        self.check_world(checks);
        for (index, fault) in self.fault.iter().enumerate() {
            self.check_fault(checks, index, fault);
        }
    }

    /// Bands, plans and the load.
    fn check_sold(&self, checks: &mut Checks) {
        if self.band.is_empty() || self.plan.is_empty() {
            checks.wrong("name", "at least one [[band]] and one [[plan]] are needed");
        }
        for (index, band) in self.band.iter().enumerate() {
            let path = |key: &str| format!("band.{index}.{key}");
            checks.within(&path("share"), band.share, 0.0, 1e6);
            checks.within(&path("target_ms"), band.target_ms, 1.0, MOST_MS);
            checks.within(&path("abandon_ms"), band.abandon_ms, band.target_ms, MOST_MS);
            checks.within(&path("benefit"), band.benefit, 0.0, 1e6);
            checks.within(&path("late_share"), band.late_share, 0.0, 1.0);
            checks.within(&path("window_ms"), band.window_ms, 0.0, MOST_MS);
            checks.within(&path("work_ms"), band.work_ms, 0.01, MOST_MS);
            checks.within(&path("work_cv"), band.work_cv, 0.0, 5.0);
            if band.repeat == Repeat::Receipted && band.window_ms <= 0.0 {
                checks.wrong(&path("window_ms"), "a receipted band needs a window");
            }
            if self.band[..index].iter().any(|other| other.name == band.name) || band.name.is_empty() {
                checks.wrong(&path("name"), "a band needs a name of its own");
            }
        }
        for (index, plan) in self.plan.iter().enumerate() {
            let path = |key: &str| format!("plan.{index}.{key}");
            checks.within(&path("share"), plan.share, 0.0, 1e6);
            checks.within(&path("customers"), f64::from(plan.customers), 1.0, 1e6);
            checks.within(&path("popularity"), plan.popularity, 0.0, 5.0);
            checks.within(&path("set"), f64::from(plan.set), 0.0, f64::from(self.deployment.gateways));
            for (key, value) in [
                ("rate", plan.rate),
                ("burst", plan.burst),
                ("relays_out", plan.relays_out),
                ("price", plan.price),
                ("over_share", plan.over_share),
                ("over_cost", plan.over_cost),
            ] {
                checks.within(&path(key), value, 0.0, 1e9);
            }
            if let Some(ceiling) = &plan.ceiling {
                checks.within(&path("ceiling.rate"), ceiling.rate, 0.001, 1e9);
                checks.within(&path("ceiling.burst"), ceiling.burst, 0.0, 1e9);
                checks.within(&path("ceiling.slack"), ceiling.slack, 0.0, 1e9);
            }
            if self.plan[..index].iter().any(|other| other.name == plan.name) || plan.name.is_empty() {
                checks.wrong(&path("name"), "a plan needs a name of its own");
            }
        }
        let load = &self.load;
        checks.within("load.jobs_per_s", load.jobs_per_s, 0.01, 1e5);
        // The whole schedule is kept in memory.
        checks.within("load.jobs_per_s", load.jobs_per_s * self.length_s, 0.01, 5e6);
        checks.within("load.most_units", f64::from(load.most_units), 1.0, 1_000.0);
        checks.range("load.give_up", load.give_up, 0.01, 1.0);
        checks.within("load.retries", f64::from(load.retries), 0.0, 10.0);
        checks.within("load.backoff_ms", load.backoff_ms, 0.0, MOST_MS);
        checks.within("load.impatient", load.impatient, 0.0, 1.0);
        checks.within("load.skew", load.skew, 0.0, 5.0);
        checks.within("load.shift_s", load.shift_s, 0.0, LONGEST_S);
    }

    fn check_world(&self, checks: &mut Checks) {
        let servers = &self.servers;
        checks.within("servers.cores", f64::from(servers.cores), 1.0, 1_024.0);
        checks.range("servers.speed", servers.speed, 0.01, 100.0);
        servers.ratings.iter().for_each(|rating| checks.within("servers.ratings", *rating, 0.01, 100.0));
        checks.within("servers.slots", f64::from(servers.slots), 1.0, 1e6);
        checks.within("servers.queue", f64::from(servers.queue), 0.0, 1e6);
        checks.within("servers.connections", f64::from(servers.connections), 1.0, 1e6);
        checks.within("servers.handshake_ms", servers.handshake_ms, 0.0, 1_000.0);
        checks.within("servers.idle_s", servers.idle_s, 0.1, 3_600.0);
        checks.within("servers.cell", f64::from(servers.cell), 1.0, 600.0);
        if let Some(counter) = &self.counter {
            checks.within("counter.per_s", counter.per_s, 1.0, 1e6);
            checks.within("counter.parts", f64::from(counter.parts), 1.0, 64.0);
            checks.within("counter.answer_ms", counter.answer_ms, 0.0, MOST_MS);
            checks.within("counter.line", f64::from(counter.line), 1.0, 1e6);
            checks.within("counter.timeout_ms", counter.timeout_ms, 1.0, MOST_MS);
        }
        if let Some(membership) = &self.membership {
            checks.within("membership.mail_per_s", membership.mail_per_s, 0.1, 1e6);
            checks.range("membership.delay_ms", membership.delay_ms, 0.0, 1_000.0);
            checks.within("membership.loss", membership.loss, 0.0, 1.0);
            checks.within("membership.settle_s", membership.settle_s, 0.0, 600.0);
        }
        checks.range("discovery.delay_ms", self.discovery.delay_ms, 0.0, MOST_MS);
        checks.range("front.notice_ms", self.front.notice_ms, 0.0, MOST_MS);
        checks.within("network.delay_ms", self.network.delay_ms, 0.0, 1_000.0);
        checks.within("network.cross_ms", self.network.cross_ms, 0.0, 1_000.0);
        checks.within("judge.answer_slack_ms", self.judge.answer_slack_ms, 0.0, MOST_MS);
        checks.within("judge.drain_slack_ms", self.judge.drain_slack_ms, 0.0, MOST_MS);
        checks.within("network.jitter_ms", self.network.jitter_ms, 0.0, 1_000.0);
    }

    fn check_fault(&self, checks: &mut Checks, index: usize, fault: &Fault) {
        use What::*;
        let path = |key: &str| format!("fault.{index}.{key}");
        checks.within(&path("at_s"), fault.at_s, 0.0, self.length_s);
        if let Some(span) = fault.for_s {
            checks.within(&path("for_s"), span, 0.0, LONGEST_S);
        }
        if let Some(share) = fault.share {
            checks.within(&path("share"), share, 0.0, 1.0);
        }
        if fault.share.is_some() && fault.count.is_some() {
            checks.wrong(&path("count"), "a share or a count, not both");
        }
        let needs_span = matches!(
            fault.what,
            Stop | Pause
                | Slow
                | Fail
                | TurnAway
                | CounterSilent
                | CounterBusy
                | CounterSlow
                | CounterSplit
                | ListsLate
                | ListsSilent
                | Link
                | Burst
        );
        if needs_span && fault.for_s.is_none() {
            checks.wrong(&path("what"), "this fault needs `for_s`");
        }
        let size = match fault.what {
            Slow | CounterSlow => Some((1.0, 1_000.0)),
            Fail | CounterFlush => Some((0.0, 1.0)),
            ListsLate => Some((0.0, 600.0)),
            Burst => Some((0.0, 100.0)),
            _ => None,
        };
        match (size, fault.size) {
            (Some((least, most)), Some(size)) => checks.within(&path("size"), size, least, most),
            (Some(_), None) => checks.wrong(&path("what"), "this fault needs `size`"),
            (None, Some(_)) => checks.wrong(&path("size"), "this fault has no size"),
            (None, None) => {}
        }
        let sides: &[(&str, &Option<String>, bool)] = match fault.what {
            Link => &[("from", &fault.from, true), ("to", &fault.to, true)],
            Kill | Stop | Restart | Crash | Vanish | Replace | Drain | Pause | Slow | Fail | TurnAway
            | ListsSilent | CounterSplit => &[("on", &fault.on, true)],
            ListsLate => &[("on", &fault.on, false)],
            _ => &[],
        };
        for (key, given) in [("on", &fault.on), ("from", &fault.from), ("to", &fault.to)] {
            if given.is_some() && !sides.iter().any(|side| side.0 == key) {
                checks.wrong(&path(key), "this fault has no such target");
            }
        }
        for (key, given, needed) in sides {
            let Some(text) = given else {
                if *needed {
                    checks.wrong(&path("what"), format!("this fault needs `{key}`"));
                }
                continue;
            };
            match crate::target::Target::parse(text, &self.deployment) {
                Err(reason) => checks.wrong(&path(key), reason),
                Ok(target) => {
                    let fits = match fault.what {
                        Kill | Stop | Restart | ListsLate | ListsSilent | CounterSplit => {
                            target.has_gateways() && !target.has_servers()
                        }
                        Link => true,
                        _ => target.has_servers() && !target.has_gateways(),
                    };
                    if !fits {
                        checks.wrong(&path(key), format!("`{text}` is not what this fault can hit"));
                    }
                }
            }
        }
        let counts = matches!(fault.what, CounterSilent | CounterBusy | CounterSlow | CounterFlush)
            || matches!(fault.what, CounterSplit | CounterReplace);
        if counts && self.counter.is_none() {
            checks.wrong(&path("what"), "there is no [counter]");
        }
        if let Some(plan) = &fault.plan {
            if fault.what != Burst || !self.plan.iter().any(|known| known.name == *plan) {
                checks.wrong(&path("plan"), format!("no burst, or no plan is called `{plan}`"));
            }
        }
        self.check_link(checks, index, fault);
    }

    fn check_link(&self, checks: &mut Checks, index: usize, fault: &Fault) {
        let path = |key: &str| format!("fault.{index}.{key}");
        let figures = [
            ("delay_ms", fault.delay_ms, MOST_MS),
            ("jitter_ms", fault.jitter_ms, MOST_MS),
            ("loss", fault.loss, 1.0),
            ("twice", fault.twice, 1.0),
            ("reset", fault.reset, 1.0),
            ("bytes_per_s", fault.bytes_per_s, 1e9),
        ];
        let mut does = fault.cut.is_some() || fault.half_open;
        for (key, value, most) in figures {
            let Some(value) = value else { continue };
            does = true;
            let least = if key == "bytes_per_s" { 1.0 } else { 0.0 };
            checks.within(&path(key), value, least, most);
            if fault.what != What::Link {
                checks.wrong(&path(key), "only a link has this");
            }
        }
        if fault.what == What::Link && !does {
            checks.wrong(&path("what"), "this link fault changes nothing");
        }
        if fault.what != What::Link && (fault.cut.is_some() || fault.half_open) {
            checks.wrong(&path("what"), "only a link can be cut or half open");
        }
    }
}

/// Where in the text the value at a path stands, or the nearest that there is above it.
fn place(text: &str, path: &[String]) -> Option<usize> {
    use toml::de::DeValue;
    let root = toml::de::DeTable::parse(text).ok()?;
    let mut found = None;
    let mut table = Some(root.get_ref());
    let mut array: Option<&toml::de::DeArray> = None;
    for key in path {
        let value = match (table, array) {
            (Some(within), _) => within.get(key.as_str()),
            (None, Some(within)) => key.parse::<usize>().ok().and_then(|at| within.get(at)),
            (None, None) => None,
        };
        let Some(value) = value else { break };
        // The span of a table of tables is that of its first part; the element's own comes next.
        found = Some(value.span().start);
        (table, array) = match value.get_ref() {
            DeValue::Table(next) => (Some(next), None),
            DeValue::Array(next) => (None, Some(next)),
            _ => (None, None),
        };
    }
    found
}
