//! Daemons of a fleet that see the platform differently.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    ConfigBundle, DaemonId, DiscoveredTarget, PeerFrame, RefusalReason, RequestId, TargetEntry,
};
use curlewcleat_keys::KeyHomeOptions;
use curlewcleat_node::{CallerDecision, Node, NodeAction, NodeEvent, NodeOptions};
use curlewcleat_sched::{EntryOptions, MemberOptions, RequestSpec};

const CONFIG: &str = "[tier t0]\nrank = 0\n[pool p]\nkind = service\n\
    [account a]\ntoken_sha256 = 2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\n\
    shared_rate_per_s = 1000\n";
const STEP: Duration = Duration::from_millis(20);

/// Some daemons and the frames between them, which arrive at once.
struct Fleet {
    nodes: Vec<Node>,
    now: Duration,
    decisions: Vec<(RequestId, CallerDecision)>,
}

impl Fleet {
    fn new(daemons: usize) -> Fleet {
        let addresses: Vec<String> = (0..daemons).map(address).collect();
        let nodes = (0..daemons).map(|index| node(index, addresses.clone())).collect();
        let mut fleet = Fleet { nodes, now: Duration::ZERO, decisions: Vec::new() };
        for index in 0..daemons {
            let files = BTreeMap::from([("a.ini".to_string(), CONFIG.to_string())]);
            fleet.event(index, NodeEvent::ConfigRead(ConfigBundle { generation: 1, files }));
            fleet.event(index, recorded(daemons));
            fleet
                .event(index, NodeEvent::TargetsRead(vec![target("x", false), target("y", false)]));
        }
        fleet.run(Duration::from_secs(2));
        fleet
    }

    fn event(&mut self, index: usize, event: NodeEvent) {
        let mut events = vec![(index, event)];
        while let Some((index, event)) = events.pop() {
            let wall = Duration::from_secs(1_000) + self.now;
            for action in self.nodes[index].handle(self.now, wall, event) {
                match action {
                    NodeAction::Send(to, frame) => events.extend(self.delivery(&to, frame)),
                    NodeAction::Decide(id, decision) => self.decisions.push((id, decision)),
                    _ => {}
                }
            }
        }
    }

    fn delivery(&self, to: &str, frame: PeerFrame) -> Option<(usize, NodeEvent)> {
        let index = (0..self.nodes.len()).find(|index| address(*index) == to)?;
        Some((index, NodeEvent::Peer(frame)))
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.nodes.len() {
                self.event(index, NodeEvent::Tick);
            }
        }
    }

    fn admit(&mut self, index: usize, number: u128) {
        self.event(index, NodeEvent::Admit(Box::new(spec(number))));
    }

    fn decision(&self, number: u128) -> Option<&CallerDecision> {
        let found = self.decisions.iter().rev().find(|(id, _)| id.as_u128() == number);
        found.map(|(_, decision)| decision)
    }

    fn scheduler(&self, index: usize) -> String {
        self.nodes[index].status().pools[0].scheduler.clone()
    }
}

fn address(index: usize) -> String {
    format!("127.0.0.1:{}", 1_000 + index)
}

fn recorded(daemons: usize) -> NodeEvent {
    NodeEvent::PeersRecorded { addresses: (0..daemons).map(address).collect(), complete: true }
}

fn node(index: usize, seeds: Vec<String>) -> Node {
    Node::new(NodeOptions {
        me: DaemonId { vm: format!("vm-{index}"), incarnation: 1 },
        members: MemberOptions {
            address: address(index),
            data_centre: "d".to_string(),
            seeds,
            suspect_after: Duration::from_secs(2),
        },
        keys: KeyHomeOptions::default(),
        key_slots: 0,
        entry: EntryOptions::default(),
        rate_margin: curlewcleat_sched::RateMargin::default(),
        one_scheduler: false,
        age_per_work: 32,
        request_limit: 10_000,
        beat: Duration::from_millis(500),
        drain_grace: Duration::from_secs(1),
        hand_over_limit: Duration::from_secs(1),
    })
}

fn target(id: &str, leaving: bool) -> DiscoveredTarget {
    let entry = TargetEntry {
        id: id.to_string(),
        address: "127.0.0.1:1".to_string(),
        vm: id.to_string(),
        data_centre: "d".to_string(),
        slots: 4,
    };
    DiscoveredTarget { pool: "p".to_string(), entry, leaving }
}

fn spec(number: u128) -> RequestSpec {
    RequestSpec {
        request: RequestId::from_u128(number),
        pool: "p".to_string(),
        tier: 0,
        account: "a".to_string(),
        time_left: Duration::from_secs(5),
        aims: curlewcleat_core::ServiceAims::default(),
        attempt_limit: Some(1),
        cost: 1,
        prompt_work: 0,
        output_work: 1_000,
        prefix: None,
        key: None,
    }
}

#[test]
fn entry_sends_nothing_to_a_target_that_it_knows_to_leave() {
    let mut fleet = Fleet::new(3);
    // Only the entry has heard that the target leaves; the scheduler may be any of the three.
    let entry = (0..3).find(|index| fleet.scheduler(0) != format!("vm-{index}")).expect("an entry");
    fleet.event(entry, NodeEvent::TargetsRead(vec![target("x", true), target("y", false)]));
    for number in 1..=4 {
        fleet.admit(entry, number);
        fleet.run(Duration::from_millis(200));
        match fleet.decision(number) {
            Some(CallerDecision::Dispatch(_, target)) => assert_eq!(target.id, "y"),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn daemon_with_an_old_view_schedules_only_where_all_have_one() {
    let mut fleet = Fleet::new(3);
    let before = fleet.scheduler(0);
    let holder = (0..3).find(|index| before == format!("vm-{index}")).expect("a scheduler");
    fleet.event(holder, NodeEvent::PlatformStale(true));
    fleet.run(Duration::from_secs(1));
    let after: Vec<String> = (0..3).map(|index| fleet.scheduler(index)).collect();
    assert!(after.iter().all(|scheduler| *scheduler == after[0] && *scheduler != before));
    for index in 0..3 {
        fleet.event(index, NodeEvent::PlatformStale(true));
    }
    fleet.run(Duration::from_secs(1));
    assert!((0..3).all(|index| fleet.scheduler(index) == before));
}

#[test]
fn newborn_daemon_takes_no_more_than_its_part_of_a_rate() {
    let mut alone = Fleet::new(1);
    alone.nodes[0] = node(0, Vec::new());
    let files = BTreeMap::from([("a.ini".to_string(), CONFIG.to_string())]);
    alone.event(0, NodeEvent::ConfigRead(ConfigBundle { generation: 1, files }));
    alone.event(0, NodeEvent::TargetsRead(vec![target("x", false)]));
    alone.run(Duration::from_secs(1));
    let mut refused = 0;
    for number in 1..=500 {
        alone.admit(0, number);
        let decision = alone.decision(number);
        refused += usize::from(matches!(
            decision,
            Some(CallerDecision::Refuse(refusal)) if refusal.reason == RefusalReason::AccountRate
        ));
    }
    assert!(refused >= 300, "{refused}");
}
