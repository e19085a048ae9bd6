//! Daemons that read their configuration from the platform's store: routes, answers, failures of engines and of the
//! store, and the planned stop. The tests compare what engines ran with the answers that callers received.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_platform::example::{
    example_config, DEPOTS_KEY, DRIVERS_KEY, DRIVERS_SECOND_KEY, HOST,
};
use curlewcleat_platform::format::Service;
use curlewcleat_platform::names::{CONFIG_KIND, CONFIG_NAME, SEAL_HEADER, SERVERS, WIRE_PROFILE};
use curlewcleat_platform::FleetClient;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::{EngineStep, FleetDeployment, FleetEngine, StoreOutage};
use curlewcleat_standins::http::{
    serve_here, AfterAnswer, HandlerFuture, PlainConnection, PlainHandler, PlainRequest,
};
use curlewcleat_store::{Error, FleetPlatform};
use curlewcleat_targets::{AnswerBody, BodyFrame, ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;
use rstest::rstest;
use serde_json::json;

/// Time that an engine takes for an event of a stream or for a record.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Events of a stream.
const EVENTS: u64 = 8;
/// Time within which a configuration has to be in force at all daemons: the required bound.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Bounds that require a daemon to prove the age of its configuration, and allow retries.
const BOUNDS: &str = "config_age_limit = 1500ms\nretry_saved = 100\nretry_ratio = 0.5";

/// A request of a caller.
struct Call<'a> {
    method: Method,
    path: &'a str,
    attempt: &'a str,
    key: Option<&'a str>,
    headers: Vec<(&'static str, &'a str)>,
    body: Option<&'a str>,
}

impl<'a> Call<'a> {
    fn new(path: &'a str, attempt: &'a str) -> Call<'a> {
        let headers = vec![(WIRE_PROFILE.time_left, "4000")];
        Call {
            method: Method::POST,
            path,
            attempt,
            key: Some(DRIVERS_KEY),
            headers,
            body: Some("b"),
        }
    }

    fn key(self, key: Option<&'a str>) -> Call<'a> {
        Call { key, ..self }
    }

    fn header(mut self, name: &'static str, value: &'a str) -> Call<'a> {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value));
        self
    }

    fn head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.path.parse().expect("a path");
        let mut set = |name: &'static str, value: &str| {
            let value = HeaderValue::from_str(value).expect("a header");
            head.headers.insert(HeaderName::from_static(name), value);
        };
        set("host", HOST);
        set(WIRE_PROFILE.attempt_id, self.attempt);
        if let Some(key) = self.key {
            set("authorization", &format!("Bearer {key}"));
        }
        for (name, value) in &self.headers {
            set(name, value);
        }
        head
    }

    async fn begin(&self, daemon: &str) -> Result<(actix_http::ResponseHead, AnswerBody)> {
        let client = ConnectionPool::default();
        let connection = client.connect(daemon, Duration::from_secs(2)).await?;
        let body = self.body.map(|body| Bytes::from(body.to_string())).unwrap_or_default();
        let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
        let answer = connection.exchange_with(self.head(), body, &options).await?;
        Ok((answer.head, answer.body))
    }

    async fn send(&self, daemon: &str) -> Result<Answer> {
        let (head, mut body) = self.begin(daemon).await?;
        let mut bytes = Vec::new();
        let mut complete = true;
        while let Some(part) = body.next().await {
            match part {
                Ok(part) => bytes.extend_from_slice(&part),
                Err(_) => complete = false,
            }
        }
        let header = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
        };
        Ok(Answer {
            status: head.status.as_u16(),
            text: String::from_utf8_lossy(&bytes).to_string(),
            complete: complete && body.frame() != BodyFrame::UntilClose,
            seal: header(SEAL_HEADER),
            echo: header(WIRE_PROFILE.attempt_id),
            retry_after: header("retry-after").and_then(|text| text.parse().ok()),
        })
    }
}

