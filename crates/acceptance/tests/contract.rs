//! Interfaces that users, operators and other daemons rely on, compared with files in `golden/`.
//!
//! A difference is either a mistake or a change of a public interface. `UPDATE_GOLDEN=1` rewrites the files; the
//! commit that does so says who is affected and how they migrate.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result};
use curlewcleat_acceptance::ready_fleet;
use curlewcleat_config::{ApplyRecord, ConfigManifest, MANIFEST_KEY};
use curlewcleat_core::{
    AnswerObservation, AnswerSample, ArchiveId, AttemptEnd, ConfigBundle, ConfigPart,
    ConfigPartPull, DaemonId, DiscoveredTarget, EvacuationList, EventForm, FeatureKind,
    FeatureReport, FeaturesPush, FreshnessAnswer, FreshnessQuery, Heartbeat, InterruptionKind,
    InterruptionReport, KeptAnswer, KeyAnswer, KeyClaim, KeyDecision, KeyHandOver, KeyOutcome,
    KeyRecord, LatencyObjectives, LimitReport, LoadReport, NoticeReport, PeerFrame, PeerMessage,
    PermitAnswer, PermitDecision, PermitHeld, PermitId, PermitRequest, PermitReturn, PoolHash,
    PoolLoads, PoolNotice, Refusal, RefusalReason, RequestDigest, RequestFeature,
    RequestInterruption, RequestRate, RetryReason, RolloutAnswers, RolloutOrder, RolloutReport,
    RolloutStage, ShedRequest, SlotHolder, SourceForm, SourceTally, StatePull, StatedLoad,
    StreamAnswer, StreamCounter, StreamFormsPush, StreamFormsReport, StreamId, StreamProofQuery,
    StreamQuery, StreamSource, StreamStart, StreamTally, StreamTiming, StreamVersion,
    SuspectReport, SuspectsPull, SuspectsPush, TablePush, TargetChange, TargetEntry,
    TargetInstance, TargetInstancesPush, TargetStart, TargetVersionsPush, TargetsContent,
    TargetsPush, Verdict, VersionDigest, VersionHistory, VersionPermitRequest, VersionSplit,
    SPLIT_SLOTS,
};
use curlewcleat_keys::{KeyTable, TABLE_KEY};
use curlewcleat_platform::format::{Daemon, EndedTarget, Metadata, Object, RefusedRequest};
use curlewcleat_platform::{forms_object, history_object};
use curlewcleat_standins::deployment::{get_json, wait_until, Deployment};
use rstest::rstest;
use serde_json::Value;
use uuid::Uuid;

/// Crates whose sources contain names that operators rely on.
const PRODUCT: [&str; 12] = [
    "crates/core",
    "crates/config",
    "crates/sched",
    "crates/keys",
    "crates/node",
    "crates/peers",
    "crates/relay",
    "crates/targets",
    "crates/store",
    "crates/daemon",
    "crates/tool",
    "platform",
];

/// Returns the root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Checks that a text equals its golden file, which is rewritten first if `UPDATE_GOLDEN` is set.
fn assert_golden(name: &str, text: &str) -> Result<()> {
    let path = root().join("crates/acceptance/tests/golden").join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, text)?;
    }
    let golden = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    assert_eq!(text, golden, "{name} differs from its golden file");
    Ok(())
}

fn request() -> Uuid {
    Uuid::from_u128(0x0192_0000_0000_7000_8000_0000_0000_0001)
}

fn daemon() -> DaemonId {
    DaemonId { vm: "vm-1".to_string(), incarnation: 7 }
}

fn permit() -> PermitId {
    PermitId { request: request(), attempt: 1 }
}

fn permit_request() -> PermitRequest {
    PermitRequest {
        permit: permit(),
        pool: "engines".to_string(),
        tier: 2,
        account: "drivers".to_string(),
        time_left: Duration::from_millis(1_500),
        objectives: LatencyObjectives {
            wait_limit: Duration::from_millis(800),
            forecast_limit: Duration::from_millis(300),
            first_part_by: Duration::from_millis(400),
            pause_limit: Duration::from_millis(200),
            urgency: 3,
            length_guessed: true,
            is_retry: false,
        },
        prompt_work: 11,
        output_work: 12,
        prefix: Some(13),
        cost: 14,
        avoid: vec!["e-9".to_string()],
        version: None,
    }
}

