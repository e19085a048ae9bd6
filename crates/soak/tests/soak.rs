//! A short seeded soak, and the judge on evidence that it must not pass.

use std::time::{Duration, Instant};

use curlewcleat_soak::{
    judge, kept_seeds, plan, run_soak, with_extra, CallKind, CallOutcome, CallRecord, ExtraKind,
    FaultStep, KeyLoss, LinkFault, PlanOptions, PlayedSeed, SilentConnections, SoakEvidence,
    SoakFault, SoakOptions,
};
use curlewcleat_standins::deployment::own_folder;
use curlewcleat_standins::fleet::EngineRun;
use rstest::rstest;

#[rstest]
#[case::everything(3, false)]
#[case::planned_work(4, true)]
fn short_soak_breaks_nothing(#[case] seed: u64, #[case] planned_only: bool) {
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
        script: None,
        folder: own_folder(&name).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.findings.is_empty(), "{report:#?}");
}

/// A configuration of two parts on its way between daemons over links of 10 Mbit/s, with all faults beside.
#[test]
fn long_configuration_over_narrow_links_breaks_nothing() {
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
        script: None,
        folder: own_folder(name).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.findings.is_empty(), "{report:#?}");
}

/// Each daemon's connections to the store go deaf in turn, so also those of the ones that read it. Once it
/// is reachable again, it has to hear of what leaves.
#[test]
fn reader_whose_watch_went_deaf_learns_of_leaving_engines() {
    let step = |at, time, fault| FaultStep {
        at: Duration::from_millis(at),
        time: Duration::from_millis(time),
        fault,
    };
    let deaf = (0..3).map(|index| {
        let fault = SoakFault::StoreLink(index, LinkFault::Deaf);
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
        script: Some(deaf.chain(leave).collect()),
        folder: own_folder("deaf").expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.findings.is_empty(), "{report:#?}");
}

/// Connections that were open carry nothing again, without a reset, and new ones work. Frames to a peer went on
/// into the silent connection for good: nothing closed it and nothing else dialed, so that after this script
/// every daemon heard nobody for the rest of the run (`peer_lost` of all others) and scheduled for itself.
#[rstest]
#[case::all(vec![SilentConnections::All])]
#[case::those_of_one_daemon(vec![SilentConnections::Peers(1)])]
#[case::one_after_the_other(vec![
    SilentConnections::Peers(0),
    SilentConnections::Store(1),
    SilentConnections::Engine(0),
    SilentConnections::All,
])]
fn connections_that_go_silent_are_replaced(#[case] silences: Vec<SilentConnections>) {
    let name = format!("silence-{}", silences.len());
    let steps = silences.iter().enumerate().map(|(index, connections)| FaultStep {
        at: Duration::from_millis(1_500 * (index as u64 + 1)),
        time: Duration::ZERO,
        fault: SoakFault::Silence(*connections),
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
        extra: Some(ExtraKind::Silence),
        script: Some(steps.collect()),
        folder: own_folder(&name).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.findings.is_empty(), "{report:#?}");
}

/// Kinds of faults beside the plan that a test plays, with their seeds.
const EXTRA_KINDS: &[(ExtraKind, u64)] = &[
    (ExtraKind::Silence, 11),
    (ExtraKind::Restart, 12),
    (ExtraKind::Foreign, 14),
    (ExtraKind::Lethal, 15),
    (ExtraKind::Words, 16),
];

#[test]
fn short_soak_with_extra_faults_breaks_nothing() {
    for (kind, seed) in EXTRA_KINDS {
        let name = format!("soak-extra-{seed}");
        let options = SoakOptions {
            seed: *seed,
            daemons: 3,
            engines: 2,
            callers: 6,
            time: Duration::from_secs(5),
            // Beside other faults little is promised of engines that leave.
            planned_only: *kind == ExtraKind::Foreign,
            routes: 0,
            link_mbps: None,
            extra: Some(*kind),
            script: None,
            folder: own_folder(&name).expect("a folder"),
        };
        let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
        assert!(report.findings.is_empty(), "{kind:?}: {report:#?}");
    }
}

#[test]
fn extra_faults_leave_the_plan_of_a_seed() {
    let options =
        PlanOptions { daemons: 5, engines: 6, time: Duration::from_secs(10), planned_only: false };
    for kind in [ExtraKind::Silence, ExtraKind::Restart, ExtraKind::Foreign] {
        let plain = plan(7, &options);
        let is_extra = |step: &FaultStep| {
            matches!(
                step.fault,
                SoakFault::Silence(_)
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
        whole: true,
        seal: Some("i-0".to_string()),
        echo: Some("a".to_string()),
    };
    let key = "key-of-drivers";
    CallRecord { attempt: "a".to_string(), kind, key, daemon: 0, sent: now, ended: now, outcome }
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

fn promises(evidence: &SoakEvidence) -> Vec<&'static str> {
    judge(evidence).into_iter().map(|finding| finding.promise).collect()
}

#[test]
fn sound_answer_passes() {
    let evidence = SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![run("i-0")],
        ..SoakEvidence::default()
    };
    assert!(promises(&evidence).is_empty());
}

fn run_twice() -> SoakEvidence {
    SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![run("i-0"), run("i-1")],
        ..SoakEvidence::default()
    }
}

fn run_unasked() -> SoakEvidence {
    SoakEvidence { runs: vec![run("i-0")], ..SoakEvidence::default() }
}

/// A request that ran, and what its caller got.
fn run_with_outcome(outcome: CallOutcome) -> SoakEvidence {
    let record = CallRecord { outcome, ..served(CallKind::Once) };
    SoakEvidence { records: vec![record], runs: vec![run("i-0")], ..SoakEvidence::default() }
}

fn refused() -> CallOutcome {
    CallOutcome::Answer { status: 503, text: String::new(), whole: true, seal: None, echo: None }
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
        foreign: ["i-0".to_string()].into(),
        ..SoakEvidence::default()
    }
}

fn run_with_revoked_key() -> SoakEvidence {
    let lost = Instant::now() - Duration::from_secs(5);
    SoakEvidence {
        records: vec![served(CallKind::Once)],
        runs: vec![run("i-0")],
        key_losses: vec![KeyLoss { key: "key-of-drivers", lost, back: None }],
        age_limit: Duration::from_secs(2),
        ..SoakEvidence::default()
    }
}

#[test]
fn broken_promises_are_found() {
    assert_eq!(promises(&run_twice()), ["what may not be repeated runs once"]);
    assert_eq!(promises(&run_unasked()), ["nothing runs unasked"]);
    assert_eq!(promises(&run_with_outcome(refused())), ["refused means not run"]);
    let no_answer = CallOutcome::NoAnswer("closed".to_string());
    assert_eq!(promises(&run_with_outcome(no_answer)), ["planned work loses nothing"]);
    assert_eq!(promises(&run_for_another_account()), ["requests run unchanged"]);
    assert_eq!(
        promises(&reached_by_foreign_entry()),
        ["an entry of another writer names no engine"]
    );
    assert_eq!(promises(&run_with_revoked_key()), ["a lost key is refused in time"]);
}