/// The answer that a caller received.
#[derive(Debug)]
struct Answer {
    status: u16,
    text: String,
    complete: bool,
    seal: Option<String>,
    echo: Option<String>,
    retry_after: Option<f64>,
}

/// Starts engines for records and for streams, and daemons; waits until the daemons are ready and records are served.
async fn ready(
    name: &str,
    daemons: usize,
    records: usize,
    engines: usize,
) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..records {
        fleet.engine("records", 0, EVENT_INTERVAL).await?;
    }
    for _ in 0..engines {
        fleet.engine("engines", EVENTS, EVENT_INTERVAL).await?;
    }
    fleet.daemons(daemons, BOUNDS).await?;
    for daemon in &fleet.daemons {
        let operators = daemon.operators.clone();
        wait_ready(&operators, true).await?;
    }
    // The list of targets is read independently of the configuration.
    let entry = fleet.daemons[0].callers.clone();
    wait_until("records are served", || {
        let entry = entry.clone();
        async move {
            let call = Call::new("/again/x", "warm").send(&entry).await;
            records == 0 || call.is_ok_and(|answer| answer.status == 200)
        }
    })
    .await?;
    Ok(fleet)
}

/// Waits until the daemon reports that it is ready, or that it is not.
async fn wait_ready(operators: &str, wanted: bool) -> Result<()> {
    wait_until("readiness", || async move {
        let text = get_text(operators, "/readyz").await.unwrap_or_default();
        (text == "ready") == wanted
    })
    .await
}

/// Returns the number of runs of an attempt at all engines.
fn runs(fleet: &FleetDeployment, attempt: &str) -> usize {
    let engines = fleet.engines.iter();
    engines.flat_map(|engine| engine.runs()).filter(|run| run.attempt == attempt && run.ran).count()
}

#[actix_rt::test]
async fn route_account_and_headers_are_those_of_the_configuration() -> Result<()> {
    let fleet = ready("routes", 1, 1, 0).await?;
    let entry = &fleet.daemons[0].callers;
    let served = Call::new("/once/a?x=1", "t1").header("x-color", "blue").send(entry).await?;
    assert_eq!((served.status, served.text.as_str()), (200, "record of t1"));
    assert_eq!(served.seal.as_deref(), Some("i-0"));
    assert_eq!(served.echo.as_deref(), Some("t1"));
    let second = Call::new("/once/a", "t2").key(Some(DRIVERS_SECOND_KEY)).send(entry).await?;
    assert_eq!(second.status, 200);
    let forged = Call::new("/once/a", "t3").key(Some(DEPOTS_KEY)).header(WIRE_PROFILE.account, "x");
    assert_eq!(forged.send(entry).await?.status, 200);
    let open = Call::new("/once/open/a", "t4").key(None).send(entry).await?;
    assert_eq!(open.status, 200);
    assert_eq!(Call::new("/once/a", "t5").key(None).send(entry).await?.status, 401);
    assert_eq!(Call::new("/once/a", "t6").key(Some("nobody")).send(entry).await?.status, 401);
    assert_eq!(Call::new("/nowhere/a", "t7").send(entry).await?.status, 404);
    let all = fleet.engines[0].runs();
    let run = |attempt: &str| all.iter().find(|run| run.attempt == attempt).cloned();
    let first = run("t1").expect("t1 ran");
    assert_eq!((first.request.as_str(), first.body.as_slice()), ("POST /once/a", b"b".as_slice()));
    assert_eq!((first.account.as_str(), first.key.as_str()), ("drivers", ""));
    assert!(first.time_left > 2_000 && first.time_left <= 4_000, "{}", first.time_left);
    assert_eq!(run("t2").map(|run| run.account).as_deref(), Some("drivers"));
    assert_eq!(run("t3").map(|run| run.account).as_deref(), Some("depots"));
    assert_eq!(run("t4").map(|run| run.account).as_deref(), Some(""));
    assert!(run("t5").is_none() && run("t6").is_none() && run("t7").is_none());
    Ok(())
}

