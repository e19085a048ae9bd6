//! Writes the notes of the node as log lines.
//!
//! Owns: the log events and their fields, which are stable. Relies on: nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_config::CheckReport;
use curlewcleat_core::{
    ConfigFault, DataCentreId, FeatureReport, Generation, ObjectVersion, PoolId, RequestFeature,
    RequestId, TargetInstance, TargetVersion, VersionDigest,
};
use curlewcleat_node::{
    EvacuationChange, InstanceChange, NodeNote, PoolStatus, RolloutStatus, StartObstacle,
    VersionSource,
};
use curlewcleat_sched::{RetryBound, RolloutReason, UnprovedReason, VersionProof};
use spdlog::prelude::*;

use crate::stream_forms::FormChanges;

/// Most unusable values that are logged for one configuration.
const MAX_LOGGED_FAULTS: usize = 20;

/// Most forms of streams that are logged for one change.
const MAX_LOGGED_FORMS: usize = 20;

/// Logs what has changed of the forms that the daemons know together.
pub fn log_stream_forms(changes: &FormChanges) {
    for known in changes.known.iter().take(MAX_LOGGED_FORMS) {
        let (source, form) = (&known.source, &known.form);
        info!("stream_form_known", kv: {
            rule = source.rule.as_str(), pool = source.pool.as_str(),
            version = source.version.to_hex(), for_cuts = known.suffices_for_cuts,
            min_data_lines = form.min_data_lines, max_data_lines = form.max_data_lines,
            may_end_unnumbered = form.may_end_unnumbered,
            must_end_unnumbered = form.must_end_unnumbered, must_have_type = form.must_have_type,
            may_have_ignored_lines = form.may_have_ignored_lines
        });
    }
    for source in changes.dropped.iter().take(MAX_LOGGED_FORMS) {
        info!("stream_form_dropped", kv: {
            rule = source.rule.as_str(), pool = source.pool.as_str(),
            version = source.version.to_hex()
        });
    }
    if let Some(damaged) = &changes.damaged {
        let pools: Vec<&str> = damaged.iter().map(String::as_str).collect();
        warn!("streams_damaged", kv: { pools = pools.join(" ") });
    }
}

/// Logs a note of the node.
pub fn log_node_note(note: &NodeNote) {
    match note {
        NodeNote::ConfigAccepted(generation) => log_config_accepted(*generation),
        NodeNote::ConfigInvalid(generation, report) => log_config_invalid(*generation, report),
        NodeNote::ConfigFaults(generation, faults) => log_config_faults(*generation, faults),
        NodeNote::ConfigNotPacked(generation, error) => log_config_not_packed(*generation, error),
        NodeNote::ConfigUnreadable(generation, error) => log_config_unreadable(*generation, error),
        NodeNote::RetryDenied(request, bound) => log_retry_denied(*request, *bound),
        NodeNote::StreamTakenUp { request, source, waited } => {
            log_stream_taken_up(*request, *source, *waited)
        }
        NodeNote::StreamProof { request, proof, read_age } => {
            log_stream_proof(*request, proof, *read_age)
        }
        NodeNote::StreamStartRefused { request, pool, obstacle, waited, read_age } => {
            log_start_refused(*request, pool, *obstacle, *waited, *read_age)
        }
        NodeNote::PeerLost(peer) => warn!("peer_lost", kv: { vm = peer.vm.as_str() }),
        NodeNote::PeerReplaced(peer) => info!("peer_replaced", kv: { vm = peer.vm.as_str() }),
        NodeNote::InstanceChanged(change) => log_instance_change(change),
        NodeNote::TargetRemoved(removed) => {
            info!("target_gone", kv: { target = removed.target.as_str(), left = removed.announced_leaving })
        }
        NodeNote::StaleTargetList { at, known } => log_stale_target_list(*at, *known),
        NodeNote::TableKnown(version, slots) => log_table_known(*version, *slots),
        NodeNote::PoolQueueStatus(pool) => log_waiting(pool),
        NodeNote::TargetTerminated(feature, instance) => log_target_terminated(feature, instance),
        NodeNote::RequestLethal(suspect) => log_lethal(suspect),
        NodeNote::RolloutStage(rollout, reason) => log_rollout(rollout, *reason),
        NodeNote::VersionsHeld(pool, versions) => log_versions_held(pool, versions),
        NodeNote::EvacuationsChanged(change) => log_evacuations(change),
        NodeNote::RequestAllowed(feature) => log_request_allowed(feature),
        NodeNote::SuspectCleared(feature) => log_suspect_cleared(feature),
        NodeNote::DrainBegun => info!("drain_begun"),
        NodeNote::DrainClosing => info!("drain_closing"),
    }
}

fn log_config_accepted(generation: Generation) {
    info!("config_accepted", kv: { generation });
}

fn log_config_invalid(generation: Generation, report: &CheckReport) {
    error!("config_invalid", kv: { generation, problems = report.to_string() });
}

fn log_config_not_packed(generation: Generation, error: &str) {
    error!("config_not_packed", kv: { generation, error });
}

fn log_config_unreadable(generation: Generation, error: &str) {
    error!("config_unreadable", kv: { generation, error });
}

fn log_retry_denied(request: RequestId, bound: RetryBound) {
    info!("retry_denied", kv: { request = request.to_string(), bound = bound.code() });
}

fn log_stream_taken_up(request: RequestId, source: VersionSource, waited: Duration) {
    info!("stream_taken_up", kv: {
        request = request.to_string(), known_from = source.code(),
        waited_ms = waited.as_millis() as i64
    });
}

