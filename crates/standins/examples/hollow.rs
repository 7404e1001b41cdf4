//! Measures how long an acknowledged configuration change takes to reach all data planes, and what it costs to keep them up
//! to date. The data planes are hollow: they subscribe to the control plane as real ones do, but serve no clients, and run in
//! this process together with the core. The arguments are the numbers of data planes to measure with.
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

/// Number of measured configuration changes.
const CHANGES: u64 = 40;
/// How long the processor time without changes is measured, in seconds.
const IDLE_PERIOD_S: f64 = 5.0;
/// Unit of processor times in /proc: clock ticks per second.
const TICKS_PER_S: f64 = 100.0;

fn main() -> anyhow::Result<()> {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|count| count.parse().ok()).collect();
    println!("followers  in force p50 ms  p99 ms   max ms  CPU % of a core while idle  kB per follower");
    for (salt, count) in counts.into_iter().enumerate() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, measure(count, salt as u32))?;
    }
    Ok(())
}

/// Runs a core with `count` followers and prints a line of results. `salt` selects the ports.
async fn measure(count: usize, salt: u32) -> anyhow::Result<()> {
    let ports = Ports::find_free(std::process::id() + 100 * salt).expect("free ports");
    let directory = std::env::temp_dir().join(format!("fennelgauge-hollow-{}-{salt}", std::process::id()));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let tier = Tier {
        ports,
        directory: directory.clone(),
        platform_address: listener.local_addr()?,
        core_machines: 3,
        tolerated_failures: 1,
        uses_relays: false,
    };
    start_platform(listener, Rc::new(Platform::default()));
    for machine in 0..3 {
        let settings = Tier::parse_settings(&tier.core_settings(machine))?;
        spawn_local(async move { process::run(settings).await });
    }
    let client = awc::Client::default();
    put(&client, &tier, 0, 1).await;
    let memory_before_kb = status_kb("VmRSS");
    let seeds = Tier::parse_settings(&tier.core_settings(0))?.seed_peer_addresses();
    let followers: Vec<Rc<TierState>> = (0..count).map(|number| follow(number, seeds.clone())).collect();
    wait_for(&followers, 1).await;
    let mut delays_ms: Vec<f64> = Vec::new();
    for generation in 2..CHANGES + 2 {
        put(&client, &tier, generation - 1, generation).await;
        let acknowledged_at = Instant::now();
        wait_for(&followers, generation).await;
        delays_ms.push(acknowledged_at.elapsed().as_secs_f64() * 1_000.0);
    }
    let memory_kb = status_kb("VmRSS").saturating_sub(memory_before_kb) / count.max(1) as u64;
    let cpu_before_s = cpu_time_s();
    sleep(Duration::from_secs_f64(IDLE_PERIOD_S)).await;
    let cpu_percent = (cpu_time_s() - cpu_before_s) / IDLE_PERIOD_S * 100.0;
    delays_ms.sort_by(f64::total_cmp);
    let at = |quantile: f64| delays_ms[((delays_ms.len() - 1) as f64 * quantile) as usize];
    println!(
        "{count:9}  {:15.1}  {:6.1}  {:7.1}  {cpu_percent:26.1}  {memory_kb:15}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    let _ = std::fs::remove_dir_all(directory);
    Ok(())
}

/// Starts a hollow data plane. Returns the state that it receives.
fn follow(number: usize, seeds: Vec<std::net::SocketAddr>) -> Rc<TierState> {
    let tier_state = Rc::new(TierState::default());
    let subscription = Subscription {
        node: format!("hollow-{number}"),
        zone: format!("zone-{}", number % 3),
        seeds: Box::new(move || seeds.clone()),
    };
    spawn_local(subscribe(tier_state.clone(), Caller::default(), subscription));
    tier_state
}

/// Waits until all followers have a generation.
async fn wait_for(followers: &[Rc<TierState>], generation: u64) {
    while followers.iter().any(|tier_state| tier_state.generation() < generation) {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Replaces the configuration, retrying until the core acknowledges it.
async fn put(client: &awc::Client, tier: &Tier, base: u64, generation: u64) {
    loop {
        let call = client.post(format!("http://{}/-/Config.Put", tier.control_address(0)));
        let call = call.insert_header(("X-Fennelgauge-Base-Version", base.to_string()));
        match call.timeout(Duration::from_secs(2)).send_json(&sample_configuration(generation)).await {
            Ok(response) if response.status().is_success() => return,
            _ => sleep(Duration::from_millis(100)).await,
        }
    }
}

/// Reads a value in kB from this process's status.
fn status_kb(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(key)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Reads the processor time that this process has used, user and system, in seconds.
fn cpu_time_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command name, in parentheses, may contain spaces; the 12th and 13th fields after it are the times.
    let after_command = stat.rsplit(')').next().unwrap_or("");
    let ticks: f64 =
        after_command.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}
