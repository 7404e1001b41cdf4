//! The command line of the tool for rounds.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use fennelgauge_rounds::compare::{read_pairs, table};
use fennelgauge_rounds::play::Plan;
use pico_args::Arguments;

const HELP: &str = "\
fennelgauge-rounds: the same days for two texts of the project, compared in pairs

USAGE
  fennelgauge-rounds play --bench PROGRAM --text CHECKOUT --label NAME --folder FOLDER --site FILE... [OPTIONS]
  fennelgauge-rounds compare --folder FOLDER BASE TRIAL

OPTIONS
  --day NAME      a day of the site, 'mix' (the default) or a file; may come again
  --seeds A-B     seeds for each day; none: each day once with its own luck
  --jobs N        days at a time (4)
  --why TEXT      for the journal of the text that is played
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match command(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("fennelgauge-rounds: {reason:#}");
            ExitCode::from(2)
        }
    }
}

fn command(mut arguments: Arguments) -> anyhow::Result<bool> {
    match arguments.subcommand()?.as_deref() {
        Some("play") => play(arguments),
        Some("compare") => compare(arguments),
        other => anyhow::bail!("{}: no such command: see --help", other.unwrap_or("(none)")),
    }
}

fn play(mut arguments: Arguments) -> anyhow::Result<bool> {
    let seeds = arguments.opt_value_from_str::<_, String>("--seeds")?;
    let mut days: Vec<String> = arguments.values_from_str("--day")?;
    if days.is_empty() {
        days.push("mix".to_owned());
    }
    let plan = Plan {
        bench: arguments.value_from_str("--bench")?,
        text: arguments.value_from_str("--text")?,
        label: arguments.value_from_str("--label")?,
        folder: std::path::absolute(arguments.value_from_str::<_, PathBuf>("--folder")?)?,
        sites: existing(arguments.values_from_str("--site")?)?,
        days,
        seeds: seeds.as_deref().map(seed_range).transpose()?.unwrap_or_default(),
        jobs: arguments.opt_value_from_str("--jobs")?.unwrap_or(4),
        why: arguments.opt_value_from_str("--why")?.unwrap_or_else(|| "trial of a round".to_owned()),
    };
    no_rest(arguments)?;
    let errors = plan.run();
    println!(
        "{} of {} days played",
        plan.plays().len() - errors.len().min(plan.plays().len()),
        plan.plays().len()
    );
    Ok(errors.is_empty())
}

fn compare(mut arguments: Arguments) -> anyhow::Result<bool> {
    let folder: PathBuf = arguments.value_from_str("--folder")?;
    let base: String = arguments.free_from_str()?;
    let trial: String = arguments.free_from_str()?;
    no_rest(arguments)?;
    print!("{}", table(&read_pairs(&folder, &base, &trial)?));
    Ok(true)
}

fn existing(sites: Vec<PathBuf>) -> anyhow::Result<Vec<PathBuf>> {
    anyhow::ensure!(!sites.is_empty(), "--site is missing: give a site file");
    for site in &sites {
        anyhow::ensure!(site.is_file(), "{}: no such file: give a site file", site.display());
    }
    sites.into_iter().map(|site| Ok(std::path::absolute(site)?)).collect()
}

/// `A-B`, both included.
fn seed_range(text: &str) -> anyhow::Result<Vec<u64>> {
    let wrong = || format!("--seeds {text}: give two whole numbers, as in 1-12");
    let (first, last) = text.split_once('-').with_context(wrong)?;
    let (first, last): (u64, u64) = (first.parse().with_context(wrong)?, last.parse().with_context(wrong)?);
    anyhow::ensure!(first <= last, wrong());
    Ok((first..=last).collect())
}

fn no_rest(arguments: Arguments) -> anyhow::Result<()> {
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "{rest:?}: not understood: see --help");
    Ok(())
}