fn log_stream_proof(request: RequestId, proof: &VersionProof, read_age: Option<Duration>) {
    let version = proof.version().map_or(String::new(), VersionDigest::to_hex);
    let candidates: Vec<String> = proof.versions.iter().map(|version| version.to_hex()).collect();
    let reason = proof.result.err().map_or("", UnprovedReason::code);
    info!("stream_proof", kv: {
        request = request.to_string(), version = version.as_str(),
        read_age_ms = age_millis(read_age), reason, reach_ms = age_millis(proof.reach),
        splits = proof.splits, candidates = candidates.join(",")
    });
}

/// Returns a time in milliseconds, -1 where it is not known.
fn age_millis(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| age.as_millis() as i64)
}

fn log_start_refused(
    request: RequestId,
    pool: &str,
    obstacle: StartObstacle,
    waited: Duration,
    read_age: Option<Duration>,
) {
    warn!("stream_start_refused", kv: {
        request = request.to_string(), pool, reason = obstacle.code(),
        waited_ms = waited.as_millis() as i64, read_age_ms = age_millis(read_age)
    });
}

fn log_stale_target_list(at: ObjectVersion, known: ObjectVersion) {
    info!("target_list_late", kv: { at, known });
}

fn log_table_known(version: ObjectVersion, slots: usize) {
    info!("key_table_known", kv: { version, slots_held = slots });
}

fn log_target_terminated(feature: &RequestFeature, instance: &TargetInstance) {
    warn!("target_ended_under_request", kv: {
        kind = feature.kind.code(), digest = feature.digest.to_string(),
        target = instance.id.as_str()
    });
}

fn log_versions_held(pool: &PoolId, versions: &[TargetVersion]) {
    info!("versions_held", kv: { pool = pool.as_str(), versions = versions.join(" ") });
}

fn log_evacuations(change: &EvacuationChange) {
    info!("evacuations_changed", kv: {
        at = change.at, begun = join(&change.begun), ended = join(&change.ended)
    });
}

fn log_request_allowed(feature: &RequestFeature) {
    info!("request_allowed", kv: {
        kind = feature.kind.code(), digest = feature.digest.to_string()
    });
}

fn log_suspect_cleared(feature: &RequestFeature) {
    info!("suspect_cleared", kv: {
        kind = feature.kind.code(), digest = feature.digest.to_string()
    });
}

fn join(data_centres: &BTreeSet<DataCentreId>) -> String {
    data_centres.iter().map(String::as_str).collect::<Vec<_>>().join(" ")
}

fn log_waiting(pool: &PoolStatus) {
    let ejected = pool.targets.iter().filter(|target| target.ejected).count();
    let leaving = pool.targets.iter().filter(|target| target.leaving).count();
    let slots: u32 = pool.targets.iter().map(|target| target.slots).sum();
    let granted: Vec<String> = pool.granted.iter().map(ToString::to_string).collect();
    info!("pool_waits", kv: {
        pool = pool.id.as_str(), waiting = pool.waiting, late = pool.late,
        in_flight = pool.in_flight, slots,
        targets = pool.targets.len(), ejected, leaving,
        lowest_open = pool.lowest_open.map_or(-1, i64::from),
        granted = granted.join(" "), returns_booked = pool.returns.booked,
        returns_not_booked = pool.returns.not_booked, returns_redeemed = pool.returns.redeemed
    });
}

fn log_lethal(suspect: &FeatureReport) {
    let ended = suspect.interruptions.iter().filter(|report| report.ended);
    let targets: Vec<&str> = ended.map(|report| report.interruption.instance.id.as_str()).collect();
    warn!("request_lethal", kv: {
        kind = suspect.feature.kind.code(), digest = suspect.feature.digest.to_string(),
        ended = targets.len(), targets = targets.join(" ")
    });
}

/// Logs a stage of a rollout. The figures are those of this daemon; the daemon that decided on the stage has the most
/// complete ones, and only its line has the reason.
fn log_rollout(rollout: &RolloutStatus, reason: Option<RolloutReason>) {
    info!("rollout_stage", kv: {
        pool = rollout.pool.as_str(), version = rollout.version.as_str(),
        stage = rollout.stage.code(), reason = reason.map_or("told", RolloutReason::code),
        age_ms = rollout.age.as_millis() as i64,
        time_ms = rollout.time.map_or(-1, |time| time.as_millis() as i64),
        requests = rollout.requests, trial_requests = rollout.trial_requests,
        answers = rollout.answers, other_answers = rollout.other_answers,
        bad_answers = rollout.bad_answers
    });
}

fn log_instance_change(change: &InstanceChange) {
    let InstanceChange { target, stated, known } = change;
    match change.is_late() {
        true => warn!("target_entry_late", kv: {
            target = target.as_str(), start = stated.0, known = known.0
        }),
        false => info!("target_started_again", kv: {
            target = target.as_str(), start = stated.0, known = known.0
        }),
    }
}

/// Logs the first values of a configuration that cannot be used, and how many there are.
fn log_config_faults(generation: Generation, faults: &[ConfigFault]) {
    warn!("config_faults", kv: { generation, faults = faults.len() });
    for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
        warn!("config_fault", kv: {
            generation, path = fault.path.as_str(), value = fault.value.as_str(),
            problem = fault.problem.as_str(), effect = fault.effect.code()
        });
    }
}
