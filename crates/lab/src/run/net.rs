//! The addresses of a real play: a loopback net of its own, so that plays beside one another do not meet.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// 127.`net`.0.0/16, claimed by a listener that nobody speaks to.
pub struct Net {
    net: u8,
    _claim: TcpListener,
}

const CLAIM: u16 = 18_000;
const GATEWAY: u16 = 18_443;
const PEER: u16 = 17_946;
const COUNTER: u16 = 16_400;
const AGENT: u16 = 18_500;
/// Servers listen on a port for each class of gateways from here on; below those that the kernel hands out.
const SERVER: u16 = 20_000;
/// The third byte of the addresses of gateways, stand-ins by gateway, and servers begins here.
const GATEWAYS: u32 = 1;
const STANDINS: u32 = 8;
const SERVERS: u32 = 16;

impl Net {
    /// The first net that is free; several plays may look at once.
    pub fn claim() -> Result<Self, String> {
        let first = 16 + (std::process::id() % 230) as u8;
        for offset in 0..230_u8 {
            let net = 16 + (first - 16).wrapping_add(offset) % 230;
            let at = SocketAddr::from((Ipv4Addr::new(127, net, 255, 254), CLAIM));
            if let Ok(claim) = TcpListener::bind(at) {
                return Ok(Self { net, _claim: claim });
            }
        }
        Err("no loopback net is free: 230 plays are on, or port 18000 is taken on all".into())
    }

    fn at(&self, block: u32, number: u32, port: u16) -> SocketAddr {
        let third = (block + number / 250).min(254) as u8;
        SocketAddr::from((Ipv4Addr::new(127, self.net, third, 1 + (number % 250) as u8), port))
    }

    pub fn gateway(&self, number: u32) -> SocketAddr {
        self.at(GATEWAYS, number, GATEWAY)
    }

    /// Where a gateway takes datagrams in.
    pub fn peer(&self, number: u32) -> SocketAddr {
        self.at(GATEWAYS, number, PEER)
    }

    /// Where the others send them to it, and where its own come from.
    pub fn relay(&self, number: u32) -> SocketAddr {
        self.at(STANDINS, number, PEER)
    }

    /// Who sends from that address.
    pub fn sender(&self, at: SocketAddr) -> Option<u32> {
        let SocketAddr::V4(at) = at else { return None };
        let [_, net, third, fourth] = at.ip().octets();
        let number = u32::from(third).checked_sub(GATEWAYS)? * 250 + u32::from(fourth).checked_sub(1)?;
        (net == self.net && at.port() == PEER).then_some(number)
    }

    pub fn counter(&self, gateway: u32) -> SocketAddr {
        self.at(STANDINS, gateway, COUNTER)
    }

    pub fn agent(&self, gateway: u32) -> SocketAddr {
        self.at(STANDINS, gateway, AGENT)
    }

    pub fn server(&self, server: u32, class: usize) -> SocketAddr {
        self.at(SERVERS, server, SERVER.saturating_add(class as u16))
    }

    /// For people: which addresses and ports a play uses.
    pub fn text(&self, classes: usize) -> String {
        format!(
            "127.{}.0.0/16, ports {COUNTER}, {PEER}, {CLAIM}, {GATEWAY}, {AGENT} and {SERVER} to {}",
            self.net,
            usize::from(SERVER) + classes.saturating_sub(1)
        )
    }
}