fn kept_answer() -> KeptAnswer {
    KeptAnswer { status: 200, content_type: "text/plain".to_string(), body: b"ok".to_vec() }
}

fn claim() -> KeyClaim {
    KeyClaim {
        request: request(),
        account: "drivers".to_string(),
        key: "k-1".to_string(),
        attempt: Some(2),
    }
}

fn freshness_query() -> FreshnessQuery {
    FreshnessQuery { incarnation: 7, sent: Duration::from_millis(42) }
}

fn target() -> DiscoveredTarget {
    DiscoveredTarget {
        pool: "engines".to_string(),
        entry: TargetEntry {
            id: "e-1".to_string(),
            address: "10.0.0.1:80".to_string(),
            vm: "vm-9".to_string(),
            data_centre: "here".to_string(),
            slots: 4,
            start: None,
            version: None,
        },
        leaving: true,
        warm_up: None,
    }
}

fn archive() -> ArchiveId {
    ArchiveId { generation: 4, length: 600, checksum: 7 }
}

/// A peer message and its label in the golden file.
type NamedMessage = (&'static str, PeerMessage);

fn refusal(verdict: Verdict) -> Refusal {
    Refusal {
        reason: RefusalReason::TierShed,
        verdict,
        retry_after: Some(Duration::from_millis(250)),
    }
}

/// Returns at least one message of each kind, and each variant of the types within messages.
fn messages() -> Vec<NamedMessage> {
    [
        state_messages(),
        freshness_messages(),
        target_messages(),
        permit_messages(),
        used_permit_messages(),
        shed_messages(),
        key_messages(),
        archive_messages(),
        target_instance_messages(),
        suspect_messages(),
        rollout_messages(),
        evacuation_messages(),
        stream_messages(),
        load_messages(),
        feature_messages(),
        stream_form_messages(),
    ]
    .concat()
}

fn state_messages() -> Vec<NamedMessage> {
    vec![
        (
            "heartbeat",
            PeerMessage::Heartbeat(Heartbeat {
                address: "10.0.0.2:8201".to_string(),
                data_centre: "here".to_string(),
                generation: 4,
                table: 5,
                draining: false,
                stale: true,
                capacity: 25,
                started: 6,
                answer_wanted: true,
                known: vec!["10.0.0.3:8201".to_string()],
            }),
        ),
        ("state pull", PeerMessage::StatePull(StatePull { generation: 4, table: 5 })),
        (
            "configuration push",
            PeerMessage::ConfigPush(ConfigBundle {
                generation: 4,
                files: BTreeMap::from([("a.ini".to_string(), "[tier a]\nrank = 0\n".to_string())]),
            }),
        ),
        (
            "table push",
            PeerMessage::TablePush(TablePush {
                version: 5,
                slots: vec![SlotHolder { holder: daemon(), complete_since_ms: 8 }],
            }),
        ),
    ]
}

fn freshness_messages() -> Vec<NamedMessage> {
    vec![
        ("freshness question", PeerMessage::FreshnessQuery(freshness_query())),
        (
            "freshness answer",
            PeerMessage::FreshnessAnswer(FreshnessAnswer {
                query: freshness_query(),
                age: Some(Duration::from_millis(70)),
                generation: 4,
                targets_at: 9,
            }),
        ),
    ]
}

fn target_messages() -> Vec<NamedMessage> {
    let targets = |content| PeerMessage::TargetsPush(TargetsPush { content, at: 9 });
    vec![
        ("targets pull", PeerMessage::TargetsPull(9)),
        ("all targets", targets(TargetsContent::All(vec![target()]))),
        (
            "changed targets",
            targets(TargetsContent::Since(
                8,
                vec![TargetChange::Present(target()), TargetChange::Gone("e-2".to_string())],
            )),
        ),
    ]
}

/// Returns messages about target instances, one with a start time and one without.
fn target_instance_messages() -> Vec<NamedMessage> {
    let mut started = target();
    started.entry.start = Some(TargetStart(1_764_720_000_123));
    let instances = |content| {
        PeerMessage::TargetInstancesPush(TargetInstancesPush::new(TargetsPush { content, at: 9 }))
    };
    vec![
        ("target lives pull", PeerMessage::TargetInstancesPull(9)),
        ("all target lives", instances(TargetsContent::All(vec![target(), started.clone()]))),
        (
            "changed target lives",
            instances(TargetsContent::Since(
                8,
                vec![TargetChange::Gone("e-2".to_string()), TargetChange::Present(started)],
            )),
        ),
    ]
}

fn permit_messages() -> Vec<NamedMessage> {
    let permit_answer = |decision| {
        PeerMessage::PermitAnswer(PermitAnswer {
            permit: permit(),
            pool: "engines".to_string(),
            decision,
        })
    };
    vec![
        ("permit request", PeerMessage::PermitRequest(permit_request())),
        ("permit queued", permit_answer(PermitDecision::Queued)),
        ("permit granted", permit_answer(PermitDecision::Granted("e-1".to_string()))),
        ("permit refused", permit_answer(PermitDecision::Refused(refusal(Verdict::NotRun)))),
    ]
}

fn used_permit_messages() -> Vec<NamedMessage> {
    let permit_return = |end| {
        PeerMessage::PermitReturn(PermitReturn {
            permit: permit(),
            pool: "engines".to_string(),
            end,
        })
    };
    let timing = StreamTiming {
        first: Duration::from_millis(90),
        rest: Duration::from_millis(800),
        parts: 5,
        pause: Duration::from_millis(30),
    };
    vec![
        ("permit unused", permit_return(AttemptEnd::Unused)),
        ("permit of a whole answer", permit_return(AttemptEnd::Whole(Duration::from_millis(60)))),
        ("permit of a whole stream", permit_return(AttemptEnd::Streamed(timing))),
        ("permit of a failure", permit_return(AttemptEnd::Failed)),
        (
            "permit held",
            PeerMessage::PermitHeld(PermitHeld {
                request: permit_request(),
                target: "e-1".to_string(),
            }),
        ),
    ]
}

fn shed_messages() -> Vec<NamedMessage> {
    vec![
        (
            "level raise",
            PeerMessage::ShedRequest(ShedRequest {
                pool: "engines".to_string(),
                tier: 2,
                round: 3,
            }),
        ),
        ("level confirmation", PeerMessage::ShedConfirm("engines".to_string(), 3)),
    ]
}

fn key_messages() -> Vec<NamedMessage> {
    let key_answer = |decision| PeerMessage::KeyAnswer(KeyAnswer { request: request(), decision });
    let outcome =
        |verdict, answer| PeerMessage::KeyOutcome(KeyOutcome { claim: claim(), verdict, answer });
    vec![
        ("key claim", PeerMessage::KeyClaim(claim())),
        ("key is new", key_answer(KeyDecision::First)),
        ("key is known", key_answer(KeyDecision::Known(refusal(Verdict::MayHaveRun)))),
        ("key has an answer", key_answer(KeyDecision::Answer(kept_answer()))),
        ("key is held elsewhere", key_answer(KeyDecision::NotHolder(5))),
        ("key outcome", outcome(Verdict::Ran, Some(kept_answer()))),
        (
            "key hand-over",
            PeerMessage::KeyHandOver(KeyHandOver {
                slot: 1,
                table: 5,
                complete_since: Duration::from_secs(1_700_000_000),
                records: vec![KeyRecord {
                    key: ("drivers".to_string(), "k-1".to_string()),
                    request: request(),
                    verdict: None,
                    answer: None,
                    touched: Duration::from_secs(1_700_000_001),
                }],
            }),
        ),
        ("key hand-over acknowledgement", PeerMessage::KeyHandOverAck(1)),
    ]
}

fn archive_messages() -> Vec<NamedMessage> {
    vec![
        (
            "configuration part pull",
            PeerMessage::ConfigPartPull(ConfigPartPull {
                known: 3,
                archive: Some(archive()),
                offset: 2,
            }),
        ),
        (
            "configuration part",
            PeerMessage::ConfigPart(ConfigPart {
                archive: archive(),
                offset: 2,
                bytes: vec![0x78, 0x01],
            }),
        ),
    ]
}

/// Returns messages about suspected requests with each kind of interruption, counted and cleared, and a target notice.
fn suspect_messages() -> Vec<NamedMessage> {
    let instance = |id: &str| TargetInstance { id: id.to_string(), start: Some(TargetStart(9)) };
    let interruption = |id, kind, begun, ended| InterruptionReport {
        interruption: RequestInterruption { instance: instance(id), kind, begun },
        ended,
        age: Duration::from_millis(1_500),
    };
    let report = SuspectReport {
        digest: RequestDigest::new([7; 32]),
        interruptions: vec![
            interruption("e-1", InterruptionKind::Closed, false, true),
            interruption("e-2", InterruptionKind::Stalled, true, false),
        ],
        cleared: vec![instance("e-3")],
        stored: true,
    };
    let push = SuspectsPush { at: 4, requests: vec![report] };
    let limit = LimitReport { rate: Some(RequestRate(1_700)), age: Duration::from_millis(20) };
    let report = NoticeReport {
        instance: instance("e-4"),
        leaving: true,
        rest: Some(Duration::from_secs(3)),
        limit: Some(limit),
    };
    vec![
        ("suspects pull", PeerMessage::SuspectsPull(SuspectsPull { known: 3 })),
        ("suspects", PeerMessage::SuspectsPush(push)),
        ("target notice", PeerMessage::TargetNotice(PoolNotice { pool: "p".to_string(), report })),
    ]
}

/// Returns messages about suspected features of several requests.
fn feature_messages() -> Vec<NamedMessage> {
    let instance = TargetInstance { id: "e-1".to_string(), start: Some(TargetStart(9)) };
    let interruption =
        RequestInterruption { instance, kind: InterruptionKind::Closed, begun: false };
    let report = |kind, begun| FeatureReport {
        feature: RequestFeature { kind, pool: PoolHash(300), digest: RequestDigest::new([7; 32]) },
        interruptions: vec![InterruptionReport {
            interruption: interruption.clone(),
            ended: true,
            age: Duration::from_millis(1_500),
        }],
        cleared: Vec::new(),
        stored: false,
        begun,
        others_begun: Some(Duration::from_millis(20)),
    };
    let features = vec![
        report(FeatureKind::Request, None),
        report(FeatureKind::AccountPart, Some(Duration::from_secs(4))),
        report(FeatureKind::Part, None),
    ];
    vec![
        ("features pull", PeerMessage::FeaturesPull(SuspectsPull { known: 3 })),
        ("features", PeerMessage::FeaturesPush(FeaturesPush { at: 4, features })),
    ]
}

fn rollout_messages() -> Vec<NamedMessage> {
    let mut versioned = target();
    versioned.entry.version = Some("v2".to_string());
    let content = TargetsContent::All(vec![target(), versioned]);
    let versions = TargetVersionsPush::new(TargetsPush { content, at: 9 });
    let order = RolloutOrder {
        pool: "engines".to_string(),
        version: "v2".to_string(),
        time: Some(Duration::from_secs(12)),
    };
    let report = RolloutReport {
        name: "engines".to_string(),
        order,
        stage: RolloutStage::Move,
        revision: 11,
        age: Duration::from_millis(1_500),
    };
    let sample = |observation| AnswerSample {
        rule: "disputes".to_string(),
        target: "e-1".to_string(),
        version: Some("v2".to_string()),
        work: 130_000,
        observation,
    };
    let answers = RolloutAnswers {
        pool: "engines".to_string(),
        version: "v2".to_string(),
        first: 3,
        samples: vec![
            sample(AnswerObservation::Begun(Duration::from_millis(120))),
            sample(AnswerObservation::Paced(Duration::from_millis(28))),
            sample(AnswerObservation::Whole(Duration::from_millis(900))),
            sample(AnswerObservation::Failed),
            sample(AnswerObservation::Broken),
        ],
    };
    vec![
        ("target versions pull", PeerMessage::TargetVersionsPull(9)),
        ("target versions", PeerMessage::TargetVersionsPush(versions)),
        ("rollout news", PeerMessage::RolloutReport(report)),
        ("rollout answers", PeerMessage::RolloutAnswers(answers)),
    ]
}

fn evacuation_messages() -> Vec<NamedMessage> {
    let data_centres = ["d1", "d2"].map(String::from).into();
    let evacuations = EvacuationList { at: 12, data_centres };
    vec![
        ("evacuations pull", PeerMessage::EvacuationsPull(9)),
        ("evacuations", PeerMessage::EvacuationsPush(evacuations)),
    ]
}

fn stream_messages() -> Vec<NamedMessage> {
    let stream = StreamId::new("assistant", "drivers", "attempt");
    let version = VersionDigest::of(Some(&"v1".to_string()));
    let request = request();
    let limited = VersionPermitRequest { request: permit_request(), version };
    let start =
        StreamStart { permit: permit_request().permit, stream, timeout: Duration::from_secs(12) };
    let proof = StreamProofQuery {
        request,
        pool: "assistant".to_string(),
        stream: Some(stream),
        time_left: Some(Duration::from_secs(5)),
    };
    vec![
        ("streams begun", PeerMessage::StreamsBegun(vec![StreamVersion { stream, version }])),
        ("stream query", PeerMessage::StreamQuery(StreamQuery { request, stream })),
        (
            "stream answer",
            PeerMessage::StreamAnswer(StreamAnswer { request, version: Some(version) }),
        ),
        ("version permit request", PeerMessage::VersionPermitRequest(limited)),
        ("stream start", PeerMessage::StreamStart(start)),
        ("stream proof query", PeerMessage::StreamProofQuery(proof)),
    ]
}

fn known_form() -> SourceForm {
    let source = StreamSource {
        rule: "ask".to_string(),
        pool: "assistant".to_string(),
        version: VersionDigest::of(Some(&"3.2".to_string())),
    };
    let form = EventForm {
        min_data_lines: 1,
        max_data_lines: 4,
        may_end_unnumbered: true,
        must_end_unnumbered: false,
        must_have_type: true,
        may_have_ignored_lines: false,
    };
    SourceForm { source, form, suffices_for_cuts: true }
}

fn stream_form_messages() -> Vec<NamedMessage> {
    let known = known_form();
    let (source, form) = (known.source.clone(), known.form);
    let mut tally = StreamTally::default();
    tally.add_regular(form, 300);
    tally.add_one(StreamCounter::Irregular);
    tally.add_one(StreamCounter::Cut);
    tally.add_one(StreamCounter::Damaged);
    let report = StreamFormsReport {
        known: 9,
        tallies: vec![SourceTally { source: source.clone(), epoch: 2, tally }],
    };
    let push = StreamFormsPush {
        at: 12,
        forms: vec![known],
        withdrawn: vec![source],
        damaged: vec!["assistant".to_string()],
    };
    vec![
        ("stream forms report", PeerMessage::StreamFormsReport(report)),
        ("stream forms push", PeerMessage::StreamFormsPush(push)),
    ]
}

fn load_messages() -> Vec<NamedMessage> {
    let report = |id: &str, start, slowness_percent| {
        let instance = TargetInstance { id: id.to_string(), start };
        let load = StatedLoad { running: 3, waiting: 1, slots: 8, slowness_percent };
        LoadReport::new(instance, load, Duration::from_millis(300))
    };
    let loads = vec![report("e-1", Some(TargetStart(9)), Some(250)), report("e-2", None, None)];
    let pools = vec![PoolLoads { pool: "engines".to_string(), loads }];
    vec![("target loads", PeerMessage::TargetLoads(pools))]
}

#[test]
fn peer_messages_keep_their_bytes() -> Result<()> {
    let mut text = String::new();
    for (name, message) in messages() {
        let frame = PeerFrame { from: daemon(), messages: vec![message] };
        let bytes = postcard::to_allocvec(&frame)?;
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "{name}: {hex}")?;
        assert_eq!(postcard::from_bytes::<PeerFrame>(&bytes)?, frame, "{name}");
    }
    // Codes are encoded as numbers, so their order is part of the format.
    for reason in RefusalReason::ALL {
        writeln!(text, "refusal {}: {:?}", reason.code(), postcard::to_allocvec(reason)?)?;
    }
    for reason in RetryReason::ALL {
        writeln!(text, "retry {}: {:?}", reason.code(), postcard::to_allocvec(reason)?)?;
    }
    assert_golden("peer-messages.txt", &text)
}

