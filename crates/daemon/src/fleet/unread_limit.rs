//! Times for which a caller's connection may wait for the daemon or its link: fractions of the latency objectives in force,
//! so that the caller can still be served in time elsewhere.
//!
//! Owns: the limits of the configuration in force. Relies on: a generation that differs for each configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_core::{ActiveConfig, Generation};

use crate::context::DaemonContext;

/// Shortest limit: several turns of the loop, so that connections that arrive together can be read.
const MIN_LIMIT: Duration = Duration::from_millis(20);
/// Fraction of a latency objective for which a connection may wait.
const OBJECTIVE_DIVISOR: u32 = 4;

/// Returns a function for the time that a connection may wait to be read; it returns `None` where no rule has an objective.
pub fn unread_limit(context: &DaemonContext) -> Rc<dyn Fn() -> Option<Duration>> {
    limit_in_force(context, |config| objectives(config).min().map(fraction))
}

/// Returns a function for the time that the link may need for what callers send; it returns `None` where no rule has an
/// objective. The longest objective decides: small requests pass between the packets of large ones.
pub fn link_limit(context: &DaemonContext) -> Rc<dyn Fn() -> Option<Duration>> {
    limit_in_force(context, |config| objectives(config).max().map(fraction))
}

/// Returns a function for a limit, which is computed once for each configuration.
fn limit_in_force(
    context: &DaemonContext,
    limit_of: fn(&ActiveConfig) -> Option<Duration>,
) -> Rc<dyn Fn() -> Option<Duration>> {
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

fn objectives(config: &ActiveConfig) -> impl Iterator<Item = Duration> + '_ {
    config.rules.iter().filter_map(|rule| rule.service.objective)
}

fn fraction(objective: Duration) -> Duration {
    (objective / OBJECTIVE_DIVISOR).max(MIN_LIMIT)
}
