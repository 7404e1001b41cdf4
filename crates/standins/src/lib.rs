//! Stand-ins for what the tier meets outside: the platform with its list and its duties, and model servers that answer
//! with streams of events. For tests and for trying the tier on one machine.

mod platform;
mod server;
mod tier;

pub use platform::{listing, start_platform, Platform};
pub use server::{start_server, ModelServer, Observer, EVENTS};
pub use tier::{configuration, Ports, Tier, KEY};