/// Returns the objects that store the refusal of a whole request and that of a part of prompts.
fn refused_objects() -> (Object<RefusedRequest>, Object<RefusedRequest>) {
    let targets = [Some(9), None].map(|start| EndedTarget { id: "e-1".to_string(), start });
    let refused = Object {
        metadata: Metadata { name: "place-07".to_string(), revision: None },
        spec: RefusedRequest {
            digest: RequestDigest::new([7; 32]).to_string(),
            kind: None,
            pool_hash: None,
            refused_at_ms: 1_700_000_000_000,
            targets: targets.to_vec(),
        },
    };
    let refused_part = Object {
        spec: RefusedRequest {
            kind: Some(FeatureKind::Part.code().to_string()),
            pool_hash: Some("000000000000012c".to_string()),
            ..refused.spec.clone()
        },
        ..refused.clone()
    };
    (refused, refused_part)
}

fn version_history() -> VersionHistory {
    let version = VersionDigest::of(Some(&"v1".to_string()));
    let split = VersionSplit {
        since: Duration::from_millis(1_700_000_000_000),
        until: Some(Duration::from_millis(1_700_000_000_500)),
        slots: [version; SPLIT_SLOTS],
        is_open: false,
    };
    VersionHistory {
        pool: "assistant".to_string(),
        revision: Some(7),
        splits: vec![split],
        longest_timeout: Some(Duration::from_secs(12)),
        ..VersionHistory::default()
    }
}

