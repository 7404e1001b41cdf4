//! State in memory: connections, jobs, known servers, timers.

pub mod channel;
pub mod jobs;
pub mod machines;
pub mod timers;
