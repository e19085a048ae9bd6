//! Callers that read event streams by their rules, and take them up behind the last `id` that they have.
//!
//! Owns: the streams of its callers. Relies on: daemons that stay where they are.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::stated_events;
use curlewcleat_targets::{ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::caller_events::{read_events, CallerEvent};
use crate::support::event_streams::{EventFleet, StreamRoute, EVENTS};

/// Time that callers state, in milliseconds.
const TIME_LEFT_MS: &str = "6000";
/// Time without bytes after which a caller gives its attempt up.
const GAP: Duration = Duration::from_millis(2_500);
/// Time for which a caller waits after a refusal.
const REFUSED_WAIT: Duration = Duration::from_millis(200);
/// Streams that may be taken up, of which the caller leaves one answer.
const LEAVES_ONE_IN: u32 = 6;
/// Most parts of an answer that a caller leaves.
const MAX_PARTS_LEFT: usize = 60;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Refused,
    Cut,
    Complete,
}

/// An attempt that got an answer.
#[derive(Clone, Copy, Debug)]
pub struct PlayedAttempt {
    /// Events of the stream once it had ended.
    pub events: usize,
    pub result: AttemptResult,
    pub began: Instant,
    pub ended: Instant,
}

/// A stream over the attempts of its caller.
#[derive(Debug)]
pub struct PlayedStream {
    pub route: StreamRoute,
    pub path: String,
    pub begun_as: String,
    pub events: Vec<CallerEvent>,
    pub attempts: Vec<PlayedAttempt>,
}

impl PlayedStream {
    pub fn is_complete(&self) -> bool {
        self.attempts.last().is_some_and(|last| last.result == AttemptResult::Complete)
    }

    /// Returns the number of events of the whole stream.
    pub fn all_events(&self) -> u64 {
        stated_events(&self.path).unwrap_or(EVENTS)
    }

    /// Returns the `id` behind which the caller takes the stream up.
    fn last_id(&self) -> Option<&String> {
        self.events.iter().rev().find_map(|event| event.id.as_ref())
    }
}

/// Callers that take up their streams.
pub struct DamageCallers {
    played: Rc<RefCell<Vec<PlayedStream>>>,
    ended: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl DamageCallers {
    /// Starts callers.
    pub fn start(
        fleet: &EventFleet,
        routes: &[StreamRoute],
        marks: &'static [&'static str],
        seed: u64,
        count: usize,
        take_ups: usize,
    ) -> DamageCallers {
        let played = Rc::new(RefCell::new(Vec::new()));
        let ended = Rc::new(Cell::new(false));
        let daemons: Vec<String> =
            fleet.deployment.daemons.iter().map(|daemon| daemon.callers.clone()).collect();
        let tasks = (0..count).map(|number| {
            let caller = DamageCaller {
                number,
                random: StdRng::seed_from_u64(seed << 32 | number as u64),
                daemons: daemons.clone(),
                routes: routes.to_vec(),
                marks,
                take_ups,
                connections: ConnectionPool::default(),
                played: Rc::clone(&played),
            };
            actix_rt::spawn(caller.run(Rc::clone(&ended)))
        });
        let tasks = tasks.collect();
        DamageCallers { played, ended, tasks }
    }

    /// Returns the number of streams that have ended.
    pub fn streams(&self) -> usize {
        self.played.borrow().len()
    }

    /// Ends all callers after their streams and returns these.
    pub async fn close(self) -> Vec<PlayedStream> {
        self.ended.set(true);
        for task in self.tasks {
            task.await.expect("a caller ended by itself");
        }
        self.played.take()
    }
}

struct DamageCaller {
    number: usize,
    random: StdRng,
    daemons: Vec<String>,
    /// Routes of the streams.
    routes: Vec<StreamRoute>,
    /// Marks of the paths, which choose the framing of the answers.
    marks: &'static [&'static str],
    /// Most attempts at which a caller takes up a stream.
    take_ups: usize,
    connections: ConnectionPool,
    played: Rc<RefCell<Vec<PlayedStream>>>,
}