#[test]
fn stored_objects_keep_their_format() -> Result<()> {
    let manifest = ConfigManifest {
        generation: 2,
        files: BTreeMap::from([("a.ini".to_string(), "hash".to_string())]),
        history: vec![ApplyRecord {
            apply: request(),
            generation: 2,
            operator: "amina".to_string(),
            applied_at: 1_700_000_000,
            files: vec!["a.ini".to_string()],
        }],
    };
    let table = KeyTable { slots: vec![SlotHolder { holder: daemon(), complete_since_ms: 8 }] };
    let record = Object {
        metadata: Metadata { name: "vm-1".to_string(), revision: None },
        spec: Daemon { address: "10.0.0.2:8201".to_string(), incarnation: 7, capacity: 0 },
    };
    let (refused, refused_part) = refused_objects();
    let with_capacity =
        Object { spec: Daemon { capacity: 50, ..record.spec.clone() }, ..record.clone() };
    let text = format!(
        "{MANIFEST_KEY}: {}\n{TABLE_KEY}: {}\nrecord of a daemon: {}\nwith its processor: {}\n\
         refused request: {}\nrefused part: {}\nversions of streams: {}\n\
         forms of streams: {}\n",
        serde_json::to_string(&manifest)?,
        serde_json::to_string(&table)?,
        serde_json::to_string(&record)?,
        serde_json::to_string(&with_capacity)?,
        serde_json::to_string(&refused)?,
        serde_json::to_string(&refused_part)?,
        serde_json::to_string(&history_object(&version_history()))?,
        serde_json::to_string(&forms_object(&"assistant".to_string(), &[known_form()]))?
    );
    // Records of earlier versions do not contain the capacity.
    let without_capacity: Daemon =
        serde_json::from_str(r#"{"address":"10.0.0.2:8201","incarnation":7}"#)?;
    assert_eq!(without_capacity.capacity, 0);
    assert_golden("stored-objects.txt", &text)
}

#[rstest]
#[case::files("files", "")]
#[case::fleet(
    "fleet",
    "kind = fleet\ncall_limit = 1s\n\n[scheduling]\nage_per_work = 1\n\n[keys]\nslots = 1\nretention = 2s\n\
     limit = 3\n\n[bounds]\nconfig_age_limit = 5s\nconfig_apply_limit = 3s\nleave_limit = 4s\nstop_limit = 9s\n\
     retry_ratio = 0.2\nretry_saved = 52\nretry_window = 11s\nrate_overshoot = 0.1\nrate_slack = 140000\n\
     rate_window = 7s\nrollout_share = 0.1\nrollout_slack = 50\n"
)]
#[actix_rt::test]
async fn checked_settings_keep_their_keys_and_defaults(
    #[case] kind: &str,
    #[case] extra_settings: &str,
) -> Result<()> {
    let text = format!(
        "[vm]\nname = a\ndata_centre = d\n\n[callers]\naddress = 127.0.0.1:1\n\n[operators]\n\
         address = 127.0.0.1:2\n\n[peers]\naddress = 127.0.0.1:3\n\n[platform]\naddress = 127.0.0.1:4\n{extra_settings}"
    );
    let fleet = Deployment::start(&format!("golden-settings-{kind}")).await?;
    let path = fleet.write_file("daemon.ini", &text)?;
    let (code, output) = fleet.daemon_program(&["--settings", &path, "--check"])?;
    assert_eq!(code, 0, "{output}");
    assert_golden(&format!("settings-{kind}.txt"), &output)
}

