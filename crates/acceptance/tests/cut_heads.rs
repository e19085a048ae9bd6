//! Targets that stop at any byte of their answer, also within its head, and heads that contradict themselves.
//!
//! Guards against an answer with status 200 and an empty or short body that is framed as complete.

#[path = "cut_heads/caller.rs"]
mod caller;
#[path = "cut_heads/cases.rs"]
mod cases;
#[path = "cut_heads/target.rs"]
mod target;

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, ensure, Result};
use curlewcleat_platform::names::READY;
use curlewcleat_standins::deployment::get_text;
use curlewcleat_standins::fleet::{EngineLinkFault, FleetDeployment};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rstest::rstest;

use caller::{AnswerEnd, CallerConnection, Received};
use cases::{CutCase, Marking, PATHS};
use support::wait_served;
use target::{start_target, whole_body, Scripts};

/// Variable in which the system's loader expects additional libraries.
const LOADER_VARIABLE: &str = "LD_PRELOAD";
/// Variable with the number of times that every byte is cut; once without it.
const ROUNDS_VARIABLE: &str = "CUT_ROUNDS";
/// Variable with the seed.
const SEED_VARIABLE: &str = "CUT_SEED";
/// Bounds under which every cut answer may be sent to another target.
const BOUNDS: &str = "retry_saved = 10000\nretry_ratio = 10";
const WORKERS: usize = 12;
const SLOTS: u32 = 8;
/// Time between two tries while the targets are ejected, and their number.
const TRY_INTERVAL: Duration = Duration::from_millis(25);
const TRIES: usize = 800;
/// Time between the halves of the body of a request that is being uploaded.
const UPLOAD_PAUSE: Duration = Duration::from_millis(8);

/// A deployment whose targets play scripts, and what its callers received.
struct CutFleet {
    fleet: FleetDeployment,
    entry: String,
    scripts: Scripts,
    waiting: RefCell<Vec<CutCase>>,
    begun: RefCell<usize>,
    outcomes: RefCell<BTreeMap<String, usize>>,
    faults: RefCell<Vec<String>>,
}

impl CutFleet {
    /// Starts daemons and scripted targets of both services, and waits until all routes are served.
    async fn start(name: &str, targets: usize, daemons: usize) -> Result<CutFleet> {
        let mut fleet = FleetDeployment::start(name).await?;
        fleet.store_config()?;
        let scripts = Scripts::default();
        for backend in ["records", "engines"] {
            for index in 0..targets {
                let address = start_target(Rc::clone(&scripts)).await?;
                let id = format!("i-{backend}-{index}");
                fleet.store.announce(&id, backend, &address, SLOTS, READY)?;
            }
        }
        if daemons > 1 {
            fleet.use_engine_links(LOADER_VARIABLE)?;
        }
        fleet.daemons(daemons, BOUNDS).await?;
        for path in PATHS {
            wait_served(&fleet, path).await?;
        }
        let entry = fleet.daemons[0].callers.clone();
        Ok(CutFleet {
            fleet,
            entry,
            scripts,
            waiting: RefCell::default(),
            begun: RefCell::default(),
            outcomes: RefCell::default(),
            faults: RefCell::default(),
        })
    }

    fn count(&self, outcome: &str) {
        *self.outcomes.borrow_mut().entry(outcome.to_string()).or_default() += 1;
    }

    fn next_attempt(&self) -> String {
        let mut begun = self.begun.borrow_mut();
        *begun += 1;
        format!("c{begun:05}")
    }

    /// Plays all cases with several callers at the same time.
    async fn play(self: &Rc<Self>, cases: Vec<CutCase>) -> Result<()> {
        *self.waiting.borrow_mut() = cases;
        let workers = (0..WORKERS).map(|_| {
            let fleet = Rc::clone(self);
            actix_rt::spawn(async move { fleet.work().await })
        });
        for worker in workers.collect::<Vec<_>>() {
            worker.await??;
        }
        Ok(())
    }

    async fn work(&self) -> Result<()> {
        loop {
            let Some(case) = self.waiting.borrow_mut().pop() else { return Ok(()) };
            // The answer that is cut follows a whole one on a connection that was kept, or is the first one.
            let mut connection = CallerConnection::open(&self.entry).await?;
            if case.cut % 2 == 0 {
                connection = self.serve_whole(connection, case.path).await?;
            }
            let answer = self.serve_cut(connection, &case).await?;
            self.count(&outcome(&answer));
        }
    }

