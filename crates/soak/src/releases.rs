//! Releases that replace engines by engines of another version of their software, callers that take up their streams at
//! other daemons, and the check that no stream is joined of two versions.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_standins::fleet::{AnswerFrame, EngineRun, EngineStep, FleetEngine};
use rand::rngs::StdRng;
use rand::Rng;

use crate::callers::{CallKind, CallOutcome, CallRecord};
use crate::checks::SoakViolation;
use crate::evidence::SoakEvidence;
use crate::fleet::{SoakFleet, EVENTS};
use crate::plan::SoakFault;

/// Number of versions that are released.
const VERSIONS: u32 = 3;
/// How the end of an answer is marked that stops within its head.
const HEAD_FRAMES: [AnswerFrame; 3] =
    [AnswerFrame::Length, AnswerFrame::Chunks, AnswerFrame::Close];
/// Number of answers that each engine cuts off at a time.
const CUT_ANSWERS: usize = 8;
/// Longest answer in bytes that an engine cuts off.
const CUT_BYTES: usize = 160;

/// A stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUp {
    /// The attempt that brought the first event.
    pub begun_as: String,
    /// Number of the last event that the caller has.
    pub after: u64,
}

/// Draws a release, or answers that all engines cut off.
pub fn draw_release(random: &mut StdRng, engine: usize) -> SoakFault {
    match random.random_ratio(1, 3) {
        true => SoakFault::Release(engine, random.random_range(1..=VERSIONS)),
        false => SoakFault::CutAnswers(draw_cut_answer(random)),
    }
}

fn draw_cut_answer(random: &mut StdRng) -> EngineStep {
    let length = random.random_range(0..CUT_BYTES);
    match random.random_range(0..4) {
        0 => EngineStep::Interrupt(random.random_range(0..4)),
        1 => EngineStep::StallWithoutLength(length),
        2 => EngineStep::StopInHead(HEAD_FRAMES[length % HEAD_FRAMES.len()], length),
        _ => EngineStep::Truncate(AnswerFrame::Close, length),
    }
}

impl SoakFleet {
    /// Replaces an engine by one of a version; the replaced one leaves after a time.
    pub async fn release(&self, engine: usize, version: u32, time: Duration) -> Result<()> {
        self.version.set(version);
        self.leave(engine, time).await
    }

    /// Makes each engine cut off its next answers, for this time at most.
    pub async fn cut_answers(&self, step: EngineStep, time: Duration) {
        let engines: Vec<Rc<FleetEngine>> =
            self.engines.borrow().iter().map(|handle| Rc::clone(&handle.engine)).collect();
        for engine in &engines {
            (0..CUT_ANSWERS).for_each(|_| engine.queue_step(step));
        }
        tokio::time::sleep(time).await;
        engines.iter().for_each(|engine| engine.clear_steps());
    }
}

/// Returns the stream that a caller can take up after an attempt, `None` if the attempt brought no event of one, or all.
pub fn broken_stream(record: &CallRecord) -> Option<TakenUp> {
    let CallOutcome::Answer { status: 200, text, complete: false, .. } = &record.outcome else {
        return None;
    };
    let (begun_as, before) = match &record.taken_up {
        Some(taken_up) => (&taken_up.begun_as, taken_up.after),
        None => (&record.attempt, 0),
    };
    let after = before + text.matches("\n\n").count() as u64;
    let is_resumable = record.kind == CallKind::ResumableStream;
    let is_partial = is_resumable && (1..EVENTS).contains(&after);
    is_partial.then(|| TakenUp { begun_as: begun_as.clone(), after })
}

/// Checks that the engines that ran a stream, over the attempts of its caller, have one version.
pub fn check_versions(evidence: &SoakEvidence) -> Vec<SoakViolation> {
    let version_of = |engine: &String| evidence.versions.get(engine);
    let mut begun: BTreeMap<&str, &String> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in &evidence.records {
        let CallOutcome::Answer { sealed_by: Some(sealed_by), status: 200, .. } = &record.outcome
        else {
            continue;
        };
        let Some(version) = version_of(sealed_by) else { continue };
        let first = record.taken_up.as_ref().map_or(&record.attempt, |stream| &stream.begun_as);
        let begun_at = *begun.entry(first).or_insert(version);
        let after = record.taken_up.as_ref().map_or(0, |stream| stream.after);
        let of_attempt = evidence.runs.iter().filter(|(_, run)| run.attempt == record.attempt);
        let continued = of_attempt.filter(|(_, run)| run.ran && run.after > after);
        let engines = continued.map(|(engine, _): &(String, EngineRun)| engine);
        let joined = engines.chain([sealed_by]).find(|engine| version_of(engine) != Some(begun_at));
        if let Some(engine) = joined {
            let detail = format!("{first} began at {begun_at}, {} at {engine}", record.attempt);
            let invariant = "streams go on at the version that began them";
            violations.push(SoakViolation { invariant, detail });
        }
    }
    violations
}
