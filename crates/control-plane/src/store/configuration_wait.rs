//! Decides by the configuration known to a store what its items do next, and remembers which batch jobs wait until the core
//! confirms that configuration or sends a newer one.

use std::time::Duration;

use fennelgauge_batch::{
    FailureLimits, ItemLimits, ItemPast, ItemStep, Job, KnownConfiguration, RouteStatus,
};
use fennelgauge_coordination::GroupNumber;
use fennelgauge_model::Route;
use tokio::time::Instant;

use super::{wall_clock_ms, Store};

/// Time after the end of its retention at which an unfinished item is dead-lettered, because clocks differ. In
/// milliseconds.
const RETENTION_MARGIN_MS: u64 = 6_000;

/// Age up to which a confirmation of the configuration counts. While a store is in touch with the core, the newest one is
/// at most two held watch requests and a round of the core's pings old.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2_000);

/// A wait for the core to confirm the configuration known to a store, or to send one by which items run. It goes on while
/// configurations follow each other that all give the items up or are all older than their job: one that a source confirms
/// as of a later moment than the begin of the wait was in force while the items were to be given up.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationWait {
    /// When it was first found that the configuration gives items up, or is older than their job.
    since: Instant,
}

impl ConfigurationWait {
    /// Begins a wait now.
    pub(super) fn begin() -> Self {
        Self { since: Instant::now() }
    }
}

impl Store {
    /// Returns what to do next with an item that has this past. `route` is its route in the configuration known here; `wait` is
    /// its wait for a configuration, if there was one before.
    pub(super) fn next_item_step(
        &self,
        job: &Job,
        route: Option<&Route>,
        past: ItemPast,
        wait: Option<ConfigurationWait>,
    ) -> ItemStep {
        let known = KnownConfiguration {
            generation: self.known.generation(),
            is_confirmed: wait.is_some_and(|wait| self.is_confirmed(wait)),
        };
        job.next_item_step(known, self.route_status(job, route), past, wall_clock_ms())
    }

    /// Returns whether the items of a job are not to be started, because they would only wait for a configuration and take
    /// the place of others. Remembers since when they wait.
    pub(super) fn is_held_for_configuration(
        &self,
        group: GroupNumber,
        job: &Job,
        route: Option<&Route>,
    ) -> bool {
        let key = (group, job.id.clone());
        let mut awaiting = self.awaiting_configuration.borrow_mut();
        if self.next_item_step(job, route, ItemPast::default(), None) != ItemStep::AwaitConfiguration {
            awaiting.remove(&key);
            return false;
        }
        let wait = *awaiting.entry(key).or_insert_with(ConfigurationWait::begin);
        !self.is_confirmed(wait)
    }

    /// Returns the wait for a configuration of the items of a job.
    pub(super) fn wait_of_job(&self, group: GroupNumber, job: &str) -> Option<ConfigurationWait> {
        self.awaiting_configuration.borrow().get(&(group, job.to_owned())).copied()
    }

    /// Forgets jobs that do not await a configuration any more, because they are complete or their group is not headed here.
    pub(super) fn forget_settled_jobs(&self, headed: &[GroupNumber]) {
        self.awaiting_configuration.borrow_mut().retain(|(group, job), _| {
            let replica = self.replica(*group).borrow();
            headed.contains(group) && replica.state().job(job).is_some_and(|state| !state.is_complete())
        });
    }

    /// Returns whether the core confirmed that the configuration known here is the newest, as of a moment after the wait began
    /// and not long ago.
    fn is_confirmed(&self, wait: ConfigurationWait) -> bool {
        let Some(confirmed_at) = self.known.configuration_confirmed_at() else { return false };
        confirmed_at > wait.since && confirmed_at.elapsed() <= CONFIRMATION_MAX_AGE
    }

    /// Returns what the configuration known here says about the route of a job's items.
    pub(super) fn route_status(&self, job: &Job, route: Option<&Route>) -> RouteStatus {
        let Some(route) = route else { return RouteStatus::Absent };
        let own = ItemLimits { retention_ms: route.retention_ms(), retries: route.max_failures() };
        // What was promised with the acceptance holds, too, if the route changed since.
        let limits = job.limits.union(own);
        let expires_ms =
            |retention_ms| job.received_ms.saturating_add(retention_ms).saturating_add(RETENTION_MARGIN_MS);
        RouteStatus::InForce {
            expires_ms: limits.retention_ms.map(expires_ms),
            failures: FailureLimits::new(job.limits.retries, own.retries, self.settings.policy.patient_items),
        }
    }
}
