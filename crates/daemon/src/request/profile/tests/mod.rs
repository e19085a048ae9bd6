//! Tests the admission rules of a fleet's requests as tables of inputs and results. Times are in milliseconds.

mod notices;
mod prompt_parts;
mod stated_load;

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::StatusCode;
use curlewcleat_core::{
    AdmissionRule, ClientAccount, PoolKind, PoolShare, RateUnit, Refusal, RefusalReason,
    ServiceLimits, SharedRate, TargetPool, Verdict,
};
use curlewcleat_store::WireProfile;
use rstest::rstest;

use super::admission::drawn_pool;
use super::objectives::objectives;
use super::take_up::{has_one_position, read_take_up};
use super::work::{cost, estimate, token_counts, TokenCounts};
use super::{status_of, OPTIONS};
use crate::request::admitted::TakeUpHeaders;

const PROFILE: WireProfile = WireProfile {
    attempt_id: "attempt",
    time_left: "time-left",
    account: "account",
    instance: "instance",
    not_run: "not-run",
    misdirected_status: 421,
    tokens: "tokens",
    length_hint: "hint",
    prompt_parts: "parts",
    last_event: "last",
    resumes: "resumes",
    load: "load",
    leaving: "leaving",
    limit: "limit",
    brittle: "brittle",
    status_path: "/status",
    reserved: &["hold"],
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rule(objective: Option<Duration>) -> AdmissionRule {
    AdmissionRule {
        id: "r".to_string(),
        host: None,
        split: Vec::new(),
        public: false,
        service: ServiceLimits { objective, ..ServiceLimits::default() },
        order: 0,
        method: None,
        path: "/".to_string(),
        account: None,
        header: None,
        tier: "t".to_string(),
        pool: "p".to_string(),
        repeatable: false,
        body_limit: 0,
        closed: false,
    }
}

fn head(headers: &[(&'static str, &'static str)]) -> HeaderMap {
    let headers = headers
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
    headers.collect()
}

/// Guards the wait limit, the forecast limit, the time until the first part and the detection of retries, for requests
/// with an objective of 800. The longest timeout that callers of the rule have sent is 10,000.
#[rstest]
#[case::new_one(10_000, 800, 480, 800, false)]
#[case::a_little_less_than_others(9_500, 800, 480, 800, false)]
#[case::retry(9_499, 800, 800, 299, true)]
#[case::retry_that_is_late_already(9_100, 800, 800, 0, true)]
#[case::retry_with_little_time(1_000, 400, 400, 0, true)]
#[case::retry_with_less_than_the_objective(200, 80, 80, 0, true)]
fn objectives_limit_the_wait_and_detect_retries(
    #[case] time: u64,
    #[case] wait_limit: u64,
    #[case] forecast_limit: u64,
    #[case] first_part_by: u64,
    #[case] is_retry: bool,
) {
    let objectives = objectives(&rule(Some(ms(800))), Some(ms(time)), ms(10_000), ms(time), 3);
    assert_eq!(objectives.wait_limit, ms(wait_limit));
    assert_eq!(objectives.forecast_limit, ms(forecast_limit));
    assert_eq!((objectives.first_part_by, objectives.urgency), (ms(first_part_by), 3));
    assert_eq!(objectives.is_retry, is_retry);
}

/// Without an objective, or if the caller sends no timeout, a request may wait until its deadline.
#[rstest]
#[case::no_objective(None, Some(ms(800)))]
#[case::no_time(Some(ms(500)), None)]
fn requests_without_objective_or_timeout_wait_until_the_deadline(
    #[case] objective: Option<Duration>,
    #[case] caller_timeout: Option<Duration>,
) {
    let objectives = objectives(&rule(objective), caller_timeout, ms(800), ms(800), 0);
    assert_eq!((objectives.wait_limit, objectives.forecast_limit), (ms(800), Duration::MAX));
    assert!(!objectives.is_retry);
}

#[rstest]
#[case::both("120,40", Some((120, 40)))]
#[case::spaces(" 120 , 40 ", Some((120, 40)))]
#[case::one("120", None)]
#[case::not_a_number("120,many", None)]
#[case::negative("-1,40", None)]
fn token_counts_are_read_only_if_both_are_numbers(
    #[case] text: &'static str,
    #[case] counts: Option<(u64, u64)>,
) {
    let counts = counts.map(|(prompt, output)| TokenCounts { prompt, output });
    assert_eq!(token_counts(&head(&[("tokens", text)]), PROFILE.tokens), counts);
}

/// Cost of a request of 120 prompt and 40 output tokens, or without counts, for each unit of the account's rate.
#[rstest]
#[case::no_rate(None, true, 1)]
#[case::rate_in_requests(Some(RateUnit::Request), true, 1)]
#[case::rate_in_tokens(Some(RateUnit::Tokens(200)), true, 160)]
#[case::plain_cost_without_counts(Some(RateUnit::Tokens(200)), false, 200)]
fn cost_is_counted_in_the_unit_of_the_rate(
    #[case] unit: Option<RateUnit>,
    #[case] counted: bool,
    #[case] expected: u64,
) {
    let account = ClientAccount {
        id: "a".to_string(),
        tokens: Vec::new(),
        rank: None,
        shared_rate: unit.map(|unit| SharedRate { per_s: 1, burst: 1, unit, scale: 1 }),
        weight: 1,
        rate_per_s: None,
        queue_limit: 1,
        closed: false,
    };
    let counts = counted.then_some(TokenCounts { prompt: 120, output: 40 });
    assert_eq!(cost(&account, counts), expected);
}

/// Work in microseconds, if a prompt token takes 2, an output token 10 and each request another 5.
#[rstest]
#[case::engine(PoolKind::Engine, &[], (240, 405), false)]
#[case::engine_with_a_hint(PoolKind::Engine, &[("hint", "7.9")], (240, 75), false)]
#[case::hint_that_is_no_number(PoolKind::Engine, &[("hint", "soon")], (240, 405), false)]
#[case::half_of_the_prompt_shared(PoolKind::Engine, &[("parts", "s:60,u:60")], (240, 405), true)]
#[case::less_than_half_shared(PoolKind::Engine, &[("parts", "s:59,u:61")], (240, 405), false)]
#[case::service(PoolKind::Service, &[("hint", "7")], (0, 5), false)]
fn work_follows_token_counts_hint_and_shared_parts(
    #[case] kind: PoolKind,
    #[case] headers: &[(&'static str, &'static str)],
    #[case] expected: (u64, u64),
    #[case] has_prefix: bool,
) {
    let pool = TargetPool {
        kind,
        prompt_token_us: 2,
        output_token_us: 10,
        base_us: 5,
        ..TargetPool::default()
    };
    let counts = Some(TokenCounts { prompt: 120, output: 40 });
    let estimate = estimate(&PROFILE, &pool, &head(headers), counts);
    assert_eq!((estimate.prompt, estimate.output), expected);
    assert_eq!(estimate.prefix.is_some(), has_prefix);
}

/// A request that may have run must be answered 502 or 504: the other statuses imply that nothing ran.
#[rstest]
#[case(Verdict::NotRun, RefusalReason::Unauthorized, 401)]
#[case(Verdict::NotRun, RefusalReason::NoRule, 404)]
#[case(Verdict::NotRun, RefusalReason::BadHeader, 400)]
#[case(Verdict::NotRun, RefusalReason::BodyTooLarge, 413)]
#[case(Verdict::NotRun, RefusalReason::AccountRate, 429)]
#[case(Verdict::NotRun, RefusalReason::WaitTooLong, 503)]
#[case(Verdict::NotRun, RefusalReason::DeadlinePassed, 503)]
#[case(Verdict::NotRun, RefusalReason::ConfigurationStale, 503)]
#[case(Verdict::MayHaveRun, RefusalReason::DeadlinePassed, 504)]
#[case(Verdict::MayHaveRun, RefusalReason::FirstByteTimeout, 504)]
#[case(Verdict::MayHaveRun, RefusalReason::TargetClosed, 502)]
fn only_requests_that_may_have_run_get_502_or_504(
    #[case] verdict: Verdict,
    #[case] reason: RefusalReason,
    #[case] expected: u16,
) {
    let refusal = Refusal { reason, verdict, retry_after: Some(OPTIONS.retry_after) };
    assert_eq!(status_of(&refusal), StatusCode::from_u16(expected).expect("a status"));
}

#[rstest]
#[case::first_try(&[], None)]
#[case::without_events(&[("last", "0"), ("resumes", "a")], None)]
#[case::named(&[("last", "12"), ("resumes", " a ")], Some((Some("a"), "12")))]
#[case::unnamed(&[("last", "12")], Some((None, "12")))]
#[case::empty_name(&[("last", "12"), ("resumes", "")], Some((None, "12")))]
#[case::several_names(&[("last", "12"), ("resumes", "a"), ("resumes", "b")], Some((None, "12")))]
#[case::unreadable_event(&[("last", "x"), ("resumes", "a")], Some((Some("a"), "x")))]
fn caller_that_takes_up_a_stream_names_its_first_attempt(
    #[case] headers: &[(&'static str, &'static str)],
    #[case] expected: Option<(Option<&str>, &str)>,
) {
    let expected = expected.map(|(begun_as, last_event)| TakeUpHeaders {
        begun_as: begun_as.map(str::to_string),
        last_event: last_event.to_string(),
    });
    assert_eq!(read_take_up(&PROFILE, &head(headers)), expected);
}

/// Guards against a position that the daemon and the target read from different headers.
#[rstest]
#[case::none(&[], true)]
#[case::one(&[("last", "3")], true)]
#[case::twice_the_same(&[("last", "3"), ("last", "3")], true)]
#[case::two(&[("last", "0"), ("last", "3")], false)]
#[case::empty_and_one(&[("last", ""), ("last", "3")], false)]
fn caller_states_one_position_at_most(
    #[case] headers: &[(&'static str, &'static str)],
    #[case] expected: bool,
) {
    assert_eq!(has_one_position(&PROFILE, &head(headers)), expected);
}

/// Guards against a stream that its caller takes up and that goes on at another of the pools that share its rule.
#[test]
fn stream_that_is_taken_up_is_drawn_to_the_pool_that_began_it() {
    let share = |pool: &str, weight| PoolShare { pool: pool.to_string(), weight };
    let mut rule = rule(None);
    rule.service.streams = true;
    rule.split = vec![share("p", 900_000), share("q", 100_000)];
    let mut others = 0;
    for number in 0..2_000 {
        let begun_as = format!("a{number}");
        let begun = drawn_pool(&rule, &begun_as, None);
        others += usize::from(begun == "q");
        for (attempt, last_event) in [("b", "3"), ("c", "9")] {
            let (begun_as, last_event) = (Some(begun_as.clone()), last_event.to_string());
            let take_up = TakeUpHeaders { begun_as, last_event };
            assert_eq!(drawn_pool(&rule, attempt, Some(&take_up)), begun);
        }
    }
    assert!((150..250).contains(&others), "{others} of 2,000 at a tenth");
}
