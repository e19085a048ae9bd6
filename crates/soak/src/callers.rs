//! Callers that send requests over persistent connections and record the outcomes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use curlewcleat_platform::example::{DEPOTS_KEY, DRIVERS_KEY, DRIVERS_SECOND_KEY};
use curlewcleat_targets::ConnectionPool;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::engines::EVENTS;
use crate::exchange::{exchange_until, request_body, CallHead};
use crate::streams::{broken_stream, TakenUp};
use crate::take_up::TakeUpPolicy;

pub use crate::call_records::{CallKind, CallOutcome, CallRecord};

/// Time after the stated timeout at which a caller stops waiting.
const CALLER_GRACE: Duration = Duration::from_millis(1_500);
/// Upper bound of the pause between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 40;

/// Restless callers leave one in this many streams that they begin.
const LEFT_STREAMS: u32 = 2;
/// Restless callers leave one in this many streams that they have taken up.
const LEFT_CONTINUATIONS: u32 = 4;
/// Range of the pause of a persistent caller before it takes up a stream, in milliseconds.
const TAKE_UP_PAUSE_MS: std::ops::Range<u64> = 0..700;

/// The callers of a run.
pub struct SoakCallers {
    /// Requests so far with their outcomes.
    pub records: Rc<RefCell<Vec<CallRecord>>>,
    ended: Rc<Cell<bool>>,
    is_settled: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl SoakCallers {
    /// Starts callers that send requests to daemons at these addresses, and handle streams that break off by a
    /// policy.
    pub fn start(seed: u64, count: usize, daemons: &[String], policy: TakeUpPolicy) -> SoakCallers {
        let records = Rc::new(RefCell::new(Vec::new()));
        let ended = Rc::new(Cell::new(false));
        let is_settled = Rc::new(Cell::new(false));
        let tasks = (0..count).map(|number| {
            let caller = SoakCaller {
                number,
                random: StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32),
                daemons: daemons.to_vec(),
                connections: ConnectionPool::default(),
                records: Rc::clone(&records),
                ended: Rc::clone(&ended),
                is_settled: Rc::clone(&is_settled),
                policy,
            };
            actix_rt::spawn(caller.run())
        });
        let tasks = tasks.collect();
        SoakCallers { records, ended, is_settled, tasks }
    }

    /// Makes restless callers read their answers to the end from now on, and drop streams that broke off before.
    pub fn settle(&self) {
        self.is_settled.set(true);
    }

    /// Stops all callers after their current requests and returns the records.
    pub async fn close(self) -> Vec<CallRecord> {
        self.ended.set(true);
        for task in self.tasks {
            // The records of a caller that panicked are incomplete.
            let _ = task.await;
        }
        self.records.take()
    }
}

struct SoakCaller {
    number: usize,
    random: StdRng,
    daemons: Vec<String>,
    connections: ConnectionPool,
    records: Rc<RefCell<Vec<CallRecord>>>,
    ended: Rc<Cell<bool>>,
    is_settled: Rc<Cell<bool>>,
    policy: TakeUpPolicy,
}

impl SoakCaller {
    async fn run(mut self) {
        let mut count = 0;
        while !self.ended.get() {
            count += 1;
            let attempt = format!("c{}-{count}", self.number);
            let record = self.call(attempt).await;
            let (broken, kind, key) = (broken_stream(&record), record.kind, record.key);
            self.records.borrow_mut().push(record);
            self.take_up(broken, kind, key).await;
            let pause = Duration::from_millis(self.random.random_range(0..PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Takes up a stream at drawn daemons until it is complete, or the attempts or the time are used up.
    async fn take_up(&mut self, mut broken: Option<TakenUp>, kind: CallKind, key: &'static str) {
        let was_settled = self.is_settled.get();
        for number in 1..=self.policy.attempts() {
            let Some(taken_up) = broken.take() else { return };
            if self.policy.is_persistent() {
                let pause = Duration::from_millis(self.random.random_range(TAKE_UP_PAUSE_MS));
                tokio::time::sleep(pause).await;
            }
            let is_dropped = self.is_settled.get() && !was_settled;
            if is_dropped || self.policy.time_left(Some(&taken_up)).is_zero() {
                return;
            }
            let attempt = format!("{}-{number}", taken_up.begun_as);
            let daemon = self.random.random_range(0..self.daemons.len());
            let record = self.call_with(daemon, attempt, kind, key, Some(taken_up)).await;
            broken = broken_stream(&record).or_else(|| self.retried(&record));
            self.records.borrow_mut().push(record);
        }
    }

    /// Returns the stream that a persistent caller tries to take up again after an attempt that did not go on.
    fn retried(&self, record: &CallRecord) -> Option<TakenUp> {
        let went_on = matches!(&record.outcome, CallOutcome::Answer { status: 200, .. });
        let is_retried = self.policy.is_persistent() && !went_on;
        record.taken_up.clone().filter(|_| is_retried)
    }

    async fn call(&mut self, attempt: String) -> CallRecord {
        let daemon = self.random.random_range(0..self.daemons.len());
        let prefers_streams = self.policy.prefers_streams();
        let kind = match prefers_streams && self.random.random_ratio(2, 3) {
            true => CallKind::ResumableStream,
            false => {
                self.policy.kinds().choose(&mut self.random).copied().unwrap_or(CallKind::Once)
            }
        };
        let keys = [DRIVERS_KEY, DRIVERS_SECOND_KEY, DEPOTS_KEY];
        let key = match kind {
            CallKind::Keyless => "",
            _ => keys.choose(&mut self.random).copied().unwrap_or(DRIVERS_KEY),
        };
        self.call_with(daemon, attempt, kind, key, None).await
    }

    async fn call_with(
        &mut self,
        daemon: usize,
        attempt: String,
        kind: CallKind,
        key: &'static str,
        taken_up: Option<TakenUp>,
    ) -> CallRecord {
        let sent = Instant::now();
        let time_left = self.policy.time_left(taken_up.as_ref());
        let head =
            CallHead { kind, key, attempt: &attempt, time_left, taken_up: taken_up.as_ref() };
        let leaves_after = self.draw_leave(kind, taken_up.as_ref());
        let address = &self.daemons[daemon];
        let exchange =
            exchange_until(&self.connections, address, head, request_body(&attempt), leaves_after);
        let outcome = match tokio::time::timeout(time_left + CALLER_GRACE, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::NoAnswer("the caller stopped waiting".to_string()),
        };
        let ended = Instant::now();
        // Callers state whole milliseconds.
        let deadline = sent + Duration::from_millis(time_left.as_millis() as u64);
        CallRecord { attempt, kind, key, daemon, sent, ended, outcome, taken_up, deadline }
    }

    /// Returns the number of events after which a caller leaves an answer, if it does. Most continuations are read to
    /// their end.
    fn draw_leave(&mut self, kind: CallKind, taken_up: Option<&TakenUp>) -> Option<u64> {
        let is_restless = self.policy.is_restless() && !self.is_settled.get();
        if !is_restless || !kind.is_resumable() {
            return None;
        }
        let ratio = if taken_up.is_some() { LEFT_CONTINUATIONS } else { LEFT_STREAMS };
        let events = self.random.random_range(1..kind.events().unwrap_or(EVENTS));
        self.random.random_ratio(1, ratio).then_some(events)
    }
}
