//! What all parts of a run share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;

use fennelgauge_batch_judge::{BatchJobChecker, Limits, RouteTerms, Routes};
use fennelgauge_standins::{ModelServer, Observer, Platform, Tier};
use serde::Serialize;
use serde_json::{json, Value};
use tokio::sync::Mutex;

use crate::events::Events;
use crate::moments::Waiting;
use crate::plan::Plan;
use crate::process::Process;
use crate::relay::Links;
use crate::report::Fault;
use crate::schedule::Target;

/// In touch again so long after the last unplanned trouble, as the users' deployments have it.
pub const CONTACT: Duration = Duration::from_millis(3_000);
const SETTLE_US: u64 = 1_000_000;
const CANCEL_US: u64 = 3_000_000;
const ROUTE_END_GRACE_US: u64 = 3_000_000;
/// Of the batch route in the sample configuration.
const BATCH_RETENTION_US: u64 = 30_000_000;
const BATCH_RETRIES: usize = 2;
/// Prefix of the ids of batch jobs, and of their items, that are only read slowly: the judges do not follow them.
pub const PAGES_PREFIX: &str = "pages-";
/// Name of the route that batch jobs are submitted to.
pub const BATCH_ROUTE: &str = "batch";
/// Prefix of the route with a short time limit.
pub const BRIEF_PREFIX: &str = "/brief/";
/// Time limit of the route at [`BRIEF_PREFIX`].
pub const BRIEF_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Prefix of the route whose requests may run once only.
pub const MUTATING_PREFIX: &str = "/mutate/";
/// `retries` of that route.
const MUTATING_RETRIES: u64 = 3;

/// Counts of requests whose client or server behaves badly, as far as each could be judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EdgeCases {
    /// Large responses that a slow client has read as a whole.
    pub read_slowly: u64,
    /// Large pages of results that a slow client has read as a whole.
    pub pages_read_slowly: u64,
    /// Responses of dark servers that were cut off in time.
    pub cut_off: u64,
    /// Requests on which servers stopped to work in time after the client had left.
    pub left: u64,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Starting,
    Troubled,
    /// No new troubles, no new batch jobs.
    Recovering,
    Over,
}

/// A run.
pub struct World {
    pub plan: Plan,
    pub tier: Tier,
    pub programs: Option<PathBuf>,
    pub events: Events,
    pub platform: Rc<Platform>,
    /// Stand-ins for model servers, which tell this run of theirs and are kept by the tasks that serve them.
    pub servers: RefCell<Vec<Weak<ModelServer>>>,
    pub processes: Vec<Mutex<Process>>,
    pub judge: RefCell<BatchJobChecker>,
    pub faults: RefCell<Vec<Fault>>,
    pub phase: Cell<Phase>,
    /// Until when, in microseconds, some process is in unplanned trouble.
    pub unplanned_until: Cell<u64>,
    /// Lost disks that are not made good yet.
    pub wipes: Cell<u8>,
    /// Runs of live requests, by id.
    pub live_runs: RefCell<BTreeMap<String, u32>>,
    /// Live requests that were refused: they must never run.
    pub live_refused: RefCell<BTreeSet<String>>,
    /// Live requests whose server broke its answer off.
    pub live_broken_off: RefCell<BTreeSet<String>>,
    pub live_answers: Cell<u64>,
    /// Live requests that servers are at work on, each with the number of its runs.
    pub live_at_work: RefCell<BTreeMap<String, u32>>,
    /// When clients left, in microseconds, by the id of their request.
    pub left_at: RefCell<BTreeMap<String, u64>>,
    /// Responses that were read slowly, cut off because their server was dark, and left by their clients.
    pub edge_cases: Cell<EdgeCases>,
    /// The newest configuration that was acknowledged.
    pub acknowledged: Cell<u64>,
    pub to_end: RefCell<Vec<String>>,
    /// Links among the processes.
    pub links: Rc<Links>,
    /// Blows that wait for a moment.
    pub waiting: Waiting,
    /// Batch jobs that the final read did not come to.
    pub not_read: Cell<usize>,
    next: Cell<u64>,
}

