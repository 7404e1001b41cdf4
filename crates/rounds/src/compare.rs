//! Compares two labels of played days, paired by site, day and seed.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use anyhow::Context;

use crate::pairs::Summary;
use crate::report::DayReport;

/// Lines of the worth that differ by less are left out.
const LEAST_SHOWN: f64 = 0.0015;

/// One day played with both texts.
#[derive(Debug)]
pub struct Pair {
    pub site: String,
    /// Day and seed.
    pub day: String,
    pub base: DayReport,
    pub trial: DayReport,
}

/// Pairs of the sites that the trial has; a day there that only one of the labels has is an error that names it.
pub fn read_pairs(folder: &Path, base: &str, trial: &str) -> anyhow::Result<Vec<Pair>> {
    let mut pairs = Vec::new();
    for site in folders(&folder.join(trial))? {
        let mut played = files(&folder.join(base).join(&site))?;
        played.extend(files(&folder.join(trial).join(&site))?);
        played.sort();
        played.dedup();
        for file in played {
            let report = |label: &str| DayReport::read(&folder.join(label).join(&site).join(&file));
            let day = file.trim_end_matches(".json").to_owned();
            pairs.push(Pair { site: site.clone(), day, base: report(base)?, trial: report(trial)? });
        }
    }
    anyhow::ensure!(
        !pairs.is_empty(),
        "{}: no day was played: play some first",
        folder.join(trial).display()
    );
    Ok(pairs)
}

fn folders(folder: &Path) -> anyhow::Result<Vec<String>> {
    entries(folder, |path| path.is_dir())
}

fn files(folder: &Path) -> anyhow::Result<Vec<String>> {
    entries(folder, |path| path.extension().is_some_and(|extension| extension == "json"))
}

fn entries(folder: &Path, wanted: impl Fn(&Path) -> bool) -> anyhow::Result<Vec<String>> {
    let listed = std::fs::read_dir(folder)
        .with_context(|| format!("{}: cannot be listed: give a label that was played", folder.display()))?;
    let mut names: Vec<String> = listed
        .filter_map(|entry| entry.ok())
        .filter(|entry| wanted(&entry.path()))
        .filter_map(|entry| entry.file_name().into_string().ok())
        .collect();
    names.sort();
    Ok(names)
}

/// A table by site, with the lines of the worth by which the two differ.
pub fn table(pairs: &[Pair]) -> String {
    let mut sites: BTreeMap<&str, Vec<&Pair>> = BTreeMap::new();
    for pair in pairs {
        sites.entry(&pair.site).or_default().push(pair);
    }
    let mut text = String::from(
        "| site | pairs | base | trial | difference | 95 in 100 | better, worse | sign test | worst day | broken, base and trial |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (site, pairs) in &sites {
        row(&mut text, site, pairs);
    }
    for (site, pairs) in &sites {
        lines(&mut text, site, pairs);
    }
    text
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

fn row(text: &mut String, site: &str, pairs: &[&Pair]) {
    let differences: Vec<f64> = pairs.iter().map(|pair| pair.trial.counted() - pair.base.counted()).collect();
    let Some(summary) = Summary::of(&differences) else { return };
    let worst = pairs.iter().zip(&differences).min_by(|left, right| left.1.total_cmp(right.1));
    let worst_day = worst.map_or("", |(pair, _)| pair.day.as_str());
    let broken = |of: fn(&Pair) -> &DayReport| pairs.iter().filter(|pair| of(pair).is_broken()).count();
    let half_width = summary.half_width.map_or("-".to_owned(), |width| format!("± {width:.3}"));
    let _ = writeln!(
        text,
        "| {site} | {} | {:.3} | {:.3} | {:+.3} | {half_width} | {}, {} | {:.3} | {worst_day} {:+.3} | {}, {} |",
        summary.pairs,
        mean(pairs.iter().map(|pair| pair.base.counted())),
        mean(pairs.iter().map(|pair| pair.trial.counted())),
        summary.mean,
        summary.better,
        summary.worse,
        summary.sign_chance,
        summary.worst,
        broken(|pair| &pair.base),
        broken(|pair| &pair.trial),
    );
}

fn lines(text: &mut String, site: &str, pairs: &[&Pair]) {
    let mut sums: BTreeMap<String, f64> = BTreeMap::new();
    for pair in pairs {
        for (name, value) in pair.trial.lines() {
            *sums.entry(name).or_default() += value;
        }
        for (name, value) in pair.base.lines() {
            *sums.entry(name).or_default() -= value;
        }
    }
    let shown = sums.into_iter().map(|(name, sum)| (name, sum / pairs.len() as f64));
    let shown: Vec<String> = shown
        .filter(|(_, difference)| difference.abs() >= LEAST_SHOWN)
        .map(|(name, difference)| format!("{name} {difference:+.3}"))
        .collect();
    let _ = writeln!(text, "\n{site}, trial less base: {}.", shown.join("; "));
}