    /// Sends requests until one is answered completely, and returns the connection.
    async fn serve_whole(
        &self,
        mut connection: CallerConnection,
        path: &str,
    ) -> Result<CallerConnection> {
        for _ in 0..TRIES {
            let attempt = self.next_attempt();
            let answer = connection.call(path, &attempt, 10, None).await?;
            if answer.status == 200 {
                ensure!(answer.end == AnswerEnd::Complete, "{attempt}: {answer:?}");
                ensure!(answer.body == whole_body(path, &attempt), "{attempt}: {answer:?}");
            }
            if !answer.keeps_connection() {
                connection = CallerConnection::open(&self.entry).await?;
            } else if answer.status == 200 {
                return Ok(connection);
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
        bail!("no answer for {path}");
    }

    /// Sends requests until a target plays the script of one.
    async fn serve_cut(
        &self,
        mut connection: CallerConnection,
        case: &CutCase,
    ) -> Result<Received> {
        let pause = case.is_uploading.then_some(UPLOAD_PAUSE);
        for _ in 0..TRIES {
            let attempt = self.next_attempt();
            self.scripts.borrow_mut().insert(attempt.clone(), case.script(&attempt));
            let answer = connection.call(case.path, &attempt, case.body_length(), pause).await?;
            let was_played = self.scripts.borrow_mut().remove(&attempt).is_none();
            if was_played {
                self.faults.borrow_mut().extend(case.check(&attempt, &answer).err());
                if answer.keeps_connection() {
                    self.serve_whole(connection, case.path).await?;
                }
                return Ok(answer);
            }
            // Its targets are ejected for a while.
            self.count("not played");
            if !answer.keeps_connection() {
                connection = CallerConnection::open(&self.entry).await?;
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
        bail!("no target plays {case:?}");
    }

    /// Returns the number of connections that the first daemon has asked its peers for.
    async fn relays_asked(&self) -> Result<u64> {
        let metrics = get_text(&self.fleet.daemons[0].operators, "/metrics").await?;
        let asked = |line: &&str| line.contains("relays_total") && line.contains("asked");
        let counts = metrics.lines().filter(asked);
        Ok(counts.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum())
    }
}

fn outcome(answer: &Received) -> String {
    format!("{} {:?}", answer.status, answer.end)
}

fn number_in(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns cases for every byte of every kind of answer, in random order.
fn all_cases(seed: u64) -> Vec<CutCase> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut cases = Vec::new();
    for _ in 0..number_in(ROUNDS_VARIABLE, 1) {
        for (path, marking) in
            PATHS.iter().flat_map(|path| Marking::all().into_iter().map(move |m| (*path, m)))
        {
            cases.extend(CutCase::at_every_byte(path, marking, &mut random));
        }
    }
    cases.shuffle(&mut random);
    cases
}

/// One of `share` cases is played.
#[rstest]
#[case::at_several_targets("cut-heads", 12, 1, 2)]
#[case::at_one_target("cut-heads-one", 1, 1, 30)]
#[case::over_a_relay("cut-heads-relay", 12, 2, 12)]
#[actix_rt::test]
async fn answer_that_stops_at_any_byte_is_never_passed_on_as_complete(
    #[case] name: &str,
    #[case] targets: usize,
    #[case] daemons: usize,
    #[case] share: usize,
) -> Result<()> {
    let seed = number_in(SEED_VARIABLE, 1);
    let mut cut_fleet = CutFleet::start(name, targets, daemons).await?;
    if let Some(links) = &cut_fleet.fleet.engine_links {
        links.set("vm-0", EngineLinkFault::RefuseNew)?;
    }
    let asked = cut_fleet.relays_asked().await?;
    let cases: Vec<CutCase> = all_cases(seed).into_iter().step_by(share).collect();
    let count = cases.len();
    let played = Rc::new(cut_fleet);
    played.play(cases).await?;
    let relayed = played.relays_asked().await? - asked;
    println!("{count} answers cut, seed {seed}, {relayed} relayed: {:?}", played.outcomes.borrow());
    let faults = played.faults.borrow();
    assert!(faults.is_empty(), "{} of {count} answers: {:#?}", faults.len(), &faults[..]);
    drop(faults);
    assert!(daemons == 1 || relayed as usize >= count, "{relayed} connections were relayed");
    cut_fleet = Rc::into_inner(played).expect("all callers have ended");
    for daemon in &mut cut_fleet.fleet.daemons {
        assert_eq!(daemon.process.ended(), None, "the daemon runs");
    }
    Ok(())
}
