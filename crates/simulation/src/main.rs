//! The command line: plays drawn days, one day again, or days with a planted mistake.

mod stores_command;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

use anyhow::{bail, Context};
use fennelgauge_simulation::{
    play, play_and_print, play_days_on_threads, shrink_day, Day, Exhaustive, Family, Grain, Rule,
    SimulationBug,
};

const HELP: &str = "fennelgauge-simulate days [--from N] [--count N] [--family NAME] [--threads N]
                    plays drawn days; the first broken ones are shrunk and shown
fennelgauge-simulate day SEED [--family NAME] [--print]
                    one day, with what came of it; with each message
fennelgauge-simulate planted [--most N] [--threads N]
                    each planted mistake: how many days until the judge finds it
fennelgauge-simulate exhaust [--events N] [--threads N] [--planted]
                    every order of N events at a small size; with each planted mistake
fennelgauge-simulate stores [--from N] [--count N] [--family NAME] [--threads N] [--changing-routes | --failing-items | --late-calls]
fennelgauge-simulate stores-day SEED [--family NAME] [--print] [--planted NAME] [--changing-routes | --failing-items | --late-calls]
fennelgauge-simulate stores-planted [--most N] [--threads N] [--planted NAME]
                    the same for days of the stores; families of these: overlap, all-dark, halves, flap, repair, head-freeze, aimed,
                    disks, behind, given-up, mixed
fennelgauge-simulate stores-cost
                    syncs, messages, bytes and time of an item, by links, sync and items at once
fennelgauge-simulate stores-exhaust [--events N] [--threads N] [--grain message|partition] [--planted NAME|all]
                    every order of N events among four stores, and then all come back
families: cut-off, races, second-loss, many-changes, duels, mixed (they take turns where none is named), new-seeds,
                    frozen-calls";

const SHOWN: usize = 3;
const DAYS: u64 = 1_000;
const EVENTS: u8 = 5;

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let verb = arguments.subcommand()?;
    if verb.as_deref().is_some_and(|verb| verb.starts_with("stores")) {
        return stores_command::command(verb.as_deref().unwrap_or(""), arguments);
    }
    let family: Option<Family> = arguments.opt_value_from_str("--family")?;
    let threads: u64 = arguments.opt_value_from_str("--threads")?.unwrap_or(4);
    let prints = arguments.contains("--print");
    match verb.as_deref() {
        Some("days") => {
            let from = arguments.opt_value_from_str("--from")?.unwrap_or(1);
            let count = arguments.opt_value_from_str("--count")?.unwrap_or(DAYS);
            play_days(from, count, family, threads)
        }
        Some("day") => {
            let seed = arguments.free_from_str().context("which day: give its seed")?;
            let day = drawn(seed, family);
            if prints {
                play_and_print(&day, None);
            }
            show(&day);
            Ok(())
        }
        Some("planted") => {
            let most = arguments.opt_value_from_str("--most")?.unwrap_or(DAYS);
            find_planted(most, threads)
        }
        Some("exhaust") => {
            let events = arguments.opt_value_from_str("--events")?.unwrap_or(EVENTS);
            match arguments.contains("--planted") {
                true => exhaust_planted(events, threads as usize),
                false => exhaust(events, threads as usize),
            }
        }
        _ => {
            println!("{HELP}");
            Ok(())
        }
    }
}

fn drawn(seed: u64, family: Option<Family>) -> Day {
    family.map_or_else(|| Day::drawn(seed), |family| Day::of_family(seed, family))
}

#[derive(Default)]
struct Sums {
    days: u64,
    acknowledgements: u64,
    refusals: u64,
    reads: u64,
    views: u64,
    recovered_ms: Vec<u64>,
    broken: Vec<Day>,
    rules: BTreeMap<String, u64>,
}

