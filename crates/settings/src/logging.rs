//! Logging: one line per event on standard error, with the level, the module and the node.

use crate::Settings;

/// Starts logging. The level for this project's own processes is `level` (from the command line) if given, else
/// `log_level` of the settings, else `warn`; all other crates log warnings and errors only. Errs if logging was
/// started before.
pub fn start_logging(settings: &Settings, level: Option<log::LevelFilter>) -> anyhow::Result<()> {
    let level_from_settings = settings.log_level.as_deref().and_then(|level| level.parse().ok());
    let level = level.or(level_from_settings).unwrap_or(log::LevelFilter::Warn);
    let node = settings.node.clone();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {} node={node} {message}", record.level(), record.target()))
        })
        .level(log::LevelFilter::Warn)
        .level_for("fennelgauge_data_plane", level)
        .level_for("fennelgauge_control_plane", level)
        .level_for("fennelgauge_http", level)
        .level_for("fennelgauge_wire", level)
        .level_for("fennelgauge_upstream", level)
        .level_for("fennelgauge_versions", level)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
