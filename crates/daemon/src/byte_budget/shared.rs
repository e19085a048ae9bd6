//! Shares the ledger between the threads and tasks of the daemon.
//!
//! Decides nothing; applies what [`ByteLedger`] decides: wakes the connection that has to end, notifies bodies that wait,
//! and logs changes of the level.
//!
//! Owns: the ledger, what is needed to end each connection. Relies on: short locks; nothing is awaited under them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::RequestId;
use curlewcleat_targets::{AnswerIntake, ExcessLimit};
use spdlog::prelude::*;
use tokio::sync::watch;

use super::hold::ByteHold;
use super::ledger::{BodyDecision, BodyOffer, ByteLedger, DecisionCounts};
use super::levels::{ByteOwner, PressureLevel};
use super::readers::ReaderId;

/// Shortest time between two log lines about the level.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two searches for readers that have to end while nothing more is held.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What is held and decided at a moment.
#[derive(Clone, Debug)]
pub struct BudgetStatus {
    /// Budget in bytes.
    pub budget: u64,
    /// All bytes held.
    pub total: u64,
    /// Bytes held by owner.
    pub held: Vec<(ByteOwner, u64)>,
    /// Level in force.
    pub level: PressureLevel,
    /// Counts of decisions.
    pub counts: DecisionCounts,
}

/// What is needed to end a connection.
#[derive(Default)]
pub(super) struct ReaderLink {
    /// Set once the connection has to end.
    pub ended: Arc<AtomicBool>,
    /// Wakes the task that writes to the connection.
    pub waker: Option<Waker>,
    /// Latest request on the connection.
    pub request: Option<RequestId>,
}

/// The state under the lock.
pub(super) struct BudgetState {
    pub ledger: ByteLedger,
    pub links: BTreeMap<ReaderId, ReaderLink>,
    next_reader: ReaderId,
    logged: Option<Moment>,
    logged_level: PressureLevel,
}

/// The byte budget of a daemon.
#[derive(Clone)]
pub struct SharedBudget {
    state: Arc<Mutex<BudgetState>>,
    level: Arc<watch::Sender<PressureLevel>>,
}

impl SharedBudget {
    /// Creates the budget of a VM with this much memory in bytes.
    pub fn new(memory_limit: u64) -> SharedBudget {
        let state = BudgetState {
            ledger: ByteLedger::new(memory_limit),
            links: BTreeMap::new(),
            next_reader: 0,
            logged: None,
            logged_level: PressureLevel::Calm,
        };
        let level = Arc::new(watch::Sender::new(PressureLevel::Calm));
        SharedBudget { state: Arc::new(Mutex::new(state)), level }
    }

    /// Holds bytes until the guard is closed or dropped.
    pub fn hold(&self, owner: ByteOwner, bytes: u64) -> ByteHold {
        self.add(owner, bytes);
        ByteHold::new(self.clone(), owner, bytes)
    }

    /// Decides about a body, and holds its uncounted bytes if it is read.
    pub fn offer_body(&self, offer: BodyOffer) -> Result<ByteHold, BodyDecision> {
        let decision = self.lock().ledger.decide_body(offer);
        match decision {
            BodyDecision::Read => Ok(self.hold(ByteOwner::Body, offer.uncounted)),
            BodyDecision::Wait | BodyDecision::Refuse => Err(decision),
        }
    }

    /// Counts a body that has to wait.
    pub fn count_paused_body(&self) {
        self.lock().ledger.counts.bodies_paused += 1;
    }

    /// Decides about further bytes of a body that is being read, and holds them unless the body is refused.
    pub fn grow_body(&self, held: &mut ByteHold, offer: BodyOffer) -> BodyDecision {
        let decision = self.lock().ledger.decide_body(offer);
        if decision != BodyDecision::Refuse {
            held.grow(offer.uncounted);
        }
        decision
    }

    /// Counts a body that was refused because it had waited too long.
    pub fn count_refused_body(&self) {
        self.lock().ledger.counts.bodies_refused += 1;
    }

    /// Returns a receiver that is notified when the level changes from now on.
    pub fn level_changes(&self) -> watch::Receiver<PressureLevel> {
        self.level.subscribe()
    }

