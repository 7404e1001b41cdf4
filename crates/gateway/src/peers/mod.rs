//! Communication with the other gateways by UDP datagrams. `crates/membership` implements the protocol; this module
//! owns the socket, maps addresses to member indexes and writes the log.

mod log;

use crate::sockets::{settle, Limiter};
use fennelgauge::host::ConditionalAdd;
use fennelgauge::time::Moment;
use fennelgauge_launch::operator::Membership;
use fennelgauge_membership::counting::AddOutcome;
use fennelgauge_membership::frame::MAX_DATAGRAM_BYTES;
use fennelgauge_membership::node::{MembershipNode, NodeConfig};
use fennelgauge_membership::MemberIndex;
use log::MembershipLog;
use serde_json::Value;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use tracing::{info, warn};

/// Most datagrams read per readiness event, so that a flood does not keep the event loop from serving clients.
const MAX_READS_PER_EVENT: usize = 64;

/// Settings for [`Peers::open`], from the operator's file, the launch settings and the configuration.
pub struct PeerSettings<'a> {
    /// The operator's settings.
    pub membership: Membership,
    /// Address on which this gateway receives datagrams (`peer_listen`).
    pub listen: Option<&'a Value>,
    /// Addresses of all gateways by index (`peers`).
    pub peers: Option<&'a Value>,
    /// Index of this gateway.
    pub own_index: u32,
    /// Number of gateways in the deployment.
    pub gateway_count: u32,
    /// Index of this gateway's zone.
    pub zone: Option<u8>,
    /// Datagrams per second that each gateway accepts; 0 if the deployment allows none.
    pub max_datagrams_per_s: f64,
    /// Seed of random choices.
    pub seed: u64,
}

/// The membership of this gateway with its socket.
pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: Vec<Option<SocketAddr>>,
    index_by_address: HashMap<SocketAddr, MemberIndex>,
    node: MembershipNode,
    redistribute_shares: bool,
    outcomes: VecDeque<(u64, AddOutcome)>,
    log: MembershipLog,
}

/// Handles readiness of the socket: processes the datagrams that have arrived.
pub fn on_readable(limiter: &mut Limiter) {
    let now = limiter.host.clock.now();
    if let Some(peers) = &mut limiter.host.peers {
        peers.read(now);
    }
    settle(limiter);
}

impl PeerSettings<'_> {
    /// Returns the own listen address and the addresses of the others by index. Errs with the reason if membership
    /// can't be used.
    fn addresses(&self) -> Result<(SocketAddr, Vec<Option<SocketAddr>>), String> {
        if self.max_datagrams_per_s <= 0.0 {
            return Err("the deployment's settings allow no messages between gateways".into());
        }
        let listen = self.listen.ok_or("the configuration has no peer_listen")?;
        let text = listen.as_str().ok_or_else(|| format!("peer_listen: {listen} is not a string"))?;
        let listen = text.parse().map_err(|_| format!("peer_listen: `{text}` is not a socket address"))?;
        let peers = self.peers.ok_or("the configuration has no peers")?;
        let peers = peers.as_array().ok_or_else(|| format!("peers: {peers} is not a list"))?;
        if peers.len() != self.gateway_count as usize {
            warn!(
                side = "member",
                listed = peers.len(),
                gateways = self.gateway_count,
                "the configured list of peers does not match the number of gateways"
            );
        }
        if self.gateway_count > u32::from(MemberIndex::MAX) || self.own_index >= self.gateway_count {
            return Err(format!(
                "own index {} is not valid for {} gateways",
                self.own_index, self.gateway_count
            ));
        }
        let address = |index: u32| {
            let listed = peers.get(index as usize)?;
            let address = listed.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
            if address.is_none() {
                warn!(side = "member", number = index, %listed, "the configured peer is not a socket address; it gets no messages");
            }
            address.filter(|_| index != self.own_index)
        };
        Ok((listen, (0..self.gateway_count).map(address).collect()))
    }
}

