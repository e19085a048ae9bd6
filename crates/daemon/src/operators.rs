//! The operators' interface: health, status, metrics, drain.
//!
//! Owns: the paths and JSON answers for operators; the JSON keys are stable. Relies on: the node for its status.

use std::cmp::Reverse;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use curlewcleat_core::{FeatureReport, InterruptionReport, RequestDigest};
use curlewcleat_node::{NodeEvent, NodeStatus};
use serde_json::{json, Value};

use crate::byte_budget::SharedBudget;
use crate::context::DaemonContext;

/// Most unusable values of a configuration that the status lists.
const MAX_LISTED_FAULTS: usize = 50;

/// Serves one request of an operator, a load balancer or a metrics scraper.
pub async fn serve_operator(context: DaemonContext, request: Request) -> Response<BoxBody> {
    match (request.method(), request.path()) {
        (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok"),
        (&Method::GET, "/readyz") => readiness(&context).await,
        (&Method::GET, "/status") => match context.status().await {
            Some(status) => json_response(&status_json(&context, &status)),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending"),
        },
        (&Method::GET, "/config") => match context.config_bundle().await {
            Some(bundle) => {
                json_response(&json!({ "generation": bundle.generation, "files": bundle.files }))
            }
            None => text_response(StatusCode::NOT_FOUND, "no configuration"),
        },
        (&Method::GET, "/metrics") => match context.status().await {
            Some(status) => {
                let budget = context.budget.as_ref().map(SharedBudget::status);
                let metrics = context.metrics.render(&status, &context.reach, budget.as_ref());
                text_response(StatusCode::OK, &metrics)
            }
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending"),
        },
        (&Method::GET, "/suspects") => match context.status().await {
            Some(status) => json_response(&suspects_json(&status)),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending"),
        },
        (&Method::GET, "/rollouts") => match context.status().await {
            Some(status) => json_response(&rollouts_json(&status)),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending"),
        },
        (&Method::POST, "/suspects/clear") => clear_suspect(&context, request.uri().query()),
        (&Method::POST, "/drain") => {
            context.send_event(NodeEvent::Drain);
            text_response(StatusCode::ACCEPTED, "draining")
        }
        _ => text_response(StatusCode::NOT_FOUND, "unknown path"),
    }
}

async fn readiness(context: &DaemonContext) -> Response<BoxBody> {
    match context.status().await {
        Some(status)
            if status.generation > 0 && status.drain == curlewcleat_sched::DrainPhase::Serving =>
        {
            text_response(StatusCode::OK, "ready")
        }
        Some(status) if status.generation == 0 => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration")
        }
        _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "draining"),
    }
}

fn status_json(context: &DaemonContext, status: &NodeStatus) -> Value {
    let pools: Vec<Value> = status.pools.iter().map(pool_json).collect();
    let peers: Vec<Value> = status.peers.iter().map(|(vm, peer)| {
        json!({
            "vm": vm, "live": peer.live, "address": peer.address, "data_centre": peer.data_centre,
            "generation": peer.generation, "draining": peer.draining,
        })
    }).collect();
    json!({
        "vm": status.me.vm, "incarnation": status.me.incarnation.to_string(),
        "data_centre": context.settings.data_centre,
        "generation": status.generation, "config_faults": config_faults_json(status), "key_table": status.table, "key_slots": status.key_slots,
        "keys": status.keys, "requests": status.requests,
        "evacuated": status.evacuated,
        "targets_unreachable": context.reach.is_partitioned(), "target_links_lost": context.reach.lost_links(),
        "drain": format!("{:?}", status.drain).to_lowercase(),
        "pools": pools, "peers": peers,
    })
}

/// Returns how many values of the configuration cannot be used as they stand, and the first of them, as JSON.
fn config_faults_json(status: &NodeStatus) -> Value {
    let first = status.config_faults.iter().take(MAX_LISTED_FAULTS).map(|fault| {
        json!({
            "path": fault.path, "value": fault.value, "problem": fault.problem,
            "effect": fault.effect.code(),
        })
    });
    json!({ "count": status.config_faults.len(), "first": first.collect::<Vec<Value>>() })
}

