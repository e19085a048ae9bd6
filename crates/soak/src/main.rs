//! Runs one or more seeds one after the other and prints the outcomes and violations of each.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use clap::Parser;
use curlewcleat_soak::{
    kept_seeds, run_soak, ExtraKind, PlayedSeed, SoakOptions, SoakReport, WEAK_PERCENT,
};

/// Randomized fault tests of real daemons on loopback.
#[derive(Parser)]
struct SoakArguments {
    /// Run only this seed and print its faults.
    #[arg(long)]
    seed: Option<u64>,
    /// Run all seeds of `kept-seeds.txt`, which failed in earlier runs.
    #[arg(long)]
    kept: bool,
    /// First of several consecutive seeds.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 5)]
    daemons: usize,
    /// Number of engines of each of the two services.
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 16)]
    callers: usize,
    /// Seconds during which faults are injected.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Inject planned work only: stops, reloads, configuration changes, engines that leave.
    #[arg(long)]
    planned: bool,
    /// Number of additional routes that no caller uses, which make the configuration larger.
    #[arg(long, default_value_t = 0)]
    routes: usize,
    /// Bandwidth of each connection between two daemons, in megabits per second.
    #[arg(long)]
    link_mbps: Option<u64>,
    /// Kind of faults to inject in addition to those drawn from the seed.
    #[arg(long)]
    extra: Option<ExtraKind>,
    /// Part of a core that weak daemons have, in percent; for the kinds `weak` and `mixed`.
    #[arg(long, default_value_t = WEAK_PERCENT, value_parser = clap::value_parser!(u8).range(1..=99))]
    weak_percent: u8,
    /// Variable in which the system's loader expects additional libraries; needed for cuts.
    #[arg(long)]
    loader_variable: Option<String>,
    /// Folder for settings and logs; kept if a check failed.
    #[arg(long)]
    folder: Option<PathBuf>,
}

fn main() -> Result<ExitCode> {
    let arguments = SoakArguments::parse();
    let played = |seed| PlayedSeed { seed, planned: arguments.planned, extra: arguments.extra };
    let seeds: Vec<PlayedSeed> = match arguments.seed {
        Some(seed) => vec![played(seed)],
        None if arguments.kept => kept_seeds(include_str!("../kept-seeds.txt"))?,
        None => (arguments.first..arguments.first + arguments.seeds).map(played).collect(),
    };
    let count = seeds.len();
    let mut failed = 0;
    for seed in seeds {
        let options = options(&arguments, seed);
        let folder = options.folder.clone();
        let report = actix_rt::System::new().block_on(run_soak(options))?;
        print(seed.seed, &report, arguments.seed.is_some());
        match report.violations.is_empty() {
            // A folder that cannot be removed remains among the temporary files.
            true => drop(std::fs::remove_dir_all(&folder)),
            false => {
                failed += 1;
                println!("  settings and logs: {}", folder.display());
            }
        }
    }
    println!("{} passed, {failed} failed", count - failed);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn options(arguments: &SoakArguments, played: PlayedSeed) -> SoakOptions {
    let folder = arguments.folder.clone().unwrap_or_else(std::env::temp_dir);
    let PlayedSeed { seed, planned, extra } = played;
    SoakOptions {
        seed,
        daemons: arguments.daemons,
        engines: arguments.engines,
        callers: arguments.callers,
        time: Duration::from_secs(arguments.seconds),
        planned_only: planned,
        routes: arguments.routes,
        link_mbps: arguments.link_mbps,
        extra,
        weak_percent: arguments.weak_percent,
        loader_variable: arguments.loader_variable.clone(),
        script: None,
        folder: folder.join(format!("curlewcleat-soak-{}-{seed}", std::process::id())),
    }
}

fn print(seed: u64, report: &SoakReport, with_faults: bool) {
    let outcomes: Vec<String> =
        report.outcomes.iter().map(|(outcome, count)| format!("{outcome}: {count}")).collect();
    println!("seed {seed}: {} faults; {}", report.steps.len(), outcomes.join(", "));
    if report.streams.begun > 0 {
        println!("  streams: {:?}", report.streams);
    }
    if with_faults {
        for step in &report.steps {
            println!(
                "  {:>6} ms for {:>4} ms {:?}",
                step.at.as_millis(),
                step.time.as_millis(),
                step.fault
            );
        }
    }
    for violation in &report.violations {
        println!("  BROKEN {}: {}", violation.invariant, violation.detail);
    }
}
