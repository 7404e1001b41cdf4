//! Stand-ins for what the tier meets outside: the platform with its list and its duties, and model servers that answer
//! with streams of events. For tests and for trying the tier on one machine.

mod platform;
mod server;
mod tier;

pub use platform::{instance_entry, start_platform, Platform};
pub use server::{start_model_server, ModelServer, Observer, EVENTS_PER_RESPONSE};
pub use tier::{sample_configuration, Ports, Tier, API_KEY};
