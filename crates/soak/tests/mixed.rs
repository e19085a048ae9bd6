//! Runs with streams of several lengths at engines of several speeds, beside trouble of all kinds.

use std::time::{Duration, Instant};

use curlewcleat_soak::{
    check_evidence, plan, run_soak, with_extra, CallKind, CallOutcome, CallRecord, ExtraKind,
    FaultStep, PlanOptions, SoakEvidence, SoakFault, SoakOptions,
};
use curlewcleat_standins::deployment::create_temp_folder;
use curlewcleat_standins::fleet::{EngineRun, EngineStep, FleetEngine};
use rstest::rstest;

/// Part of a core that each daemon has, in percent.
const PERCENT: u8 = 25;
/// Streams without which a run shows nothing, and take-ups.
const MIN_STREAMS: usize = 200;
const MIN_TAKEN_UP: usize = 20;

/// Guards against streams that lack events, or bring them twice, or go back, or end early, where answers are lost, broken off,
/// spoiled, sent again and late while daemons and engines end.
#[test]
fn streams_are_whole_and_in_order_beside_trouble_of_all_kinds() {
    let options = SoakOptions {
        seed: 31,
        daemons: 6,
        engines: 9,
        callers: 60,
        time: Duration::from_secs(12),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: Some(ExtraKind::Mixed),
        weak_percent: PERCENT,
        loader_variable: None,
        script: None,
        folder: create_temp_folder("soak-mixed").expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    println!("{:?} {:?}", report.outcomes, report.streams);
    assert!(report.violations.is_empty(), "{report:#?}");
    let streams = report.streams;
    assert!(streams.begun + streams.plain >= MIN_STREAMS, "{streams:?}");
    assert!(streams.taken_up >= MIN_TAKEN_UP, "{streams:?}");
}

/// Guards against runs that show nothing: answers have to be in trouble while processes end.
#[test]
fn answers_are_in_trouble_while_daemons_and_engines_end() {
    let options =
        PlanOptions { daemons: 6, engines: 18, time: Duration::from_secs(12), planned_only: false };
    for seed in 0..20 {
        let steps = with_extra(plan(seed, &options), ExtraKind::Mixed, seed, &options);
        let is_trouble = |step: &&FaultStep| matches!(step.fault, SoakFault::AnswerTrouble(..));
        let troubles: Vec<_> =
            steps.iter().filter(is_trouble).map(|step| step.at..step.at + step.time).collect();
        let mut ends = steps.iter().filter(|step| {
            matches!(
                step.fault,
                SoakFault::Kill(_)
                    | SoakFault::Freeze(_)
                    | SoakFault::Stop(_)
                    | SoakFault::Restart(..)
            )
        });
        assert!(
            ends.any(|step| troubles.iter().any(|it| it.contains(&step.at))),
            "seed {seed}: {steps:#?}"
        );
        assert!(steps.iter().all(|step| step.at + step.time <= options.time), "seed {seed}");
    }
}

/// Guards against second answers that no run contains.
#[test]
fn answers_are_sent_again_in_some_plan() {
    let options =
        PlanOptions { daemons: 6, engines: 18, time: Duration::from_secs(12), planned_only: false };
    let repeats = |step: &FaultStep| {
        matches!(step.fault, SoakFault::AnswerTrouble(_, EngineStep::RepeatAnswer(_)))
    };
    let mut plans =
        (0..20).map(|seed| with_extra(plan(seed, &options), ExtraKind::Mixed, seed, &options));
    assert!(plans.any(|steps| steps.iter().any(repeats)));
}

/// Returns the evidence of a stream of a kind with the text that its caller got as complete.
fn complete_stream(kind: CallKind, text: String) -> SoakEvidence {
    let now = Instant::now();
    let record = CallRecord {
        attempt: "a".to_string(),
        kind,
        key: "key-of-drivers",
        daemon: 0,
        sent: now,
        ended: now,
        outcome: CallOutcome::Answer {
            status: 200,
            text,
            complete: true,
            sealed_by: Some("i-0".to_string()),
            echoed_attempt: Some("a".to_string()),
        },
        taken_up: None,
        deadline: now + Duration::from_secs(5),
    };
    let run = EngineRun {
        attempt: "a".to_string(),
        request: format!("POST {}", kind.path()),
        body: b"body of a".to_vec(),
        account: "drivers".to_string(),
        ran: true,
        begun: Some(now),
        ..EngineRun::default()
    };
    SoakEvidence {
        records: vec![record],
        runs: vec![("i-0".to_string(), run)],
        ..SoakEvidence::default()
    }
}

#[rstest]
#[case::long(CallKind::LongStream, 76)]
#[case::short(CallKind::ShortStream, 5)]
#[case::plain(CallKind::LongPlainStream, 58)]
fn stream_that_is_not_as_long_as_its_path_states_is_reported(
    #[case] kind: CallKind,
    #[case] events: u64,
) {
    let whole = FleetEngine::expected_stream("a", events);
    assert_eq!(check_evidence(&complete_stream(kind, whole.clone())), []);
    let early = FleetEngine::expected_stream("a", events - 1);
    let twice = format!("{whole}{}", &whole[early.len()..]);
    for text in [early, twice] {
        let violations = check_evidence(&complete_stream(kind, text));
        let invariants: Vec<_> = violations.iter().map(|violation| violation.invariant).collect();
        assert_eq!(invariants, ["answers are complete and in order"]);
    }
}
