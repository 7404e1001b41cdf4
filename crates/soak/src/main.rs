//! A soak of the tier: its real processes on this machine, stand-ins for what is outside, clients that keep using open connections and
//! remember every position and text they ever saw; signals, restarts, lost disks and changes of the configuration, drawn from a seed, in
//! series and overlapping. The judge of batch jobs is the simulator's.

mod batch_client;
mod connection;
mod edge_clients;
mod events;
mod http;
mod live_client;
mod moments;
mod operator;
mod plan;
mod process;
mod relay;
mod report;
mod run;
mod schedule;
mod servers;
mod troubles;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use fennelgauge_settings::{start_logging, Program, Settings};
use tokio::task::LocalSet;

use plan::Plan;
use report::Summary;

const HELP: &str = "\
fennelgauge-soak: the real processes of the tier under drawn troubles, on this machine

USAGE
  fennelgauge-soak run [--seed N] [--seeds N] [--plan FILE] [--programs DIR] [--folder DIR] [--json FILE] [--keep]
  fennelgauge-soak check-plan FILE

OPTIONS
  --seed N        the first seed (1): the same seed draws the same troubles
  --seeds N       how many seeds, one after the other (1)
  --plan FILE     sizes and troubles (TOML); without it the small plan that CI runs
  --programs DIR  take the two programs from there; without it this program runs their code itself
  --folder DIR    settings, disks and logs (target/soak); a seed that fails keeps its own
  --json FILE     the summary
  --keep          keep the folder of seeds that pass, too
  --help, --version

EXIT STATUS
  0 nothing broken; 1 a rule was broken; 2 a run could not be made
";
const BROKEN: u8 = 1;

fn main() -> ExitCode {
    let program = Program { name: "fennelgauge-soak", version: env!("CARGO_PKG_VERSION"), help: HELP };
    let mut broken = false;
    let status = program.main(|arguments| {
        broken = command(arguments)?;
        Ok(())
    });
    match broken {
        true => ExitCode::from(BROKEN),
        false => status,
    }
}

/// True if a rule was broken.
fn command(mut arguments: pico_args::Arguments) -> anyhow::Result<bool> {
    match arguments.subcommand()?.as_deref() {
        Some("run") => soak(arguments),
        Some("check-plan") => {
            let file: PathBuf = arguments.free_from_str()?;
            Plan::read(&file)?;
            println!("{}: in order", file.display());
            Ok(false)
        }
        // What the soak starts itself as, where no programs are given.
        Some("control-plane") => as_program(fennelgauge_control_plane::process::run),
        Some("data-plane") => as_program(fennelgauge_data_plane::process::run),
        _ => anyhow::bail!("give run or check-plan: see --help"),
    }
}

fn as_program<F>(run: impl FnOnce(Settings) -> F) -> anyhow::Result<bool>
where
    F: std::future::Future<Output = anyhow::Result<()>>,
{
    let settings = Settings::from_environment()?;
    start_logging(&settings, Some(log::LevelFilter::Info))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(settings))?;
    Ok(false)
}

fn soak(mut arguments: pico_args::Arguments) -> anyhow::Result<bool> {
    let first: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let count: u64 = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    let plan: Option<PathBuf> = arguments.opt_value_from_str("--plan")?;
    let plan = plan.map_or_else(|| Ok(Plan::default()), |file| Plan::read(&file))?;
    let programs: Option<PathBuf> = arguments.opt_value_from_str("--programs")?;
    let folder: PathBuf = arguments.opt_value_from_str("--folder")?.unwrap_or("target/soak".into());
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let keep = arguments.contains("--keep");
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "{rest:?} means nothing here: see --help");

    let mut summary = Summary::default();
    for seed in first..first + count {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let setting =
            run::Setting { plan: plan.clone(), programs: programs.clone(), folder: folder.clone(), keep };
        let result = LocalSet::new().block_on(&runtime, run::run(&setting, seed))?;
        println!("{result}");
        summary.add(result);
    }
    println!("{summary}");
    if let Some(path) = json {
        std::fs::write(&path, serde_json::to_vec_pretty(&summary)?)?;
    }
    Ok(summary.is_broken())
}