#[rstest]
#[case::closed_within_an_event("broken", EngineStep::Interrupt(3))]
#[case::closed_before_the_first_event("begin", EngineStep::Interrupt(0))]
#[case::closed_without_an_answer("closed", EngineStep::Close)]
#[case::silent("silent", EngineStep::Stall)]
#[case::failed("failed", EngineStep::Fail(500))]
#[case::declined("declined", EngineStep::Decline)]
#[actix_rt::test]
async fn stream_is_resumed_at_another_engine_within_one_answer(
    #[case] name: &str,
    #[case] step: EngineStep,
) -> Result<()> {
    let fleet = ready(&format!("resumed-{name}"), 1, 0, 2).await?;
    let entry = fleet.daemons[0].callers.clone();
    wait_until("streams are served", || async {
        let call = Call::new("/resumed/stream/a", "warm").send(&entry).await;
        call.is_ok_and(|answer| answer.status == 200)
    })
    .await?;
    fleet.engines.iter().for_each(|engine| engine.queue_step(step));
    // Both engines fail once; the observed attempt meets at least one failure and may need the other engine.
    let _ = Call::new("/resumed/stream/a", "first").send(&entry).await?;
    fleet.engines.iter().for_each(|engine| engine.set_default_step(EngineStep::Serve));
    fleet.engines[0].queue_step(step);
    let answer = Call::new("/resumed/stream/a", "t").send(&entry).await?;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.text, FleetEngine::expected_stream("t", EVENTS));
    Ok(())
}

#[rstest]
#[case::closed_within_an_event("broken", EngineStep::Interrupt(3))]
#[case::closed_without_an_answer("closed", EngineStep::Close)]
#[actix_rt::test]
async fn stream_that_may_not_be_resumed_runs_once_and_is_interrupted(
    #[case] name: &str,
    #[case] step: EngineStep,
) -> Result<()> {
    let fleet = ready(&format!("plain-{name}"), 1, 1, 2).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.engines.iter().for_each(|engine| engine.set_default_step(step));
    let answer = Call::new("/plain/stream/a", "t").send(entry).await?;
    assert!(!answer.complete || answer.status == 502, "{answer:?}");
    assert_eq!(runs(&fleet, "t"), 1);
    Ok(())
}

#[rstest]
#[case::closed("closed", EngineStep::Close, 502, "target_closed")]
#[case::unnamed("unnamed", EngineStep::WithoutAttemptId, 502, "target_protocol")]
#[case::failed("failed", EngineStep::Fail(500), 500, "failed")]
#[case::silent("silent", EngineStep::Stall, 504, "first_byte_timeout")]
#[actix_rt::test]
async fn record_that_may_not_be_repeated_runs_once(
    #[case] name: &str,
    #[case] step: EngineStep,
    #[case] status: u16,
    #[case] text: &str,
) -> Result<()> {
    let fleet = ready(&format!("once-{name}"), 1, 2, 0).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.engines.iter().for_each(|engine| engine.set_default_step(step));
    let call = Call::new("/once/a", "t").header(WIRE_PROFILE.time_left, "700");
    let started = Instant::now();
    let answer = call.send(entry).await?;
    assert_eq!(answer.status, status);
    assert!(answer.text.contains(text), "{}", answer.text);
    assert_eq!(answer.retry_after, None, "Retry-After would state that the request did not run");
    assert!(started.elapsed() < Duration::from_millis(1_500));
    assert_eq!(runs(&fleet, "t"), 1);
    Ok(())
}

/// The timeout for the first byte ends at the deadline of the request, so both limits pass at the same time.
#[actix_rt::test]
async fn timeout_of_the_first_byte_at_the_deadline_is_the_reason_of_the_refusal() -> Result<()> {
    let fleet = ready("silent-together", 1, 2, 0).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.engines.iter().for_each(|engine| engine.set_default_step(EngineStep::Stall));
    // With more failures, the targets would be ejected.
    let attempts: Vec<String> = (0..8).map(|number| format!("t{number}")).collect();
    let calls = attempts.iter().map(|attempt| async move {
        Call::new("/once/a", attempt).header(WIRE_PROFILE.time_left, "300").send(entry).await
    });
    for answer in futures_util::future::try_join_all(calls).await? {
        assert_eq!(answer.status, 504, "{}", answer.text);
        assert!(answer.text.contains("first_byte_timeout"), "{}", answer.text);
    }
    Ok(())
}

