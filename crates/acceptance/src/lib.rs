//! Shared by the tests with real processes: a small configuration, and a fleet in which it is in force.

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use anyhow::Result;
use curlewcleat_core::hash_token;
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::Deployment;

/// Token of the account `drivers`.
pub const DRIVERS: &str = "drivers-token";
/// Token of the account `depots`.
pub const DEPOTS: &str = "depots-token";

/// Returns a configuration for a fleet's targets: services are in the pool `sessions`, engines in `assistant`. The
/// extra lines are added to the sections of these pools.
pub fn configuration(fleet: &Deployment, service_lines: &str, engine_lines: &str) -> String {
    let token_hash = |token: &str| {
        hash_token(token).bytes().iter().map(|byte| format!("{byte:02x}")).collect::<String>()
    };
    let mut text = format!(
        "[tier start-stop]\nrank = 0\ndeadline = 5s\n\n[tier roadside]\nrank = 1\ndeadline = 20s\n\n\
         [tier review]\nrank = 2\ndeadline = 60s\n\n\
         [account drivers]\ntoken_sha256 = {}\nweight = 2\n\n[account depots]\ntoken_sha256 = {}\n\n\
         [pool sessions]\nkind = service\nnot_started_status = 503\nfirst_byte_limit = 2s\n{service_lines}\n\n\
         [pool assistant]\nkind = engine\nprompt_token_us = 20\noutput_token_us = 2000\n\
         not_started_status = 503\nend_event = [DONE]\nresumable = yes\nbetween_bytes_limit = 2s\n{engine_lines}\n\n\
         [rule unlock]\norder = 10\npath = /v1/sessions/*\ntier = start-stop\npool = sessions\n\n\
         [rule stop-review]\norder = 15\npath = /v1/records/*\ntier = review\npool = sessions\nrepeatable = yes\n\n\
         [rule disputes]\norder = 20\npath = /v1/assistant/disputes\ntier = review\npool = assistant\n\
         repeatable = yes\nbody_limit = 4194304\n\n\
         [rule assistant]\norder = 30\npath = /v1/assistant/*\ntier = roadside\npool = assistant\n\
         repeatable = yes\nbody_limit = 4194304\n\n",
        token_hash(DRIVERS),
        token_hash(DEPOTS)
    );
    for (index, target) in fleet.targets.iter().enumerate() {
        let pool = if target.name.starts_with("engine") { "assistant" } else { "sessions" };
        let slots = if pool == "assistant" { 4 } else { 8 };
        text.push_str(&format!(
            "[target t{index}]\npool = {pool}\naddress = {}\nvm = target-{index}\nslots = {slots}\n\n",
            target.address
        ));
    }
    text
}

/// Starts a fleet of engines, services and daemons, and waits until the small configuration is in force.
pub async fn ready_fleet(
    name: &str,
    engines: usize,
    services: usize,
    daemons: usize,
) -> Result<Deployment> {
    let mut fleet = Deployment::start(name).await?;
    for _ in 0..engines {
        fleet.target("engine", &["--slots", "4"]).await?;
    }
    for _ in 0..services {
        fleet.target("service", &["--slots", "8"]).await?;
    }
    fleet.daemons(daemons).await?;
    let text = configuration(&fleet, "", "");
    fleet.apply("all.ini", &text)?;
    fleet.wait_for_peers(daemons - 1).await?;
    fleet.wait_for_key_table().await?;
    Ok(fleet)
}

/// Returns the head of a request to a daemon of a fleet, with the key of the account `drivers` and a timeout of three
/// seconds.
///
/// # Errors
/// Fails if the path is not a valid URI or `attempt` is not valid as a header value.
pub fn fleet_head(path: &str, attempt: &str) -> Result<RequestHead> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = path.parse()?;
    let key = format!("Bearer {DRIVERS_KEY}");
    let headers = [
        ("host", HOST),
        ("authorization", key.as_str()),
        (WIRE_PROFILE.attempt_id, attempt),
        (WIRE_PROFILE.time_left, "3000"),
    ];
    for (name, value) in headers {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(value)?);
    }
    Ok(head)
}
