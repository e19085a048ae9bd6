//! A request under which engines end, sent again and again to all daemons.
//!
//! Owns: its body, its callers, and what becomes of the engines. Relies on: `SoakFleet` for their places.

use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_platform::example::DRIVERS_KEY;
use curlewcleat_platform::names::SERVERS;
use curlewcleat_standins::fleet::{FleetEngine, LethalBody};
use curlewcleat_targets::ConnectionPool;

use crate::callers::{exchange_as, CallKind};
use crate::fleet::SoakFleet;

/// Its body.
pub const LETHAL: &[u8] = b"ends its engine";
/// Time after the end of an engine at which its entry lapses and another one has started: shorter than engines need,
/// so that more of them can end.
const LAPSE: Duration = Duration::from_millis(400);
/// Copies that are sent at the same time: callers that repeat at once.
const COPIES: usize = 2;
/// Time between two rounds.
const PAUSE: Duration = Duration::from_millis(60);
/// Time between looks at the engines.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// What tells that an engine's process has ended.
pub type EndedFlag = Rc<std::cell::Cell<bool>>;

/// From now on an engine ends once it begins to run the request.
pub fn arm(engine: &FleetEngine, ended: &EndedFlag) {
    let ended = Rc::clone(ended);
    engine.set_lethal(LethalBody { body: LETHAL.to_vec(), end: Box::new(move || ended.set(true)) });
}

impl SoakFleet {
    /// The request comes again and again, each copy to the next daemon.
    pub async fn send_lethal(&self, time: Duration) {
        let until = Instant::now() + time;
        let mut daemons = self.daemons.iter().cycle();
        while Instant::now() < until {
            let copies = daemons.by_ref().take(COPIES).map(|daemon| async {
                let connections = ConnectionPool::default();
                // Whatever it gets, it comes again.
                let _ = exchange_as(
                    &connections,
                    &daemon.callers,
                    CallKind::Plain,
                    (DRIVERS_KEY, "lethal"),
                    LETHAL.into(),
                )
                .await;
            });
            futures_util::future::join_all(copies).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Puts another engine in the place of each that ends, once its entry has lapsed.
    pub async fn watch_engines(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let ended = self.engines.borrow().iter().position(|slot| slot.ended.take());
            if let Some(index) = ended {
                let served = self.engines.borrow_mut()[index].served.take();
                actix_rt::spawn(Rc::clone(&self).replace_ended(index, served));
            }
        }
    }

    async fn replace_ended(
        self: Rc<Self>,
        index: usize,
        served: Option<curlewcleat_standins::served::ServedHandler>,
    ) {
        let begun = Instant::now();
        let id = self.engines.borrow()[index].engine.id.clone();
        if let Some(served) = served {
            served.close().await;
        }
        tokio::time::sleep(LAPSE).await;
        self.store.remove(SERVERS, &id);
        // Another fault may have put an engine there meanwhile.
        if self.engines.borrow()[index].engine.id == id {
            if let Err(error) = self.replace_engine(index).await {
                self.note_exit(format!("no engine in the place of {id}: {error}"));
            }
        }
        self.evidence.borrow_mut().faults.push((begun, Instant::now()));
    }
}
