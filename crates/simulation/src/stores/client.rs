//! Clients: what each of them does, and what they send and get.

use fennelgauge_batch::{Item, ItemLimits, ItemOutcome, Job, Page};
use fennelgauge_batch_judge::{ListedResult, Outcome, ResultPage, SubmittedItem, SubmittedJob};
use fennelgauge_coordination::GroupNumber;

use super::configuration::{ItemNature, Version};
use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND};

/// Tokens of one item, and how many a tenant may have queued.
const TOKENS: u64 = 10;
pub const MOST_QUEUED: u64 = 300;
/// A client waits so long for a store, through its data plane.
pub const CLIENT_PATIENCE: Micros = 1_400 * MILLISECOND;

/// What a client does.
#[derive(Clone, Debug)]
pub enum Duty {
    Submit {
        tenant: usize,
        job: Option<Job>,
        tries: u32,
        /// Whether some call for the job may have been executed.
        may_have_executed: bool,
    },
    End {
        job: Option<String>,
    },
    Read {
        job: Option<(String, u32)>,
    },
}

#[derive(Debug)]
pub struct Client {
    pub duty: Duty,
    /// Number of the call that is out, and since when.
    pub waits_for: Option<u64>,
    pub asked: Micros,
    pub plane: usize,
    made: u64,
}

impl Client {
    pub fn new(duty: Duty) -> Self {
        Self { duty, waits_for: None, asked: 0, plane: 0, made: 0 }
    }

    pub fn new_job(
        &mut self,
        tenant: usize,
        most_items: usize,
        route: &str,
        natures: impl Fn(&mut SeededRng) -> ItemNature,
        chance: &mut SeededRng,
    ) -> Job {
        self.made += 1;
        let id = format!("job-{tenant}-{}", self.made);
        let item = |place: usize, chance: &mut SeededRng| Item {
            id: format!("{id}-{place}"),
            path: "/p/".to_owned(),
            headers: Vec::new(),
            body: natures(chance).to_body(),
            tokens: TOKENS,
        };
        let count = 1 + chance.below(most_items);
        Job {
            items: (0..count).map(|place| item(place, chance)).collect(),
            tenant: tenant_name(tenant),
            route: route.to_owned(),
            host: "h".to_owned(),
            received_ms: 0,
            generation: 0,
            limits: ItemLimits::default(),
            id,
        }
    }
}

/// Returns the job as a data plane that knows this configuration takes it; `None` if that has no such route.
pub fn taken_by(configuration: &Version, job: &Job, now: Micros) -> Option<Job> {
    let limits = *configuration.routes.get(&job.route)?;
    let received_ms = now / MILLISECOND;
    Some(Job { received_ms, generation: configuration.generation, limits, ..job.clone() })
}

/// With the overage of a tenth that the deployments allow.
pub fn with_overage(most_queued: u64) -> u64 {
    most_queued + most_queued / 10
}

pub fn tenant_name(tenant: usize) -> String {
    format!("t{tenant}")
}

/// The group of a tenant.
pub fn group_of(tenant: usize) -> GroupNumber {
    GroupNumber(tenant as u16 * 7 + 1)
}

pub fn tenant_of(job: &str) -> usize {
    job.split('-').nth(1).and_then(|tenant| tenant.parse().ok()).unwrap_or(0)
}

pub fn sent(job: &Job, submitted_at: Micros) -> SubmittedJob {
    let item = |item: &Item| SubmittedItem { id: item.id.clone(), tokens: item.tokens };
    SubmittedJob {
        id: job.id.clone(),
        tenant: job.tenant.clone(),
        route: job.route.clone(),
        submitted_at,
        items: job.items.iter().map(item).collect(),
    }
}

pub fn page_seen(start: u32, page: &Page) -> ResultPage {
    let listed = |(id, result): &(String, fennelgauge_batch::ItemResult)| ListedResult {
        item: id.clone(),
        outcome: match result.outcome {
            ItemOutcome::Succeeded => Outcome::Succeeded,
            ItemOutcome::DeadLettered => Outcome::DeadLettered,
        },
        text: result.text.clone(),
    };
    ResultPage {
        start: start as usize,
        total: page.total_items as usize,
        results: page.results.iter().map(listed).collect(),
    }
}
