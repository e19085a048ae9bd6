//! Releases that replace engines by engines of another version of their software, and answers that engines cut off.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_standins::fleet::{AnswerFrame, EngineStep, FleetEngine};
use rand::rngs::StdRng;
use rand::Rng;

use crate::fleet::SoakFleet;
use crate::plan::SoakFault;

/// Number of versions that are released.
pub const VERSIONS: u32 = 3;
/// How the end of an answer is marked that stops within its head.
const HEAD_FRAMES: [AnswerFrame; 3] =
    [AnswerFrame::Length, AnswerFrame::Chunks, AnswerFrame::Close];
/// Number of answers that each engine cuts off at a time.
const CUT_ANSWERS: usize = 8;
/// Longest answer in bytes that an engine cuts off.
const CUT_BYTES: usize = 160;

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
