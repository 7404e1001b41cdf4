//! The stand-ins, without their sockets: what servers, the counter and discovery do, by the protocol page. Time
//! is handed in; the simulated and the real play drive the same text.

pub mod counter;
pub mod discovery;
pub mod server;
