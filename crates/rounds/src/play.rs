//! Plays days with the users' bench and keeps its reports as `FOLDER/LABEL/SITE/DAY-SEED.json`.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use crate::report::{DayReport, ReportError};

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    pub bench: PathBuf,
    /// The checkout that is built and played.
    pub text: PathBuf,
    pub label: String,
    pub folder: PathBuf,
    pub sites: Vec<PathBuf>,
    pub days: Vec<String>,
    pub seeds: Vec<u64>,
    /// Days at a time.
    pub jobs: usize,
    pub why: String,
}

/// One day of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Play {
    pub site: PathBuf,
    pub day: String,
    /// None for a standard day with its own luck.
    pub seed: Option<u64>,
}

/// Why a day has no report.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error("{0}: the bench cannot be started ({1}): give the path of its program")]
    NoBench(PathBuf, std::io::Error),
    #[error("{what}: the bench failed ({code}): {last}")]
    Failed { what: String, code: String, last: String },
    #[error("{0}")]
    Report(#[from] ReportError),
    #[error("{0}: cannot be written ({1}): give a folder that may be written")]
    Folder(PathBuf, std::io::Error),
}

impl Play {
    /// As the report is named.
    pub fn name(&self) -> String {
        match self.seed {
            Some(seed) => format!("{}-{seed}", self.day),
            None => self.day.clone(),
        }
    }

    /// The site's name, from its file.
    pub fn site_name(&self) -> String {
        self.site.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
    }
}

impl Plan {
    /// All days, seeds within days within sites; without seeds each day once.
    pub fn plays(&self) -> Vec<Play> {
        let seeds: Vec<Option<u64>> = match self.seeds.is_empty() {
            true => vec![None],
            false => self.seeds.iter().copied().map(Some).collect(),
        };
        let mut plays = Vec::new();
        for site in &self.sites {
            for day in &self.days {
                for seed in &seeds {
                    plays.push(Play { site: site.clone(), day: day.clone(), seed: *seed });
                }
            }
        }
        plays
    }

    fn report_path(&self, play: &Play) -> PathBuf {
        self.folder.join(&self.label).join(play.site_name()).join(format!("{}.json", play.name()))
    }

    /// Plays all; the errors of the days that have no report.
    pub fn run(&self) -> Vec<PlayError> {
        if let Err(error) = self.build() {
            return vec![error];
        }
        let plays = self.plays();
        let next = AtomicUsize::new(0);
        let errors = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| {
                    while let Some(play) = plays.get(next.fetch_add(1, Ordering::Relaxed)) {
                        self.play_and_tell(play, &errors);
                    }
                });
            }
        });
        errors.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn play_and_tell(&self, play: &Play, errors: &Mutex<Vec<PlayError>>) {
        let what = format!("{} {} {}", self.label, play.site_name(), play.name());
        match self.play(play) {
            Ok(report) => {
                let rules: Vec<&str> = report.breaks.keys().map(String::as_str).collect();
                println!("{what}: {:.3} {}", report.counted(), rules.join(" "));
            }
            Err(error) => {
                println!("{what}: not played: {error}");
                errors.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(error);
            }
        }
    }

    fn build(&self) -> Result<(), PlayError> {
        self.bench_call(&["build".to_owned()], "build")
    }

    fn play(&self, play: &Play) -> Result<DayReport, PlayError> {
        let path = self.report_path(play);
        let folder = path.parent().unwrap_or(Path::new("."));
        std::fs::create_dir_all(folder).map_err(|reason| PlayError::Folder(folder.to_owned(), reason))?;
        let mut arguments = vec!["run".to_owned(), play.site.display().to_string(), play.day.clone()];
        if let Some(seed) = play.seed {
            arguments.extend(["--seed".to_owned(), seed.to_string()]);
        }
        arguments.extend(["--report".to_owned(), path.display().to_string()]);
        arguments.extend(["--jobs".to_owned(), "1".to_owned(), "--why".to_owned(), self.why.clone()]);
        self.bench_call(&arguments, &play.name())?;
        Ok(DayReport::read(&path)?)
    }

    fn bench_call(&self, arguments: &[String], what: &str) -> Result<(), PlayError> {
        let output = Command::new(&self.bench)
            .args(arguments)
            .current_dir(&self.text)
            .output()
            .map_err(|reason| PlayError::NoBench(self.bench.clone(), reason))?;
        if output.status.success() {
            return Ok(());
        }
        let said = [output.stdout, output.stderr].concat();
        let last = String::from_utf8_lossy(&said)
            .lines()
            .rev()
            .find(|line| !line.is_empty())
            .unwrap_or("")
            .to_owned();
        Err(PlayError::Failed { what: what.to_owned(), code: output.status.to_string(), last })
    }
}
