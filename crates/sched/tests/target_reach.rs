//! A daemon finds out that it has lost its links to the targets, and that they work again.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_sched::{ReachChange, RelayChoice, RelayPeer, TargetReach, TargetRoute};
use rand::rngs::StdRng;
use rand::SeedableRng;

const A: &str = "10.0.0.1:80";
const B: &str = "10.0.0.2:80";
const C: &str = "10.0.0.3:80";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A daemon that lost its links tried each target for each request before it gave up.
#[test]
fn one_finding_serves_all_requests() {
    let mut reach = TargetReach::default();
    assert_eq!(reach.connect_failed(ms(1_000), A), None);
    assert_eq!(reach.route(B), TargetRoute::Direct);
    let change = reach.connect_failed(ms(1_100), B);
    assert_eq!(change, Some(ReachChange::Partitioned(vec![A.to_string(), B.to_string()])));
    assert_eq!(reach.route(C), TargetRoute::Peer);
    assert!(!reach.trusts_idle(C, ms(900)), "a connection from before the partition may be dead");
}

#[test]
fn one_dead_target_is_no_partition() {
    let mut reach = TargetReach::default();
    for at in 0..20 {
        assert_eq!(reach.connect_failed(ms(1_000 + at), A), None);
    }
    assert_eq!(reach.route(A), TargetRoute::Direct);
    assert_eq!(reach.route(B), TargetRoute::Direct);
}

#[test]
fn two_dead_targets_are_no_partition_while_others_answer() {
    let mut reach = TargetReach::default();
    reach.connect_failed(ms(1_000), A);
    reach.activity(ms(1_010));
    assert_eq!(reach.connect_failed(ms(1_020), B), None);
    assert!(!reach.is_partitioned());
}

/// With links to half of the targets lost, a daemon tried the lost ones directly for each request.
#[test]
fn single_lost_link_is_known_once_a_peer_has_connected() {
    let mut reach = TargetReach::default();
    reach.activity(ms(990));
    reach.connect_failed(ms(1_000), A);
    let change = reach.reached_by_peer(ms(1_005), A);
    assert_eq!(change, Some(ReachChange::LinkLost(A.to_string())));
    assert_eq!(reach.route(A), TargetRoute::Peer);
    assert_eq!(reach.route(B), TargetRoute::Direct);
    assert_eq!(reach.probes(ms(1_100)), Vec::<String>::new());
    assert_eq!(reach.probes(ms(1_205)), vec![A.to_string()]);
    let changes = reach.connected(ms(1_210), A);
    assert_eq!(changes, vec![ReachChange::LinkRestored(A.to_string())]);
    assert_eq!(reach.route(A), TargetRoute::Direct);
}

/// Operators saw the end of losses that they had not been told of: those found during a partition.
#[test]
fn only_a_reported_loss_is_reported_as_restored() {
    let mut reach = TargetReach::default();
    reach.connect_failed(ms(1_000), A);
    reach.connect_failed(ms(1_000), B);
    assert_eq!(reach.reached_by_peer(ms(1_010), C), None);
    let changes = reach.connected(ms(2_000), C);
    assert_eq!(changes, vec![ReachChange::PartitionEnded(ms(1_000))]);
    assert_eq!(reach.connected(ms(2_010), A), vec![]);
}

/// Requests on open connections waited for their deadlines, and no new connection was tried.
#[test]
fn silence_of_all_targets_is_tried_with_new_connections() {
    let mut reach = TargetReach::default();
    reach.activity(ms(1_000));
    reach.request_sent(ms(1_000), A);
    reach.request_sent(ms(1_100), B);
    assert_eq!(reach.probes(ms(1_400)), Vec::<String>::new());
    assert_eq!(reach.probes(ms(1_500)), vec![A.to_string(), B.to_string()]);
    assert_eq!(reach.probes(ms(1_600)), Vec::<String>::new(), "at most five tries a second");
    reach.connect_failed(ms(1_650), A);
    reach.connect_failed(ms(1_650), B);
    assert!(reach.is_partitioned());
}

