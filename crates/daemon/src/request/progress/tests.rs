//! What an answer tells of its target where this daemon stands still meanwhile.
//!
//! Relies on: nothing outside the process; the loop stands still while its thread sleeps.

use std::thread;

use super::*;
use crate::loop_clock::start_beats;

/// Pause limit of a service with short objectives.
const PAUSE_LIMIT: Duration = Duration::from_millis(400);
const STANDSTILL: Duration = Duration::from_millis(600);

fn sent_progress() -> RequestProgress {
    let mut progress = RequestProgress::default();
    progress.record_sent(&TargetEntry::default());
    progress
}

fn timing(progress: &RequestProgress) -> StreamTiming {
    match progress.stream_end() {
        AttemptEnd::Streamed(timing) => timing,
        end => panic!("{end:?} instead of a stream"),
    }
}

/// Guards against targets that are avoided because this daemon stood still in their streams.
#[actix_rt::test]
async fn standstill_of_the_daemon_is_no_pause_of_the_target() {
    start_beats();
    let mut progress = sent_progress();
    progress.record_part(1);
    thread::sleep(STANDSTILL);
    progress.record_part(1);
    let timing = timing(&progress);
    assert!(timing.pause < PAUSE_LIMIT && timing.rest < PAUSE_LIMIT, "{timing:?}");
    // The caller did wait.
    assert!(progress.longest_pause >= STANDSTILL, "{:?}", progress.longest_pause);
}

/// Guards against targets that count as slow because this daemon stood still before their first part.
#[actix_rt::test]
async fn standstill_of_the_daemon_is_no_delay_of_the_first_part() {
    start_beats();
    let mut progress = sent_progress();
    thread::sleep(STANDSTILL);
    progress.record_part(1);
    let observed = progress.part_observation();
    let is_short = |begun: &AnswerObservation| matches!(begun, AnswerObservation::Begun(time) if *time < PAUSE_LIMIT);
    assert!(observed.as_ref().is_some_and(is_short), "{observed:?}");
    assert!(timing(&progress).first < PAUSE_LIMIT, "{:?}", timing(&progress));
}

#[actix_rt::test]
async fn pause_in_which_the_daemon_runs_is_one_of_the_target() {
    start_beats();
    let mut progress = sent_progress();
    progress.record_part(1);
    tokio::time::sleep(STANDSTILL).await;
    progress.record_part(1);
    assert!(timing(&progress).pause > PAUSE_LIMIT, "{:?}", timing(&progress));
}
