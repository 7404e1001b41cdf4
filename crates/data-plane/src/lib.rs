//! The data plane: takes clients' requests, finds route and tenant, sends each to a server, passes the answer on; takes
//! batch jobs to their stores.

pub mod batch;
pub mod front;
pub mod live;
pub mod process;
pub mod ready;
pub mod resumed;
pub mod timeliness;
pub mod usage;