#[test]
fn silence_without_waiting_requests_is_not_tried() {
    let mut reach = TargetReach::default();
    reach.request_sent(ms(1_000), A);
    reach.request_ended(A);
    assert_eq!(reach.probes(ms(9_000)), Vec::<String>::new());
}

/// After a partition, the lost links were tried one interval after the other, so that the last came back seconds later.
#[test]
fn all_links_are_used_again_within_a_second_after_a_partition() {
    let mut reach = TargetReach::default();
    let targets: Vec<String> = (0..20).map(|index| format!("10.0.0.{index}:80")).collect();
    reach.connect_failed(ms(1_000), &targets[0]);
    reach.connect_failed(ms(1_000), &targets[1]);
    for target in &targets {
        reach.reached_by_peer(ms(1_100), target);
    }
    let (healed, mut now, mut tried_before) = (ms(5_000), ms(1_100), 0);
    while now < healed {
        tried_before += reach.probes(now).len();
        now += ms(20);
    }
    assert!(tried_before <= 20, "{tried_before} tries in four seconds");
    while now < healed + ms(1_000) {
        for target in reach.probes(now) {
            reach.connected(now, &target);
        }
        now += ms(20);
    }
    assert!(!reach.is_partitioned());
    assert_eq!(reach.lost_links(), 0);
}

/// Connections to several targets that were reset together counted as failures of each target.
#[test]
fn connections_to_different_targets_that_break_together_are_the_daemons_fault() {
    let mut reach = TargetReach::default();
    assert!(!reach.broke(ms(1_000), A), "a single target may have terminated");
    assert!(reach.broke(ms(1_010), B));
    assert!(reach.broke(ms(1_010), A));
    assert!(!reach.broke(ms(5_000), C), "long after the others");
    reach.activity(ms(5_010));
    assert!(!reach.broke(ms(5_020), A), "another target has answered in between");
}

fn peers(count: u8) -> Vec<RelayPeer> {
    let peer = |index: u8| RelayPeer {
        vm: format!("vm-{index}"),
        ip: [10, 0, 1, index].into(),
        capacity: 25,
    };
    (0..count).map(peer).collect()
}

#[test]
fn relayed_connections_spread_over_the_peers() {
    let mut choice = RelayChoice::default();
    choice.set_peers(peers(8));
    let mut random = StdRng::seed_from_u64(7);
    let mut open = std::collections::BTreeMap::<String, usize>::new();
    for _ in 0..400 {
        let peer = choice.choose(ms(0), &[], &mut random).expect("there are peers");
        choice.opened(&peer.vm);
        *open.entry(peer.vm).or_default() += 1;
    }
    assert_eq!(open.len(), 8);
    assert!(open.values().all(|count| (40..=60).contains(count)), "{open:?}");
}

#[test]
fn peer_that_failed_is_left_out_unless_all_have() {
    let mut choice = RelayChoice::default();
    choice.set_peers(peers(2));
    let mut random = StdRng::seed_from_u64(7);
    choice.failed(ms(0), &"vm-0".to_string());
    let mut chosen = |choice: &RelayChoice, now| -> BTreeSet<String> {
        let draws = (0..20).filter_map(|_| choice.choose(now, &[], &mut random));
        draws.map(|peer| peer.vm).collect()
    };
    assert_eq!(chosen(&choice, ms(500)), BTreeSet::from(["vm-1".to_string()]));
    choice.failed(ms(500), &"vm-1".to_string());
    assert_eq!(chosen(&choice, ms(600)).len(), 2, "all have failed");
    let asked = ["vm-0".to_string(), "vm-1".to_string()];
    assert_eq!(choice.choose(ms(600), &asked, &mut random), None);
}

/// In a large fleet a daemon that had just started asked peers again and again that did not know it yet.
#[test]
fn peers_that_do_not_know_this_daemon_are_left_out_for_longer() {
    let mut choice = RelayChoice::default();
    choice.set_peers(peers(2));
    let mut random = StdRng::seed_from_u64(7);
    choice.refused_as_stranger(ms(0), &"vm-0".to_string());
    for _ in 0..20 {
        let peer = choice.choose(ms(5_000), &[], &mut random).expect("a peer");
        assert_eq!(peer.vm, "vm-1");
    }
}
