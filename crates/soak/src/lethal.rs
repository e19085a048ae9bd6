//! Repeatedly sends a lethal request, which terminates the engines running it, to all daemons.
//!
//! Owns: the body of the request, its callers, and the replacement of the engines. Relies on: `SoakFleet` for the list
//! of engines.

use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_platform::example::DRIVERS_KEY;
use curlewcleat_platform::names::SERVERS;
use curlewcleat_standins::fleet::{FleetEngine, LethalRequests, LethalTrigger};
use curlewcleat_targets::ConnectionPool;

use crate::callers::CallKind;
use crate::exchange::send_request;
use crate::fleet::SoakFleet;

/// Body of the lethal request.
pub const LETHAL: &[u8] = b"ends its engine";
/// Time after the termination of an engine until its list entry is removed and another engine starts: shorter than
/// real engines need, so that more of them can terminate during a run.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(400);
/// Number of copies that are sent at the same time, as callers do that retry at once.
const COPIES: usize = 2;
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(60);
/// Interval at which the engines are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Set when an engine has terminated.
pub type TerminationFlag = Rc<std::cell::Cell<bool>>;

/// Makes an engine terminate as soon as it begins to run the lethal request.
pub fn terminate_on_lethal(engine: &FleetEngine, terminated: &TerminationFlag) {
    let terminated = Rc::clone(terminated);
    engine.set_lethal(LethalRequests {
        trigger: LethalTrigger::Body(LETHAL.to_vec()),
        delay: Duration::ZERO,
        terminate: Box::new(move || terminated.set(true)),
    });
}

impl SoakFleet {
    /// Sends the request repeatedly for some time, each copy to the next daemon.
    pub async fn send_lethal(&self, time: Duration) {
        let until = Instant::now() + time;
        let mut daemons = self.daemons.iter().cycle();
        while Instant::now() < until {
            let copies = daemons.by_ref().take(COPIES).map(|daemon| async {
                let connections = ConnectionPool::default();
                // It is sent again whatever the answer.
                let _ = send_request(
                    &connections,
                    &daemon.callers,
                    CallKind::PlainStream,
                    (DRIVERS_KEY, "lethal"),
                    LETHAL.into(),
                )
                .await;
            });
            futures_util::future::join_all(copies).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Replaces each engine that terminates, once its list entry has been removed.
    pub async fn replace_terminated_engines(self: Rc<Self>) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let terminated =
                self.engines.borrow().iter().position(|handle| handle.terminated.take());
            if let Some(index) = terminated {
                let served = self.engines.borrow_mut()[index].served.take();
                actix_rt::spawn(Rc::clone(&self).replace_terminated(index, served));
            }
        }
    }

    async fn replace_terminated(
        self: Rc<Self>,
        index: usize,
        served: Option<curlewcleat_standins::served::ServedHandler>,
    ) {
        let begun = Instant::now();
        let id = self.engines.borrow()[index].engine.id.clone();
        if let Some(served) = served {
            served.close().await;
        }
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        self.store.remove(SERVERS, &id);
        // Another fault may have replaced the engine in the meantime.
        if self.engines.borrow()[index].engine.id == id {
            if let Err(error) = self.replace_engine(index).await {
                self.record_failure(format!("engine {id} could not be replaced: {error}"));
            }
        }
        self.evidence.borrow_mut().faults.push((begun, Instant::now()));
    }
}
