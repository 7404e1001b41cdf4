//! The operator's own file: what an operator may switch on beyond what the deployment's settings tell. Without it a
//! gateway behaves as if each of these things did not exist.

use serde::Deserialize;
use std::fmt::{Display, Formatter};
use std::path::Path;

/// What is wrong with a file that somebody wrote, and where; the laboratory's scenarios tell theirs alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    /// From 1; 0 where it is in no one line.
    pub line: usize,
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

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    pub membership: Membership,
}

/// Gateways that know each other; see `docs/membership.md`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Gateways probe one another and keep a view. Everything below needs it.
    #[serde(rename = "on")]
    pub enabled: bool,
    /// Counts are kept among the gateways while the counter cannot serve.
    #[serde(rename = "counts")]
    pub peer_counting: bool,
    /// A quota judged alone is shared among those that have not failed.
    #[serde(rename = "shares")]
    pub share_quotas: bool,
}

impl OperatorConfig {
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(ConfigError { file, line: 0, reason: error.to_string() }),
        }
    }

    /// Reads a file's text; `file` is what errors call it.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mistake = |line, reason: String| ConfigError { file: file.to_string(), line, reason };
        let operator: Self = toml::from_str(text).map_err(|error| {
            let before = error.span().and_then(|span| text.get(..span.start));
            mistake(before.map_or(0, |text| 1 + text.matches('\n').count()), error.message().to_string())
        })?;
        let Membership { enabled: on, peer_counting: counts, share_quotas: shares } = operator.membership;
        if !on && (counts || shares) {
            let line = text.lines().position(|line| line.trim_start().starts_with("[membership]"));
            let reason = "membership.counts and membership.shares need membership.on";
            return Err(mistake(line.map_or(0, |line| line + 1), reason.into()));
        }
        Ok(operator)
    }
}

#[cfg(test)]
mod tests;