impl DamageCaller {
    async fn run(mut self, ended: Rc<Cell<bool>>) {
        for count in 0.. {
            if ended.get() {
                return;
            }
            let stream = self.stream(count).await;
            self.played.borrow_mut().push(stream);
            let pause = Duration::from_millis(self.random.random_range(0..30));
            tokio::time::sleep(pause).await;
        }
    }

    /// Gets a stream, and takes it up if it breaks off.
    async fn stream(&mut self, count: usize) -> PlayedStream {
        let route = *self.routes.choose(&mut self.random).unwrap_or(&StreamRoute::Resumed);
        let mark = self.marks.choose(&mut self.random).copied().unwrap_or_default();
        let path = format!("{}{mark}/a", route.prefix().trim_end_matches('/'));
        let begun_as = format!("c{}-{count}", self.number);
        let (events, attempts) = (Vec::new(), Vec::new());
        let mut stream = PlayedStream { route, path, begun_as, events, attempts };
        let leaves = route.may_be_taken_up() && self.random.random_ratio(1, LEAVES_ONE_IN);
        for number in 0..=self.take_ups {
            let max_parts = match leaves && number == 0 {
                true => self.random.random_range(1..=MAX_PARTS_LEFT),
                false => usize::MAX,
            };
            let began = Instant::now();
            let result = self.attempt(number, max_parts, &mut stream).await;
            let events = stream.events.len();
            let ended = Instant::now();
            stream.attempts.push(PlayedAttempt { events, result, began, ended });
            if result == AttemptResult::Refused {
                tokio::time::sleep(REFUSED_WAIT).await;
            }
            if result == AttemptResult::Complete || events == 0 || !route.may_be_taken_up() {
                break;
            }
        }
        stream
    }

    /// Sends one attempt and adds the events that it brings, of this many parts at most.
    async fn attempt(
        &mut self,
        number: usize,
        max_parts: usize,
        stream: &mut PlayedStream,
    ) -> AttemptResult {
        let daemon = self.daemons.choose(&mut self.random).cloned().unwrap_or_default();
        let Ok(connection) = self.connections.connect(&daemon, Duration::from_secs(1)).await else {
            return AttemptResult::Refused;
        };
        let options = ExchangeOptions { allow_close_delimited: true, ..Default::default() };
        let head = request_head(number, stream);
        // A prompt that several engines died of would be refused.
        let prompt = Bytes::from(format!("prompt {}", stream.begun_as));
        let exchange = connection.exchange_with(head, prompt, &options);
        let mut body = match tokio::time::timeout(GAP * 3, exchange).await {
            Ok(Ok(answer)) if answer.head.status.is_success() => answer.body,
            _ => return AttemptResult::Refused,
        };
        let mut bytes = Vec::new();
        let mut result = AttemptResult::Cut;
        for _ in 0..max_parts {
            match tokio::time::timeout(GAP, body.next()).await {
                Ok(Some(Ok(part))) => bytes.extend_from_slice(&part),
                Ok(None) => {
                    result = AttemptResult::Complete;
                    break;
                }
                Ok(Some(Err(_))) | Err(_) => break,
            }
        }
        stream.events.extend(read_events(&bytes));
        result
    }
}

fn request_head(number: usize, stream: &PlayedStream) -> actix_http::RequestHead {
    let attempt = match number {
        0 => stream.begun_as.clone(),
        _ => format!("{}-{number}", stream.begun_as),
    };
    let mut head = fleet_head(&stream.path, &attempt).expect("a valid head");
    let mut headers = vec![(WIRE_PROFILE.time_left, TIME_LEFT_MS.to_string())];
    if let Some(last) = stream.last_id() {
        headers.push((WIRE_PROFILE.last_event, last.clone()));
        headers.push((WIRE_PROFILE.resumes, stream.begun_as.clone()));
    }
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a valid header");
        head.headers.insert(HeaderName::from_static(name), value);
    }
    head
}
