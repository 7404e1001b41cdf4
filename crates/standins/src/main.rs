//! Runs the whole tier on one machine, with stand-ins for the platform and two model servers, for trying it out.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use fennelgauge_http::wait_for_shutdown_signal;
use fennelgauge_settings::{Program, SETTINGS_VARIABLE};
use fennelgauge_standins::{
    instance_entry, sample_configuration, start_model_server, start_platform, Platform, Ports, Tier, API_KEY,
};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::task::LocalSet;
use tokio::time::sleep;

const HELP: &str = "\
fennelgauge-system: runs the whole tier on this machine, with stand-ins for the platform and its model servers

USAGE
  fennelgauge-system [--programs DIR] [--folder DIR]

OPTIONS
  --programs DIR   directory of the data plane's and the control plane's executables (target/system)
  --folder DIR     directory for settings and data (target/tier); emptied at the start
  --help, --version
";
const CORE_MACHINES: u8 = 3;
const STORES: u8 = 3;
const DATA_PLANES: u8 = 2;

fn main() -> ExitCode {
    let program = Program { name: "fennelgauge-system", version: env!("CARGO_PKG_VERSION"), help: HELP };
    program.main(command)
}

fn command(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let programs: PathBuf = arguments.opt_value_from_str("--programs")?.unwrap_or("target/system".into());
    let directory: PathBuf = arguments.opt_value_from_str("--folder")?.unwrap_or("target/tier".into());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(programs, directory))
}

/// Starts all processes and runs them until a signal arrives.
async fn run(programs: PathBuf, directory: PathBuf) -> anyhow::Result<()> {
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory)
        .with_context(|| format!("failed to create the directory {}", directory.display()))?;
    let directory = directory.canonicalize()?;
    let ports = Ports::find_free(std::process::id())
        .context("no free ports on 127.0.0.1: stop what uses ports 21000 to 32600")?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let tier = Tier {
        ports,
        directory,
        platform_address: listener.local_addr()?,
        core_machines: CORE_MACHINES,
        tolerated_failures: 1,
        uses_relays: false,
    };
    let platform = Rc::new(Platform::default());
    start_platform(listener, platform.clone());
    for id in ["i-1", "i-2"] {
        let (address, _) = start_model_server(id).await?;
        platform.instances.borrow_mut().push(instance_entry(id, "model", address, "zone-0"));
    }
    let mut children = Vec::new();
    for machine in 0..CORE_MACHINES {
        children.push(start(&tier, &programs, "fennelgauge-control-plane", &tier.core_settings(machine))?);
    }
    for machine in 0..STORES {
        children.push(start(&tier, &programs, "fennelgauge-control-plane", &tier.store_settings(machine))?);
    }
    for machine in 0..DATA_PLANES {
        children.push(start(&tier, &programs, "fennelgauge-data-plane", &tier.data_plane_settings(machine))?);
    }
    put_configuration(&tier).await;
    print_usage(&tier);
    wait_for_shutdown_signal().await;
    for child in &mut children {
        child.start_kill()?;
    }
    Ok(())
}

/// Writes a settings file and starts an executable with it. The process is killed when the returned handle is dropped.
fn start(tier: &Tier, programs: &std::path::Path, program: &str, settings: &str) -> anyhow::Result<Child> {
    let node = Tier::parse_settings(settings)?.node;
    let file = tier.directory.join(format!("{node}.toml"));
    std::fs::write(&file, settings)?;
    let mut command = Command::new(programs.join(program));
    command.arg("run").env(SETTINGS_VARIABLE, &file).kill_on_drop(true);
    command.spawn().with_context(|| format!("failed to start {program}: build it with `make system`"))
}

/// Sends the first configuration until the core accepts it.
async fn put_configuration(tier: &Tier) {
    let client = awc::Client::default();
    let body = sample_configuration(1);
    loop {
        let put = client.post(format!("http://{}/-/Config.Put", tier.control_address(0)));
        let put = put.insert_header(("X-Fennelgauge-Base-Version", "0")).timeout(Duration::from_secs(2));
        match put.send_json(&body).await {
            Ok(response) if response.status().is_success() => return,
            _ => sleep(Duration::from_millis(200)).await,
        }
    }
}

fn print_usage(tier: &Tier) {
    println!("clients:   http://{} and http://{}", tier.front_address(0), tier.front_address(1));
    println!("operator:  http://{}/-/Config.Get", tier.control_address(0));
    println!("a request: curl -i http://{}/stream/1 -H 'Host: tier.example' \\", tier.front_address(0));
    println!("             -H 'Authorization: Bearer {API_KEY}' -H 'X-Fennelgauge-Request-Id: 1' -d prompt");
    println!("Press Ctrl-C to stop.");
}
