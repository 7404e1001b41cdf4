//! Stand-ins for the tier's environment: the platform with its instance list and its API, and model servers that respond
//! with streams of events. Also the settings of a whole tier on one machine. For tests and for trying the tier out.

mod model_server;
mod platform;
mod tier;

pub use model_server::{
    start_model_server, Conduct, ConductCounts, ModelServer, Observer, EVENTS_PER_RESPONSE, LARGE_EVENT_BYTES,
};
pub use platform::{instance_entry, start_platform, Platform};
pub use tier::{sample_configuration, Ports, Tier, API_KEY};
