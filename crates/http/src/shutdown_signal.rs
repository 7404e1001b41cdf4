//! The signals that ask a process to shut down.

/// Waits for SIGTERM or SIGINT. SIGHUP is logged and otherwise ignored: the settings file is read again whenever it
/// is needed, so there is nothing to reload. Never returns if the signal handlers cannot be installed.
pub async fn wait_for_shutdown_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()))
    else {
        log::error!("signal handlers cannot be installed: only SIGKILL ends this process");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => log::info!("SIGHUP ignored: the settings file is read again whenever it is needed"),
        }
    }
}
