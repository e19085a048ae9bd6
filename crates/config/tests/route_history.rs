//! Streams that are taken up after the rule under which they began has changed.
//!
//! Guards against streams that go on at a pool that did not begin them, because the configuration has moved their route.

use std::slice::from_ref;
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_config::{RouteHistory, TakenUpRoute};
use curlewcleat_core::{ActiveConfig, AdmissionRule, PoolShare, ServiceLimits};
use rstest::rstest;

/// Uptime at which the configuration changes.
const CHANGED: Duration = Duration::from_secs(100);
const BEFORE: Duration = Duration::from_secs(99);
const AFTER: Duration = Duration::from_secs(101);

fn rule(path: &str, shares: &[(&str, u32)]) -> AdmissionRule {
    let share =
        |(pool, weight): &(&str, u32)| PoolShare { pool: pool.to_string(), weight: *weight };
    AdmissionRule {
        id: path.to_string(),
        order: 1,
        method: None,
        path: path.to_string(),
        account: None,
        header: None,
        tier: "t".to_string(),
        pool: shares[0].0.to_string(),
        repeatable: true,
        body_limit: 1,
        host: None,
        split: if shares.len() > 1 { shares.iter().map(share).collect() } else { Vec::new() },
        public: true,
        service: ServiceLimits { streams: true, resumable: true, ..ServiceLimits::default() },
        closed: false,
    }
}

fn config(generation: u64, rules: &[AdmissionRule]) -> ActiveConfig {
    let rules = rules.iter().cloned().map(Arc::new).collect();
    ActiveConfig { generation, rules, ..ActiveConfig::default() }
}

/// Returns whether a stream that can have begun since a moment may go on at the pool that the new rules select.
fn goes_on(
    before: &[AdmissionRule],
    after: &[AdmissionRule],
    since: Duration,
    begun_as: Option<&str>,
) -> bool {
    let (before, after) = (config(1, before), config(2, after));
    let mut history = RouteHistory::default();
    history.record_change(CHANGED, &before, &after);
    let path = "/a/stream";
    let route = TakenUpRoute { host: "h", method: "POST", path, begun_as };
    let rule = after.route("h", "POST", path).expect("a rule");
    let pool = rule.pool_for_stream(begun_as.unwrap_or("second"));
    history.confirms_pool(&after, since, route, pool)
}

#[rstest]
#[case::moved(rule("/a/*", &[("p", 1)]), rule("/a/*", &[("q", 1)]), BEFORE, false)]
#[case::begun_after_the_move(rule("/a/*", &[("p", 1)]), rule("/a/*", &[("q", 1)]), AFTER, true)]
#[case::the_same(rule("/a/*", &[("p", 1)]), rule("/a/*", &[("p", 1)]), BEFORE, true)]
#[case::another_route_moved(rule("/b/*", &[("p", 1)]), rule("/a/*", &[("q", 1)]), BEFORE, true)]
#[case::a_wider_route_before(rule("/*", &[("p", 1)]), rule("/a/*", &[("q", 1)]), BEFORE, false)]
fn stream_does_not_go_on_where_its_route_was_moved(
    #[case] before: AdmissionRule,
    #[case] after: AdmissionRule,
    #[case] since: Duration,
    #[case] expected: bool,
) {
    assert_eq!(goes_on(from_ref(&before), from_ref(&after), since, Some("first")), expected);
}

/// Guards against a narrower rule that is added beside the one under which a stream began.
#[test]
fn stream_does_not_go_on_where_a_narrower_rule_was_added() {
    let (wide, narrow) = (rule("/*", &[("p", 1)]), rule("/a/*", &[("q", 1)]));
    assert!(!goes_on(from_ref(&wide), &[narrow.clone(), wide.clone()], BEFORE, Some("first")));
    assert!(goes_on(from_ref(&wide), &[narrow.clone(), wide.clone()], AFTER, Some("first")));
    assert!(goes_on(&[narrow.clone(), wide.clone()], &[narrow, wide], BEFORE, Some("first")));
}

