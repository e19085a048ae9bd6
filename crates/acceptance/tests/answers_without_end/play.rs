//! One daemon on a small VM before engines that send bytes without end, beside a client with sound requests.
//!
//! Owns: the processes of a play. Relies on: stand-ins for the engines and the store.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::format::{Route, Service};
use curlewcleat_platform::names::{READY, SAFE, STREAMING};
use curlewcleat_standins::address::free_engine_address;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::endless_engine::{EndlessEngines, EndlessForm};
use curlewcleat_standins::fleet::FleetDeployment;

use super::caller::{CallEnd, CallerGroup};
use super::resident_peak::ResidentPeak;
use super::sound_load::{SoundLoad, RECORD, STREAM};
use super::support::{call, CallerResult};

const FAULTY_RECORD: &str = "/faulty/a";
const FAULTY_STREAM: &str = "/faulty/stream/a";
const FAULTY_ENGINES: usize = 4;
/// Slots of a faulty engine; all callers find one.
const FAULTY_SLOTS: u32 = 60;
/// Deadline of the faulty requests.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after a deadline within which a daemon ends an answer.
const END_SLACK: Duration = Duration::from_millis(250);
/// Time of the sound requests before the engines turn faulty.
const BEFORE: Duration = Duration::from_millis(600);
/// Statuses by which a daemon states that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A play of one form.
#[derive(Clone)]
pub struct EndlessPlay {
    pub form: EndlessForm,
    pub streams: bool,
    pub callers: usize,
    pub reads: bool,
    pub memory_mb: u64,
}

/// What was observed in a play.
pub struct PlayResult {
    play: EndlessPlay,
    peak: u64,
    process_ended: Option<i32>,
    sent: u64,
    open: usize,
    ends: Vec<CallEnd>,
    refused_runs: usize,
    closed_runs: usize,
    before: Vec<CallerResult>,
    sound_closed: usize,
    sound_closed_runs: usize,
    beside: Vec<CallerResult>,
}

impl EndlessPlay {
    /// Plays the form.
    pub async fn run(self) -> Result<PlayResult> {
        let name = format!("endless-{}", self.form.name);
        let (mut fleet, engines) = self.start(&name).await?;
        let entry = fleet.daemons[0].callers.clone();
        let (mut before, mut beside) = (SoundLoad::default(), SoundLoad::default());
        before.send_for(&entry, "before", BEFORE).await;
        let observer = ResidentPeak::start(fleet.daemons[0].process.id());
        engines.switch.set_form(Some(self.form.clone()));
        let callers = self.callers_at(&entry).start();
        while !callers.is_finished() {
            beside.send_for(&entry, "beside", BEFORE / 6).await;
        }
        let ends = callers.join().map_err(|_| anyhow::anyhow!("the callers panicked"))??;
        tokio::time::sleep(END_SLACK).await;
        let open = engines.switch.open_answers();
        let peak = observer.close();
        let runs = engines.switch.runs();
        let (refused_runs, closed_runs) = (refused_runs(&ends, &runs), closed_runs(&ends, &runs));
        let process_ended = fleet.daemons[0].process.ended();
        let sent = engines.switch.sent_bytes();
        fleet.daemons[0].process.kill();
        engines.close()?;
        Ok(PlayResult {
            play: self,
            peak,
            process_ended,
            sent,
            open,
            ends,
            refused_runs,
            closed_runs,
            before: before.results,
            sound_closed_runs: runs_of(&fleet, &beside.closed),
            sound_closed: beside.closed.len(),
            beside: beside.results,
        })
    }

    fn callers_at(&self, entry: &str) -> CallerGroup {
        let path = if self.streams { FAULTY_STREAM } else { FAULTY_RECORD };
        CallerGroup {
            entry: entry.to_string(),
            path: path.to_string(),
            callers: self.callers,
            reads: self.reads,
            deadline: DEADLINE,
        }
    }

    async fn start(&self, name: &str) -> Result<(FleetDeployment, EndlessEngines)> {
        let mut fleet = FleetDeployment::start(name).await?;
        add_faulty_service(&mut fleet);
        fleet.store_config()?;
        fleet.engine("records", 0, Duration::from_millis(10)).await?;
        fleet.engine("engines", 3, Duration::from_millis(5)).await?;
        let mut faulty = Vec::new();
        for number in 0..FAULTY_ENGINES {
            faulty.push((format!("faulty-{number}"), free_engine_address()?));
        }
        let engines = EndlessEngines::start(faulty.clone()).await?;
        for (id, address) in &faulty {
            fleet.store.announce(id, "faulty", address, FAULTY_SLOTS, READY)?;
        }
        fleet.vm_settings = format!("memory_limit = {}MB\n", self.memory_mb);
        fleet.daemons(1, "").await?;
        let daemon = &fleet.daemons[0];
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
        for path in [RECORD, STREAM, FAULTY_RECORD, FAULTY_STREAM] {
            wait_until("served", || async {
                call(&daemon.callers, path, "warm").await.is_ok_and(|result| result.status == 200)
            })
            .await?;
        }
        Ok((fleet, engines))
    }
}

