//! The control plane: control state kept by a chain of machines, the operator's API, duties towards the platform, the
//! placement of stores, and the stores themselves.

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
