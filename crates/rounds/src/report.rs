//! What this tool reads of the bench's report of one day.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// The figures of one played day.
#[derive(Clone, Debug, Deserialize)]
pub struct DayReport {
    /// The day's worth; a day with a broken rule counts 0 in the score whatever this says.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Rules that were broken, with how often.
    #[serde(default)]
    pub breaks: BTreeMap<String, serde_json::Value>,
    /// Why the day counts nothing, where a process failed.
    #[serde(default)]
    pub fault: Option<serde_json::Value>,
    /// Name, weight, share of the worth owed.
    #[serde(default)]
    pub parts: Vec<(String, f64, f64)>,
    /// Name, amount, price.
    #[serde(default)]
    pub prices: Vec<(String, f64, f64)>,
    #[serde(default)]
    pub classes: Vec<ClassReport>,
    #[serde(default)]
    pub windows: Vec<ClassReport>,
    #[serde(default)]
    pub services: Vec<ServiceReport>,
}

/// Requests of one kind, or of one window of time.
#[derive(Clone, Debug, Deserialize)]
pub struct ClassReport {
    pub name: serde_json::Value,
    pub n: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub worth: Option<f64>,
}

/// One service's servers.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceReport {
    pub busiest_x: Option<f64>,
}

/// Why a report cannot be compared.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    #[error("{path}: there is no report ({reason}): play that day first")]
    NotPlayed { path: PathBuf, reason: std::io::Error },
    #[error("{path}: {reason}: play that day again, the bench wrote no whole report")]
    Unreadable { path: PathBuf, reason: serde_json::Error },
}

impl DayReport {
    /// Reads one report.
    pub fn read(path: &Path) -> Result<Self, ReportError> {
        let text = std::fs::read_to_string(path)
            .map_err(|reason| ReportError::NotPlayed { path: path.to_owned(), reason })?;
        serde_json::from_str(&text)
            .map_err(|reason| ReportError::Unreadable { path: path.to_owned(), reason })
    }

    /// Whether the day counts nothing.
    pub fn is_broken(&self) -> bool {
        !self.breaks.is_empty() || self.fault.is_some()
    }

    /// The day's worth as the score counts it.
    pub fn counted(&self) -> f64 {
        match self.is_broken() {
            true => 0.0,
            false => self.worth,
        }
    }

    /// What makes up the worth, by name: weighted parts, prices below zero, and shares of kinds of request for information.
    pub fn lines(&self) -> BTreeMap<String, f64> {
        let parts = self.parts.iter().map(|(name, weight, share)| (name.clone(), weight * share));
        let prices = self.prices.iter().map(|(name, _, price)| (format!("price of {name}"), -price));
        let classes = self.classes.iter().filter_map(|class| {
            Some((format!("class {}", class.name.as_str().unwrap_or("?")), class.worth?))
        });
        let busiest = self.services.iter().filter_map(|service| service.busiest_x).fold(0.0, f64::max);
        let mut lines: BTreeMap<String, f64> = parts.chain(prices).chain(classes).collect();
        lines.insert("busiest server / mean".to_owned(), busiest);
        lines
    }
}
