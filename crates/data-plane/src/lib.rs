//! The data plane: accepts clients' requests, determines route and tenant, forwards live requests to model servers and
//! streams their responses back. Batch jobs are handed to the stores that hold the tenant's group.

mod attempt_log;
pub mod batch;
mod forwarded_body;
pub mod frontend;
pub mod live;
pub mod process;
pub mod readiness;
pub mod resumable_stream;
pub mod timeliness;
pub mod usage;
