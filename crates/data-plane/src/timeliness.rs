//! Counts responses that missed their route's latency objectives, by service. The head of the core scales the servers of a
//! service by these counts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_model::Route;
use fennelgauge_wire::ServiceTimeliness;
use tokio::time::Instant;

use crate::process::DataPlane;

/// Responses and late responses of each service since the process's start.
#[derive(Default)]
pub struct TimelinessCounters {
    services: BTreeMap<String, Counts>,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    responses: u64,
    late: u64,
}

impl TimelinessCounters {
    fn count(&mut self, service: &str, late: bool) {
        let counts = self.services.entry(service.to_owned()).or_default();
        counts.responses += 1;
        counts.late += u64::from(late);
    }

    /// Returns the counts of all services, to be reported to the core.
    pub fn report(&self) -> Vec<ServiceTimeliness> {
        let report = |(service, counts): (&String, &Counts)| ServiceTimeliness {
            service: service.clone(),
            responses: counts.responses,
            late: counts.late,
        };
        self.services.iter().map(report).collect()
    }
}

/// Measures one response against its route's objectives. The response is counted when the timer is dropped.
pub struct ResponseTimer {
    plane: Rc<DataPlane>,
    service: String,
    /// Longest time to the first data that is not late.
    first_data_limit: Duration,
    /// Longest pause after that which is not late.
    pause_limit: Duration,
    /// When the latest data arrived; the start of the request before there is any.
    last_data_at: Instant,
    has_data: bool,
    late: bool,
}

impl ResponseTimer {
    /// Starts timing a request now. An objective of 0 in the route means that there is none.
    pub fn new(plane: Rc<DataPlane>, service: &str, route: &Route) -> Self {
        let limit = |ms: u64| if ms == 0 { Duration::MAX } else { Duration::from_millis(ms) };
        Self {
            plane,
            service: service.to_owned(),
            first_data_limit: limit(route.target_ms),
            pause_limit: limit(route.gap_aim_ms),
            last_data_at: Instant::now(),
            has_data: false,
            late: false,
        }
    }

    /// Records that the head or a part of the body of the response arrived now.
    pub fn record_data(&mut self) {
        let limit = if self.has_data { self.pause_limit } else { self.first_data_limit };
        self.late |= self.last_data_at.elapsed() > limit;
        self.has_data = true;
        self.last_data_at = Instant::now();
    }

    /// Counts the response as late because the request failed.
    pub fn record_failure(&mut self) {
        self.late = true;
    }
}

impl Drop for ResponseTimer {
    /// Counts the response. Of one whose client left before it began, only the wait is known: it is counted if that was
    /// too long already.
    fn drop(&mut self) {
        if !self.has_data && !self.late {
            self.late = self.last_data_at.elapsed() > self.first_data_limit;
            if !self.late {
                return;
            }
        }
        self.plane.timeliness.borrow_mut().count(&self.service, self.late);
    }
}
