//! The data plane's executable: command line, settings, logging.

use std::path::PathBuf;
use std::process::ExitCode;

use fennelgauge_settings::{check_settings, start_logging, Program, Settings};
use tokio::task::LocalSet;

const HELP: &str = "\
fennelgauge-data-plane: routes clients' requests to model servers

USAGE
  fennelgauge-data-plane [run] [--log LEVEL] [--policy FILE]     run with the settings file named by FENNELGAUGE_BOOT
  fennelgauge-data-plane check-settings FILE     check a settings file

OPTIONS
  --log LEVEL     error, warn, info, debug or trace
  --policy FILE   policy mechanisms to switch on or off (TOML); without it the table `policy` of the settings applies
  --help, --version
";

fn main() -> ExitCode {
    let program = Program { name: "fennelgauge-data-plane", version: env!("CARGO_PKG_VERSION"), help: HELP };
    program.main(command)
}

fn command(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let level = arguments.opt_value_from_str("--log")?;
    let policy = arguments.opt_value_from_str("--policy")?;
    let subcommand = arguments.subcommand()?.unwrap_or_else(|| "run".to_owned());
    match subcommand.as_str() {
        "run" => run(level, policy),
        "check-settings" => check_settings(&arguments.free_from_str::<String>()?),
        other => anyhow::bail!("unknown command {other:?}: see --help"),
    }
}

fn run(level: Option<log::LevelFilter>, policy: Option<PathBuf>) -> anyhow::Result<()> {
    let settings = Settings::from_environment_with_policy(policy)?;
    start_logging(&settings, level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, fennelgauge_data_plane::process::run(settings))
}
