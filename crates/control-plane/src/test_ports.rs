//! Finds free ports for tests.

use std::net::SocketAddr;

use tokio::net::TcpListener;

/// Start of the searched range, which lies below the ports that the system gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 10_000;

/// Binds `count` listeners at 127.0.0.1, 127.0.0.2 and so on, all on one port that is free at each of the addresses.
/// `salt` makes tests of one process begin their search at different ports.
pub async fn listeners(count: u8, salt: u32) -> (u16, Vec<TcpListener>) {
    let offset = std::process::id().wrapping_mul(7).wrapping_add(salt * 1_000);
    for step in 0..PORT_COUNT {
        let port = (FIRST_PORT + offset.wrapping_add(step) % PORT_COUNT) as u16;
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
