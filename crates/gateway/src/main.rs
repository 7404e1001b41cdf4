//! The admission gateway on sockets: the module's decisions between clients, servers, discovery and the counter.

mod lifecycle;
mod memory;
mod peers;
mod sockets;
mod wire;

use clap::Parser;
use fennelgauge_launch::operator::OperatorConfig;
use std::path::PathBuf;
use std::process::ExitCode;

/// The configuration is named by BALANCER_CONFIG.
#[derive(Parser)]
#[command(name = "fennelgauge-gateway", version)]
struct Line {
    /// What the operator switches on; without it, nothing beyond the settings.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

fn main() -> ExitCode {
    let line = Line::parse();
    let log =
        tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).with_ansi(false).with_target(false);
    // Whoever reads the log may go: a line that cannot be written is lost, and must not end the process by a word of
    // that on a standard error that nobody reads either.
    log.log_internal_errors(false).init();
    let Some(path) = std::env::var_os("BALANCER_CONFIG") else {
        tracing::error!("BALANCER_CONFIG does not name a configuration");
        return ExitCode::FAILURE;
    };
    let path = PathBuf::from(path);
    let operator = line.operator.map_or(Ok(OperatorConfig::default()), |file| OperatorConfig::read(&file));
    let start = lifecycle::configuration::read(&path).map_err(Into::into);
    let outcome = start.and_then(|start| lifecycle::run::run(start, path, operator?));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
