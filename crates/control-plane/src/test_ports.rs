//! Ports for tests.

use std::net::SocketAddr;

use tokio::net::TcpListener;

/// Below the ports that the system gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 10_000;

/// Listeners of so many stores, on one port that is free at all their addresses.
pub async fn listeners(count: u8, salt: u32) -> (u16, Vec<TcpListener>) {
    let from = std::process::id().wrapping_mul(7).wrapping_add(salt * 1_000);
    for step in 0..PORTS {
        let port = (FIRST_PORT + from.wrapping_add(step) % PORTS) as u16;
        let mut listeners = Vec::new();
        for host in 1..=count {
            listeners.extend(TcpListener::bind(SocketAddr::from(([127, 0, 0, host], port))).await);
        }
        if listeners.len() == usize::from(count) {
            return (port, listeners);
        }
    }
    panic!("no port is free");
}
