//! Admission decisions for a gateway in front of a service sold by plan.
//!
//! Customers send jobs through many gateways. For each job a gateway decides whether the customer's quota permits
//! it, which server gets it, whether to retry it, and when to give up. [`choice::Gateway`] makes these decisions
//! without I/O or a clock of its own; it acts through [`host::Host`], which the embedding program implements.

pub mod choice;
pub mod host;
mod random;
mod state;
pub mod time;
