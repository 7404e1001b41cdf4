//! Start, event loop and shutdown of the gateway.

pub mod clock;
pub mod configuration;
pub mod drain;
pub mod run;
