//! The command line's verbs for days of the stores.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

use anyhow::{bail, Context};
use fennelgauge_batch_judge::Rule;
use fennelgauge_simulation::{
    play_stores, play_stores_and_print, run_seeds_on_threads, shrunk_stores, StoreDay, StoreFamily,
    StoreGrain, StorePlant, StoreSearch,
};

const DAYS: u64 = 1_000;
const SHOWN: usize = 3;
const EVENTS: u8 = 3;

/// Runs `stores`, `stores-day` or `stores-planted`.
pub fn command(verb: &str, mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let family: Option<StoreFamily> = arguments.opt_value_from_str("--family")?;
    let days = Days {
        family,
        changes_routes: arguments.contains("--changing-routes"),
        has_failing_items: arguments.contains("--failing-items"),
        has_late_calls: arguments.contains("--late-calls"),
    };
    let threads: u64 = arguments.opt_value_from_str("--threads")?.unwrap_or(4);
    let planted: Option<String> = arguments.opt_value_from_str("--planted")?;
    match verb {
        "stores" => {
            let from = arguments.opt_value_from_str("--from")?.unwrap_or(1);
            let count = arguments.opt_value_from_str("--count")?.unwrap_or(DAYS);
            play_days(from, count, days, threads)
        }
        "stores-day" => {
            let prints = arguments.contains("--print");
            let seed = arguments.free_from_str().context("which day: give its seed")?;
            let day = days.drawn(seed);
            let plant = planted.map(|name| plant_of(&name)).transpose()?;
            if prints {
                play_stores_and_print(&day, plant);
            }
            show(&day, plant);
            Ok(())
        }
        "stores-planted" => {
            let most = arguments.opt_value_from_str("--most")?.unwrap_or(DAYS);
            let only = planted.map(|name| plant_of(&name)).transpose()?;
            find_planted(most, threads, only)
        }
        "stores-cost" => {
            show_costs();
            Ok(())
        }
        "stores-exhaust" => {
            let events = arguments.opt_value_from_str("--events")?.unwrap_or(EVENTS);
            let grain = match arguments.opt_value_from_str::<_, String>("--grain")?.as_deref() {
                None | Some("partition") => StoreGrain::Partition,
                Some("message") => StoreGrain::Message,
                Some(other) => bail!("{other} is no grain: give message or partition"),
            };
            let plants = match planted.as_deref() {
                None => vec![None],
                Some("all") => StorePlant::all().into_iter().map(Some).collect(),
                Some(name) => vec![Some(plant_of(name)?)],
            };
            exhaust(events, threads as usize, grain, &plants)
        }
        other => bail!(
            "{other} is no verb: give stores, stores-day, stores-planted, stores-cost or stores-exhaust"
        ),
    }
}

fn plant_of(name: &str) -> anyhow::Result<StorePlant> {
    let all = StorePlant::all();
    let names: Vec<String> = all.iter().map(|plant| format!("{plant:?}")).collect();
    let place = names.iter().position(|known| known == name);
    let place = place.with_context(|| format!("{name} is no planted mistake: give one of {names:?}"))?;
    Ok(all[place])
}

/// Which days are drawn from the seeds.
#[derive(Clone, Copy)]
struct Days {
    family: Option<StoreFamily>,
    /// Whether an operator changes the batch routes.
    changes_routes: bool,
    /// Whether items fail besides, and heads are lost again and again.
    has_failing_items: bool,
    /// Whether calls of clients arrive late, and tenants are at their quota.
    has_late_calls: bool,
}

impl Days {
    fn drawn(self, seed: u64) -> StoreDay {
        let drawn = |family| StoreDay::of_family(seed, family);
        let day = self.family.map_or_else(|| StoreDay::drawn(seed), drawn);
        let day = StoreDay { has_late_calls: self.has_late_calls, ..day };
        match self.has_failing_items {
            true => day.changing_routes().failing_items(),
            false if self.changes_routes => day.changing_routes(),
            false => day,
        }
    }
}

#[derive(Default)]
struct Sums {
    days: u64,
    acceptances: u64,
    reads: u64,
    views: u64,
    dropped: u64,
    forgotten: u64,
    broken: Vec<StoreDay>,
    rules: BTreeMap<String, u64>,
}

fn play_days(from: u64, count: u64, days: Days, threads: u64) -> anyhow::Result<()> {
    let began = Instant::now();
    let sums = Mutex::new(Sums::default());
    run_seeds_on_threads(from, count, threads, |seed| {
        let day = days.drawn(seed);
        let played = play_stores(&day, None);
        let Ok(mut sums) = sums.lock() else { return false };
        sums.days += 1;
        sums.acceptances += played.acceptances;
        sums.reads += played.reads;
        sums.views += played.views;
        sums.dropped += played.shown_dropped.len() as u64;
        sums.forgotten += played.forgotten;
        if let Some(first) = played.broken.first() {
            *sums.rules.entry(first.rule.to_string()).or_default() += 1;
            sums.broken.push(day);
        }
        true
    });
    let Ok(mut sums) = sums.into_inner() else { bail!("a thread of the simulation has failed") };
    let seconds = began.elapsed().as_secs_f64();
    println!(
        "{} days in {seconds:.1} s: {} batch jobs accepted, {} pages read, {} views, {} copies that dropped what was shown; \
         {} given up of which nobody knew the name; {} days broken",
        sums.days, sums.acceptances, sums.reads, sums.views, sums.dropped, sums.forgotten, sums.broken.len()
    );
    for (rule, days) in &sums.rules {
        println!("  {rule}: {days}");
    }
    sums.broken.sort_by_key(|day| day.seed);
    for day in sums.broken.iter().take(SHOWN) {
        let Some(first) = play_stores(day, None).broken.first().map(|broken| broken.rule) else { continue };
        show(&shrunk_stores(day, first, None), None);
    }
    match sums.broken.is_empty() {
        true => Ok(()),
        false => bail!("rules were broken on {} days", sums.broken.len()),
    }
}

