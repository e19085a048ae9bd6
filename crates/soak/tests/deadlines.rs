//! Streams that end because the time that their callers stated has passed.

use std::time::{Duration, Instant};

use curlewcleat_soak::{check_evidence, CallKind, CallOutcome, CallRecord, SoakEvidence, TakenUp};
use curlewcleat_standins::fleet::EngineRun;
use rstest::rstest;

/// Time that the caller states.
const TIME_LEFT: Duration = Duration::from_millis(700);
/// Events of the stream.
const EVENTS: u64 = 6;
const LOST: &str = "planned work loses no requests";

/// Guards against a daemon that is blamed for the end of the time that a caller stated, and against earlier cuts that are
/// excused by it.
#[rstest]
#[case::at_its_end(TIME_LEFT, true, false)]
#[case::before(TIME_LEFT - Duration::from_millis(1), true, true)]
#[case::not_taken_up(TIME_LEFT, false, true)]
fn stream_that_is_cut_after_a_time_is_lost(
    #[case] after: Duration,
    #[case] is_taken_up: bool,
    #[case] is_lost: bool,
) {
    let sent = Instant::now();
    let outcome = CallOutcome::Answer {
        status: 200,
        text: String::new(),
        complete: false,
        sealed_by: Some("i-0".to_string()),
        echoed_attempt: Some("b".to_string()),
    };
    let taken_up = TakenUp { begun_as: "a".to_string(), begun: sent, after: 1 };
    let record = CallRecord {
        attempt: "b".to_string(),
        kind: CallKind::ResumableStream,
        key: "key-of-drivers",
        daemon: 0,
        sent,
        ended: sent + after,
        outcome,
        taken_up: is_taken_up.then_some(taken_up),
        deadline: sent + TIME_LEFT,
    };
    let run = EngineRun {
        attempt: "b".to_string(),
        ran: true,
        begun: Some(sent),
        ..EngineRun::default()
    };
    let evidence = SoakEvidence {
        records: vec![record],
        runs: vec![("i-0".to_string(), run)],
        events: EVENTS,
        ..SoakEvidence::default()
    };
    let invariants: Vec<_> = check_evidence(&evidence);
    assert_eq!(invariants.iter().any(|violation| violation.invariant == LOST), is_lost);
}