/// Collects the paths of all keys of a value, with `[]` for the members of a list.
fn key_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                key_paths(field, &format!("{path}.{key}"), paths);
            }
        }
        Value::Array(members) => {
            for member in members {
                key_paths(member, &format!("{path}[]"), paths);
            }
        }
        _ => {
            paths.insert(path.to_string());
        }
    }
}

#[actix_rt::test]
async fn json_outputs_keep_their_keys() -> Result<()> {
    let fleet = ready_fleet("golden-json", 1, 1, 2).await?;
    let mut paths = BTreeSet::new();
    // Only the status of the daemon that schedules a pool contains its targets.
    for daemon in &fleet.daemons {
        key_paths(&get_json(&daemon.operators, "/status").await?, "/status", &mut paths);
    }
    fleet.list_vms(&["vm-1"], &["vm-2"]).await?;
    // The platform returns a changed list only after a moment.
    wait_until("the list of VMs", || async {
        fleet.tool(&["show", "vms", "--json"]).is_ok_and(|(_, output)| output.contains("vm-2"))
    })
    .await?;
    for what in ["status", "config", "vms", "targets", "accounts"] {
        let (_, output) = fleet.tool(&["show", what, "--json"])?;
        let value = serde_json::from_str(&output).with_context(|| format!("{what}: {output}"))?;
        key_paths(&value, &format!("show {what}"), &mut paths);
    }
    let (_, output) = fleet.tool(&["history", "--json"])?;
    key_paths(&serde_json::from_str(&output)?, "history", &mut paths);
    let mut text = paths.into_iter().collect::<Vec<_>>().join("\n");
    text.push('\n');
    assert_golden("json-keys.txt", &text)
}

