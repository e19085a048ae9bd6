//! The check of the streams that callers take up, on evidence that contains violations.

use std::time::{Duration, Instant};

use curlewcleat_soak::{
    check_evidence, plan, run_soak, with_extra, CallKind, CallOutcome, CallRecord, CutDirection,
    DaemonGroup, ExtraKind, FaultStep, OutOfStep, PlanOptions, SoakEvidence, SoakFault,
    SoakOptions, TakenUp, WEAK_PERCENT,
};
use curlewcleat_standins::deployment::create_temp_folder;
use curlewcleat_standins::fleet::{EngineRun, FleetEngine};
use rstest::rstest;

const EVENTS: u64 = 6;
/// Events that the first attempt brings.
const BEFORE: u64 = 2;

/// Returns an attempt for the stream `a`, with the text of its answer and the engine that it names.
fn attempt(attempt: &str, after: u64, text: &str, engine: &str, complete: bool) -> CallRecord {
    let now = Instant::now();
    let begun_as = "a".to_string();
    CallRecord {
        attempt: attempt.to_string(),
        kind: CallKind::ResumableStream,
        key: "key-of-drivers",
        daemon: 0,
        sent: now,
        ended: now,
        outcome: CallOutcome::Answer {
            status: 200,
            text: text.to_string(),
            complete,
            sealed_by: Some(engine.to_string()),
            echoed_attempt: Some(attempt.to_string()),
        },
        taken_up: (attempt != "a").then_some(TakenUp { begun_as, begun: now, after }),
        deadline: now + Duration::from_secs(5),
    }
}

fn run(attempt: &str, after: u64, engine: &str) -> (String, EngineRun) {
    let run = EngineRun {
        attempt: attempt.to_string(),
        request: "POST /resumed/stream/1".to_string(),
        body: format!("body of {attempt}").into_bytes(),
        account: "drivers".to_string(),
        after,
        ran: true,
        begun: Some(Instant::now()),
        ..EngineRun::default()
    };
    (engine.to_string(), run)
}

/// Returns the events of an attempt from one number to another.
fn events(attempt: &str, after: u64, last: u64) -> String {
    let skipped = FleetEngine::expected_stream(attempt, after).len();
    FleetEngine::expected_stream(attempt, last)[skipped..].to_string()
}

/// Returns the evidence of a stream that began at an engine of v1 and was taken up twice, with the answer to the last.
fn taken_up_twice(versions: [&str; 3], last: &str) -> SoakEvidence {
    let engines = ["i-0", "i-1", "i-2"].map(str::to_string);
    let now = Instant::now();
    let (first, second) = (events("a", 0, BEFORE), events("a-1", BEFORE, BEFORE + 1));
    SoakEvidence {
        records: vec![
            attempt("a", 0, &first, "i-0", false),
            attempt("a-1", BEFORE, &second, "i-1", false),
            attempt("a-2", BEFORE + 1, last, "i-2", true),
        ],
        runs: vec![run("a", 0, "i-0"), run("a-1", BEFORE, "i-1"), run("a-2", BEFORE + 1, "i-2")],
        versions: engines.into_iter().zip(versions.map(str::to_string)).collect(),
        events: EVENTS,
        // Attempts may break off during a fault.
        faults: vec![(now - Duration::from_secs(1), now + Duration::from_secs(1))],
        ..SoakEvidence::default()
    }
}

fn invariants(evidence: &SoakEvidence) -> Vec<&'static str> {
    check_evidence(evidence).into_iter().map(|violation| violation.invariant).collect()
}

#[test]
fn stream_that_goes_on_at_its_version_violates_no_invariant() {
    let evidence = taken_up_twice(["v1"; 3], &events("a-2", BEFORE + 1, EVENTS));
    assert!(invariants(&evidence).is_empty());
}

