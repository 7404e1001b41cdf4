//! The admission gateway on sockets: the module's decisions between clients, servers, discovery and the counter.

mod lifecycle;
mod memory;
mod sockets;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).with_ansi(false).with_target(false).init();
    let Some(path) = std::env::var_os("BALANCER_CONFIG") else {
        tracing::error!("BALANCER_CONFIG does not name a configuration");
        return ExitCode::FAILURE;
    };
    let path = PathBuf::from(path);
    let start = lifecycle::configuration::read(&path).map_err(Into::into);
    let outcome = start.and_then(|start| lifecycle::run::run(start, path));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
