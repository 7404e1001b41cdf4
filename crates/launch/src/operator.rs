//! The operator's configuration file: optional features beyond the deployment's settings. All of them are off without
//! the file.

use serde::Deserialize;
use std::fmt::{Display, Formatter};
use std::path::Path;

/// An error in a configuration file, with its place; also used for the scenario files of the laboratory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Path or name of the file.
    pub file: String,
    /// Line number from 1; 0 if the error is not in a single line.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl Display for ConfigError {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self.line {
            0 => write!(out, "{}: {}", self.file, self.reason),
            line => write!(out, "{}:{line}: {}", self.file, self.reason),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The operator's configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// Cooperation among the gateways.
    pub membership: Membership,
}

/// Features that need the gateways to know each other; see `docs/membership.md`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Gateways probe one another and track which of them are alive. The other features require it.
    #[serde(rename = "on")]
    pub enabled: bool,
    /// The gateways keep quota totals themselves while the counter service cannot serve.
    #[serde(rename = "counts")]
    pub peer_counting: bool,
    /// A quota that each gateway enforces locally is divided among those that have not failed.
    #[serde(rename = "shares")]
    pub share_quotas: bool,
}

impl OperatorConfig {
    /// Reads the file at `path`.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(ConfigError { file, line: 0, reason: error.to_string() }),
        }
    }

    /// Parses the text of a file; errors name it `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let error_at = |line, reason: String| ConfigError { file: file.to_string(), line, reason };
        let config: Self = toml::from_str(text).map_err(|error| {
            let before = error.span().and_then(|span| text.get(..span.start));
            error_at(before.map_or(0, |text| 1 + text.matches('\n').count()), error.message().to_string())
        })?;
        let Membership { enabled, peer_counting, share_quotas } = config.membership;
        if !enabled && (peer_counting || share_quotas) {
            let line = text.lines().position(|line| line.trim_start().starts_with("[membership]"));
            let reason = "membership.counts and membership.shares need membership.on";
            return Err(error_at(line.map_or(0, |line| line + 1), reason.into()));
        }
        Ok(config)
    }
}

#[cfg(test)]
mod tests;