#[actix_rt::test]
async fn tool_and_daemon_keep_their_flags() -> Result<()> {
    let fleet = Deployment::start("golden-flags").await?;
    let mut text = String::new();
    let commands =
        ["", "check", "diff", "apply", "show", "history", "drain", "explain", "completions"];
    for command in commands {
        let arguments: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
        let (code, output) = fleet.tool(&arguments)?;
        writeln!(text, "curlewcleat {command}: exit {code}")?;
        write_flags(&output, &mut text)?;
    }
    let (code, output) = fleet.daemon_program(&["--help"])?;
    writeln!(text, "curlewcleatd: exit {code}")?;
    write_flags(&output, &mut text)?;
    assert_golden("flags.txt", &text)
}

/// Writes the flags, arguments and commands of a help text, which are in lines indented by two or six spaces.
fn write_flags(help: &str, text: &mut String) -> Result<()> {
    for line in help.lines() {
        let Some(name) = line.strip_prefix("  ") else { continue };
        let name = name.trim_start().split("  ").next().unwrap_or_default();
        let is_command = name.split(' ').count() == 1 && name.starts_with(char::is_lowercase);
        if name.starts_with(['-', '<', '[']) || is_command {
            writeln!(text, "  {name}")?;
        }
    }
    Ok(())
}