impl Peers {
    /// Opens the socket and starts the membership. Returns `None` if the operator has not enabled it or the
    /// configuration does not allow it; then nothing is sent.
    pub fn open(now: Moment, settings: &PeerSettings) -> Option<Self> {
        if !settings.membership.enabled {
            return None;
        }
        let (listen, addresses) = match settings.addresses() {
            Ok(addresses) => addresses,
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
        let config = NodeConfig {
            own_index: settings.own_index as MemberIndex,
            member_count: settings.gateway_count as MemberIndex,
            zone: settings.zone,
            max_datagrams_per_s: settings.max_datagrams_per_s,
            peer_counting: settings.membership.peer_counting,
            seed: settings.seed,
        };
        let indexed = addresses.iter().enumerate();
        let index_by_address =
            indexed.filter_map(|(index, address)| Some(((*address)?, index as MemberIndex))).collect();
        info!(side = "member", %listen, counts = config.peer_counting, shares = settings.membership.share_quotas, "membership on");
        Some(Self {
            socket,
            addresses,
            index_by_address,
            node: MembershipNode::start(now, config),
            redistribute_shares: settings.membership.share_quotas,
            outcomes: VecDeque::new(),
            log: MembershipLog::new(now),
        })
    }

    /// Returns the socket, for registration with the event loop.
    pub fn socket(&self) -> Rc<UdpSocket> {
        Rc::clone(&self.socket)
    }

    /// Reads and processes datagrams, at most [`MAX_READS_PER_EVENT`].
    pub fn read(&mut self, now: Moment) {
        // One byte larger than the limit, so that longer datagrams are recognised.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_READS_PER_EVENT {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let from = self.index_by_address.get(&from).copied();
                    // The node counts rejected datagrams; `MembershipLog` reports them.
                    let _ = self.node.receive(now, from, &buffer[..length]);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // No more datagrams, or an ICMP error about an unreachable peer, which probes detect as well.
                Err(_) => break,
            }
        }
    }

    /// Runs expired timers of the membership and logs changes.
    pub fn run_due(&mut self, now: Moment) {
        self.node.run_due(now);
        self.log.report(now, &mut self.node);
    }

    /// Returns when [`Self::run_due`] must be called next.
    pub fn next_due_at(&self, now: Moment) -> Moment {
        self.node.next_due_at(now)
    }

    /// Sends the pending datagrams. One that the system does not accept is dropped, as if lost in transit.
    pub fn send(&mut self, now: Moment) {
        for (to, bytes) in self.node.take_datagrams(now) {
            if let Some(Some(address)) = self.addresses.get(usize::from(to)) {
                let _ = self.socket.send_to(&bytes, address);
            }
        }
    }

    /// Returns whether peer counts can be used now.
    pub fn can_count(&mut self, now: Moment) -> bool {
        self.node.can_count(now)
    }

    /// Adds to a peer count; [`Self::next_outcome`] returns the total later.
    pub fn add_to_count(&mut self, now: Moment, key: u64, amount: f64, conditional: ConditionalAdd) {
        self.node.add_to_count(now, key, amount, conditional);
    }

    /// Returns the next outcome of [`Self::add_to_count`], if there is one.
    pub fn next_outcome(&mut self) -> Option<(u64, AddOutcome)> {
        if self.outcomes.is_empty() {
            self.outcomes.extend(self.node.take_outcomes());
        }
        self.outcomes.pop_front()
    }

    /// Returns among how many gateways a customer's quota is divided. Without redistribution this is the set's size.
    pub fn quota_sharers(&mut self, now: Moment, first: u32, set_size: f64) -> f64 {
        match self.redistribute_shares {
            true => self.node.quota_sharers(now, first, set_size),
            false => set_size,
        }
    }

    /// Announces to the others that this gateway stops.
    pub fn leave(&mut self, now: Moment) {
        self.node.leave(now);
        self.send(now);
    }

    /// Logs the status of all other gateways.
    pub fn log_view(&mut self, now: Moment) {
        log::log_view(now, &mut self.node);
    }
}
