//! Relays for the connections among the tier's processes: each process is reached through one, which knows from which address a call leaves.
//! So links can be cut, one way or both, be slow, lose what they carry for a time, and break in the middle of a message.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use fennelgauge_standins::Tier;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::schedule::Target;

const CHUNK_BYTES: usize = 8 << 10;
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// What is lost comes again after so long, as TCP sends it once more.
const SENT_AGAIN: (u64, u64) = (200, 700);

/// What is wrong with links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    Cut,
    /// Each chunk comes so much later.
    Slow(Duration),
    /// Each connection has a part of this delay for all its chunks.
    Uneven(Duration),
    /// So many chunks of a hundred are lost at first.
    Lossy(u8),
    /// The next chunk is cut in half, and the connection is reset.
    Reset,
}

/// A harm of all links from some processes to others; none stands for all.
#[derive(Clone, Debug)]
pub struct Harmed {
    pub from: Option<Target>,
    pub to: Option<Target>,
    pub harm: Harm,
    pub until: Instant,
}

/// All links, as they are now.
#[derive(Default)]
pub struct Links {
    harmed: RefCell<Vec<Harmed>>,
}

impl Links {
    /// Harms links until a time.
    pub fn harm(&self, harmed: Harmed) {
        self.harmed.borrow_mut().push(harmed);
    }

    /// All links are well again.
    pub fn heal(&self) {
        self.harmed.borrow_mut().clear();
    }

    fn harms(&self, from: Target, to: Target) -> Vec<Harm> {
        let now = Instant::now();
        let mut harmed = self.harmed.borrow_mut();
        harmed.retain(|harmed| now < harmed.until);
        let of_link =
            |harmed: &&Harmed| harmed.from.is_none_or(|of| of == from) && harmed.to.is_none_or(|of| of == to);
        harmed.iter().filter(of_link).map(|harmed| harmed.harm).collect()
    }

    /// Takes a reset that waits for the link.
    fn takes_reset(&self, from: Target, to: Target) -> bool {
        let mut harmed = self.harmed.borrow_mut();
        let waits = harmed.iter().position(|harmed| {
            harmed.harm == Harm::Reset
                && harmed.from.is_none_or(|of| of == from)
                && harmed.to.is_none_or(|of| of == to)
        });
        waits.map(|place| harmed.swap_remove(place)).is_some()
    }

    /// Waits until a chunk may go on, on a connection that has `pace` of an uneven delay.
    async fn passes(&self, from: Target, to: Target, pace: f64) {
        for harm in self.harms(from, to) {
            match harm {
                Harm::Slow(by) => sleep(by).await,
                Harm::Uneven(by) => sleep(by.mul_f64(pace)).await,
                Harm::Lossy(part) if fastrand::u8(0..100) < part => {
                    sleep(Duration::from_millis(fastrand::u64(SENT_AGAIN.0..SENT_AGAIN.1))).await;
                }
                _ => {}
            }
        }
        while self.harms(from, to).contains(&Harm::Cut) {
            sleep(LOOK_EVERY).await;
        }
    }
}

/// Starts a relay for each process that others call.
///
/// # Errors
/// If an address is taken.
pub async fn start_relays(tier: &Tier, targets: &[Target], links: &Rc<Links>) -> std::io::Result<()> {
    for target in targets.iter().copied() {
        let own = tier.peer_address(host(target));
        let listener = TcpListener::bind(tier.relay_address(host(target))).await?;
        let links = links.clone();
        spawn_local(async move {
            while let Ok((stream, from)) = listener.accept().await {
                if let Some(from) = target_at(from.ip()) {
                    spawn_local(relay(stream, from, target, own, links.clone()));
                }
            }
        });
    }
    Ok(())
}

/// The last part of a process's address.
pub fn host(target: Target) -> u8 {
    match target {
        Target::Core(place) => Tier::FIRST_CORE_HOST + place,
        Target::Store(place) => Tier::FIRST_STORE_HOST + place,
        Target::DataPlane(place) => Tier::FIRST_DATA_PLANE_HOST + place,
    }
}

fn target_at(address: IpAddr) -> Option<Target> {
    let IpAddr::V4(address) = address else { return None };
    let host = address.octets()[3];
    Some(match host {
        Tier::FIRST_DATA_PLANE_HOST.. => Target::DataPlane(host - Tier::FIRST_DATA_PLANE_HOST),
        Tier::FIRST_STORE_HOST.. => Target::Store(host - Tier::FIRST_STORE_HOST),
        Tier::FIRST_CORE_HOST.. => Target::Core(host - Tier::FIRST_CORE_HOST),
        _ => return None,
    })
}

async fn relay(stream: TcpStream, from: Target, to: Target, own: SocketAddr, links: Rc<Links>) {
    let pace = fastrand::f64();
    links.passes(from, to, pace).await;
    let Ok(onward) = TcpStream::connect(own).await else { return };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let ((near_read, near_write), (far_read, far_write)) = (stream.into_split(), onward.into_split());
    tokio::select! {
        () = carry(near_read, far_write, (from, to), pace, &links) => {}
        () = carry(far_read, near_write, (to, from), pace, &links) => {}
    }
}

/// Carries what comes until either side ends or the link breaks.
async fn carry(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    (from, to): (Target, Target),
    pace: f64,
    links: &Links,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length @ 1..) = read.read(&mut chunk).await else { return };
        links.passes(from, to, pace).await;
        if links.takes_reset(from, to) {
            let _ = write.write_all(&chunk[..length / 2]).await;
            return;
        }
        if write.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