#[rstest]
#[case::once(["v1", "v1", "v2"])]
#[case::twice(["v1", "v2", "v2"])]
#[case::and_back(["v1", "v2", "v1"])]
fn stream_that_is_joined_of_two_versions_is_reported_once(#[case] versions: [&str; 3]) {
    let evidence = taken_up_twice(versions, &events("a-2", BEFORE + 1, EVENTS));
    assert_eq!(invariants(&evidence), ["streams go on at the version that began them"]);
}

#[test]
fn stream_that_goes_on_at_another_version_within_an_answer_is_reported() {
    let mut evidence = taken_up_twice(["v1"; 3], &events("a-2", BEFORE + 1, EVENTS));
    evidence.versions.insert("i-3".to_string(), "v2".to_string());
    evidence.runs.push(run("a-2", BEFORE + 2, "i-3"));
    assert_eq!(invariants(&evidence), ["streams go on at the version that began them"]);
}

#[rstest]
#[case::missing(events("a-2", BEFORE + 2, EVENTS))]
#[case::repeated(events("a-2", BEFORE, EVENTS))]
#[case::ended_early(events("a-2", BEFORE + 1, EVENTS - 1))]
fn missing_or_repeated_events_of_a_taken_up_stream_are_reported(#[case] last: String) {
    let evidence = taken_up_twice(["v1"; 3], &last);
    assert_eq!(invariants(&evidence), ["answers are complete and in order"]);
}

/// Guards against runs that show nothing: versions have to join while daemons are out of step and processes end.
#[test]
fn versions_join_while_daemons_are_out_of_step() {
    let options =
        PlanOptions { daemons: 5, engines: 6, time: Duration::from_secs(8), planned_only: false };
    for seed in 0..20 {
        let steps = with_extra(plan(seed, &options), ExtraKind::Steps, seed, &options);
        let out_of_step: Vec<_> = steps
            .iter()
            .filter(|step| matches!(step.fault, SoakFault::OutOfStep(..)))
            .map(|step| step.at..step.at + step.time)
            .collect();
        let meanwhile =
            steps.iter().filter(|step| out_of_step.iter().any(|it| it.contains(&step.at)));
        let joins = meanwhile.filter(|step| matches!(step.fault, SoakFault::Join(..)));
        assert!(joins.count() > 0, "seed {seed}: {steps:#?}");
        assert!(steps.iter().all(|step| step.at + step.time <= options.time), "seed {seed}");
    }
}

/// Guards against cuts without an effect: the daemons to which frames do not pass have to lose their sender.
#[rstest]
#[case::outgoing("outgoing", CutDirection::Outgoing, &[("vm-1", "vm-0"), ("vm-2", "vm-0")])]
#[case::incoming("incoming", CutDirection::Incoming, &[("vm-0", "vm-1"), ("vm-0", "vm-2")])]
fn daemons_lose_peers_that_are_cut_off(
    #[case] name: &str,
    #[case] direction: CutDirection,
    #[case] losses: &[(&str, &str)],
) {
    let group = DaemonGroup { first: 0, count: 1 };
    let cut = FaultStep {
        // Before this the daemons may not know each other, and lose nobody.
        at: Duration::from_millis(3_000),
        time: Duration::from_millis(2_500),
        fault: SoakFault::OutOfStep(group, OutOfStep::CutFromDaemons(direction)),
    };
    let folder = create_temp_folder(&format!("soak-cut-{name}")).expect("a folder");
    let options = SoakOptions {
        seed: 1,
        daemons: 3,
        engines: 2,
        callers: 24,
        time: Duration::from_secs(6),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: Some(ExtraKind::Steps),
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: Some(vec![cut]),
        folder: folder.clone(),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
    for (daemon, peer) in losses {
        let log = std::fs::read_to_string(folder.join(format!("{daemon}.log"))).expect("a log");
        let is_loss = |line: &str| line.contains("peer_lost") && line.contains(peer);
        assert!(log.lines().any(is_loss), "{daemon} has not lost {peer}");
    }
}
