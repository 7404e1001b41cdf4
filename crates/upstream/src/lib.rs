//! What data planes and stores need in order to use the servers of the tier: a local copy of the tier's state that
//! follows the control plane, the pool of servers and the choice among them, sending requests, and parsing event
//! streams.

mod clock;
mod configuration_texts;
mod connect_timeout;
mod connection;
mod connection_probe;
mod duration_estimator;
mod events;
mod headers;
mod platform;
mod pool;
mod prompt_mix;
mod request_profile;
mod response;
mod selection;
mod send;
mod stats_exchange;
mod subscriber;
mod tier_state;
mod tracked_server;

pub use clock::{wall_clock, WallClock};
pub use connection_probe::probe_connections;
pub use duration_estimator::DurationEstimator;
pub use events::{Event, EventOrder, EventParser};
pub use fennelgauge_response_head::BodyEnd;
pub use headers::*;
pub use platform::{fetch_server_list, ServerListError, ServerListVersioner};
pub use pool::{InFlightGuard, ServerPool};
pub use request_profile::{RequestKind, RequestProfile};
pub use response::{TruncatedBody, UpstreamResponse};
pub use send::{platform_client, OutgoingRequest, RequestSender, SendError};
pub use stats_exchange::exchange_server_stats;
pub use subscriber::{subscribe, Subscription};
pub use tier_state::TierState;

#[cfg(test)]
mod tests;
