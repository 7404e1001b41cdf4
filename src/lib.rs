//! Admission decisions for a gateway in front of a service sold by plan.
//!
//! [`choice::Gateway`] decides; it acts through [`host::Host`], which the embedding program implements.

mod chance;
pub mod choice;
pub mod host;
mod state;
pub mod time;
