//! Parses `kept-seeds.txt`, the list of seeds that failed in earlier runs.

use anyhow::{anyhow, Context, Result};
use clap::ValueEnum;

use crate::extra::ExtraKind;

/// Option of a line whose seed is run with planned work only.
const PLANNED: &str = "planned";

/// A seed with the options that determine its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlayedSeed {
    /// The seed.
    pub seed: u64,
    /// Whether only planned work is injected.
    pub planned: bool,
    /// Kind of faults to inject in addition to those drawn from the seed.
    pub extra: Option<ExtraKind>,
}

/// Parses a list with one seed per line: `SEED [planned] [KIND]: CAUSE`.
///
/// # Errors
/// Fails if a line has another form.
pub fn kept_seeds(list: &str) -> Result<Vec<PlayedSeed>> {
    list.lines().filter(|line| !line.starts_with('#')).map(kept_seed).collect()
}

fn kept_seed(line: &str) -> Result<PlayedSeed> {
    let (options, _) = line.split_once(':').context("kept seeds: a line without a cause")?;
    let mut words = options.split_whitespace();
    let seed = words.next().context("kept seeds: a line without a seed")?.parse()?;
    let mut kept = PlayedSeed { seed, planned: false, extra: None };
    for word in words {
        match word {
            PLANNED => kept.planned = true,
            kind => {
                let kind = ExtraKind::from_str(kind, false);
                kept.extra = Some(kind.map_err(|error| anyhow!("kept seeds: {error}"))?);
            }
        }
    }
    Ok(kept)
}