fn play_days(from: u64, count: u64, family: Option<Family>, threads: u64) -> anyhow::Result<()> {
    let began = Instant::now();
    let sums = Mutex::new(Sums::default());
    play_days_on_threads(
        from,
        count,
        threads,
        |seed| drawn(seed, family),
        None,
        |day, played| {
            let Ok(mut sums) = sums.lock() else { return false };
            sums.days += 1;
            sums.acknowledgements += played.acknowledgements;
            sums.refusals += played.refusals;
            sums.reads += played.reads;
            sums.views += played.views;
            sums.recovered_ms.extend(played.recovered_after.map(|micros| micros / 1_000));
            if let Some(first) = played.broken.first() {
                *sums.rules.entry(first.rule.to_string()).or_default() += 1;
                sums.broken.push(day.clone());
            }
            true
        },
    );
    let Ok(mut sums) = sums.into_inner() else { bail!("a thread of the simulation has failed") };
    let seconds = began.elapsed().as_secs_f64();
    println!(
        "{} days in {seconds:.1} s: {} orders acknowledged, {} refused, {} reads, {} views; {} days broken",
        sums.days,
        sums.acknowledgements,
        sums.refusals,
        sums.reads,
        sums.views,
        sums.broken.len()
    );
    sums.recovered_ms.sort_unstable();
    if let (Some(middle), Some(most)) =
        (sums.recovered_ms.get(sums.recovered_ms.len() / 2), sums.recovered_ms.last())
    {
        println!("first order after the last trouble: {middle} ms in the middle, {most} ms at most");
    }
    for (rule, days) in &sums.rules {
        println!("  {rule}: {days}");
    }
    sums.broken.sort_by_key(|day| day.seed);
    for day in sums.broken.iter().take(SHOWN) {
        let rule = play(day, None).broken[0].rule;
        show(&shrink_day(day, rule, None));
    }
    match sums.broken.is_empty() {
        true => Ok(()),
        false => bail!("rules were broken on {} days", sums.broken.len()),
    }
}

fn show(day: &Day) {
    println!(
        "day {} ({}): {} machines, {} losses borne, closing at {} ms with {:?} wiped",
        day.seed,
        day.family,
        day.machines,
        day.losses,
        day.closing / 1_000,
        day.closing_wipes
    );
    for strike in &day.strikes {
        println!("  {:>6} ms  {:?}", strike.at / 1_000, strike.trouble);
    }
    let played = play(day, None);
    println!(
        "  {} acknowledged, {} refused, {} reads, {} views, trace {:016x}",
        played.acknowledgements, played.refusals, played.reads, played.views, played.trace
    );
    for broken in played.broken.iter().take(8) {
        println!("  BROKEN {} at {} ms: {}", broken.rule, broken.at / 1_000, broken.description);
    }
}

fn exhaust(events: u8, threads: usize) -> anyhow::Result<()> {
    for grain in [Grain::Message, Grain::Partition] {
        let began = Instant::now();
        let searched = Exhaustive { planted: None, grain, events }.search(threads);
        let (states, seconds) = (searched.states, began.elapsed().as_secs_f64());
        println!("{grain:?}: {states} states, {} on a path, in {seconds:.1} s", searched.depth);
        if let Some(rule) = searched.broken {
            bail!("broken: {rule}");
        }
    }
    Ok(())
}

fn exhaust_planted(events: u8, threads: usize) -> anyhow::Result<()> {
    for plant in SimulationBug::all() {
        let SimulationBug::Core(bug) = plant else { continue };
        for grain in [Grain::Message, Grain::Partition] {
            let searched = Exhaustive { planted: Some(bug), grain, events }.search(threads);
            match searched.broken {
                Some(rule) => println!("{bug:?}, {grain:?}: {rule}, after {} states", searched.states),
                None => println!("{bug:?}, {grain:?}: not found in {} states", searched.states),
            }
        }
    }
    Ok(())
}

/// Returns the first of `most` days that a planted mistake breaks, and the rule that it breaks first.
fn first_broken_day(
    plant: SimulationBug,
    most: u64,
    threads: u64,
    drawn: impl Fn(u64) -> Day + Sync,
) -> Option<(Day, Rule)> {
    let found: Mutex<Option<(Day, Rule)>> = Mutex::new(None);
    play_days_on_threads(1, most, threads, drawn, Some(plant), |day, played| {
        let Some(first) = played.broken.first() else { return true };
        if let Ok(mut found) = found.lock() {
            let earlier = found.as_ref().is_none_or(|(known, _)| day.seed < known.seed);
            if earlier {
                *found = Some((day.clone(), first.rule));
            }
        }
        false
    });
    found.into_inner().ok().flatten()
}

fn find_planted(most: u64, threads: u64) -> anyhow::Result<()> {
    let mut missed = Vec::new();
    for plant in SimulationBug::all() {
        let found = first_broken_day(plant, most, threads, Day::drawn);
        let found = found.or_else(|| first_broken_day(plant, most, threads, Day::around_the_core));
        match found {
            Some((day, rule)) => println!("{plant:?}: found on day {} of {} ({rule})", day.seed, day.family),
            None => {
                println!("{plant:?}: not found in {most} days");
                missed.push(plant);
            }
        }
    }
    match missed.is_empty() {
        true => Ok(()),
        false => bail!("{} planted mistakes were not found: {missed:?}", missed.len()),
    }
}