/// Guards against streams between the old and the new border of the shares.
#[test]
fn stream_goes_on_only_where_the_changed_shares_select_its_pool() {
    let (before, after) =
        (rule("/a/*", &[("p", 60), ("q", 40)]), rule("/a/*", &[("p", 30), ("q", 70)]));
    let mut refused = 0;
    for number in 0..1_000 {
        let begun_as = format!("a{number}");
        let alike = before.pool_for_stream(&begun_as) == after.pool_for_stream(&begun_as);
        let goes_on = goes_on(from_ref(&before), from_ref(&after), BEFORE, Some(begun_as.as_str()));
        assert_eq!(goes_on, alike, "{begun_as}");
        refused += usize::from(!goes_on);
    }
    assert!((250..350).contains(&refused), "{refused} of 1,000 where 300 change their pool");
}

/// Guards against the pool of a stream that its caller does not name being drawn again.
#[test]
fn stream_that_is_not_named_goes_on_only_where_one_pool_serves_its_route() {
    let (one, two) = (rule("/a/*", &[("p", 1)]), rule("/a/*", &[("p", 1), ("q", 1)]));
    assert!(goes_on(from_ref(&one), from_ref(&one), BEFORE, None));
    assert!(!goes_on(from_ref(&two), from_ref(&two), AFTER, None));
    assert!(!goes_on(from_ref(&two), from_ref(&one), BEFORE, None));
}

#[test]
fn first_configuration_of_a_process_changes_no_route() {
    let (empty, first) =
        (config(0, &[]), config(1, &[rule("/a/*", &[("p", 1)]), rule("/*", &[("q", 1)])]));
    let mut history = RouteHistory::default();
    history.record_change(CHANGED, &empty, &first);
    let route =
        TakenUpRoute { host: "h", method: "POST", path: "/a/stream", begun_as: Some("first") };
    assert!(history.confirms_pool(&first, BEFORE, route, &"p".to_string()));
}

/// Guards against changes that were forgotten counting as none.
#[test]
fn stream_goes_on_nowhere_after_more_changes_than_are_remembered() {
    let rules = |pool: &str| -> Vec<_> {
        (0..17_000).map(|number| rule(&format!("/b{number}/*"), &[(pool, 1)])).collect()
    };
    let (before, after) = (config(1, &rules("p")), config(2, &rules("q")));
    let mut history = RouteHistory::default();
    history.record_change(CHANGED, &before, &after);
    let route =
        TakenUpRoute { host: "h", method: "POST", path: "/a/stream", begun_as: Some("first") };
    let unchanged = config(2, &[rule("/a/*", &[("p", 1)])]);
    assert!(!history.confirms_pool(&unchanged, BEFORE, route, &"p".to_string()));
    assert!(history.confirms_pool(&unchanged, AFTER, route, &"p".to_string()));
}

/// Guards against a change that is older than those remembered counting as none, for a caller with a longer timeout.
#[test]
fn stream_that_began_before_a_forgotten_change_does_not_go_on() {
    let configs = [("p", 1), ("q", 2), ("q", 3)];
    let configs =
        configs.map(|(pool, generation)| config(generation, &[rule("/a/*", &[(pool, 1)])]));
    let mut history = RouteHistory::default();
    history.record_change(CHANGED, &configs[0], &configs[1]);
    let later = CHANGED + Duration::from_secs(31);
    history.record_change(later, &configs[1], &configs[2]);
    let route =
        TakenUpRoute { host: "h", method: "POST", path: "/a/stream", begun_as: Some("first") };
    assert!(!history.confirms_pool(&configs[2], BEFORE, route, &"q".to_string()));
    assert!(history.confirms_pool(&configs[2], AFTER, route, &"q".to_string()));
}

/// Guards against rules that change places counting as unchanged.
#[test]
fn stream_does_not_go_on_where_its_rules_changed_places() {
    let ordered =
        |path: &str, pool: &str, order| AdmissionRule { order, ..rule(path, &[(pool, 1)]) };
    let before = [ordered("/a/*", "p", 1), ordered("/*", "q", 2)];
    let after = [ordered("/*", "q", 1), ordered("/a/*", "p", 2)];
    assert!(!goes_on(&before, &after, BEFORE, Some("first")));
}
