//! Time for which a caller's connection may wait to be read: a fraction of the shortest latency objective in force, so
//! that the caller can still be served in time elsewhere.
//!
//! Owns: the limit of the configuration in force. Relies on: a generation that differs for each configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_core::{ActiveConfig, Generation};

use crate::context::DaemonContext;

/// Shortest limit: several turns of the loop, so that connections that arrive together can be read.
const MIN_LIMIT: Duration = Duration::from_millis(20);
/// Fraction of the shortest latency objective for which a connection may wait.
const OBJECTIVE_DIVISOR: u32 = 4;

/// Returns a function for the limit; it returns `None` where no rule has an objective.
pub fn unread_limit(context: &DaemonContext) -> Rc<dyn Fn() -> Option<Duration>> {
    let context = context.clone();
    let known = Cell::new((Generation::default(), None));
    Rc::new(move || {
        let config = context.config();
        let (generation, limit) = known.get();
        if generation == config.generation {
            return limit;
        }
        let limit = limit_of(&config);
        known.set((config.generation, limit));
        limit
    })
}

fn limit_of(config: &ActiveConfig) -> Option<Duration> {
    let objectives = config.rules.iter().filter_map(|rule| rule.service.objective);
    objectives.min().map(|objective| (objective / OBJECTIVE_DIVISOR).max(MIN_LIMIT))
}
