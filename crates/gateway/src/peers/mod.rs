//! The other gateways: datagrams by the protocol page, to and from the addresses that the configuration names. What is
//! made of them is decided in `crates/membership`; here are the socket, the addresses and the log.

mod log;

use crate::sockets::{settle, Limiter};
use fennelgauge::host::ConditionalAdd as Units;
use fennelgauge::time::Moment;
use fennelgauge_launch::operator::Membership;
use fennelgauge_membership::counting::AddOutcome;
use fennelgauge_membership::frame::MAX_DATAGRAM_BYTES;
use fennelgauge_membership::node::{MembershipNode, NodeConfig};
use fennelgauge_membership::MemberIndex;
use log::Log;
use serde_json::Value;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use tracing::{info, warn};

/// Datagrams read at one event; a flood must not keep the loop from its clients.
const AT_ONCE: usize = 64;

/// What the operator wants, and what the configuration tells.
pub struct Wanted<'a> {
    pub membership: Membership,
    pub listen: Option<&'a Value>,
    pub peers: Option<&'a Value>,
    pub own: u32,
    pub gateways: u32,
    pub zone: Option<u8>,
    pub mail_per_s: f64,
    pub seed: u64,
}

pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: Vec<Option<SocketAddr>>,
    numbers: HashMap<SocketAddr, MemberIndex>,
    circle: MembershipNode,
    shares: bool,
    counted: VecDeque<(u64, AddOutcome)>,
    log: Log,
}

/// Datagrams have come.
pub fn moved(limiter: &mut Limiter) {
    let now = limiter.host.clock.now();
    if let Some(peers) = &mut limiter.host.peers {
        peers.read(now);
    }
    settle(limiter);
}

impl Wanted<'_> {
    /// Where everybody listens, by number; or why this gateway stays silent.
    fn addresses(&self) -> Result<(SocketAddr, Vec<Option<SocketAddr>>), String> {
        if self.mail_per_s <= 0.0 {
            return Err("the deployment's settings allow no messages between gateways".into());
        }
        let listen = self.listen.ok_or("the configuration has no peer_listen")?;
        let text = listen.as_str().ok_or_else(|| format!("peer_listen: {listen} is no text"))?;
        let listen = text.parse().map_err(|_| format!("peer_listen: `{text}` is no address"))?;
        let peers = self.peers.ok_or("the configuration has no peers")?;
        let peers = peers.as_array().ok_or_else(|| format!("peers: {peers} is no list"))?;
        if peers.len() != self.gateways as usize {
            warn!(
                side = "member",
                listed = peers.len(),
                gateways = self.gateways,
                "the list of peers is out of date"
            );
        }
        if self.gateways > u32::from(MemberIndex::MAX) || self.own >= self.gateways {
            return Err(format!("this is gateway {} of {}", self.own, self.gateways));
        }
        let address = |number: u32| {
            let listed = peers.get(number as usize)?;
            let address = listed.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
            if address.is_none() {
                warn!(side = "member", number, %listed, "no address; not spoken to");
            }
            address.filter(|_| number != self.own)
        };
        Ok((listen, (0..self.gateways).map(address).collect()))
    }
}

impl Peers {
    /// None where the operator does not want it, or where it cannot be: then no socket is opened and nothing is sent.
    pub fn open(now: Moment, wanted: &Wanted) -> Option<Self> {
        if !wanted.membership.enabled {
            return None;
        }
        let (listen, addresses) = match wanted.addresses() {
            Ok(told) => told,
            Err(reason) => {
                warn!(side = "member", reason, "membership stays off");
                return None;
            }
        };
        let socket = UdpSocket::bind(listen).and_then(|socket| socket.set_nonblocking(true).map(|()| socket));
        let socket = match socket {
            Ok(socket) => Rc::new(socket),
            Err(error) => {
                warn!(side = "member", %listen, %error, "membership stays off");
                return None;
            }
        };
        let terms = NodeConfig {
            own_index: wanted.own as MemberIndex,
            member_count: wanted.gateways as MemberIndex,
            zone: wanted.zone,
            max_datagrams_per_s: wanted.mail_per_s,
            peer_counting: wanted.membership.peer_counting,
            seed: wanted.seed,
        };
        let numbered = addresses.iter().enumerate();
        let numbers = numbered.filter_map(|(number, at)| Some(((*at)?, number as MemberIndex))).collect();
        info!(side = "member", %listen, counts = terms.peer_counting, shares = wanted.membership.share_quotas, "membership on");
        Some(Self {
            socket,
            addresses,
            numbers,
            circle: MembershipNode::start(now, terms),
            shares: wanted.membership.share_quotas,
            counted: VecDeque::new(),
            log: Log::new(now),
        })
    }

    pub fn socket(&self) -> Rc<UdpSocket> {
        Rc::clone(&self.socket)
    }

    /// Takes in what has come.
    pub fn read(&mut self, now: Moment) {
        // One byte more shows one that is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..AT_ONCE {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let from = self.numbers.get(&from).copied();
                    // What is refused is counted there, and logged with the rest.
                    let _ = self.circle.receive(now, from, &buffer[..length]);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Nothing more; or word of a peer that is not there, which probes tell as well.
                Err(_) => break,
            }
        }
    }

    pub fn due(&mut self, now: Moment) {
        self.circle.run_due(now);
        self.log.look(now, &mut self.circle);
    }

    pub fn next(&self, now: Moment) -> Moment {
        self.circle.next_due_at(now)
    }

    /// Sends what is to be sent; what the machine does not take is as if lost on the way.
    pub fn send(&mut self, now: Moment) {
        for (to, bytes) in self.circle.take_datagrams(now) {
            if let Some(Some(address)) = self.addresses.get(usize::from(to)) {
                let _ = self.socket.send_to(&bytes, address);
            }
        }
    }

    pub fn may_count(&mut self, now: Moment) -> bool {
        self.circle.can_count(now)
    }

    pub fn add(&mut self, now: Moment, name: u64, amount: f64, wanted: Units) {
        self.circle.add_to_count(now, name, amount, wanted);
    }

    /// The next total that came, or word that one will not.
    pub fn counted(&mut self) -> Option<(u64, AddOutcome)> {
        if self.counted.is_empty() {
            self.counted.extend(self.circle.take_outcomes());
        }
        self.counted.pop_front()
    }

    pub fn sharers(&mut self, now: Moment, first: u32, set_size: f64) -> f64 {
        match self.shares {
            true => self.circle.quota_sharers(now, first, set_size),
            false => set_size,
        }
    }

    pub fn leave(&mut self, now: Moment) {
        self.circle.leave(now);
        self.send(now);
    }

    /// Logs all that is known of the others.
    pub fn tell_view(&mut self, now: Moment) {
        log::tell(now, &mut self.circle);
    }
}