impl World {
    pub fn new(
        plan: Plan,
        tier: Tier,
        programs: Option<PathBuf>,
        events: Events,
        platform: Rc<Platform>,
    ) -> Self {
        let processes =
            targets(&plan).into_iter().map(|target| Mutex::new(Process::new(&tier, target))).collect();
        let bounds = Limits {
            visibility_delay: SETTLE_US,
            cancellation_grace: CANCEL_US,
            max_queued_tokens: plan.max_queued,
            items_may_be_given_up: false,
            route_end_grace: ROUTE_END_GRACE_US,
        };
        let mut judge = BatchJobChecker::new(bounds);
        judge.record_configuration(0, batch_routes());
        Self {
            plan,
            tier,
            programs,
            events,
            platform,
            servers: RefCell::default(),
            processes,
            judge: RefCell::new(judge),
            faults: RefCell::default(),
            phase: Cell::new(Phase::Starting),
            unplanned_until: Cell::new(0),
            wipes: Cell::new(0),
            live_runs: RefCell::default(),
            live_refused: RefCell::default(),
            live_broken_off: RefCell::default(),
            live_answers: Cell::new(0),
            live_at_work: RefCell::default(),
            left_at: RefCell::default(),
            edge_cases: Cell::default(),
            acknowledged: Cell::new(0),
            to_end: RefCell::default(),
            links: Rc::default(),
            waiting: Waiting::default(),
            not_read: Cell::new(0),
            next: Cell::new(0),
        }
    }

    /// All processes.
    pub fn targets(&self) -> Vec<Target> {
        targets(&self.plan)
    }

    /// The process of a target.
    pub fn process(&self, target: Target) -> Option<&Mutex<Process>> {
        let place = match target {
            Target::Core(place) => place,
            Target::Store(place) => self.plan.core + place,
            Target::DataPlane(place) => self.plan.core + self.plan.stores + place,
        };
        self.processes.get(usize::from(place))
    }

    /// A rule was broken.
    pub fn blame(&self, rule: &str, what: String) {
        self.events.note(format_args!("BROKEN {rule}: {what}"));
        let at_s = self.events.now() as f64 / 1_000_000.0;
        self.faults.borrow_mut().push(Fault { rule: rule.to_owned(), at_s, what });
    }

    /// Unplanned trouble lasts from now for so long.
    pub fn unplanned(&self, for_: Duration) {
        let until = self.events.now() + for_.as_micros() as u64;
        self.unplanned_until.set(self.unplanned_until.get().max(until));
    }

    /// Whether all was calm, but for planned work, since [`CONTACT`] before `since` (microseconds).
    pub fn only_planned_since(&self, since: u64) -> bool {
        self.unplanned_until.get() + (CONTACT.as_micros() as u64) < since
    }

    /// A number that nobody else has.
    pub fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    pub fn tenant(place: u8) -> String {
        format!("tenant-{place}")
    }

    pub fn key(place: u8) -> String {
        format!("key-of-tenant-{place}")
    }

    /// The route that came with a configuration.
    pub fn route_of(generation: u64) -> String {
        format!("/since-{generation}/")
    }

    /// A configuration: routes of earlier ones stay, one is added.
    pub fn configuration(&self, generation: u64) -> Value {
        let mut configuration = fennelgauge_standins::sample_configuration(generation);
        let tenants: Vec<Value> = (0..self.plan.tenants)
            .map(
                |place| json!({ "name": Self::tenant(place), "api_keys": [Self::key(place)], "priority": 1 }),
            )
            .collect();
        configuration["tenants"] = Value::Array(tenants);
        if let Some(routes) = configuration["routes"].as_array_mut() {
            for route in routes.iter_mut() {
                route["max_queued"] = json!(self.plan.max_queued);
            }
            let stream = routes[0].clone();
            let mut mutating = stream.clone();
            mutating["name"] = json!("mutate");
            mutating["kind"] = json!("mutating");
            mutating["path_prefix"] = json!(MUTATING_PREFIX);
            mutating["retries"] = json!(MUTATING_RETRIES);
            routes.push(mutating);
            let mut brief = stream.clone();
            brief["name"] = json!("brief");
            brief["path_prefix"] = json!(BRIEF_PREFIX);
            brief["timeout_ms"] = json!(BRIEF_TIMEOUT.as_millis() as u64);
            routes.push(brief);
            for since in 2..=generation {
                let mut added = stream.clone();
                added["name"] = json!(format!("since-{since}"));
                added["path_prefix"] = json!(Self::route_of(since));
                routes.push(added);
            }
        }
        configuration
    }
}

