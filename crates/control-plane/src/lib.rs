//! The control plane of the serving tier.
//!
//! One program runs in two roles. A core member keeps the control state (configuration, store placement, usage
//! counts) together with the other members of a replicated chain, serves the operator's API, and calls the platform
//! to report usage and to scale services. A store keeps replicated groups of batch jobs and runs their items.

pub mod core;
pub mod disk;
pub mod duties;
pub mod identity;
pub mod operator;
pub mod placement;
pub mod platform_reader;
pub mod process;
pub mod scaling;
pub mod state;
pub mod store;
#[cfg(test)]
mod test_ports;
