//! Logs: one line an event on standard error, with the level, the module and the node.

use crate::Settings;

/// Starts logging at the level of the command line, else of the settings, else warnings only.
pub fn start_logging(settings: &Settings, level: Option<log::LevelFilter>) -> anyhow::Result<()> {
    let from_settings = settings.log_level.as_deref().and_then(|level| level.parse().ok());
    let level = level.or(from_settings).unwrap_or(log::LevelFilter::Warn);
    let node = settings.node.clone();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {} node={node} {message}", record.level(), record.target()))
        })
        .level(log::LevelFilter::Warn)
        .level_for("fennelgauge_data_plane", level)
        .level_for("fennelgauge_control_plane", level)
        .level_for("fennelgauge_wire", level)
        .level_for("fennelgauge_upstream", level)
        .level_for("fennelgauge_versions", level)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
