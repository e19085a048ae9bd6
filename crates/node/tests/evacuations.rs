//! Tests evacuations in a fleet: no daemon sends requests to the targets of an evacuated data centre, while readers
//! change, the platform is out of reach, and daemons join.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{DiscoveredTarget, EvacuationList, RequestRate, WarmUpLimit};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::RequestSpec;
use rstest::rstest;

use support::{mixed_fleet_daemon, recorded, spec, target, Fleet};

/// Time after a change within which all daemons keep to it; the users allow five seconds.
const SPREAD_LIMIT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(20);
/// Targets in each data centre.
const TARGETS: usize = 4;

/// A fleet in front of targets in two data centres, which answer at once.
struct DividedFleet {
    fleet: Fleet,
    number: u128,
    followed: usize,
    /// When requests were sent to each data centre.
    sent: BTreeMap<String, Vec<Duration>>,
}

fn placed(index: usize, data_centre: &str) -> DiscoveredTarget {
    let mut target = target(&format!("{data_centre}{index}"), false);
    target.entry.data_centre = data_centre.to_string();
    target
}

impl DividedFleet {
    fn new(daemons: usize) -> DividedFleet {
        let mut fleet = Fleet::new(daemons);
        let targets = ["d", "e"]
            .into_iter()
            .flat_map(|data_centre| (0..TARGETS).map(move |index| placed(index, data_centre)));
        fleet.targets = (targets.collect(), fleet.targets.1 + 1);
        fleet.run(Duration::from_secs(4));
        DividedFleet { fleet, number: 0, followed: 0, sent: BTreeMap::new() }
    }

    /// Sends callers' requests to all daemons for `time`.
    fn load(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            for index in 0..self.fleet.daemons.len() {
                // The request number encodes the daemon that received the request.
                self.number += 1;
                let number = self.number * 1_000 + index as u128;
                let spec = RequestSpec { time_left: Duration::from_secs(1), ..spec(number) };
                self.fleet.event(index, NodeEvent::Admit(Box::new(spec)));
            }
            self.follow();
        }
    }

    fn follow(&mut self) {
        while self.followed < self.fleet.decisions.len() {
            let (id, decision) = self.fleet.decisions[self.followed].clone();
            self.followed += 1;
            if let CallerDecision::Dispatch(_, entry) = decision {
                self.sent.entry(entry.data_centre).or_default().push(self.fleet.now);
                self.fleet.finish((id.as_u128() % 1_000) as usize, id.as_u128());
            }
        }
    }

    /// Returns the number of requests sent to a data centre since then.
    fn sent_since(&self, data_centre: &str, since: Duration) -> usize {
        let times = self.sent.get(data_centre).into_iter().flatten();
        times.filter(|at| **at >= since).count()
    }

    /// Returns the daemons that know a data centre to be evacuated.
    fn informed(&self, data_centre: &str) -> usize {
        let knows = |index: &usize| {
            let status = self.fleet.daemons[*index].node.status();
            status.evacuated.iter().any(|evacuated| evacuated == data_centre)
        };
        (0..self.fleet.daemons.len()).filter(knows).count()
    }
}

#[rstest]
#[case::small(3)]
#[case::large(40)]
fn evacuated_data_centre_gets_no_requests_until_it_is_released(#[case] daemons: usize) {
    let mut divided = DividedFleet::new(daemons);
    divided.load(Duration::from_secs(1));
    assert!(divided.sent_since("d", Duration::ZERO) > 0);
    divided.fleet.evacuate(&["d"]);
    divided.load(SPREAD_LIMIT);
    assert_eq!(divided.informed("d"), daemons);
    let since = divided.fleet.now;
    divided.load(Duration::from_secs(4));
    assert_eq!(divided.sent_since("d", since), 0);
    assert!(divided.sent_since("e", since) > 0);
    divided.fleet.evacuate(&[]);
    divided.load(SPREAD_LIMIT);
    assert_eq!(divided.informed("d"), 0);
    let since = divided.fleet.now;
    divided.load(Duration::from_secs(2));
    assert!(divided.sent_since("d", since) > 0);
}