#[actix_rt::test]
async fn declined_record_runs_at_another_engine_or_is_refused_as_not_run() -> Result<()> {
    let fleet = ready("declined", 1, 2, 0).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.engines.iter().for_each(|engine| engine.queue_step(EngineStep::Decline));
    let refused = Call::new("/once/a", "t1").send(entry).await?;
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after.is_some_and(|wait| wait > 0.0));
    assert_eq!(runs(&fleet, "t1"), 0);
    let served = Call::new("/once/a", "t2").send(entry).await?;
    assert_eq!((served.status, runs(&fleet, "t2")), (200, 1));
    Ok(())
}

#[rstest]
#[case::twice("twice", EngineStep::AnswerTwice)]
#[case::unframed("unframed", EngineStep::WithoutLength)]
#[actix_rt::test]
async fn answers_reach_their_own_callers(
    #[case] name: &str,
    #[case] step: EngineStep,
) -> Result<()> {
    let fleet = ready(&format!("own-{name}"), 1, 1, 0).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.engines[0].set_default_step(step);
    for number in 0..40 {
        let attempt = format!("t{number}");
        let answer = Call::new("/again/a", &attempt).send(entry).await?;
        assert_eq!(answer.text, format!("record of {attempt}"), "{answer:?}");
        if number % 3 == 0 {
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
    }
    Ok(())
}

#[rstest]
#[case::busy("busy", StoreOutage::Status(503))]
#[case::limited("limited", StoreOutage::Status(429))]
#[case::silent("silent", StoreOutage::Unresponsive)]
#[case::closed("closed", StoreOutage::Closed)]
#[actix_rt::test]
async fn requests_with_a_key_are_refused_when_the_configuration_cannot_be_proved(
    #[case] name: &str,
    #[case] outage: StoreOutage,
) -> Result<()> {
    let fleet = ready(&format!("outage-{name}"), 1, 1, 0).await?;
    let daemon = &fleet.daemons[0];
    fleet.store.set_outage(Some(outage));
    wait_ready(&daemon.operators, false).await?;
    let stale = Call::new("/once/a", "t1").send(&daemon.callers).await?;
    assert_eq!(stale.status, 503, "{stale:?}");
    assert!(stale.retry_after.is_some());
    // A route that the daemon doesn't know may have been added since.
    assert_eq!(Call::new("/nowhere/a", "t2").send(&daemon.callers).await?.status, 503);
    let open = Call::new("/once/open/a", "t3").key(None).send(&daemon.callers).await?;
    assert_eq!(open.status, 200);
    fleet.store.set_outage(None);
    wait_ready(&daemon.operators, true).await?;
    assert_eq!(Call::new("/once/a", "t4").send(&daemon.callers).await?.status, 200);
    assert_eq!(runs(&fleet, "t1"), 0);
    Ok(())
}

#[actix_rt::test]
async fn removed_key_and_route_are_refused_within_the_apply_limit() -> Result<()> {
    let mut fleet = ready("config", 2, 1, 0).await?;
    fleet.config.tenants.retain(|tenant| tenant.name != "depots");
    fleet.config.routes.retain(|route| route.name != "open");
    fleet.store_config()?;
    tokio::time::sleep(Duration::from_millis(600)).await;
    for daemon in &fleet.daemons {
        let lost = Call::new("/once/a", "t1").key(Some(DEPOTS_KEY)).send(&daemon.callers).await?;
        assert_eq!(lost.status, 401);
        // The route with the shorter path now matches, and it requires a key.
        let closed = Call::new("/once/open/a", "t2").key(None).send(&daemon.callers).await?;
        assert_eq!(closed.status, 401);
    }
    assert_eq!(runs(&fleet, "t1") + runs(&fleet, "t2"), 0);
    Ok(())
}

/// Guards against requests that run without any key after the last key of the last account was taken away.
#[actix_rt::test]
async fn nobody_is_admitted_after_the_last_key_was_taken_away() -> Result<()> {
    let mut fleet = ready("last-key", 2, 1, 0).await?;
    fleet.config.tenants.iter_mut().for_each(|tenant| tenant.api_keys.clear());
    fleet.store_config()?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let keys = [Some(DRIVERS_KEY), Some(DEPOTS_KEY), Some("never held"), Some(""), None];
    for (daemon, number) in fleet.daemons.iter().zip(0..) {
        for (key, other) in keys.into_iter().zip(0..) {
            let attempt = format!("k{number}-{other}");
            let answer = Call::new("/again/a", &attempt).key(key).send(&daemon.callers).await?;
            assert_eq!((answer.status, runs(&fleet, &attempt)), (401, 0), "{key:?}");
        }
        let attempt = format!("open{number}");
        let open = Call::new("/once/open/a", &attempt).key(None).send(&daemon.callers).await?;
        assert_eq!((open.status, runs(&fleet, &attempt)), (200, 1));
    }
    Ok(())
}

#[rstest]
#[case::watched("watched", false)]
#[case::history_gone("gone", true)]
#[actix_rt::test]
async fn leaving_and_removed_engines_receive_no_requests(
    #[case] name: &str,
    #[case] forgets: bool,
) -> Result<()> {
    let fleet = ready(&format!("leaving-{name}"), 1, 3, 0).await?;
    let entry = &fleet.daemons[0].callers;
    fleet.announce("i-0", "records", "127.0.0.1:1", "draining")?;
    fleet.store.remove(SERVERS, "i-1");
    if forgets {
        fleet.store.forget_history();
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for number in 0..20 {
        let attempt = format!("t{number}");
        assert_eq!(Call::new("/once/a", &attempt).send(entry).await?.status, 200);
    }
    let late = |index: usize| {
        fleet.engines[index].runs().iter().filter(|run| run.attempt.starts_with('t')).count()
    };
    assert_eq!((late(0), late(1), late(2)), (0, 0, 20));
    Ok(())
}

/// Guards against an unreadable list entry that is left out of the changes of a watch: when another writer had
/// overwritten the list entry of an engine, the engine was still used as before.
#[rstest]
#[case::fields("fields", json!({"backend": 7}))]
#[case::state("state", json!({"backend": "records", "address": "127.0.0.1:1", "zone": "z", "slots": 4,
    "state": "retired"}))]