/// Returns the rollouts, which move pools to targets of other versions, as JSON.
fn rollouts_json(status: &NodeStatus) -> Value {
    let rollouts = status.rollouts.iter().map(|rollout| {
        json!({
            "pool": rollout.pool, "version": rollout.version, "stage": rollout.stage.code(),
            "age_ms": rollout.age.as_millis() as u64,
            "time_ms": rollout.time.map(|time| time.as_millis() as u64),
            "requests": rollout.requests, "trial_requests": rollout.trial_requests,
            "answers": rollout.answers, "other_answers": rollout.other_answers,
            "bad_answers": rollout.bad_answers,
        })
    });
    Value::Array(rollouts.collect())
}

/// Returns the features of requests that terminated targets, or may have, as JSON: first those that are refused, then by
/// the number of interruptions.
fn suspects_json(status: &NodeStatus) -> Value {
    let mut suspects: Vec<&FeatureReport> =
        status.suspects.iter().filter(|suspect| !suspect.interruptions.is_empty()).collect();
    suspects.sort_by_key(|suspect| {
        (!status.refused.contains(&suspect.feature), Reverse(suspect.interruptions.len()))
    });
    let suspects = suspects.into_iter().map(|suspect| {
        let targets: Vec<Value> = suspect.interruptions.iter().map(interruption_json).collect();
        json!({
            "kind": suspect.feature.kind.code(),
            "digest": suspect.feature.digest.to_string(),
            "refused": status.refused.contains(&suspect.feature),
            "stored": suspect.stored, "targets": targets,
            "answer_begun_ago_ms": suspect.begun.map(|age| age.as_millis() as u64),
            "others_begun_ago_ms": suspect.others_begun.map(|age| age.as_millis() as u64),
        })
    });
    Value::Array(suspects.collect())
}

fn interruption_json(report: &InterruptionReport) -> Value {
    json!({
        "id": report.interruption.instance.id, "ended": report.ended, "answer_begun": report.interruption.begun,
        "ago_ms": report.age.as_millis() as u64,
    })
}

/// Clears the suspect request whose digest the query gives.
fn clear_suspect(context: &DaemonContext, query: Option<&str>) -> Response<BoxBody> {
    let digest = query.and_then(|query| query.strip_prefix("digest="));
    match digest.and_then(RequestDigest::from_hex) {
        Some(digest) => {
            context.send_event(NodeEvent::ClearSuspect(digest));
            text_response(StatusCode::ACCEPTED, "cleared")
        }
        None => {
            text_response(StatusCode::BAD_REQUEST, "digest= and 64 hexadecimal digits are wanted")
        }
    }
}

fn pool_json(pool: &curlewcleat_node::PoolStatus) -> Value {
    let targets: Vec<Value> = pool.targets.iter().map(|target| {
        json!({
            "id": target.id, "in_flight": target.in_flight, "slots": target.slots,
            "slowness_permille": target.slowness, "leaving": target.leaving, "ejected": target.ejected,
            "limit_per_s": target.limit.map(|limit| limit.as_per_second()), "rests": target.is_resting,
            "warm_up_per_s": target.warm_up_rate.map(|rate| rate.as_per_second()),
            "stated_slowness_percent": target.stated_slowness.map(|(slowness, _)| slowness),
            "stated_age_ms": target.stated_slowness.map(|(_, age)| age.as_millis() as u64),
        })
    }).collect();
    json!({
        "id": pool.id, "scheduler": pool.scheduler, "waiting": pool.waiting, "in_flight": pool.in_flight,
        "lowest_open_rank": pool.lowest_open, "targets": targets,
        "returns": json!({
            "booked": pool.returns.booked, "not_booked": pool.returns.not_booked,
            "redeemed": pool.returns.redeemed,
        }),
    })
}

fn json_response(value: &Value) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("Content-Type", "application/json"));
    response.body(value.to_string()).map_into_boxed_body()
}

fn text_response(status: StatusCode, text: &str) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header(("Content-Type", "text/plain; charset=utf-8"));
    response.body(text.to_string()).map_into_boxed_body()
}
