//! The data plane of the serving tier.

use std::process::ExitCode;

use fennelgauge_settings::{check_settings, start_logging, Program, Settings};
use tokio::task::LocalSet;

const HELP: &str = "\
fennelgauge-data-plane: takes clients' requests to servers

USAGE
  fennelgauge-data-plane [run] [--log LEVEL]     run with the settings that FENNELGAUGE_BOOT names
  fennelgauge-data-plane check-settings FILE     check a settings file

OPTIONS
  --log LEVEL   error, warn, info, debug or trace
  --help, --version
";

fn main() -> ExitCode {
    let program = Program { name: "fennelgauge-data-plane", version: env!("CARGO_PKG_VERSION"), help: HELP };
    program.main(command)
}

fn command(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let level = arguments.opt_value_from_str("--log")?;
    let subcommand = arguments.subcommand()?.unwrap_or_else(|| "run".to_owned());
    match subcommand.as_str() {
        "run" => run(level),
        "check-settings" => check_settings(&arguments.free_from_str::<String>()?),
        other => anyhow::bail!("{other} is no command: see --help"),
    }
}

fn run(level: Option<log::LevelFilter>) -> anyhow::Result<()> {
    let settings = Settings::from_environment()?;
    start_logging(&settings, level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, fennelgauge_data_plane::process::run(settings))
}
