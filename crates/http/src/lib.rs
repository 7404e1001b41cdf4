//! Serves an actix-web application on the current thread, so that it shares state with the rest of the process
//! without locks, and waits for the signal that asks the process to shut down.
//!
//! The HTTP library does not tell when the last byte of a response has been written, nor that a client has left.
//! Each connection is therefore tracked: its stream ([`client_stream`]) and its service ([`response_tracking`]) record
//! in its state ([`connection`]) what the library does with them, and its task ([`connection_task`]) ends it.

mod client_stream;
mod connection;
mod connection_task;
mod response_tracking;
mod server;
mod shutdown_signal;

pub use connection::{OpenConnections, Unfinished};
pub use response_tracking::limit_response;
pub use server::{serve_http, HttpTimeouts};
pub use shutdown_signal::wait_for_shutdown_signal;