fn show(day: &StoreDay, plant: Option<StorePlant>) {
    println!(
        "day {} ({}): {} stores in {} zones, {} losses borne, {} tenants, closing at {} ms with {} disks lost",
        day.seed,
        day.family,
        day.stores,
        day.zones,
        day.losses,
        day.tenants,
        day.closing / 1_000,
        day.closing_wipes
    );
    for strike in &day.strikes {
        println!("  {:>6} ms  {:?}", strike.at / 1_000, strike.trouble);
    }
    let played = play_stores(day, plant);
    println!(
        "  {} accepted, {} pages read, {} views, trace {:016x}",
        played.acceptances, played.reads, played.views, played.trace
    );
    for broken in played.broken.iter().take(8) {
        println!("  BROKEN {} at {} ms: {}", broken.rule, broken.at / 1_000, broken.description);
    }
}

fn find_planted(most: u64, threads: u64, only: Option<StorePlant>) -> anyhow::Result<()> {
    let mut missed = Vec::new();
    for plant in StorePlant::all().into_iter().filter(|plant| only.is_none_or(|only| only == *plant)) {
        let found: Mutex<Option<(u64, StoreFamily, Rule)>> = Mutex::new(None);
        run_seeds_on_threads(1, most, threads, |seed| {
            let day = match plant.needs_changing_routes() {
                _ if plant.needs_late_calls() => StoreDay::with_late_calls(seed),
                _ if plant.needs_failing_items() => StoreDay::with_failing_items(seed),
                true => StoreDay::with_changing_routes(seed),
                false => StoreDay::drawn(seed),
            };
            let played = play_stores(&day, Some(plant));
            let shown_dropped = (!played.shown_dropped.is_empty()).then_some(Rule::Lost);
            let Some(rule) = played.broken.first().map(|first| first.rule).or(shown_dropped) else {
                return true;
            };
            if let Ok(mut found) = found.lock() {
                let earlier = found.as_ref().is_none_or(|(known, ..)| seed < *known);
                if earlier {
                    *found = Some((seed, day.family, rule));
                }
            }
            false
        });
        match found.into_inner().ok().flatten() {
            Some((seed, family, rule)) => println!("{plant:?}: found on day {seed} ({family}, {rule})"),
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

fn exhaust(
    events: u8,
    threads: usize,
    grain: StoreGrain,
    plants: &[Option<StorePlant>],
) -> anyhow::Result<()> {
    let mut is_broken = false;
    for planted in plants.iter().copied() {
        let began = Instant::now();
        let (searched, path) = StoreSearch { planted, grain, events }.search(threads);
        let name = planted.map_or_else(|| "no mistake".to_owned(), |plant| format!("{plant:?}"));
        println!(
            "{name}: {} states, {events} events, {:.1} s: {}",
            searched.states,
            began.elapsed().as_secs_f64(),
            searched.broken.unwrap_or("no rule broken")
        );
        if searched.broken.is_some() {
            println!("  {path:?}");
        }
        is_broken |= searched.broken.is_some() && planted.is_none();
    }
    match is_broken {
        true => bail!("an order of events breaks a rule"),
        false => Ok(()),
    }
}

/// Links, what a sync takes in microseconds, and how many items run at once.
const COST_LINKS: [usize; 2] = [3, 5];
const COST_SYNCS: [u64; 2] = [500, 12_000];
const COST_ITEMS: [usize; 3] = [1, 10, 60];
const COST_SEED: u64 = 7;

fn show_costs() {
    println!("links, sync ms, items at once: items; syncs, appends, bytes an item; ms to listed, median and 99 in 100");
    for links in COST_LINKS {
        for sync in COST_SYNCS {
            for items in COST_ITEMS {
                let played = play_stores(&StoreDay::calm(COST_SEED, links, sync, items), None);
                let mut waits = played.costs.waits.clone();
                waits.sort_unstable();
                let at =
                    |part: usize| waits.get(waits.len() * part / 100).map_or(0.0, |wait| *wait as f64 / 1e3);
                let each = |sum: u64| sum as f64 / waits.len().max(1) as f64;
                println!(
                    "{links}, {:.1}, {items}: {}; {:.2}, {:.2}, {:.0}; {:.1}, {:.1}",
                    sync as f64 / 1e3,
                    waits.len(),
                    each(played.costs.syncs),
                    each(played.costs.appends),
                    each(played.costs.bytes),
                    at(50),
                    at(99)
                );
            }
        }
    }
}
