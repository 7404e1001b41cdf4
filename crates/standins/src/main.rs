//! The whole tier on one machine, with stand-ins for the platform and two model servers: for trying it out.

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
fennelgauge-system: the whole tier on this machine, with stand-ins for the platform and its servers

USAGE
  fennelgauge-system [--programs DIR] [--folder DIR]

OPTIONS
  --programs DIR   where the two programs are (target/system)
  --folder DIR     where settings and data are kept (target/tier); emptied at the start
  --help, --version
";
const MACHINES_OF_THE_CORE: u8 = 3;
const STORES: u8 = 3;
const DATA_PLANES: u8 = 2;

fn main() -> ExitCode {
    let program = Program { name: "fennelgauge-system", version: env!("CARGO_PKG_VERSION"), help: HELP };
    program.main(command)
}

fn command(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let programs: PathBuf = arguments.opt_value_from_str("--programs")?.unwrap_or("target/system".into());
    let folder: PathBuf = arguments.opt_value_from_str("--folder")?.unwrap_or("target/tier".into());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(programs, folder))
}

async fn run(programs: PathBuf, folder: PathBuf) -> anyhow::Result<()> {
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).with_context(|| format!("{} cannot be made", folder.display()))?;
    let folder = folder.canonicalize()?;
    let ports = Ports::find_free(std::process::id()).context("no free ports on 127.0.0.1")?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let tier = Tier {
        ports,
        directory: folder,
        platform_address: listener.local_addr()?,
        core_machines: MACHINES_OF_THE_CORE,
        tolerated_losses: 1,
        uses_relays: false,
    };
    let platform = Rc::new(Platform::default());
    start_platform(listener, platform.clone());
    for id in ["i-1", "i-2"] {
        let (address, _) = start_model_server(id).await?;
        platform.instances.borrow_mut().push(instance_entry(id, "model", address, "zone-0"));
    }
    let mut children = Vec::new();
    for machine in 0..MACHINES_OF_THE_CORE {
        children.push(start(&tier, &programs, "fennelgauge-control-plane", &tier.core_settings(machine))?);
    }
    for machine in 0..STORES {
        children.push(start(&tier, &programs, "fennelgauge-control-plane", &tier.store_settings(machine))?);
    }
    for machine in 0..DATA_PLANES {
        children.push(start(&tier, &programs, "fennelgauge-data-plane", &tier.data_plane_settings(machine))?);
    }
    put_configuration(&tier).await;
    explain(&tier);
    wait_for_shutdown_signal().await;
    for child in &mut children {
        child.start_kill()?;
    }
    Ok(())
}

fn start(tier: &Tier, programs: &std::path::Path, program: &str, settings: &str) -> anyhow::Result<Child> {
    let node = Tier::parse_settings(settings)?.node;
    let file = tier.directory.join(format!("{node}.toml"));
    std::fs::write(&file, settings)?;
    let mut command = Command::new(programs.join(program));
    command.arg("run").env(SETTINGS_VARIABLE, &file).kill_on_drop(true);
    command.spawn().with_context(|| format!("{program} cannot be started: build it with `make system`"))
}

async fn put_configuration(tier: &Tier) {
    let client = awc::Client::default();
    let body = sample_configuration(1);
    loop {
        let put = client.post(format!("http://{}/-/Config.Put", tier.control_address(0)));
        let put = put.insert_header(("X-Fennelgauge-Base-Version", "0")).timeout(Duration::from_secs(2));
        match put.send_json(&body).await {
            Ok(answer) if answer.status().is_success() => return,
            _ => sleep(Duration::from_millis(200)).await,
        }
    }
}

fn explain(tier: &Tier) {
    println!("clients:   http://{} and http://{}", tier.front_address(0), tier.front_address(1));
    println!("operator:  http://{}/-/Config.Get", tier.control_address(0));
    println!("a request: curl -i http://{}/stream/1 -H 'Host: tier.example' \\", tier.front_address(0));
    println!("             -H 'Authorization: Bearer {API_KEY}' -H 'X-Fennelgauge-Request-Id: 1' -d prompt");
    println!("Ctrl-C ends it.");
}
