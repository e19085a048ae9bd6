//! Explores a model with bounds from the command line, which may be larger than those of the tests:
//! `curlewcleat-model request --steps 6`.

use clap::{Parser, ValueEnum};
use curlewcleat_model::{
    explore, ConfigFault, ConfigModel, DrainFault, DrainModel, Exploration, KeyFault, KeyModel,
    LevelFault, LevelModel, RequestFault, RequestModel, StreamFault, StreamModel,
};

/// The models that can be explored from the command line.
#[derive(Clone, Copy, ValueEnum)]
enum ModelName {
    Request,
    Keys,
    Config,
    Levels,
    Drain,
    Streams,
}

/// Visits every reachable state of a model of the core protocol.
#[derive(Parser)]
struct Arguments {
    /// The model.
    model: ModelName,
    /// Steps of the clock (request, levels, drain, streams) or changes of the table (keys).
    #[arg(long, default_value_t = 4)]
    steps: u8,
    /// Retries (request), messages that are repeated (keys) or lost (config, levels),
    /// or cuts (streams).
    #[arg(long, default_value_t = 2)]
    faults: u8,
    /// Requests (drain), permit requests (levels) or daemons that stop (keys).
    #[arg(long, default_value_t = 4)]
    requests: u8,
    /// Explore without hand-overs (keys).
    #[arg(long)]
    no_hand_overs: bool,
}

fn main() -> std::process::ExitCode {
    let mut all_hold = true;
    for exploration in explorations(&Arguments::parse()) {
        println!("{exploration}");
        all_hold &= exploration.violation.is_none();
    }
    if all_hold {
        std::process::ExitCode::SUCCESS
    } else {
        std::process::ExitCode::FAILURE
    }
}

fn explorations(arguments: &Arguments) -> Vec<Exploration> {
    let Arguments { steps, faults, requests, .. } = *arguments;
    match arguments.model {
        ModelName::Request => request_explorations(arguments),
        ModelName::Keys => key_explorations(arguments),
        ModelName::Config => config_explorations(arguments),
        ModelName::Levels => {
            let tiers = (0..requests).map(|number| 2 - number % 3).collect();
            vec![explore(&LevelModel { fault: LevelFault::None, tiers, losses: faults, steps })]
        }
        ModelName::Drain => vec![explore(&DrainModel { fault: DrainFault::None, requests, steps })],
        ModelName::Streams => vec![explore(&stream_model(steps, faults))],
    }
}

/// Returns a model of one stream during a release.
fn stream_model(seconds: u8, cuts: u8) -> StreamModel {
    StreamModel {
        fault: StreamFault::None,
        reported: None,
        seconds,
        cuts,
        standstills: 0,
        kills: 0,
        releases: 1,
        writes: 3,
        late_writes: false,
        reads_as_scheduler: false,
        writes_in_reach: false,
        knows_targets: false,
        skew: 2_000,
    }
}

/// Explores a request without a key, with a key, and with a key and the attempt number 1.
fn request_explorations(arguments: &Arguments) -> Vec<Exploration> {
    let keys = [None, Some(None), Some(Some(1))];
    let models = keys.map(|key| RequestModel {
        fault: RequestFault::None,
        attempts: u32::from(arguments.faults) + 1,
        steps: arguments.steps,
        key,
        unresponsive_count: 0,
    });
    models.iter().map(explore).collect()
}

/// Explores an opaque key, and a key that contains the time of its creation.
fn key_explorations(arguments: &Arguments) -> Vec<Exploration> {
    let models = [false, true].map(|timed_key| KeyModel {
        fault: KeyFault::None,
        timed_key,
        moves: usize::from(arguments.steps),
        hand_overs: !arguments.no_hand_overs,
        stops: arguments.requests,
        repeats: arguments.faults,
    });
    models.iter().map(explore).collect()
}

/// Explores operators that apply different files, and operators that apply the same file.
fn config_explorations(arguments: &Arguments) -> Vec<Exploration> {
    let models = [false, true].map(|same_file| ConfigModel {
        fault: ConfigFault::None,
        same_file,
        losses: arguments.faults,
        old_reads: 2,
    });
    models.iter().map(explore).collect()
}
