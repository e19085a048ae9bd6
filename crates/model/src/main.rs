//! Runs a model with larger bounds than CI does: `curlewcleat-model request --steps 6`.

use clap::{Parser, ValueEnum};
use curlewcleat_model::{
    explore, ConfigFault, ConfigModel, DrainFault, DrainModel, KeyFault, KeyModel, LevelFault,
    LevelModel, RequestFault, RequestModel,
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
    let arguments = Arguments::parse();
    let Arguments { steps, faults, requests, .. } = arguments;
    let explorations = match arguments.model {
        ModelName::Request => {
            let keys = [None, Some(None), Some(Some(1))];
            let models = keys.map(|key| RequestModel {
                fault: RequestFault::None,
                attempts: u32::from(faults) + 1,
                steps,
                key,
            });
            models.iter().map(explore).collect()
        }
        ModelName::Keys => [false, true]
            .map(|minted_later| {
                let moves = usize::from(steps);
                let stops = requests;
                let fault = KeyFault::None;
                let hand_overs = !arguments.no_hand_overs;
                explore(&KeyModel {
                    fault,
                    minted_later,
                    moves,
                    hand_overs,
                    stops,
                    repeats: faults,
                })
            })
            .into(),
        ModelName::Config => [false, true]
            .map(|same_file| {
                explore(&ConfigModel {
                    fault: ConfigFault::None,
                    same_file,
                    losses: faults,
                    old_reads: 2,
                })
            })
            .into(),
        ModelName::Levels => {
            let asks = (0..requests).map(|number| 2 - number % 3).collect();
            vec![explore(&LevelModel { fault: LevelFault::None, asks, losses: faults, steps })]
        }
        ModelName::Drain => vec![explore(&DrainModel { fault: DrainFault::None, requests, steps })],
    };
    let mut held = true;
    for exploration in explorations {
        println!("{exploration}");
        held &= exploration.broken.is_none();
    }
    if held {
        std::process::ExitCode::SUCCESS
    } else {
        std::process::ExitCode::FAILURE
    }
}
