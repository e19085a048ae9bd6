//! Intervals of a loop that stands still, runs late, or runs.
//!
//! Owns: nothing. Relies on: moments that the tests state.

use rstest::rstest;

use super::*;

const STEP: Duration = Duration::from_millis(10);

/// Returns the beats of a loop that runs for `running` from `begun` on.
fn run(begun: LoopBeats, running: Duration) -> LoopBeats {
    let beats = running.as_millis() / BEAT_INTERVAL.as_millis();
    (0..beats).fold(begun, |beats, _| beats.with_beat(beats.latest + BEAT_INTERVAL))
}

/// Guards against standstills of the daemon that count as pauses of its targets' streams.
#[rstest]
#[case::before_the_beat(false)]
#[case::after_the_beat(true)]
fn standstill_is_not_contained_in_intervals(#[case] has_beat: bool) {
    let beats = run(LoopBeats::start(Moment::now()), Duration::from_secs(1));
    let stopped = beats.latest + STEP;
    let begun = beats.read(stopped);
    let resumed = stopped + Duration::from_millis(600);
    let beats = if has_beat { beats.with_beat(resumed) } else { beats };
    let interval = beats.read(resumed).saturating_duration_since(begun);
    assert!(interval <= MAX_BEAT_GAP, "{interval:?}");
}

#[test]
fn intervals_of_a_loop_that_runs_are_whole() {
    let start = LoopBeats::start(Moment::now());
    let begun = start.read(start.latest + STEP);
    let later = run(start, Duration::from_secs(1));
    let interval = later.read(later.latest + STEP).saturating_duration_since(begun);
    assert_eq!(interval, Duration::from_secs(1));
}

#[test]
fn each_of_several_standstills_is_left_out() {
    let start = LoopBeats::start(Moment::now());
    let standstill = Duration::from_millis(450);
    let beats = (0..4).fold(start, |beats, _| {
        let running = run(beats, Duration::from_millis(500));
        running.with_beat(running.latest + standstill)
    });
    let interval = beats.read(beats.latest).saturating_duration_since(start.read(start.latest));
    assert_eq!(interval, (Duration::from_millis(500) + MAX_BEAT_GAP) * 4);
}

#[test]
fn clock_never_goes_back() {
    let mut beats = LoopBeats::start(Moment::now());
    let mut latest = beats.read(beats.latest);
    for gap_ms in [50, 80, 0, 600, 20, 75, 76, 3_000, 50] {
        let begun = beats.latest;
        for at_ms in (0..=gap_ms).step_by(5) {
            let now = beats.read(begun + Duration::from_millis(at_ms));
            assert!(now >= latest, "{at_ms} of {gap_ms} ms");
            latest = now;
        }
        beats = beats.with_beat(begun + Duration::from_millis(gap_ms));
    }
}

/// Guards against ends that count as whole where the loop stood still while targets may have cut off their answers.
#[rstest]
#[case::before_the_beat(false)]
#[case::after_the_beat(true)]
fn long_standstill_is_seen_by_what_began_before_it(#[case] has_beat: bool) {
    let start = LoopBeats::start(Moment::now());
    let beats = run(start, Duration::from_secs(2));
    assert!(!beats.has_stood_still(start.latest, beats.latest + MAX_BEAT_GAP));
    let resumed = beats.latest + LONG_STANDSTILL;
    let stopped = if has_beat { beats.with_beat(resumed) } else { beats };
    assert!(stopped.has_stood_still(start.latest, resumed));
    let later = run(beats.with_beat(resumed), Duration::from_secs(1));
    assert!(later.has_stood_still(resumed, later.latest));
    assert!(!later.has_stood_still(resumed + STEP, later.latest));
}
