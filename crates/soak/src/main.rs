//! Plays seeds one after the other, or several at once, and prints what each showed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use clap::Parser;
use curlewcleat_soak::{kept_seeds, run_soak, ExtraKind, PlayedSeed, SoakOptions, SoakReport};

/// A randomized fault soak of real daemons on loopback.
#[derive(Parser)]
struct SoakArguments {
    /// The one seed to play, with its faults printed.
    #[arg(long)]
    seed: Option<u64>,
    /// All seeds of `kept-seeds.txt`, which failed once.
    #[arg(long)]
    kept: bool,
    /// The first of several seeds.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Daemons.
    #[arg(long, default_value_t = 5)]
    daemons: usize,
    /// Engines of each of two services.
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// Callers.
    #[arg(long, default_value_t = 16)]
    callers: usize,
    /// Seconds in which faults happen.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Planned work only: stops, reloads, changes, engines that leave.
    #[arg(long)]
    planned: bool,
    /// Routes beside those that callers use, so that the configuration is long.
    #[arg(long, default_value_t = 0)]
    routes: usize,
    /// Megabits a second that a connection between two daemons carries.
    #[arg(long)]
    link_mbps: Option<u64>,
    /// Kind of faults beside those of the plan.
    #[arg(long)]
    extra: Option<ExtraKind>,
    /// Folder for settings and logs; kept where a promise was broken.
    #[arg(long)]
    folder: Option<PathBuf>,
}

fn main() -> Result<ExitCode> {
    let arguments = SoakArguments::parse();
    let own = |seed| PlayedSeed { seed, planned: arguments.planned, extra: arguments.extra };
    let seeds: Vec<PlayedSeed> = match arguments.seed {
        Some(seed) => vec![own(seed)],
        None if arguments.kept => kept_seeds(include_str!("../kept-seeds.txt"))?,
        None => (arguments.first..arguments.first + arguments.seeds).map(own).collect(),
    };
    let count = seeds.len();
    let mut broken = 0;
    for seed in seeds {
        let options = options(&arguments, seed);
        let folder = options.folder.clone();
        let report = actix_rt::System::new().block_on(run_soak(options))?;
        print(seed.seed, &report, arguments.seed.is_some());
        match report.findings.is_empty() {
            // A folder that stays behind in the temporary files does no harm.
            true => drop(std::fs::remove_dir_all(&folder)),
            false => {
                broken += 1;
                println!("  settings and logs: {}", folder.display());
            }
        }
    }
    println!("{} passed, {broken} failed", count - broken);
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
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
        script: None,
        folder: folder.join(format!("curlewcleat-soak-{}-{seed}", std::process::id())),
    }
}

fn print(seed: u64, report: &SoakReport, with_faults: bool) {
    let outcomes: Vec<String> =
        report.outcomes.iter().map(|(outcome, count)| format!("{outcome}: {count}")).collect();
    println!("seed {seed}: {} faults; {}", report.steps.len(), outcomes.join(", "));
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
    for finding in &report.findings {
        println!("  BROKEN {}: {}", finding.promise, finding.detail);
    }
}
