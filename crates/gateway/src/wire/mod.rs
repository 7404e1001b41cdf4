//! Protocols towards clients, servers, the counter service and service discovery, with their connections. The datagrams
//! between gateways are in `crate::peers`.

pub mod client;
pub mod counter;
pub mod discovery;
pub mod http;
pub mod request;
pub mod server;
