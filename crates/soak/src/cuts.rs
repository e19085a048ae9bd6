//! Faults that cut daemons from all engines, while callers, the store and the other daemons still reach them.

use std::time::Duration;

use anyhow::{Context, Result};
use curlewcleat_standins::fleet::EngineLinkFault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

use crate::fleet::SoakFleet;
use crate::plan::SoakFault;

/// Range of the duration of a cut, in milliseconds: some are shorter than the time in which a daemon notices them, some
/// are longer than the bound within which its callers have to be served.
const CUT_MS: std::ops::Range<u64> = 300..5_000;

/// The daemons that are cut from the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDaemons {
    /// This daemon.
    One(usize),
    /// All but this daemon.
    AllBut(usize),
}

impl CutDaemons {
    fn contains(self, index: usize) -> bool {
        match self {
            CutDaemons::One(daemon) => index == daemon,
            CutDaemons::AllBut(daemon) => index != daemon,
        }
    }
}

/// Draws the daemons that are cut, how their links fail, and for how long.
pub fn draw_cut(random: &mut StdRng, daemons: usize) -> (SoakFault, Duration) {
    let daemon = random.random_range(0..daemons);
    let cut = match random.random_ratio(1, 4) {
        true => CutDaemons::AllBut(daemon),
        false => CutDaemons::One(daemon),
    };
    let faults = [
        EngineLinkFault::Silent,
        EngineLinkFault::Reset,
        EngineLinkFault::RefuseNew,
        EngineLinkFault::SilentForHalf,
    ];
    let fault = faults.choose(random).copied().unwrap_or(EngineLinkFault::Silent);
    let time = Duration::from_millis(random.random_range(CUT_MS));
    (SoakFault::Cut(cut, fault), time)
}

impl SoakFleet {
    /// Cuts daemons from the engines for a time. Of cuts that overlap the latest holds, and the first end ends it.
    pub async fn cut_engines(
        &self,
        cut: CutDaemons,
        fault: EngineLinkFault,
        time: Duration,
    ) -> Result<()> {
        self.set_links(cut, fault)?;
        tokio::time::sleep(time).await;
        self.set_links(cut, EngineLinkFault::None)
    }

    fn set_links(&self, cut: CutDaemons, fault: EngineLinkFault) -> Result<()> {
        let links = self.engine_links.as_ref().context("the links to the engines cannot fail")?;
        for (index, daemon) in self.daemons.iter().enumerate() {
            if cut.contains(index) {
                links.set(&daemon.name, fault)?;
            }
        }
        Ok(())
    }
}