/// Collects the Rust files below a folder.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) -> Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_sources(&path, found)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    Ok(())
}

/// Returns the names of the fields of a `kv: { ... }` list, up to its closing brace.
fn field_names(list: &str) -> BTreeSet<String> {
    let mut fields = BTreeSet::new();
    let (mut depth, mut start) = (0, 0);
    for (index, letter) in list.char_indices() {
        let closes = letter == '}' && depth == 0;
        if closes || (letter == ',' && depth == 0) {
            let field = list[start..index].split('=').next().unwrap_or_default().trim();
            if !field.is_empty() {
                fields.insert(field.to_string());
            }
            start = index + 1;
        }
        match letter {
            _ if closes => break,
            '(' | '{' | '[' => depth += 1,
            ')' | '}' | ']' => depth -= 1,
            _ => {}
        }
    }
    fields
}

/// Returns all log events, each with all fields that it has anywhere in the sources.
fn log_events() -> Result<BTreeMap<String, BTreeSet<String>>> {
    let mut files = Vec::new();
    for folder in PRODUCT {
        collect_sources(&root().join(folder).join("src"), &mut files)?;
    }
    let mut events: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for file in files {
        let text = std::fs::read_to_string(file)?;
        for (index, level) in ["debug!(", "info!(", "warn!(", "error!("]
            .into_iter()
            .flat_map(|level| text.match_indices(level))
        {
            let rest = text[index + level.len()..].trim_start();
            let Some(rest) = rest.strip_prefix('"') else { continue };
            let Some((event, rest)) = rest.split_once('"') else { continue };
            let fields = rest.trim_start_matches([',', ' ', '\n']).strip_prefix("kv: {");
            let fields = fields.map(field_names).unwrap_or_default();
            events.entry(event.to_string()).or_default().extend(fields);
        }
    }
    Ok(events)
}

