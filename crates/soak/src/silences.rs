//! Engines that fall silent, all or a part of them, beside changes of what streams depend on in the configuration.
//!
//! Owns: the kinds of changes, and the silences of engines. Relies on: the callers' check of every event of their streams.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::format::Config;
use curlewcleat_platform::names::STREAMING;
use curlewcleat_standins::fleet::FleetEngine;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

use crate::engines::BACKENDS;
use crate::fleet::SoakFleet;
use crate::plan::SoakFault;

/// Range of the time for which engines are silent, in milliseconds.
pub const SILENCE_MS: std::ops::Range<u64> = 300..3_000;
/// Share of the engines that fall silent together, in percent.
const SHARES: [u8; 3] = [30, 60, 100];

/// A change of the configuration that streams in progress depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamChange {
    /// The time for which connections of callers may be idle.
    IdleLimit,
    /// The timeout of all routes.
    Timeout,
    /// The latency objective of all routes.
    Objective,
    /// Whether streams may be resumed.
    Resumption,
    /// The service that gets new streams.
    Service,
}

const CHANGES: [StreamChange; 5] = [
    StreamChange::IdleLimit,
    StreamChange::Timeout,
    StreamChange::Objective,
    StreamChange::Resumption,
    StreamChange::Service,
];

/// Draws engines that fall silent, or a change of the configuration.
pub fn draw_silence(random: &mut StdRng) -> SoakFault {
    match random.random_ratio(1, 2) {
        true => SoakFault::Silence(SHARES.choose(random).copied().unwrap_or(100)),
        false => {
            let change = CHANGES.choose(random).copied();
            SoakFault::ChangeStreams(change.unwrap_or(StreamChange::IdleLimit))
        }
    }
}

impl SoakFleet {
    /// Makes this share of the engines silent for a time.
    pub async fn silence_engines(&self, percent: u8, time: Duration) {
        let silent = self.first_engines(percent);
        silent.iter().for_each(|engine| engine.set_silent(true));
        tokio::time::sleep(time).await;
        silent.iter().for_each(|engine| engine.set_silent(false));
    }

    /// Returns this share of the engines, the oldest ones.
    fn first_engines(&self, percent: u8) -> Vec<Rc<FleetEngine>> {
        let engines = self.engines.borrow();
        let count = (engines.len() * usize::from(percent)).div_ceil(100);
        engines.iter().take(count).map(|handle| Rc::clone(&handle.engine)).collect()
    }

    /// Changes what streams depend on.
    pub fn change_streams(&self, change: StreamChange) -> Result<()> {
        apply_change(&mut self.config.borrow_mut(), change);
        self.store_config()
    }
}

fn apply_change(config: &mut Config, change: StreamChange) {
    let flip = |value: &mut Option<f64>, one: f64, other: f64| {
        *value = Some(if *value == Some(one) { other } else { one });
    };
    if change == StreamChange::IdleLimit {
        return flip(&mut config.limits.idle_timeout_ms, 5_000.0, 1_000.0);
    }
    for route in &mut config.routes {
        match change {
            StreamChange::IdleLimit => {}
            StreamChange::Timeout => flip(&mut route.timeout_ms, 5_000.0, 4_000.0),
            StreamChange::Objective => flip(&mut route.target_latency_ms, 500.0, 250.0),
            StreamChange::Resumption if route.name == "resumed-stream" => {
                route.toggle_resumption();
            }
            StreamChange::Service if route.kind == STREAMING => {
                let other = BACKENDS.iter().find(|name| route.backend.as_deref() != Some(**name));
                route.backend = other.map(|name| name.to_string());
            }
            StreamChange::Resumption | StreamChange::Service => {}
        }
    }
}