fn targets(plan: &Plan) -> Vec<Target> {
    let core = (0..plan.core).map(Target::Core);
    let stores = (0..plan.stores).map(Target::Store);
    core.chain(stores).chain((0..plan.data_planes).map(Target::DataPlane)).collect()
}

/// The batch route of the sample configuration, which no order of the soak changes.
fn batch_routes() -> Routes {
    let terms = RouteTerms { retention: Some(BATCH_RETENTION_US), retries: BATCH_RETRIES };
    Routes::from([(BATCH_ROUTE.to_owned(), terms)])
}

/// Hands the runs at the stand-ins' servers to the judge.
pub struct Runs {
    pub world: Rc<World>,
    /// Of each item, what its unfinished and finished runs have given, event by event.
    pub given: RefCell<BTreeMap<String, Vec<Vec<String>>>>,
}

impl Observer for Runs {
    fn run_started(&self, id: &str, _after: u64) {
        if id.starts_with(PAGES_PREFIX) {
            return;
        }
        if id.starts_with("live-") {
            *self.world.live_runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
            *self.world.live_at_work.borrow_mut().entry(id.to_owned()).or_default() += 1;
            crate::edge_clients::judge_start(&self.world, id);
            return;
        }
        let now = self.world.events.now();
        self.world.judge.borrow_mut().check_refusal_of_start(now, id);
        // A store that was frozen or just killed is not in touch: what it sends late does not count.
        if self.world.only_planned_since(now) {
            self.world.judge.borrow_mut().record_item_start(now, id);
        }
    }

    fn run_broken_off(&self, id: &str) {
        self.world.live_broken_off.borrow_mut().insert(id.to_owned());
    }

    fn run_ended(&self, id: &str, after: u64, sent: &[String]) {
        self.record_given(id, after, sent);
        if let Some(runs) = self.world.live_at_work.borrow_mut().get_mut(id) {
            *runs = runs.saturating_sub(1);
        }
    }

    fn run_failed(&self, id: &str) {
        let now = self.world.events.now();
        self.world.judge.borrow_mut().record_item_failure(now, id);
    }

    fn run_rejected(&self, id: &str) {
        self.world.judge.borrow_mut().record_item_rejection(id);
    }

    fn run_completed(&self, id: &str, after: u64, events: &[String]) {
        if id.starts_with("live-") || id.starts_with(PAGES_PREFIX) {
            return;
        }
        for run in self.continued(id, after, events) {
            self.world.judge.borrow_mut().record_item_output(id, &run.join("\n"));
        }
    }
}

impl Runs {
    /// Returns all that a reader may have when a run after this event has sent these events: what each earlier run gave up to
    /// there, and these.
    fn continued(&self, id: &str, after: u64, events: &[String]) -> Vec<Vec<String>> {
        if after == 0 {
            return vec![events.to_vec()];
        }
        let given = self.given.borrow();
        let earlier = given.get(id).map_or(&[][..], Vec::as_slice);
        earlier.iter().filter_map(|run| Some([run.get(..after as usize)?, events].concat())).collect()
    }

    /// Keeps what a run has sent, whole or not: another one may continue it.
    fn record_given(&self, id: &str, after: u64, sent: &[String]) {
        if id.starts_with("live-") || id.starts_with(PAGES_PREFIX) {
            return;
        }
        let mut whole = self.continued(id, after, sent);
        self.given.borrow_mut().entry(id.to_owned()).or_default().append(&mut whole);
    }
}