/// Only the daemons that read the platform know of the evacuation when they lose it: the others learn it from them,
/// also a daemon that starts while no daemon reaches the platform.
#[test]
fn evacuation_holds_while_the_platform_is_out_of_reach() {
    let mut divided = DividedFleet::new(20);
    divided.fleet.evacuate(&["d"]);
    divided.fleet.run(Duration::from_millis(600));
    divided.fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = false);
    divided.load(SPREAD_LIMIT);
    let (since, joining) = (divided.fleet.now, 19);
    divided.fleet.daemons[joining] = mixed_fleet_daemon(joining, Vec::new(), 2, 5);
    divided.fleet.daemons[joining].reaches_platform = false;
    divided.fleet.event(joining, recorded(20));
    divided.load(Duration::from_secs(6));
    assert_eq!(divided.sent_since("d", since), 0);
    assert_eq!(divided.informed("d"), 20);
}

/// A store that was restored from an older copy counts its versions anew in a later era.
#[test]
fn list_of_a_later_era_replaces_a_list_with_a_higher_revision() {
    let mut divided = DividedFleet::new(6);
    divided.fleet.evacuate(&["d"]);
    divided.fleet.evacuations.at = 5_000;
    divided.load(SPREAD_LIMIT);
    assert_eq!(divided.informed("d"), 6);
    divided.fleet.evacuations = EvacuationList { at: (1 << 48) + 7, ..EvacuationList::default() };
    divided.load(SPREAD_LIMIT);
    assert_eq!(divided.informed("d"), 0);
}

#[test]
fn older_list_is_ignored() {
    let mut divided = DividedFleet::new(3);
    let sent = divided.fleet.now;
    let list = |at, data_centre: &str| {
        let data_centres = [data_centre.to_string()].into();
        NodeEvent::EvacuationsListed { list: EvacuationList { at, data_centres }, sent }
    };
    divided.fleet.event(0, list(60, "d"));
    divided.fleet.event(0, list(40, "e"));
    assert_eq!(divided.fleet.daemons[0].node.status().evacuated, ["d"]);
}

/// The permit was granted before its entry daemon learned of the evacuation.
#[test]
fn permit_granted_before_the_evacuation_is_not_used() {
    let mut divided = DividedFleet::new(6);
    let entry = (divided.fleet.leader() + 1) % 6;
    let is_sent = |fleet: &Fleet, number: u128| {
        matches!(fleet.decision(number), Some(CallerDecision::Dispatch(..)))
    };
    divided.fleet.admit(entry, 6);
    assert!(is_sent(&divided.fleet, 6), "the scheduler grants at once");
    let everywhere = EvacuationList { at: 50, data_centres: ["d", "e"].map(String::from).into() };
    divided
        .fleet
        .event(entry, NodeEvent::EvacuationsListed { list: everywhere, sent: divided.fleet.now });
    divided.fleet.admit(entry, 7);
    assert!(!is_sent(&divided.fleet, 7));
}

/// What evacuations cost is paid only while there is one.
#[test]
fn messages_about_evacuations_are_sent_only_while_there_is_one() {
    let mut divided = DividedFleet::new(6);
    for (evacuated, are_sent) in [(&[][..], false), (&["d"][..], true), (&[][..], false)] {
        divided.fleet.evacuate(evacuated);
        divided.load(SPREAD_LIMIT);
        divided.fleet.restart_byte_count();
        divided.load(SPREAD_LIMIT);
        let bytes = &divided.fleet.bytes_of_kind;
        assert!(bytes.contains_key("freshness"), "{bytes:?}");
        assert_eq!(bytes.contains_key("evacuations"), are_sent, "{bytes:?}");
    }
}

