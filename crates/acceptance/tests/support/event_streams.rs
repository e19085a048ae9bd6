//! Callers of event streams before engines in processes of their own, and the check of each event.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::format::{Route, Split};
use curlewcleat_platform::names::{READY, WIRE_PROFILE};
use curlewcleat_standins::address::free_engine_address;
use curlewcleat_standins::deployment::{
    create_temp_folder, program_folder, spawn, wait_listening, ChildProcess,
};
use curlewcleat_standins::fleet::stream_engine::{
    number_step, StreamEvent, UNFRAMED_MARK, WIDE_MARK,
};
use curlewcleat_standins::fleet::{EngineEntry, FleetDeployment};
use curlewcleat_targets::{ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Events of a stream.
pub const EVENTS: u64 = 30;
/// Engines of each service.
const ENGINES: usize = 4;
const SERVICES: [&str; 2] = ["engines", "others"];
const SLOTS: u32 = 200;
/// Bounds under which every stream may be continued.
const BOUNDS: &str = "retry_saved = 100000\nretry_ratio = 10";
/// Time that callers state, in milliseconds.
const TIME_LEFT_MS: &str = "6000";
/// Time without an event after which a caller gives its attempt up.
const GAP: Duration = Duration::from_millis(2_500);
/// Time for which a caller waits after a refusal.
const REFUSED_WAIT: Duration = Duration::from_millis(200);
/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 3;

/// A kind of route, by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamRoute {
    /// Streams that may be taken up, of one service.
    Resumed,
    /// Streams that may not be taken up.
    Plain,
    /// Streams that may be taken up, of two services.
    Split,
    /// The same, whose service changes.
    Moving,
    /// Streams that may be taken up at times.
    Toggled,
}

impl StreamRoute {
    const ALL: [StreamRoute; 5] = [
        StreamRoute::Resumed,
        StreamRoute::Plain,
        StreamRoute::Split,
        StreamRoute::Moving,
        StreamRoute::Toggled,
    ];

    fn prefix(self) -> &'static str {
        match self {
            StreamRoute::Resumed => "/resumed/stream/",
            StreamRoute::Plain => "/plain/stream/",
            StreamRoute::Split => "/split/stream/",
            StreamRoute::Moving => "/moving/stream/",
            StreamRoute::Toggled => "/toggled/stream/",
        }
    }

    fn may_be_taken_up(self) -> bool {
        !matches!(self, StreamRoute::Plain)
    }

    /// Returns whether all attempts of a stream reach the same service.
    fn keeps_service(self) -> bool {
        !matches!(self, StreamRoute::Moving)
    }
}

/// Daemons before engines in processes of their own.
pub struct EventFleet {
    pub deployment: FleetDeployment,
    pub engines: Vec<ChildProcess>,
}

impl EventFleet {
    /// Starts engines of two services and three daemons.
    pub async fn start(name: &str) -> Result<EventFleet> {
        let mut deployment = FleetDeployment::start(name).await?;
        add_routes(&mut deployment);
        deployment.store_config()?;
        let folder = create_temp_folder(&format!("engines-{name}"))?;
        let mut engines = Vec::new();
        for (index, service) in SERVICES.iter().cycle().take(ENGINES * SERVICES.len()).enumerate() {
            let (id, address) = (format!("e-{index}"), free_engine_address()?);
            let events = EVENTS.to_string();
            let options =
                ["--address", &address, "--id", &id, "--service", service, "--events", &events];
            let program = program_folder()?.join("standin");
            engines.push(spawn(&program, "stream-engine", &address, &folder, &id, &options)?);
            wait_listening(&address).await?;
            let entry = EngineEntry {
                backend: service,
                address: &address,
                zone: "here",
                slots: SLOTS,
                state: READY,
                version: Some("v1"),
                born: Some(index as u64 + 1),
            };
            deployment.store.write_entry(&id, entry)?;
        }
        deployment.daemons(3, BOUNDS).await?;
        deployment.wait_for_all_peers().await?;
        Ok(EventFleet { deployment, engines })
    }

    /// Sends a signal to engines.
    pub fn signal(&self, engines: &[usize], name: &str) -> Result<()> {
        engines.iter().try_for_each(|index| self.engines[*index].signal(name))
    }

    /// Changes one property of the configuration that streams depend on.
    pub fn change_config(&mut self, random: &mut StdRng) -> Result<()> {
        let config = &mut self.deployment.config;
        let flip = |value: &mut Option<f64>, one: f64, other: f64| {
            *value = Some(if *value == Some(one) { other } else { one });
        };
        match random.random_range(0..6) {
            0 => flip(&mut config.limits.idle_timeout_ms, 5_000.0, 1_000.0),
            1 => config
                .routes
                .iter_mut()
                .for_each(|route| flip(&mut route.timeout_ms, 6_000.0, 5_000.0)),
            2 => config
                .routes
                .iter_mut()
                .for_each(|route| flip(&mut route.target_latency_ms, 200.0, 400.0)),
            3 => {
                let route = route_mut(config, "moving-stream");
                let moved = if route.backend.as_deref() == Some(SERVICES[0]) { 1 } else { 0 };
                route.backend = Some(SERVICES[moved].to_string());
            }
            4 => {
                let route = route_mut(config, "toggled-stream");
                route.stream_resume = !route.stream_resume;
            }
            _ => config.routes.iter_mut().for_each(|route| {
                route.max_attempts = Some(if route.max_attempts == Some(3) { 5 } else { 3 })
            }),
        }
        self.deployment.store_config()
    }
}

fn route_mut<'c>(
    config: &'c mut curlewcleat_platform::format::Config,
    name: &str,
) -> &'c mut Route {
    config.routes.iter_mut().find(|route| route.name == name).expect("a route of the test")
}

/// Adds a service, and the routes that the example does not have.
fn add_routes(deployment: &mut FleetDeployment) {
    let config = &mut deployment.config;
    let engines = config.services.iter().find(|service| service.name == SERVICES[0]);
    let mut others = engines.expect("the service of the example").clone();
    others.name = SERVICES[1].to_string();
    config.services.push(others);
    for service in &mut config.services {
        service.max_connections = Some(2_000);
        service.engine = service.engine.take().map(|_| serde_json::json!({ "slots": SLOTS }));
    }
    let resumed = route_mut(config, "resumed-stream").clone();
    for (name, prefix) in [
        ("split-stream", StreamRoute::Split.prefix()),
        ("moving-stream", StreamRoute::Moving.prefix()),
        ("toggled-stream", StreamRoute::Toggled.prefix()),
    ] {
        let (name, path_prefix) = (name.to_string(), prefix.to_string());
        config.routes.push(Route { name, path_prefix, ..resumed.clone() });
    }
    let share = |backend: &str, weight| Split { backend: backend.to_string(), weight };
    route_mut(config, "split-stream").traffic_split =
        vec![share(SERVICES[0], 60.0), share(SERVICES[1], 40.0)];
    for route in &mut config.routes {
        route.timeout_ms = Some(6_000.0);
        route.target_latency_ms = Some(200.0);
        route.max_attempts = Some(5);
    }
}

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
