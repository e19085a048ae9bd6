//! Short seeded runs, and the checks on evidence that contains violations.

use std::time::{Duration, Instant};

use curlewcleat_soak::{
    check_evidence, kept_seeds, plan, run_soak, with_extra, CallKind, CallOutcome, CallRecord,
    ExtraKind, FaultStep, KeyRevocation, PlanOptions, PlayedSeed, SoakEvidence, SoakFault,
    SoakOptions, StalledConnections, WEAK_PERCENT,
};
use curlewcleat_standins::deployment::create_temp_folder;
use curlewcleat_standins::fleet::EngineRun;
use curlewcleat_standins::link::LinkFault;
use rstest::rstest;

/// Variable in which the system's loader expects additional libraries.
const LOADER_VARIABLE: &str = "LD_PRELOAD";

#[rstest]
#[case::everything(3, false)]
#[case::planned_work(4, true)]
fn short_run_violates_no_invariant(#[case] seed: u64, #[case] planned_only: bool) {
    let name = format!("soak-test-{seed}");
    let options = SoakOptions {
        seed,
        daemons: 3,
        engines: 2,
        callers: 6,
        time: Duration::from_secs(4),
        planned_only,
        routes: 0,
        link_mbps: None,
        extra: None,
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: None,
        folder: create_temp_folder(&name).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Guards against requests that run twice, or are reported as not run, while connections to engines go through other
/// daemons and these are killed, frozen and stopped.
#[test]
fn run_with_daemons_cut_from_the_engines_violates_no_invariant() {
    let options = SoakOptions {
        seed: 101,
        daemons: 4,
        engines: 2,
        callers: 8,
        time: Duration::from_secs(6),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: Some(ExtraKind::Cuts),
        weak_percent: WEAK_PERCENT,
        loader_variable: Some(LOADER_VARIABLE.to_string()),
        script: None,
        folder: create_temp_folder("soak-cuts").expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Guards against failures while a configuration of two parts is transferred between daemons over links of
/// 10 Mbit/s, with faults of all kinds.
#[test]
fn large_configuration_over_slow_links_violates_no_invariant() {
    let name = "soak-narrow";
    let options = SoakOptions {
        seed: 6,
        daemons: 4,
        engines: 2,
        callers: 6,
        time: Duration::from_secs(4),
        planned_only: false,
        routes: 1_500,
        link_mbps: Some(10),
        extra: None,
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: None,
        folder: create_temp_folder(name).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Guards against a daemon that reads the store missing changes after its watch connection stalled. The connections
/// of each daemon to the store stall in turn, so also those of the daemons that read it. Once the store is reachable
/// again, the daemons have to learn of leaving engines.
#[test]
fn daemon_with_stalled_watch_learns_of_leaving_engines() {
    let step = |at, time, fault| FaultStep {
        at: Duration::from_millis(at),
        time: Duration::from_millis(time),
        fault,
    };
    let stalls = (0..3).map(|index| {
        let fault = SoakFault::StoreLink(index, LinkFault::Stall);
        step(600 + 2_000 * index as u64, 1_800, fault)
    });
    let leave = (0..4).map(|index| step(8_400, 2_500, SoakFault::Leave(index)));
    let options = SoakOptions {
        seed: 1,
        daemons: 3,
        engines: 2,
        callers: 8,
        time: Duration::from_secs(9),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: None,
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: Some(stalls.chain(leave).collect()),
        folder: create_temp_folder("deaf").expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Guards against frames being sent into a stalled connection permanently. Open connections carry nothing more,
/// without a reset, while new ones work. If nothing closes or redials them, every daemon loses all peers for the
/// rest of the run (`peer_lost` of all others) and schedules on its own.
#[rstest]
#[case::all(vec![StalledConnections::All])]
#[case::those_of_one_daemon(vec![StalledConnections::Peers(1)])]
#[case::one_after_the_other(vec![
    StalledConnections::Peers(0),
    StalledConnections::Store(1),
    StalledConnections::Engine(0),
    StalledConnections::All,
])]
fn stalled_connections_are_replaced(#[case] stalls: Vec<StalledConnections>) {
    let name = format!("silence-{}", stalls.len());
    let steps = stalls.iter().enumerate().map(|(index, connections)| FaultStep {
        at: Duration::from_millis(1_500 * (index as u64 + 1)),
        time: Duration::ZERO,
        fault: SoakFault::StallConnections(*connections),
    });
    let options = SoakOptions {
        seed: 1,
        daemons: 3,
        engines: 2,
        callers: 6,
        time: Duration::from_secs(7),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: Some(ExtraKind::Stall),
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: Some(steps.collect()),
        folder: create_temp_folder(&name).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Kinds of additional faults that a test injects, with their seeds.
const EXTRA_KINDS: &[(ExtraKind, u64)] = &[
    (ExtraKind::Stall, 11),
    (ExtraKind::Restart, 12),
    (ExtraKind::Foreign, 14),
    (ExtraKind::Lethal, 15),
    (ExtraKind::Notices, 16),
    (ExtraKind::Silences, 17),
    (ExtraKind::Steps, 18),
];

#[test]
fn short_run_with_extra_faults_violates_no_invariant() {
    for (kind, seed) in EXTRA_KINDS {
        let name = format!("soak-extra-{seed}");
        let options = SoakOptions {
            seed: *seed,
            daemons: 3,
            engines: 2,
            // Streams that last longer leave few requests of other kinds.
            callers: if *kind == ExtraKind::Steps { 24 } else { 6 },
            time: Duration::from_secs(5),
            // Together with unplanned faults, leaving engines have few guarantees that could be checked.
            planned_only: *kind == ExtraKind::Foreign,
            routes: 0,
            link_mbps: None,
            extra: Some(*kind),
            weak_percent: WEAK_PERCENT,
            loader_variable: None,
            script: None,
            folder: create_temp_folder(&name).expect("a folder"),
        };
        let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
        assert!(report.violations.is_empty(), "{kind:?}: {report:#?}");
    }
}

#[test]
fn extra_faults_do_not_change_the_plan_of_a_seed() {
    let options =
        PlanOptions { daemons: 5, engines: 6, time: Duration::from_secs(10), planned_only: false };
    for kind in [ExtraKind::Stall, ExtraKind::Restart, ExtraKind::Foreign] {
        let plain = plan(7, &options);
        let is_extra = |step: &FaultStep| {
            matches!(
                step.fault,
                SoakFault::StallConnections(_)
                    | SoakFault::Restart(..)
                    | SoakFault::Foreign(_)
                    | SoakFault::Overwrite(..)
            )
        };
        let mut mixed = with_extra(plain.clone(), kind, 7, &options);
        assert!(mixed.iter().any(is_extra), "{kind:?}");
        mixed.retain(|step| !is_extra(step));
        assert_eq!(mixed, plain, "{kind:?}");
    }
}

#[test]
fn seed_gives_the_same_plan_again() {
    let options =
        PlanOptions { daemons: 5, engines: 6, time: Duration::from_secs(10), planned_only: false };
    assert_eq!(plan(7, &options), plan(7, &options));
    assert_ne!(plan(7, &options), plan(8, &options));
}

#[test]
fn kept_seeds_are_read_with_their_options() {
    let list = "# seeds\n1: a cause\n2 planned foreign: another: cause\n";
    let kept = kept_seeds(list).expect("a list");
    let first = PlayedSeed { seed: 1, planned: false, extra: None };
    let second = PlayedSeed { seed: 2, planned: true, extra: Some(ExtraKind::Foreign) };
    assert_eq!(kept, [first, second]);
    assert!(kept_seeds("3 unheard-of: a cause").is_err());
    assert!(kept_seeds("4 without a cause").is_err());
    assert!(kept_seeds(include_str!("../kept-seeds.txt")).is_ok());
}

fn served(kind: CallKind) -> CallRecord {
    let now = Instant::now();
    let outcome = CallOutcome::Answer {
        status: 200,
        text: "record of a".to_string(),
        complete: true,
        sealed_by: Some("i-0".to_string()),
        echoed_attempt: Some("a".to_string()),
    };
    let key = "key-of-drivers";
    let attempt = "a".to_string();
    let (sent, ended, deadline) = (now, now, now + Duration::from_secs(5));
    CallRecord { attempt, kind, key, daemon: 0, sent, ended, outcome, taken_up: None, deadline }
}

fn run(engine: &str) -> (String, EngineRun) {
    let run = EngineRun {
        attempt: "a".to_string(),
        request: "POST /once/1".to_string(),
        body: b"body of a".to_vec(),
        account: "drivers".to_string(),
        ran: true,
        begun: Some(Instant::now()),
        ..EngineRun::default()
    };
    (engine.to_string(), run)
}

fn invariants(evidence: &SoakEvidence) -> Vec<&'static str> {
    check_evidence(evidence).into_iter().map(|violation| violation.invariant).collect()
}

#[test]
fn correct_answer_violates_no_invariant() {
    let evidence = SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![run("i-0")],
        ..SoakEvidence::default()
    };
    assert!(invariants(&evidence).is_empty());
}

fn run_twice() -> SoakEvidence {
    SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![run("i-0"), run("i-1")],
        ..SoakEvidence::default()
    }
}

fn run_without_request() -> SoakEvidence {
    SoakEvidence { runs: vec![run("i-0")], ..SoakEvidence::default() }
}

/// Returns the evidence of a request that ran, with an outcome.
fn run_with_outcome(outcome: CallOutcome) -> SoakEvidence {
    let record = CallRecord { outcome, ..served(CallKind::Once) };
    SoakEvidence { records: vec![record], runs: vec![run("i-0")], ..SoakEvidence::default() }
}

fn refused() -> CallOutcome {
    CallOutcome::Answer {
        status: 503,
        text: String::new(),
        complete: true,
        sealed_by: None,
        echoed_attempt: None,
    }
}

fn run_for_another_account() -> SoakEvidence {
    let mut changed = run("i-0");
    changed.1.account = "depots".to_string();
    SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![changed],
        ..SoakEvidence::default()
    }
}

fn reached_by_foreign_entry() -> SoakEvidence {
    SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![run("i-0")],
        foreign_entries: ["i-0".to_string()].into(),
        ..SoakEvidence::default()
    }
}

fn run_with_revoked_key() -> SoakEvidence {
    let revoked = Instant::now() - Duration::from_secs(5);
    SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![run("i-0")],
        key_revocations: vec![KeyRevocation { key: "key-of-drivers", revoked, restored: None }],
        age_limit: Duration::from_secs(2),
        ..SoakEvidence::default()
    }
}

#[test]
fn violated_invariants_are_reported() {
    assert_eq!(invariants(&run_twice()), ["unrepeatable requests run at most once"]);
    assert_eq!(invariants(&run_without_request()), ["engines run only requests of callers"]);
    assert_eq!(invariants(&run_with_outcome(refused())), ["refused requests do not run"]);
    let no_answer = CallOutcome::NoAnswer("closed".to_string());
    assert_eq!(invariants(&run_with_outcome(no_answer)), ["planned work loses no requests"]);
    assert_eq!(invariants(&run_for_another_account()), ["requests reach engines unchanged"]);
    assert_eq!(
        invariants(&reached_by_foreign_entry()),
        ["list entries of other writers receive no requests"]
    );
    assert_eq!(invariants(&run_with_revoked_key()), ["a revoked key is refused in time"]);
}

/// Guards against requests that a crowded daemon on a weak VM has read and then refuses, delays or cuts, while daemons are
/// stopped and configurations change.
#[test]
fn run_with_crowds_beside_planned_work_violates_no_invariant() {
    let options = SoakOptions {
        seed: 700,
        daemons: 4,
        engines: 3,
        callers: 8,
        time: Duration::from_secs(8),
        planned_only: true,
        routes: 0,
        link_mbps: None,
        extra: Some(ExtraKind::Crowds),
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: None,
        folder: create_temp_folder("soak-crowds").expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Guards against streams that are joined of two versions of the engines' software, and against cut answers that are
/// passed on as complete, while engines are replaced and daemons are killed, frozen and stopped.
#[test]
fn run_with_releases_and_cut_answers_violates_no_invariant() {
    let options = SoakOptions {
        seed: 500,
        daemons: 4,
        engines: 2,
        callers: 8,
        time: Duration::from_secs(6),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: Some(ExtraKind::Releases),
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: None,
        folder: create_temp_folder("soak-releases").expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}
