//! Stand-ins for the tier's environment: the platform with its instance list and its API, and model servers that respond
//! with streams of events. Also the settings of a whole tier on one machine. For tests and for trying the tier out.

mod platform;
mod server;
mod tier;

pub use platform::{instance_entry, start_platform, Platform};
pub use server::{start_model_server, ModelServer, Observer, EVENTS_PER_RESPONSE, LARGE_EVENT_BYTES};
pub use tier::{sample_configuration, Ports, Tier, API_KEY};