/// Returns how many requests ran although their answers state that they did not.
fn refused_runs(ends: &[CallEnd], runs: &BTreeSet<String>) -> usize {
    let states_not_run =
        |end: &&CallEnd| end.status.is_some_and(|status| NOT_RUN.contains(&status));
    ends.iter().filter(states_not_run).filter(|end| runs.contains(&end.attempt)).count()
}

/// Returns how many requests ran whose connections closed before a status.
fn closed_runs(ends: &[CallEnd], runs: &BTreeSet<String>) -> usize {
    ends.iter().filter(|end| end.status.is_none() && runs.contains(&end.attempt)).count()
}

/// Returns how many of these attempts ran at a sound engine.
fn runs_of(fleet: &FleetDeployment, attempts: &[String]) -> usize {
    let runs: Vec<_> = fleet.engines.iter().flat_map(|engine| engine.runs()).collect();
    attempts.iter().filter(|attempt| runs.iter().any(|run| run.attempt == **attempt)).count()
}

fn add_faulty_service(fleet: &mut FleetDeployment) {
    let template = fleet.config.routes[0].clone();
    let route = |name: &str, path: &str, kind: &str| Route {
        name: name.to_string(),
        path_prefix: path.to_string(),
        kind: kind.to_string(),
        backend: Some("faulty".to_string()),
        ..template.clone()
    };
    let streams =
        Route { stream_resume: true, ..route("faulty-stream", "/faulty/stream/", STREAMING) };
    fleet.config.routes.extend([route("faulty", "/faulty/", SAFE), streams]);
    fleet.config.services.push(Service {
        name: "faulty".to_string(),
        max_connections: Some(1_000),
        engine: Some(serde_json::json!({ "slots": FAULTY_SLOTS })),
        ..Service::default()
    });
}

impl PlayResult {
    /// Returns what the play breaks.
    pub fn faults(&self) -> Vec<String> {
        let may_be_whole = self.play.form.may_be_whole();
        let is_whole = |end: &&CallEnd| end.status == Some(200) && end.whole;
        let late = |end: &&CallEnd| {
            self.play.reads && end.elapsed.is_none_or(|time| time > DEADLINE + END_SLACK)
        };
        let whole = self.ends.iter().filter(is_whole).count();
        // A request whose connection is closed before it ran is sent again by its client.
        let closed = self.ends.iter().filter(|end| end.status.is_none()).count();
        let unread = closed - self.closed_runs;
        let unserved = self.beside.iter().filter(|result| result.status != 200).count();
        let limit = self.play.memory_mb << 20;
        let checks = [
            ("process ended", usize::from(self.process_ended.is_some())),
            ("memory beyond the limit", usize::from(self.peak >= limit)),
            ("not ended at the deadline", self.ends.iter().filter(late).count()),
            // Bytes behind a whole answer wait on an idle connection, which nobody reads.
            ("kept open at an engine", if may_be_whole { 0 } else { self.open }),
            ("whole", if may_be_whole { 0 } else { whole }),
            (
                "sound and not whole",
                if may_be_whole { self.ends.len() - whole - unread } else { 0 },
            ),
            ("ran and stated as not run", self.refused_runs),
            ("sound requests not served", unserved),
            ("sound requests closed after they ran", self.sound_closed_runs),
            ("no sound requests", usize::from(self.beside.is_empty())),
        ];
        let broken = checks.iter().filter(|(_, count)| *count > 0);
        broken.map(|(check, count)| format!("{check}: {count}")).collect()
    }

    fn sound_statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for result in &self.beside {
            *statuses.entry(result.status).or_default() += 1;
        }
        statuses
    }

    fn statuses(&self) -> BTreeMap<String, usize> {
        let mut statuses = BTreeMap::new();
        for end in &self.ends {
            let status = end.status.map_or("closed".to_string(), |status| status.to_string());
            let suffix = if end.status.is_some() && !end.whole { " cut" } else { "" };
            *statuses.entry(status + suffix).or_default() += 1;
        }
        statuses
    }
}

/// Returns median and maximum in milliseconds.
fn median_and_max(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    match (times.get(times.len() / 2), times.last()) {
        (Some(median), Some(max)) => format!("{}/{}", median.as_millis(), max.as_millis()),
        _ => "-".to_string(),
    }
}

impl fmt::Display for PlayResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let times = |results: &[CallerResult]| {
            median_and_max(results.iter().map(|result| result.elapsed).collect())
        };
        let play = &self.play;
        write!(
            f,
            "{} {} {} callers {}, {} MB: peak {} MB, sent {} MB, ends {} ms {:?} (closed and ran: {}), sound {:?} (closed unread: {}) {} ms \
             (before {}), {}",
            play.form.name,
            if play.streams { "stream" } else { "record" },
            play.callers,
            if play.reads { "read" } else { "don't read" },
            play.memory_mb,
            self.peak >> 20,
            self.sent >> 20,
            median_and_max(self.ends.iter().filter_map(|end| end.elapsed).collect()),
            self.statuses(),
            self.closed_runs,
            self.sound_statuses(),
            self.sound_closed - self.sound_closed_runs,
            times(&self.beside),
            times(&self.before),
            match self.faults().join(", ") {
                faults if faults.is_empty() => "holds".to_string(),
                faults => format!("BROKEN: {faults}"),
            }
        )
    }
}
