//! The program of the control plane: command line and start-up.

use std::path::PathBuf;
use std::process::ExitCode;

use fennelgauge_model::Document;
use fennelgauge_settings::{check_settings, start_logging, Program, Settings};
use tokio::task::LocalSet;

const HELP: &str = "\
fennelgauge-control-plane: control state, the operator's API, duties and stores

USAGE
  fennelgauge-control-plane [run] [--log LEVEL] [--policy FILE]     run with the settings that FENNELGAUGE_BOOT names
  fennelgauge-control-plane check-settings FILE     check a settings file
  fennelgauge-control-plane check-config FILE       check a configuration

OPTIONS
  --log LEVEL     error, warn, info, debug or trace
  --policy FILE   mechanisms of policy to be on or off (TOML); without it the table `policy` of the settings
  --help, --version
";

fn main() -> ExitCode {
    let program =
        Program { name: "fennelgauge-control-plane", version: env!("CARGO_PKG_VERSION"), help: HELP };
    program.main(command)
}

fn command(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let log_level = arguments.opt_value_from_str("--log")?;
    let policy_file = arguments.opt_value_from_str("--policy")?;
    let subcommand = arguments.subcommand()?.unwrap_or_else(|| "run".to_owned());
    match subcommand.as_str() {
        "run" => run(log_level, policy_file),
        "check-settings" => check_settings(&arguments.free_from_str::<String>()?),
        "check-config" => check_configuration(&arguments.free_from_str::<String>()?),
        other => anyhow::bail!("unknown command {other:?}: see --help"),
    }
}

fn run(log_level: Option<log::LevelFilter>, policy_file: Option<PathBuf>) -> anyhow::Result<()> {
    let settings = Settings::from_environment_with_policy(policy_file)?;
    start_logging(&settings, log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, fennelgauge_control_plane::process::run(settings))
}

fn check_configuration(file: &str) -> anyhow::Result<()> {
    let json = std::fs::read(file).map_err(|reason| anyhow::anyhow!("{file}: {reason}"))?;
    let document = Document::parse(&json, 0).map_err(|reason| anyhow::anyhow!("{file}: {reason}"))?;
    println!("{file}: configuration {} is in order", document.configuration.generation);
    Ok(())
}
