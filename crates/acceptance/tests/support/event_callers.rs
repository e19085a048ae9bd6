//! Callers of event streams that keep their connections and take up their streams, and the check of each event.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::stream_engine::{
    number_step, StreamEvent, UNFRAMED_MARK, WIDE_MARK,
};
use curlewcleat_targets::{ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::event_streams::{EventFleet, StreamRoute, EVENTS};

/// Time that callers state, in milliseconds.
const TIME_LEFT_MS: &str = "6000";
/// Time without an event after which a caller gives its attempt up.
const GAP: Duration = Duration::from_millis(2_500);
/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 3;
/// Time for which a caller waits after a refusal.
const REFUSED_WAIT: Duration = Duration::from_millis(200);
/// What callers got.
#[derive(Debug, Default)]
pub struct StreamCounts {
    /// Streams that reached their end.
    pub whole: usize,
    /// Answers that were cut, and streams that were given up.
    pub cut: usize,
    /// Attempts that were refused or got no answer.
    pub refused: usize,
    /// Streams taken up that went on.
    pub taken_up: usize,
    /// Answers with events of several runs.
    pub moved: usize,
    /// Broken rules.
    pub faults: Vec<String>,
}

/// Callers that keep their connections and take up their streams.
pub struct EventCallers {
    counts: Rc<RefCell<StreamCounts>>,
    ended: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl EventCallers {
    /// Starts callers.
    pub fn start(fleet: &EventFleet, seed: u64, count: usize) -> EventCallers {
        let counts = Rc::new(RefCell::new(StreamCounts::default()));
        let ended = Rc::new(Cell::new(false));
        let daemons: Vec<String> =
            fleet.deployment.daemons.iter().map(|daemon| daemon.callers.clone()).collect();
        let tasks = (0..count).map(|number| {
            let caller = EventCaller {
                number,
                random: StdRng::seed_from_u64(seed << 32 | number as u64),
                daemons: daemons.clone(),
                connections: ConnectionPool::default(),
                counts: Rc::clone(&counts),
            };
            actix_rt::spawn(caller.run(Rc::clone(&ended)))
        });
        let tasks = tasks.collect();
        EventCallers { counts, ended, tasks }
    }

    /// Ends all callers after their streams and returns what they got.
    pub async fn close(self) -> StreamCounts {
        self.ended.set(true);
        for task in self.tasks {
            task.await.expect("a caller ended by itself");
        }
        self.counts.take()
    }
}

struct EventCaller {
    number: usize,
    random: StdRng,
    daemons: Vec<String>,
    connections: ConnectionPool,
    counts: Rc<RefCell<StreamCounts>>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptResult {
    Refused,
    Cut,
    Complete,
}

/// A stream over the attempts of its caller.
struct CallerStream {
    route: StreamRoute,
    path: String,
    begun_as: String,
    /// Its events so far.
    events: Vec<StreamEvent>,
}

impl EventCaller {
    async fn run(mut self, ended: Rc<Cell<bool>>) {
        for count in 0.. {
            if ended.get() {
                return;
            }
            self.stream(count).await;
            let pause = Duration::from_millis(self.random.random_range(0..30));
            tokio::time::sleep(pause).await;
        }
    }

    /// Gets a stream, and takes it up if it breaks off.
    async fn stream(&mut self, count: usize) {
        let route = *StreamRoute::ALL.choose(&mut self.random).unwrap_or(&StreamRoute::Resumed);
        let marks = ["", WIDE_MARK, UNFRAMED_MARK];
        let mark = marks.choose(&mut self.random).copied().unwrap_or_default();
        let path = format!("{}{}/a", route.prefix().trim_end_matches('/'), mark);
        let begun_as = format!("c{}-{count}", self.number);
        let mut stream = CallerStream { route, path, begun_as, events: Vec::new() };
        for number in 0..=TAKE_UPS {
            let attempt = match number {
                0 => stream.begun_as.clone(),
                _ => format!("{}-{number}", stream.begun_as),
            };
            let before = stream.events.len();
            let result = self.attempt(&attempt, &mut stream).await;
            self.record(&attempt, &stream, before, result);
            if result == AttemptResult::Refused {
                tokio::time::sleep(REFUSED_WAIT).await;
            }
            let is_begun = !stream.events.is_empty();
            if result == AttemptResult::Complete || !is_begun || !route.may_be_taken_up() {
                return;
            }
        }
    }

    /// Sends one attempt and adds the events that it brings.
    async fn attempt(&mut self, attempt: &str, stream: &mut CallerStream) -> AttemptResult {
        let daemon = self.daemons.choose(&mut self.random).cloned().unwrap_or_default();
        let mut head = fleet_head(&stream.path, attempt).expect("a valid head");
        let mut headers = vec![(WIRE_PROFILE.time_left, TIME_LEFT_MS.to_string())];
        if let Some(last) = stream.events.last() {
            headers.push((WIRE_PROFILE.last_event, last.number.to_string()));
            headers.push((WIRE_PROFILE.resumes, stream.begun_as.clone()));
        }
        for (name, value) in headers {
            let value = HeaderValue::from_str(&value).expect("a valid header");
            head.headers.insert(HeaderName::from_static(name), value);
        }
        let Ok(connection) = self.connections.connect(&daemon, Duration::from_secs(1)).await else {
            return AttemptResult::Refused;
        };
        let options = ExchangeOptions { allow_close_delimited: true, ..Default::default() };
        let exchange = connection.exchange_with(head, Bytes::from_static(b"prompt"), &options);
        let answer = match tokio::time::timeout(GAP * 3, exchange).await {
            Ok(Ok(answer)) if answer.head.status.is_success() => answer,
            _ => return AttemptResult::Refused,
        };
        let mut body = answer.body;
        let mut text = String::new();
        loop {
            let result = match tokio::time::timeout(GAP, body.next()).await {
                Ok(Some(Ok(part))) => {
                    text.push_str(&String::from_utf8_lossy(&part));
                    while let Some((event, rest)) = text.split_once("\n\n") {
                        match StreamEvent::read(event) {
                            Some(event) => stream.events.push(event),
                            None => self.fault(format!("{attempt}: no event: {event:?}")),
                        }
                        text = rest.to_string();
                    }
                    continue;
                }
                Ok(None) => AttemptResult::Complete,
                Ok(Some(Err(_))) | Err(_) => AttemptResult::Cut,
            };
            if result == AttemptResult::Complete && !text.is_empty() {
                self.fault(format!("{attempt}: complete within an event: {text:?}"));
            }
            return result;
        }
    }

    fn fault(&self, fault: String) {
        self.counts.borrow_mut().faults.push(fault);
    }

    /// Counts an attempt and checks its events.
    fn record(&self, attempt: &str, stream: &CallerStream, before: usize, result: AttemptResult) {
        let fresh = &stream.events[before..];
        let has_moved = fresh.windows(2).any(|two| two[0].run != two[1].run);
        {
            let mut counts = self.counts.borrow_mut();
            counts.moved += usize::from(has_moved);
            counts.taken_up += usize::from(before > 0 && !fresh.is_empty());
            match result {
                AttemptResult::Refused => counts.refused += 1,
                AttemptResult::Cut => counts.cut += 1,
                AttemptResult::Complete => counts.whole += 1,
            }
        }
        for fault in faults(stream, before, result) {
            let numbers: Vec<u64> = stream.events.iter().map(|event| event.number).collect();
            let (path, before) = (&stream.path, before);
            self.fault(format!("{attempt} {path} after {before} events: {fault}: {numbers:?}"));
        }
    }
}

/// Returns what is wrong with the events of an attempt.
fn faults(stream: &CallerStream, before: usize, result: AttemptResult) -> Vec<&'static str> {
    let step = number_step(&stream.path);
    let (all, fresh) = (&stream.events, &stream.events[before..]);
    let in_order = all.iter().zip(1..).all(|(event, index)| event.number == index * step);
    let one_run = fresh.windows(2).all(|two| two[0].run == two[1].run);
    let one_service =
        |events: &[StreamEvent]| events.windows(2).all(|two| two[0].service == two[1].service);
    let mut faults = Vec::new();
    if !in_order {
        faults.push("events missing, twice or out of order");
    }
    if all.iter().any(|event| event.stream != stream.begun_as) {
        faults.push("events of another stream");
    }
    if stream.route == StreamRoute::Plain && !one_run {
        faults.push("events of two runs");
    }
    if !one_service(fresh) || (stream.route.keeps_service() && !one_service(all)) {
        faults.push("events of two services");
    }
    if result == AttemptResult::Complete && all.len() as u64 != EVENTS {
        faults.push("complete before its end");
    }
    faults
}
