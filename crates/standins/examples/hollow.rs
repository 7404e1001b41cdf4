//! How long an acknowledged change takes to be in force, and what following costs, with many hollow data planes: they
//! follow the control plane's news as real ones do and share this process with the core.
//!
//!     cargo run --release -p fennelgauge-standins --example hollow -- 10 50 300

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_control_plane::process;
use fennelgauge_standins::{sample_configuration, start_platform, Platform, Ports, Tier};
use fennelgauge_upstream::{subscribe, Subscription, TierState};
use fennelgauge_wire::Caller;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

const CHANGES: u64 = 40;
const QUIET_S: f64 = 5.0;
/// Kernel ticks a second in /proc.
const TICKS_PER_S: f64 = 100.0;

fn main() -> anyhow::Result<()> {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|count| count.parse().ok()).collect();
    println!("followers  in force p50 ms  p99 ms  most ms  processor % of a core, quiet  kB a follower");
    for (salt, count) in counts.into_iter().enumerate() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, measure(count, salt as u32))?;
    }
    Ok(())
}

async fn measure(count: usize, salt: u32) -> anyhow::Result<()> {
    let ports = Ports::find_free(std::process::id() + 100 * salt).expect("free ports");
    let folder = std::env::temp_dir().join(format!("fennelgauge-hollow-{}-{salt}", std::process::id()));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let tier = Tier {
        ports,
        directory: folder.clone(),
        platform_address: listener.local_addr()?,
        core_machines: 3,
        tolerated_losses: 1,
        uses_relays: false,
    };
    start_platform(listener, Rc::new(Platform::default()));
    for machine in 0..3 {
        let settings = Tier::parse_settings(&tier.core_settings(machine))?;
        spawn_local(async move { process::run(settings).await });
    }
    let client = awc::Client::default();
    put(&client, &tier, 0, 1).await;
    let memory_before = status_kb("VmRSS");
    let seeds = Tier::parse_settings(&tier.core_settings(0))?.seed_peer_addresses();
    let followers: Vec<Rc<TierState>> = (0..count).map(|number| follow(number, seeds.clone())).collect();
    wait_for(&followers, 1).await;
    let mut times: Vec<f64> = Vec::new();
    for generation in 2..CHANGES + 2 {
        put(&client, &tier, generation - 1, generation).await;
        let acknowledged = Instant::now();
        wait_for(&followers, generation).await;
        times.push(acknowledged.elapsed().as_secs_f64() * 1_000.0);
    }
    let memory = status_kb("VmRSS").saturating_sub(memory_before) / count.max(1) as u64;
    let before = processor_s();
    sleep(Duration::from_secs_f64(QUIET_S)).await;
    let used = (processor_s() - before) / QUIET_S * 100.0;
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    println!("{count:9}  {:15.1}  {:6.1}  {:7.1}  {used:28.1}  {memory:13}", at(0.5), at(0.99), at(1.0));
    let _ = std::fs::remove_dir_all(folder);
    Ok(())
}

fn follow(number: usize, seeds: Vec<std::net::SocketAddr>) -> Rc<TierState> {
    let known = Rc::new(TierState::default());
    let subscription = Subscription {
        node: format!("hollow-{number}"),
        zone: format!("zone-{}", number % 3),
        seeds: Box::new(move || seeds.clone()),
    };
    spawn_local(subscribe(known.clone(), Caller::default(), subscription));
    known
}

async fn wait_for(followers: &[Rc<TierState>], generation: u64) {
    while followers.iter().any(|known| known.generation() < generation) {
        sleep(Duration::from_millis(1)).await;
    }
}

async fn put(client: &awc::Client, tier: &Tier, base: u64, generation: u64) {
    loop {
        let call = client.post(format!("http://{}/-/Config.Put", tier.control_address(0)));
        let call = call.insert_header(("X-Fennelgauge-Base-Version", base.to_string()));
        match call.timeout(Duration::from_secs(2)).send_json(&sample_configuration(generation)).await {
            Ok(answer) if answer.status().is_success() => return,
            _ => sleep(Duration::from_millis(100)).await,
        }
    }
}

fn status_kb(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(key)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn processor_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or("");
    let ticks: f64 =
        after.split_whitespace().skip(11).take(2).filter_map(|part| part.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}
