//! The command line of the failure laboratory.

use clap::{Parser, Subcommand, ValueEnum};
use fennelgauge_lab::compare::compare;
use fennelgauge_lab::record::Trace;
use fennelgauge_lab::report::{report, Report};
use fennelgauge_lab::run::needs::needs;
use fennelgauge_lab::run::Run;
use fennelgauge_lab::scenario::Scenario;
use indicatif::{ProgressBar, ProgressStyle};
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::{info, Level};

/// Plays many gateways with faults between them, judges and measures.
#[derive(Parser)]
#[command(name = "fennelgauge-lab", version)]
struct Line {
    #[arg(long, value_enum, default_value_t = Logs::Human, global = true)]
    logs: Logs,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum Logs {
    Human,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario with the decision module in this process, on a simulated clock.
    Sim {
        scenario: PathBuf,
        /// Another seed than the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// Where the trace, the report and its plots go.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays a scenario with real processes of the gateway on loopback.
    Run {
        scenario: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
        #[arg(long)]
        out: Option<PathBuf>,
        /// The gateway's program; the one beside this where left out.
        #[arg(long)]
        gateway: Option<PathBuf>,
        /// Keeps the gateways' configurations and logs there.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Reads a scenario and tells what it needs, without playing it.
    Check { scenario: PathBuf },
    /// Makes the report of a trace again, with its plots where a folder is named.
    Report {
        trace: PathBuf,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Puts two reports beside each other, with their differences.
    Compare { first: PathBuf, second: PathBuf },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let logs = tracing_subscriber::fmt().with_max_level(Level::INFO).with_writer(std::io::stderr);
    match line.logs {
        Logs::Human => logs.with_target(false).init(),
        Logs::Json => logs.json().init(),
    }
    match command(line.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("fennelgauge-lab: {error}");
            ExitCode::from(2)
        }
    }
}

type Failed = Box<dyn std::error::Error>;

/// False where a rule was broken.
fn command(command: Command) -> Result<bool, Failed> {
    match command {
        Command::Sim { scenario, seed, out } => {
            let mut scenario = Scenario::read(&scenario)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let bar = bar()?;
            let trace = fennelgauge_lab::sim::play(&scenario, &mut |part| {
                bar.set_position((part * 1e3) as u64);
            });
            bar.finish_and_clear();
            tell(&trace, out.as_deref(), true)
        }
        Command::Run { scenario, seed, out, gateway, folder } => {
            let mut scenario = Scenario::read(&scenario)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let bar = bar()?;
            let run = Run { gateway, folder };
            let trace = fennelgauge_lab::run::play(&scenario, &run, &mut |part| {
                bar.set_position((part * 1e3) as u64);
            });
            bar.finish_and_clear();
            tell(&trace?, out.as_deref(), true)
        }
        Command::Check { scenario } => {
            let scenario = Scenario::read(&scenario)?;
            let needs = needs(&scenario);
            println!("{}: sound, {} faults", scenario.name, scenario.fault.len());
            println!(
                "a real play takes {} processes, about {} descriptors ({} listening) and {} MB",
                needs.processes, needs.descriptors, needs.listeners, needs.memory_mb
            );
            match needs.check() {
                Ok(()) => println!("this machine holds it"),
                Err(reason) => println!("this machine does not hold it: {reason}"),
            }
            Ok(true)
        }
        Command::Report { trace, out } => {
            let trace =
                Trace::read(open(&trace)?).map_err(|error| format!("{}: {error}", trace.display()))?;
            tell(&trace, out.as_deref(), false)
        }
        Command::Compare { first, second } => {
            let read = |path: &Path| -> Result<Report, Failed> {
                let read = serde_json::from_reader(open(path)?);
                Ok(read.map_err(|error| format!("{}: {error}", path.display()))?)
            };
            print!("{}", compare(&read(&first)?, &read(&second)?));
            Ok(true)
        }
    }
}

fn bar() -> Result<ProgressBar, Failed> {
    let bar = ProgressBar::new(1_000);
    bar.set_style(ProgressStyle::with_template("{bar:40} {percent}% {elapsed}")?);
    Ok(bar)
}

fn open(path: &Path) -> Result<BufReader<File>, Failed> {
    let file = File::open(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(BufReader::new(file))
}

fn tell(trace: &Trace, out: Option<&Path>, whole: bool) -> Result<bool, Failed> {
    let report: Report = report(trace);
    print!("{}", report.text());
    if let Some(out) = out {
        std::fs::create_dir_all(out)?;
        if whole {
            trace.write(BufWriter::new(File::create(out.join("trace.jsonl"))?))?;
        }
        let mut file = BufWriter::new(File::create(out.join("report.json"))?);
        serde_json::to_writer_pretty(&mut file, &report)?;
        file.write_all(b"\n")?;
        fennelgauge_lab::plot::draw(&report, out)?;
        info!(out = %out.display(), "written");
    }
    Ok(report.verdict.kept())
}