    /// Ends readers that have waited long enough, as long as the level requires it. Waits without a timer at other levels.
    pub async fn end_waiting_readers(self) {
        let mut level = self.level_changes();
        loop {
            if *level.borrow_and_update() < PressureLevel::Ending {
                // The sender lives as long as this budget.
                let _ = level.changed().await;
                continue;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = Moment::now();
            let mut state = self.lock();
            let ended = state.ledger.end_readers(now);
            state.end_readers(now, &ended);
        }
    }

    /// Returns how many bytes of one answer may wait for its caller.
    pub fn answer_bound(&self) -> u64 {
        self.lock().ledger.answer_bound()
    }

    /// Returns when a refused body of this size may be accepted.
    pub fn retry_after(&self, size: u64) -> Duration {
        self.lock().ledger.retry_after(Moment::now(), size)
    }

    /// Returns what is held and decided.
    pub fn status(&self) -> BudgetStatus {
        let ledger = &self.lock().ledger;
        BudgetStatus {
            budget: ledger.budget(),
            total: ledger.total(),
            held: ByteOwner::ALL.map(|owner| (owner, ledger.held(owner))).to_vec(),
            level: ledger.level(),
            counts: ledger.counts,
        }
    }

    /// Returns the state. A thread that panicked under the lock leaves sums that are off by one change at most.
    pub(super) fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts bytes that a guard holds from now on.
    pub(super) fn add(&self, owner: ByteOwner, bytes: u64) {
        let now = Moment::now();
        let mut state = self.lock();
        let ended = state.ledger.add(now, owner, bytes);
        state.end_readers(now, &ended);
        self.publish_level(now, state);
    }

    /// Counts bytes that a guard no longer holds.
    pub(super) fn remove(&self, owner: ByteOwner, bytes: u64) {
        let now = Moment::now();
        let mut state = self.lock();
        state.ledger.remove(now, owner, bytes);
        self.publish_level(now, state);
    }

    /// Notifies bodies that wait, and logs the level if it was logged otherwise.
    fn publish_level(&self, now: Moment, mut state: MutexGuard<'_, BudgetState>) {
        let level = state.ledger.level();
        self.level.send_if_modified(|current| std::mem::replace(current, level) != level);
        state.log_level(now);
    }
}

impl AnswerIntake for SharedBudget {
    fn resize(&self, address: &str, before: u64, held: u64) -> Result<(), ExcessLimit> {
        let now = Moment::now();
        let mut state = self.lock();
        let ended = state.ledger.resize_intake(now, address, before, held)?;
        state.end_readers(now, &ended);
        self.publish_level(now, state);
        Ok(())
    }
}

impl BudgetState {
    /// Adds a connection.
    pub fn open_reader(&mut self) -> (ReaderId, Arc<AtomicBool>) {
        let reader = self.next_reader;
        self.next_reader += 1;
        let link = ReaderLink::default();
        let ended = Arc::clone(&link.ended);
        self.links.insert(reader, link);
        (reader, ended)
    }

    /// Ends connections of which the budget needs the memory.
    fn end_readers(&mut self, now: Moment, readers: &[ReaderId]) {
        for reader in readers {
            self.end_reader(now, *reader, "memory");
        }
    }

    /// Ends a connection: its next write fails, and the task that writes to it is woken.
    pub fn end_reader(&mut self, now: Moment, reader: ReaderId, reason: &str) {
        let (total, budget) = (self.ledger.total(), self.ledger.budget());
        let Some(link) = self.links.get_mut(&reader) else { return };
        link.ended.store(true, Ordering::Relaxed);
        if let Some(waker) = link.waker.take() {
            waker.wake();
        }
        // Between two requests the connection has none.
        let request = link.request.map(|request| request.to_string()).unwrap_or_default();
        // A reader that has left in the meantime shows no progress.
        let (waited, accepted) = self.ledger.readers().progress(now, reader).unwrap_or_default();
        warn!("reader_ended", kv: {
            request, reason, waited_ms = waited.as_millis() as i64, accepted_bytes = accepted,
            held_bytes = total, budget_bytes = budget
        });
    }

    /// Logs the level if it differs from the last one that was logged. A level that holds only between two lines is not
    /// logged; the line `daemon_usage` states the level as well.
    fn log_level(&mut self, now: Moment) {
        let level = self.ledger.level();
        let is_recent = |logged: Moment| now.saturating_duration_since(logged) < LOG_INTERVAL;
        if level == self.logged_level || self.logged.is_some_and(is_recent) {
            return;
        }
        let previous = std::mem::replace(&mut self.logged_level, level);
        self.logged = Some(now);
        info!("memory_pressure", kv: {
            level = level.code(), previous = previous.code(), held_bytes = self.ledger.total(),
            budget_bytes = self.ledger.budget(), readers_waiting = self.ledger.readers().len()
        });
    }
}