#[test]
fn log_events_keep_their_fields() -> Result<()> {
    let mut text = String::new();
    for (event, fields) in log_events()? {
        writeln!(text, "{event}: {}", fields.into_iter().collect::<Vec<_>>().join(" "))?;
    }
    assert_golden("log-events.txt", &text)
}

#[test]
fn metrics_keep_their_names() -> Result<()> {
    let mut paths = vec![root().join("crates/daemon/src/metrics.rs")];
    collect_sources(&root().join("crates/daemon/src/metrics"), &mut paths)?;
    let mut text = String::new();
    for path in paths {
        text += &std::fs::read_to_string(path)?;
    }
    let names: BTreeSet<&str> = text
        .split('"')
        .skip(1)
        .step_by(2)
        .filter(|name| name.chars().all(|letter| letter.is_lowercase() || letter == '_'))
        .collect();
    assert_golden("metrics.txt", &(names.into_iter().collect::<Vec<_>>().join("\n") + "\n"))
}

#[test]
fn deploy_files_and_examples_keep_their_content() -> Result<()> {
    let mut text = String::new();
    for folder in ["deploy", "examples/atlas", "examples/by-hand", "examples/sahel-volt"] {
        let mut paths: Vec<PathBuf> = std::fs::read_dir(root().join(folder))?
            .map(|entry| Ok(entry?.path()))
            .collect::<Result<_>>()?;
        paths.sort();
        for path in paths {
            if path.is_dir() {
                // platform/tests/days.rs reads all files in this folder.
                assert_eq!(path, root().join("deploy/days"), "a folder that no test reads");
                continue;
            }
            let hash = curlewcleat_core::hash_token(&std::fs::read_to_string(&path)?);
            let hex: String = hash.bytes().iter().map(|byte| format!("{byte:02x}")).collect();
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            writeln!(text, "{folder}/{name}: {hex}")?;
        }
    }
    assert_golden("deploy-files.txt", &text)
}