/// Targets that return from an evacuation have been idle and warm up, and their list entries may not state it yet.
#[test]
fn returning_targets_get_no_more_requests_than_they_accept_while_warming_up() {
    const RATE: usize = 5;
    const WARM_UP: Duration = Duration::from_secs(3);
    let mut divided = DividedFleet::new(8);
    let rate = RequestRate::per_second(RATE as f64).expect("a rate");
    let limits = BTreeMap::from([("p".to_string(), WarmUpLimit { rate, time: WARM_UP })]);
    for index in 0..8 {
        divided.fleet.event(index, NodeEvent::WarmUpLimitsRead(limits.clone()));
    }
    divided.fleet.evacuate(&["d"]);
    divided.load(SPREAD_LIMIT);
    divided.fleet.evacuate(&[]);
    let since = divided.fleet.now;
    divided.load(WARM_UP);
    let during = divided.sent_since("d", since);
    assert!(during > 0);
    assert!(during <= TARGETS * (RATE * 3 + 2), "{during} requests while warming up");
    let since = divided.fleet.now + SPREAD_LIMIT;
    divided.load(SPREAD_LIMIT * 2);
    assert!(divided.sent_since("d", since) > TARGETS * RATE * 4, "the limit has ended");
}

/// A target states in its list entry that it is warming up, at any time.
#[test]
fn target_that_turns_cold_is_limited_until_it_is_warm() {
    let mut divided = DividedFleet::new(5);
    let rate = RequestRate::per_second(5.0).expect("a rate");
    let limit = WarmUpLimit { rate, time: Duration::from_secs(3) };
    let limits = BTreeMap::from([("p".to_string(), limit)]);
    for index in 0..5 {
        divided.fleet.event(index, NodeEvent::WarmUpLimitsRead(limits.clone()));
    }
    let cold = |fleet: &mut Fleet, remaining: u64| {
        fleet.targets.0.iter_mut().for_each(|target| {
            target.warm_up = Some(Duration::from_millis(remaining));
        });
        fleet.targets.1 += 1;
    };
    cold(&mut divided.fleet, 60_000);
    divided.load(Duration::from_secs(2));
    let since = divided.fleet.now;
    divided.load(Duration::from_secs(4));
    let during = divided.sent_since("d", since) + divided.sent_since("e", since);
    assert!(during <= 2 * TARGETS * (5 * 4 + 2), "{during} requests while cold");
    assert!(during >= 2 * TARGETS * 4 * 4, "{during} requests of those that are accepted");
    cold(&mut divided.fleet, 0);
    divided.load(Duration::from_secs(2));
    let since = divided.fleet.now;
    divided.load(Duration::from_secs(2));
    let after = divided.sent_since("d", since) + divided.sent_since("e", since);
    assert!(after > during, "{after} requests once warm");
}

/// A target turns cold shortly before its evacuation ends and states a longer time than a whole warm-up, or the
/// platform states no time: what the list entry states holds.
#[rstest]
#[case::shorter_limit(Duration::from_secs(1))]
#[case::no_time(Duration::ZERO)]
fn end_of_an_evacuation_does_not_shorten_a_stated_warm_up(#[case] time: Duration) {
    let mut divided = DividedFleet::new(3);
    let rate = RequestRate::per_second(5.0).expect("a rate");
    let limits = BTreeMap::from([("p".to_string(), WarmUpLimit { rate, time })]);
    for index in 0..3 {
        divided.fleet.event(index, NodeEvent::WarmUpLimitsRead(limits.clone()));
    }
    divided.fleet.evacuate(&["d"]);
    divided.load(SPREAD_LIMIT);
    let list = |fleet: &mut Fleet, remaining: Option<Duration>| {
        fleet.targets.0.iter_mut().for_each(|target| target.warm_up = remaining);
        fleet.targets.1 += 1;
    };
    list(&mut divided.fleet, Some(Duration::from_secs(30)));
    divided.load(Duration::from_secs(1));
    // The entries are not read again until the evacuation has ended.
    list(&mut divided.fleet, None);
    divided.fleet.evacuate(&[]);
    divided.load(SPREAD_LIMIT + time);
    let leader = divided.fleet.leader();
    let status = divided.fleet.daemons[leader].node.status();
    let limited = status.pools[0].targets.iter().filter(|target| target.warm_up_rate.is_some());
    assert_eq!(limited.count(), 2 * TARGETS);
}
