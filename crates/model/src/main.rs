//! Runs a model with larger bounds than CI does: `curlewcleat-model request --steps 6`.

use clap::{Parser, ValueEnum};
use curlewcleat_model::{
    explore, ConfigFault, ConfigModel, DrainFault, DrainModel, Exploration, KeyFault, KeyModel,
    LevelFault, LevelModel, RequestFault, RequestModel,
};

/// Which model.
#[derive(Clone, Copy, ValueEnum)]
enum ModelName {
    Request,
    Keys,
    Config,
    Levels,
    Drain,
}

/// Visits every reachable state of a model of the core protocol.
#[derive(Parser)]
struct Arguments {
    /// The model.
    model: ModelName,
    /// Steps of the clock (request, levels, drain) or changes of the table (keys).
    #[arg(long, default_value_t = 4)]
    steps: u8,
    /// Further dispatches (request), messages repeated (keys) or lost (config, levels).
    #[arg(long, default_value_t = 2)]
    faults: u8,
    /// Requests (drain), asks (levels) or daemons that stop (keys).
    #[arg(long, default_value_t = 4)]
    requests: u8,
    /// Leave hand-overs out (keys).
    #[arg(long)]
    no_hand_overs: bool,
}

fn main() -> std::process::ExitCode {
    let mut held = true;
    for exploration in explorations(&Arguments::parse()) {
        println!("{exploration}");
        held &= exploration.broken.is_none();
    }
    if held {
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
            let asks = (0..requests).map(|number| 2 - number % 3).collect();
            vec![explore(&LevelModel { fault: LevelFault::None, asks, losses: faults, steps })]
        }
        ModelName::Drain => vec![explore(&DrainModel { fault: DrainFault::None, requests, steps })],
    }
}

/// Without a key, with one, and with one on its first attempt.
fn request_explorations(arguments: &Arguments) -> Vec<Exploration> {
    let keys = [None, Some(None), Some(Some(1))];
    let models = keys.map(|key| RequestModel {
        fault: RequestFault::None,
        attempts: u32::from(arguments.faults) + 1,
        steps: arguments.steps,
        key,
        silences: 0,
    });
    models.iter().map(explore).collect()
}

/// With an opaque key, and with one that tells when it was minted.
fn key_explorations(arguments: &Arguments) -> Vec<Exploration> {
    let models = [false, true].map(|minted_later| KeyModel {
        fault: KeyFault::None,
        minted_later,
        moves: usize::from(arguments.steps),
        hand_overs: !arguments.no_hand_overs,
        stops: arguments.requests,
        repeats: arguments.faults,
    });
    models.iter().map(explore).collect()
}

/// With operators that apply different files, and the same file.
fn config_explorations(arguments: &Arguments) -> Vec<Exploration> {
    let models = [false, true].map(|same_file| ConfigModel {
        fault: ConfigFault::None,
        same_file,
        losses: arguments.faults,
        old_reads: 2,
    });
    models.iter().map(explore).collect()
}
