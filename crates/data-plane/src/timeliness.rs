//! Whether answers come in time, by service: the head of the core orders servers by it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_model::Route;
use fennelgauge_wire::ServiceTimeliness;
use tokio::time::Instant;

use crate::process::Plane;

/// Answers and late answers of each service since the process's start.
#[derive(Default)]
pub struct TimelinessCounts {
    services: BTreeMap<String, Counts>,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    answers: u64,
    late: u64,
}

impl TimelinessCounts {
    fn count(&mut self, service: &str, late: bool) {
        let counts = self.services.entry(service.to_owned()).or_default();
        counts.answers += 1;
        counts.late += u64::from(late);
    }

    /// All counts.
    pub fn report(&self) -> Vec<ServiceTimeliness> {
        let told = |(service, counts): (&String, &Counts)| ServiceTimeliness {
            service: service.clone(),
            responses: counts.answers,
            late: counts.late,
        };
        self.services.iter().map(told).collect()
    }
}

/// Watches one answer; counted when dropped.
pub struct Watched {
    plane: Rc<Plane>,
    service: String,
    due: Duration,
    longest_pause: Duration,
    last: Instant,
    begun: bool,
    late: bool,
}

impl Watched {
    /// Begins with the request.
    pub fn new(plane: Rc<Plane>, service: &str, route: &Route) -> Self {
        let in_time = |ms: u64| if ms == 0 { Duration::MAX } else { Duration::from_millis(ms) };
        Self {
            plane,
            service: service.to_owned(),
            due: in_time(route.target_ms),
            longest_pause: in_time(route.gap_aim_ms),
            last: Instant::now(),
            begun: false,
            late: false,
        }
    }

    /// A piece of the answer came.
    pub fn piece(&mut self) {
        let most = if self.begun { self.longest_pause } else { self.due };
        self.late |= self.last.elapsed() > most;
        self.begun = true;
        self.last = Instant::now();
    }

    /// There will be no answer.
    pub fn fail(&mut self) {
        self.late = true;
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.plane.timeliness.borrow_mut().count(&self.service, self.late);
    }
}
