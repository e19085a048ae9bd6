//! Trouble of an engine that lives: for a time, a share of its answers is broken off, lost, late, sent twice, damaged or
//! refused.
//!
//! Owns: the kinds, and which run has which. Relies on: a test that begins and ends the trouble by a request.

use std::cell::{Cell, RefCell};

use anyhow::{anyhow, Result};
use clap::ValueEnum;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::stream_damage::StreamDamage;

/// Path with which a test begins a trouble; the name of its kind is appended.
pub const TROUBLE_PATH: &str = "/_trouble/";
/// Name that ends a trouble.
pub const NO_TROUBLE: &str = "none";
/// Runs of which one is in trouble.
const TROUBLED_ONE_IN: u32 = 3;

/// What an engine does with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum StreamTrouble {
    /// It is closed between two events in an orderly way.
    Closed,
    /// Its connection is reset between two events.
    Reset,
    /// Its connection is reset within an event.
    ResetInside,
    /// It stops between two events, and its connection stays open.
    Silent,
    /// It is a server error.
    Failed,
    /// It is refused, and the request does not run.
    Declined,
    /// The request runs, and its connection is closed without an answer.
    Lost,
    /// The same with a reset.
    LostByReset,
    /// It is sent again when the next request arrives on its connection.
    Repeated,
    /// Its events come several times as late.
    Slow,
    /// Its bytes are damaged in some form.
    Damaged,
}

impl StreamTrouble {
    /// Returns all kinds.
    pub fn all() -> Vec<StreamTrouble> {
        StreamTrouble::value_variants().to_vec()
    }

    /// Returns the name of the kind in a request.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_string()).unwrap_or_default()
    }
}

/// The trouble of an engine, and where it strikes an answer.
pub struct EngineTrouble {
    kind: Cell<Option<StreamTrouble>>,
    random: RefCell<StdRng>,
}

impl EngineTrouble {
    /// Creates an engine without trouble, whose id determines which of its answers are struck.
    pub fn new(id: &str) -> EngineTrouble {
        let seed = id.bytes().fold(0, |seed: u64, byte| seed << 8 | u64::from(byte));
        let random = RefCell::new(StdRng::seed_from_u64(seed));
        EngineTrouble { kind: Cell::new(None), random }
    }

    /// Begins the trouble of a name, or ends the one that lasts.
    ///
    /// # Errors
    /// Fails if no kind has the name.
    pub fn set(&self, name: &str) -> Result<()> {
        let kind = match name {
            NO_TROUBLE => None,
            name => {
                let kind = StreamTrouble::from_str(name, true);
                Some(kind.map_err(|_| anyhow!("trouble {name:?} does not exist"))?)
            }
        };
        self.kind.set(kind);
        Ok(())
    }

    /// Returns the trouble of the next answer, `None` if it is sound.
    pub fn of_run(&self) -> Option<StreamTrouble> {
        let kind = self.kind.get()?;
        self.random.borrow_mut().random_ratio(1, TROUBLED_ONE_IN).then_some(kind)
    }

    /// Returns how the bytes of an answer in trouble are damaged, and the source of its places; `None` if they are sound.
    pub fn damage(&self, trouble: Option<StreamTrouble>) -> Option<(StreamDamage, StdRng)> {
        trouble.filter(|trouble| *trouble == StreamTrouble::Damaged)?;
        let mut random = self.random.borrow_mut();
        let damage = StreamDamage::all().choose(&mut *random).copied()?;
        Some((damage, StdRng::seed_from_u64(random.random())))
    }

    /// Returns how many of the events of an answer come before its trouble.
    pub fn events_before(&self, events: usize) -> usize {
        self.random.borrow_mut().random_range(0..events.max(1))
    }
}
