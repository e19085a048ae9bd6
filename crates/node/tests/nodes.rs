//! Tests a node at its request limit and during its planned stop.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{ConfigBundle, DaemonId, Refusal, RefusalReason, RequestId};
use curlewcleat_keys::KeyHolderOptions;
use curlewcleat_node::{CallerDecision, Node, NodeAction, NodeEvent, NodeOptions};
use curlewcleat_sched::{EntryOptions, MemberOptions, RequestSpec};

const CONFIG: &str =
    "[tier t0]\nrank = 0\n[tier t1]\nrank = 1\n[tier t2]\nrank = 2\n[pool p]\nkind = service\n\
                      [target x]\npool = p\nvm = v\naddress = 127.0.0.1:1\nslots = 4000\n";

fn node(request_limit: usize) -> Node {
    let mut node = Node::new(NodeOptions {
        me: DaemonId { vm: "a".to_string(), incarnation: 1 },
        members: MemberOptions {
            address: "127.0.0.1:2".to_string(),
            data_centre: "d".to_string(),
            seeds: Vec::new(),
            suspect_after: Duration::from_secs(2),
            mesh_limit: usize::MAX,
            capacity: 100,
            started: 0,
        },
        keys: KeyHolderOptions::default(),
        key_slots: 4,
        entry: EntryOptions::default(),
        rate_margin: curlewcleat_sched::RateMargin::default(),
        one_scheduler: false,
        age_per_work: 32,
        uses_stated_loads: false,
        shares_stream_forms: false,
        books_returns: false,
        request_limit,
        link_bytes_per_s: 125_000_000,
        freshness: None,
        evacuation_limit: None,
        rollout: None,
        heartbeat_every: Duration::from_millis(500),
        drain_grace: Duration::from_secs(1),
        hand_over_limit: Duration::from_secs(1),
    });
    let files = BTreeMap::from([("a.ini".to_string(), CONFIG.to_string())]);
    let bundle = ConfigBundle { generation: 1, files };
    node.handle(Duration::ZERO, Duration::from_secs(1), NodeEvent::ConfigRead(bundle));
    node
}

/// Returns the reason if a request of a tier is refused, `None` if it is admitted.
fn admit(node: &mut Node, number: u128, tier: u8) -> Option<RefusalReason> {
    refusal(node, Duration::ZERO, number, tier).map(|refusal| refusal.reason)
}

/// Returns the refusal of a request of a tier, `None` if it is admitted.
fn refusal(node: &mut Node, now: Duration, number: u128, tier: u8) -> Option<Refusal> {
    let spec = RequestSpec {
        request: RequestId::from_u128(number),
        pool: "p".to_string(),
        tier,
        account: "a".to_string(),
        time_left: Duration::from_secs(60),
        cost: 1,
        output_work: 1_000,
        ..RequestSpec::default()
    };
    let actions = node.handle(now, Duration::from_secs(1), NodeEvent::Admit(Box::new(spec)));
    actions.into_iter().find_map(|action| match action {
        NodeAction::Decide(_, CallerDecision::Refuse(refusal)) => Some(refusal),
        _ => None,
    })
}

#[test]
fn full_entry_daemon_refuses_the_lowest_tier_first() {
    let mut node = node(100);
    let mut refused_at = [None; 3];
    for number in 0..120 {
        // At each fill level the lowest tier sends first, then the next, then the top tier, which alone can fill the
        // entry daemon further.
        for tier in [2u8, 1, 0] {
            let reason = admit(&mut node, number * 10 + u128::from(tier), tier);
            let first_refused = &mut refused_at[usize::from(tier)];
            if reason.is_some() && first_refused.is_none() {
                assert_eq!(reason, Some(RefusalReason::EntryFull));
                *first_refused = Some(number);
            }
            let lower_open = refused_at[usize::from(tier) + 1..].iter().any(Option::is_none);
            assert!(reason.is_none() || !lower_open, "tier {tier} was refused before a lower one");
        }
    }
    assert!(refused_at.iter().all(Option::is_some));
    // Once a tier is refused, all lower tiers are refused too.
    assert!(refused_at[2] < refused_at[1] && refused_at[1] < refused_at[0], "{refused_at:?}");
}

/// While all daemons are replaced one after the other, callers keep connections to stopping daemons. When advised to
/// retry after a second, all of them were late, though another daemon had capacity.
#[test]
fn draining_daemon_advises_an_immediate_retry() {
    let mut node = node(100);
    let wall = Duration::from_secs(1);
    node.handle(Duration::ZERO, wall, NodeEvent::Drain);
    assert_eq!(refusal(&mut node, Duration::from_millis(100), 1, 0), None);
    let closing = Duration::from_millis(1_100);
    node.handle(closing, wall, NodeEvent::Tick);
    let refused = refusal(&mut node, closing, 2, 0);
    assert_eq!(refused, Some(Refusal::not_run(RefusalReason::Draining, Some(Duration::ZERO))));
}
