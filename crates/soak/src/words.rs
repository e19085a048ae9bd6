//! Engines that say what they take: a limit, that they leave, that they want rest; and what reached them all the same.
//!
//! Owns: what is said, its judge and the users' bounds. Relies on: `SoakFleet` for the engines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::{EngineRun, EngineStep};

use crate::evidence::SoakEvidence;
use crate::fleet::SoakFleet;
use crate::judge::SoakFinding;

/// Time in which the daemons have to keep a limit.
const CONTACT: Duration = Duration::from_secs(3);
/// Span in which requests to a limited engine are counted, and those beyond half as much again that are allowed in it.
const SPAN: Duration = Duration::from_secs(4);
const LIMIT_SLACK: usize = 5;
/// Time after which a daemon that was told sends no more to an engine that leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// Rest that an engine asks for, the time of it in which requests may be on their way, and those that may come after that.
const REST: Duration = Duration::from_secs(2);
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
const REST_SLACK: usize = 2;
/// Turns in which an engine that asks for rest turns one request away and serves the next.
const TURNS: usize = 40;
/// Time for which an engine names its limit, beyond that of the fault.
const LIMIT_TIME: Duration = Duration::from_secs(6);

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineWord {
    /// So many requests a second.
    Limit(u32),
    /// It leaves.
    Leaving,
    /// It wants rest.
    Rest,
}

/// An engine that has said something.
#[derive(Clone, Debug)]
pub struct SaidWord {
    /// Name of its start.
    pub engine: String,
    /// What.
    pub word: EngineWord,
    /// Since when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

impl SoakFleet {
    /// An engine says something for some time; one that leaves is replaced after that.
    pub async fn say(&self, index: usize, word: EngineWord, time: Duration) -> Result<()> {
        let engine = Rc::clone(&self.engines.borrow()[index].engine);
        // One word at a time: the end of an earlier one would end a later one too.
        if !self.speaking.borrow_mut().insert(engine.id.clone()) {
            return Ok(());
        }
        let from = Instant::now();
        match word {
            EngineWord::Limit(rate) => {
                engine.says(&[(WIRE_PROFILE.limit, &rate.to_string())]);
                tokio::time::sleep(time + LIMIT_TIME).await;
                engine.says(&[]);
            }
            EngineWord::Leaving => {
                engine.says(&[(WIRE_PROFILE.leaving, "1")]);
                tokio::time::sleep(time + DRAIN).await;
                // Another fault may have put an engine there meanwhile.
                if self.engines.borrow()[index].engine.id == engine.id {
                    self.replace_engine(index).await?;
                }
            }
            EngineWord::Rest => {
                for _ in 0..TURNS {
                    engine.next(EngineStep::Rest(REST));
                    engine.next(EngineStep::Serve);
                }
                tokio::time::sleep(time).await;
            }
        }
        self.speaking.borrow_mut().remove(&engine.id);
        let said = SaidWord { engine: engine.id.clone(), word, from, until: Instant::now() };
        self.evidence.borrow_mut().words.push(said);
        Ok(())
    }
}

/// What reached engines against their word. Daemons that a fault has struck meanwhile count for nothing: they may have begun anew
/// or stood still.
pub fn check_words(evidence: &SoakEvidence) -> Vec<SoakFinding> {
    let daemons: BTreeMap<&str, usize> =
        evidence.records.iter().map(|record| (record.attempt.as_str(), record.daemon)).collect();
    let checks = evidence.words.iter().flat_map(|said| {
        let runs = evidence.runs.iter().filter(|(engine, _)| *engine == said.engine);
        let arrived: Vec<Arrival<'_>> = runs
            .filter_map(|(_, run)| {
                let daemon = *daemons.get(run.attempt.as_str())?;
                Some(Arrival { daemon, at: run.begun?, run })
            })
            .collect();
        match said.word {
            EngineWord::Limit(rate) => check_limit(said, rate, &arrived),
            EngineWord::Leaving => check_leaving(evidence, said, &arrived),
            EngineWord::Rest => check_rest(evidence, &arrived),
        }
    });
    checks.collect()
}

struct Arrival<'a> {
    daemon: usize,
    at: Instant,
    run: &'a EngineRun,
}

fn check_limit(said: &SaidWord, rate: u32, arrived: &[Arrival<'_>]) -> Option<SoakFinding> {
    let counted: Vec<Instant> = arrived
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at >= said.from + CONTACT && *at < said.until)
        .collect();
    let within =
        |from: &Instant| counted.iter().filter(|at| (*from..*from + SPAN).contains(at)).count();
    let most = counted.iter().map(within).max().unwrap_or(0);
    let allowed = rate as usize * SPAN.as_secs() as usize * 3 / 2 + LIMIT_SLACK;
    let detail = format!("{most} requests in {SPAN:?} at {}, {allowed} allowed", said.engine);
    let promise = "a target gets no more than it takes from all daemons";
    (most > allowed).then_some(SoakFinding { promise, detail })
}

fn check_leaving(
    evidence: &SoakEvidence,
    said: &SaidWord,
    arrived: &[Arrival<'_>],
) -> Option<SoakFinding> {
    let late = arrived.iter().find(|late| {
        arrived.iter().any(|told| {
            let after = told.at >= said.from && told.at + DRAIN < late.at;
            told.daemon == late.daemon && after && evidence.was_sound(late.daemon, told.at, late.at)
        })
    })?;
    let detail = format!("{} of daemon {} reached {}", late.run.attempt, late.daemon, said.engine);
    Some(SoakFinding { promise: "a target that says that it leaves gets no more", detail })
}

fn check_rest(evidence: &SoakEvidence, arrived: &[Arrival<'_>]) -> Option<SoakFinding> {
    let refused = arrived.iter().filter(|arrival| !arrival.run.ran);
    let broken = refused.into_iter().find_map(|asked| {
        let rest = asked.at + ON_THEIR_WAY..asked.at + REST;
        let late =
            arrived.iter().filter(|late| late.daemon == asked.daemon && rest.contains(&late.at));
        let count = late.count();
        let sound = evidence.was_sound(asked.daemon, asked.at, rest.end);
        (count > REST_SLACK && sound).then_some((asked, count))
    });
    let (asked, count) = broken?;
    let detail = format!("{count} requests of daemon {} in a rest", asked.daemon);
    Some(SoakFinding { promise: "a target that asks for rest gets it", detail })
}