#[case::address("address", json!({"backend": "records", "address": "nowhere", "zone": "z", "slots": 4,
    "state": "ready"}))]
#[case::service("service", json!({"backend": "else", "address": "127.0.0.1:1", "zone": "z", "slots": 4,
    "state": "ready"}))]
#[actix_rt::test]
async fn engine_with_an_unusable_list_entry_is_not_used(
    #[case] reason: &str,
    #[case] spec: serde_json::Value,
) -> Result<()> {
    let fleet = ready(&format!("unusable-{reason}"), 1, 2, 0).await?;
    let daemon = &fleet.daemons[0];
    let late = |index: usize, mark: char| {
        fleet.engines[index].runs().iter().filter(|run| run.attempt.starts_with(mark)).count()
    };
    let counted =
        format!("curlewcleat_unusable_entries_total{{kind=\"target\",reason=\"{reason}\"}} 1\n");
    fleet.store.put(SERVERS, "i-0", spec);
    wait_until("the unusable entry is counted", || async {
        get_text(&daemon.operators, "/metrics").await.is_ok_and(|text| text.contains(&counted))
    })
    .await?;
    for number in 0..10 {
        let answer = Call::new("/once/a", &format!("t{number}")).send(&daemon.callers).await?;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!((late(0, 't'), late(1, 't')), (0, 10));
    fleet.announce("i-0", "records", &fleet.engine_addresses[0], "ready")?;
    wait_until("the entry is used again", || async {
        Call::new("/once/a", "u").send(&daemon.callers).await.is_ok() && late(0, 'u') > 0
    })
    .await
}

#[actix_rt::test]
async fn engine_at_a_reused_address_runs_no_request_for_another_engine() -> Result<()> {
    let fleet = ready("reused", 1, 2, 0).await?;
    let entry = &fleet.daemons[0].callers;
    // The list entry names an engine, but another one listens at its address.
    let address = fleet.engine_addresses[1].clone();
    fleet.store.remove(SERVERS, "i-1");
    fleet.announce("i-9", "records", &address, "ready")?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for number in 0..10 {
        let attempt = format!("t{number}");
        assert_eq!(Call::new("/once/a", &attempt).send(entry).await?.status, 200);
    }
    let at_reused = fleet.engines[1].runs();
    assert!(at_reused.iter().all(|run| !(run.attempt.starts_with('t') && run.ran)));
    Ok(())
}

#[actix_rt::test]
async fn request_is_cancelled_when_its_caller_disconnects() -> Result<()> {
    let mut fleet = ready("left", 1, 1, 0).await?;
    fleet.engine("engines", 1_000, EVENT_INTERVAL).await?;
    let entry = fleet.daemons[0].callers.clone();
    wait_until("streams begin", || async {
        let call = Call::new("/plain/stream/a", "t1").begin(&entry).await;
        call.is_ok_and(|(head, _)| head.status == 200)
    })
    .await?;
    let engine = fleet.engines[1].clone();
    wait_until("the engine notices", || async { engine.runs().iter().all(|run| run.disconnected) })
        .await?;
    engine.queue_step(EngineStep::Stall);
    let waiting = Call::new("/plain/stream/a", "t2");
    assert!(tokio::time::timeout(EVENT_INTERVAL * 20, waiting.begin(&entry)).await.is_err());
    let started = Instant::now();
    wait_until("the engine notices", || async { engine.runs().iter().all(|run| run.disconnected) })
        .await?;
    assert!(started.elapsed() < Duration::from_millis(500));
    Ok(())
}

#[actix_rt::test]
async fn rate_of_an_account_holds_for_all_daemons_together() -> Result<()> {
    let fleet = ready("rate", 3, 1, 0).await?;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let mut admitted = 0;
    let mut refused = 0;
    for number in 0..60 {
        let attempt = format!("t{number}");
        let entry = &fleet.daemons[number % 3].callers;
        let call = Call::new("/again/a", &attempt).header(WIRE_PROFILE.tokens, "900,100");
        match call.send(entry).await? {
            answer if answer.status == 200 => admitted += 1,
            answer => {
                assert_eq!(answer.status, 429);
                assert!(answer.retry_after.is_some());
                refused += 1;
            }
        }
    }
    // The burst is ten requests, the rate ten requests a second.
    assert!((10..=40).contains(&admitted) && refused > 0, "{admitted} admitted");
    Ok(())
}

/// Guards against a rate below one a second that is taken for no limit.
#[actix_rt::test]
async fn rate_below_one_a_second_limits_an_account() -> Result<()> {
    let mut fleet = ready("slow-rate", 2, 1, 0).await?;
    let depots = fleet.config.tenants.iter_mut().find(|tenant| tenant.name == "depots");
    let depots = depots.expect("the account");
    (depots.rate_per_s, depots.burst, depots.unit) = (0.5, 2.0, None);
    fleet.store_config()?;
    tokio::time::sleep(APPLY_LIMIT).await;
    let mut admitted = 0;
    for number in 0..40 {
        let entry = &fleet.daemons[number % 2].callers;
        let attempt = format!("t{number}");
        let answer = Call::new("/again/a", &attempt).key(Some(DEPOTS_KEY)).send(entry).await?;
        admitted += usize::from(answer.status == 200);
        assert!(matches!(answer.status, 200 | 429), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Within some two seconds, the burst and one request of the rate; one more may be on its way.
    assert!((1..=4).contains(&admitted), "{admitted} admitted");
    Ok(())
}

#[actix_rt::test]
async fn planned_stop_completes_streams_and_reload_stops_nothing() -> Result<()> {
    let mut fleet = ready("stop", 1, 1, 0).await?;
    fleet.engine("engines", 60, EVENT_INTERVAL).await?;
    let entry = fleet.daemons[0].callers.clone();
    fleet.daemons[0].process.signal("HUP")?;
    wait_until("streams begin", || async {
        let call = Call::new("/plain/stream/a", "warm").begin(&entry).await;
        call.is_ok_and(|(head, _)| head.status == 200)
    })
    .await?;
    assert_eq!(fleet.daemons[0].process.ended(), None);
    let call = Call::new("/plain/stream/a", "t");
    let stream = call.send(&entry);
    let stop = async {
        tokio::time::sleep(EVENT_INTERVAL * 10).await;
        fleet.daemons[0].process.signal("TERM")
    };
    let (answer, stopped) = tokio::join!(stream, stop);
    stopped?;
    let answer = answer?;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, FleetEngine::expected_stream("t", 60));
    let process = &mut fleet.daemons[0].process;
    let end = Instant::now() + Duration::from_secs(5);
    while process.ended().is_none() && Instant::now() < end {
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
    assert_eq!(process.ended(), Some(0));
    Ok(())
}

#[actix_rt::test]
async fn daemon_without_a_configuration_refuses_with_503_and_limits_its_store_calls() -> Result<()>
{
    let mut fleet = FleetDeployment::start("absent").await?;
    fleet.daemons(1, BOUNDS).await?;
    let entry = &fleet.daemons[0].callers;
    assert_eq!(Call::new("/once/a", "t").send(entry).await?.status, 503);
    fleet.store.set_immediate_watches(true);
    let before = fleet.store.calls();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = fleet.store.calls() - before;
    assert!(calls <= 40, "{calls} calls in a second");
    Ok(())
}

#[actix_rt::test]
async fn daemons_find_each_other_although_answers_of_the_store_are_lost() -> Result<()> {
    let mut fleet = FleetDeployment::start("peers").await?;
    fleet.store.drop_write_answers(2);
    fleet.store_config()?;
    fleet.engine("records", 0, EVENT_INTERVAL).await?;
    fleet.daemons(3, BOUNDS).await?;
    for daemon in &fleet.daemons {
        let operators = daemon.operators.as_str();
        wait_until("two live peers", || async move {
            let text = get_text(operators, "/metrics").await.unwrap_or_default();
            text.lines().any(|line| line == "curlewcleat_peers_live 2")
        })
        .await?;
    }
    assert_eq!(fleet.store.names("curlewcleat-daemons").len(), 3);
    Ok(())
}

/// An object that is no configuration does not prove the one in force: what it changes is not known.
#[actix_rt::test]
async fn object_that_is_no_configuration_does_not_prove_the_one_in_force() -> Result<()> {
    let mut fleet = ready("invalid", 1, 1, 0).await?;
    fleet.store.put(CONFIG_KIND, CONFIG_NAME, json!({ "routes": [] }));
    let daemon = &fleet.daemons[0];
    let written = Instant::now();
    wait_ready(&daemon.operators, false).await?;
    assert!(written.elapsed() < Duration::from_secs(1), "ready for {:?}", written.elapsed());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let lost = Call::new("/again/a", "t1").key(Some(DEPOTS_KEY)).send(&daemon.callers).await?;
    assert_eq!((lost.status, runs(&fleet, "t1")), (503, 0));
    fleet.store_config()?;
    wait_ready(&fleet.daemons[0].operators, true).await?;
    let entry = &fleet.daemons[0].callers;
    assert_eq!(Call::new("/again/a", "t2").send(entry).await?.status, 200);
    Ok(())
}

/// Guards against a configuration that is never in force because one value of it has an unusual form or size. The
/// former one stayed active for a time, and then all requests with a key were refused.
#[rstest]
#[case::usual_priority("/routes/1/priority", json!(2))]
#[case::low_priority("/routes/1/priority", json!(16))]
#[case::lower_priority("/routes/1/priority", json!(300))]
#[case::decimal_priority("/routes/1/priority", json!(1.0))]
#[case::low_tenant("/tenants/0/priority", json!(16))]
#[case::decimal_attempts("/routes/1/max_attempts", json!(2.0))]
#[case::large_bodies("/limits/max_body_bytes", json!(1u64 << 31))]
#[case::enormous_rate("/tenants/1/rate_per_s", json!(1e300))]
#[case::enormous_timeout("/routes/1/timeout_ms", json!(1e300))]
#[case::name_with_a_blank("/routes/1/name", json!("a b"))]
#[case::long_name("/routes/1/name", json!("n".repeat(65)))]
#[case::name_that_opens_a_section("/routes/1/name", json!("a]\n[rule b"))]
#[case::tenant_with_an_accent("/tenants/1/name", json!("dép@t:1/2"))]
#[case::key_twice("/tenants/0/api_keys", json!(["k", "k", DRIVERS_KEY]))]
#[case::key_of_two("/tenants/1/api_keys", json!([DRIVERS_KEY]))]
#[case::names_twice("/routes/1/name", json!("again"))]
#[case::unknown_service("/routes/1/backend", json!("missing"))]
#[case::unreadable_route("/routes/1", json!(7))]
#[case::unreadable_tenant("/tenants/1", json!("depots"))]
#[case::unsendable_tenant("/tenants/1/name", json!("a\nb"))]
#[actix_rt::test]
async fn configuration_with_an_unusual_value_is_in_force_in_time(
    #[case] field: &str,
    #[case] value: serde_json::Value,
) -> Result<()> {
    let mut fleet = ready(&format!("unusual{}", field.replace('/', "-")), 2, 1, 0).await?;
    fleet.engine("replacements", 0, EVENT_INTERVAL).await?;
    let service = Service { name: "replacements".to_string(), ..Service::default() };
    fleet.config.services.push(service);
    fleet.config.resource_version += 3;
    let mut spec = serde_json::to_value(&fleet.config)?;
    // One route moves to another service.
    spec["routes"][2]["backend"] = json!("replacements");
    *spec.pointer_mut(field).expect("a field") = value;
    fleet.store.put(CONFIG_KIND, CONFIG_NAME, spec);
    tokio::time::sleep(APPLY_LIMIT).await;
    let (old, new) = (&fleet.engines[0], &fleet.engines[1]);
    for (daemon, number) in fleet.daemons.iter().zip(0..) {
        let attempt = format!("u{number}");
        let answer = Call::new("/again/a", &attempt).send(&daemon.callers).await?;
        let ran = |engine: &FleetEngine| engine.runs().iter().any(|run| run.attempt == attempt);
        assert_eq!((answer.status, ran(old), ran(new)), (200, false, true));
    }
    Ok(())
}

/// A store that answers each read with an object that has no revision.
struct UnversionedStore;

impl PlainHandler for UnversionedStore {
    fn handle<'a>(
        &'a self,
        _: PlainRequest,
        connection: &'a mut PlainConnection,
    ) -> HandlerFuture<'a> {
        Box::pin(async move {
            let object = json!({ "metadata": { "name": CONFIG_NAME }, "spec": example_config() });
            connection.answer_json(200, &object).await?;
            Ok(AfterAnswer::KeepOpen)
        })
    }
}

/// Guards against a missing revision that is taken for revision 0: to a daemon that has read nothing, the configuration
/// would seem unchanged, which proves a configuration that was never read.
#[actix_rt::test]
async fn configuration_without_a_revision_is_rejected() -> Result<()> {
    let address = serve_here(Rc::new(UnversionedStore)).await?;
    let client = FleetClient::new(&address, Duration::from_secs(2));
    for known in [0, 7] {
        let read = client.read_config(known).await;
        assert!(matches!(read, Err(Error::Protocol(_))), "{read:?}");
    }
    Ok(())
}
