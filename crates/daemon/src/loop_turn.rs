//! Measures the turns of the daemon's loop: the time until everything that was ready has been handled once.
//!
//! A request needs several steps, each of which waits for one turn. Turns take long where more is in progress than the
//! VM's processor can handle; they do not depend on targets.
//!
//! Owns: the probe. Relies on: a runtime that wakes a task that yields only after the others that were ready.

use std::time::{Duration, Instant};

use crate::context::DaemonContext;

/// Time between two probes. A probe costs as much as one step of a request.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Waits for one turn of the loop and returns the time that it took.
async fn measure_turn() -> Duration {
    let begun = Instant::now();
    tokio::task::yield_now().await;
    begun.elapsed()
}

/// Starts a task on this arbiter that measures turns until the process ends.
pub fn probe_turns(context: DaemonContext) {
    actix_rt::spawn(async move {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            context.metrics.load.observe_turn(measure_turn().await);
        }
    });
}
