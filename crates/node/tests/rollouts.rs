//! Tests the rollout of an ordered version in a fleet: which requests its targets may get while schedulers change,
//! are cut off or join, and how the rollout ends.

mod support;

use std::time::Duration;

use curlewcleat_core::{
    AnswerObservation, AnswerSample, DiscoveredTarget, RequestId, RolloutStage, RolloutWrite,
};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::RequestSpec;
use rstest::rstest;

use support::{spec, target, Fleet, ROLLOUT_LIMITS};

const TARGETS: usize = 8;
const ORDER_TIME: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(20);

/// A fleet in front of targets of two versions, which answer at once.
struct VersionedFleet {
    fleet: Fleet,
    number: u128,
    followed: usize,
    /// Whether the answers of the new version fail.
    is_faulty: bool,
    /// When requests were sent to the old and the new version.
    old: Vec<Duration>,
    new: Vec<Duration>,
}

fn versioned(id: String, version: &str) -> DiscoveredTarget {
    let mut target = target(&id, false);
    target.entry.version = Some(version.to_string());
    target
}

impl VersionedFleet {
    fn new(daemons: usize) -> VersionedFleet {
        let mut fleet = Fleet::new(daemons);
        let targets = (0..TARGETS).map(|index| versioned(format!("a{index}"), "v1"));
        fleet.targets = (targets.collect(), fleet.targets.1 + 1);
        fleet.run(Duration::from_secs(4));
        VersionedFleet {
            fleet,
            number: 0,
            followed: 0,
            is_faulty: false,
            old: Vec::new(),
            new: Vec::new(),
        }
    }

    /// Starts targets of the new version beside the others.
    fn start_version(&mut self) {
        let (targets, at) = &mut self.fleet.targets;
        targets.extend((0..TARGETS).map(|index| versioned(format!("b{index}"), "v2")));
        *at += 1;
    }

    /// Sends callers' requests to these daemons for `time`.
    fn load(&mut self, daemons: &[usize], time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            for index in daemons {
                // The request number encodes the daemon that received the request.
                self.number += 1;
                let number = self.number * 1_000 + *index as u128;
                let spec = RequestSpec { time_left: Duration::from_secs(1), ..spec(number) };
                self.fleet.event(*index, NodeEvent::Admit(Box::new(spec)));
            }
            self.follow();
        }
    }

    fn follow(&mut self) {
        while self.followed < self.fleet.decisions.len() {
            let (id, decision) = self.fleet.decisions[self.followed].clone();
            self.followed += 1;
            if let CallerDecision::Dispatch(_, entry) = decision {
                self.serve(id, &entry.id, entry.version);
            }
        }
    }

    fn serve(&mut self, id: RequestId, target: &str, version: Option<String>) {
        let index = (id.as_u128() % 1_000) as usize;
        let is_new = version.as_deref() == Some("v2");
        let now = self.fleet.now;
        if is_new {
            self.new.push(now)
        } else {
            self.old.push(now)
        }
        let observation = match is_new && self.is_faulty {
            true => AnswerObservation::Failed,
            false => AnswerObservation::Begun(Duration::from_millis(20)),
        };
        let sample = AnswerSample {
            rule: "r".to_string(),
            target: target.to_string(),
            version,
            work: 10_000,
            observation,
        };
        self.fleet.event(index, NodeEvent::AnswerObserved("p".to_string(), Box::new(sample)));
        self.fleet.finish(index, id.as_u128());
    }

    fn everyone(&self) -> Vec<usize> {
        (0..self.fleet.daemons.len()).collect()
    }

    fn stage(&self, index: usize) -> Option<RolloutStage> {
        self.fleet.daemons[index].node.status().rollouts.first().map(|rollout| rollout.stage)
    }

    fn stored(&self) -> Option<RolloutStage> {
        self.fleet.rollouts.0.first().and_then(|record| record.ended)
    }

    /// Returns the number of requests that the new version got beyond its share since then.
    fn excess(&self, since: Duration) -> i64 {
        let count = |times: &[Duration]| times.iter().filter(|at| **at >= since).count() as i64;
        let (old, new) = (count(&self.old), count(&self.new));
        new - (old + new) * ROLLOUT_LIMITS.permille as i64 / 1_000
    }
}

/// The targets became known before it is known whether an order exists for their version: no request goes to them
/// until that is known.
#[test]
fn version_gets_no_requests_until_the_orders_are_known() {
    let mut rollout = VersionedFleet::new(6);
    let everyone = rollout.everyone();
    rollout.fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = false);
    rollout.fleet.run(Duration::from_secs(2));
    rollout.start_version();
    let (targets, at) = rollout.fleet.targets.clone();
    for index in &everyone {
        rollout.fleet.event(*index, NodeEvent::TargetsListed(targets.clone(), at));
    }
    rollout.load(&everyone, Duration::from_secs(5));
    assert_eq!(rollout.new.len(), 0, "it is not known whether an order exists for them");
    rollout.fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = true);
    rollout.load(&everyone, Duration::from_secs(5));
    assert!(!rollout.new.is_empty(), "no order exists for them");
}

/// The scheduler is cut off every two seconds, so that other daemons become schedulers, which do not know what was
/// granted before.
#[rstest]
#[case::nothing_happens(false)]
#[case::elections(true)]
fn version_on_trial_gets_at_most_its_share_across_schedulers(#[case] elections: bool) {
    let mut rollout = VersionedFleet::new(9);
    let everyone = rollout.everyone();
    rollout.load(&everyone, Duration::from_secs(1));
    let since = rollout.fleet.now;
    rollout.fleet.order_version("v2", ORDER_TIME);
    rollout.start_version();
    for _ in 0..4 {
        rollout.load(&everyone, Duration::from_secs(2));
        let leader = rollout.fleet.leader();
        rollout.fleet.daemons.iter_mut().for_each(|daemon| daemon.cut = false);
        rollout.fleet.daemons[leader].cut = elections;
    }
    let slack = ROLLOUT_LIMITS.slack as i64;
    assert!(rollout.excess(since) <= slack, "{} beyond its share", rollout.excess(since));
    assert!(!rollout.new.is_empty());
}

/// The answers of the new version fail, and the platform may be unreachable once the order is known: its targets get
/// no more requests from any daemon, and the result is stored once the platform is reachable again.
#[rstest]
#[case::platform_in_reach(true)]
#[case::platform_out_of_reach(false)]
fn faulty_version_gets_no_more_requests_from_any_daemon(#[case] reaches_platform: bool) {
    let mut rollout = VersionedFleet::new(9);
    rollout.is_faulty = true;
    let everyone = rollout.everyone();
    rollout.fleet.order_version("v2", ORDER_TIME);
    rollout.start_version();
    rollout.load(&everyone, Duration::from_millis(700));
    rollout.fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = reaches_platform);
    rollout.load(&everyone, Duration::from_secs(5));
    let stages: Vec<_> = everyone.iter().map(|index| rollout.stage(*index)).collect();
    assert!(stages.iter().all(|stage| *stage == Some(RolloutStage::RolledBack)), "{stages:?}");
    let last = rollout.new.last().copied().expect("requests on trial");
    assert!(
        last + Duration::from_secs(2) < rollout.fleet.now,
        "{last:?} of {:?}",
        rollout.fleet.now
    );
    assert!(rollout.new.len() <= 50, "{}", rollout.new.len());
    rollout.fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = true);
    rollout.load(&everyone, Duration::from_secs(4));
    assert_eq!(rollout.stored(), Some(RolloutStage::RolledBack));
}

/// A sound version is completed; a late write by a daemon that decided otherwise changes nothing.
#[test]
fn late_rollout_write_changes_nothing() {
    let mut rollout = VersionedFleet::new(6);
    let everyone = rollout.everyone();
    rollout.fleet.order_version("v2", ORDER_TIME);
    rollout.start_version();
    rollout.load(&everyone, Duration::from_secs(1));
    let revision = rollout.fleet.rollouts.0[0].revision;
    rollout.load(&everyone, ORDER_TIME - Duration::from_secs(1));
    assert_eq!(rollout.stored(), Some(RolloutStage::Completed));
    let late = RolloutWrite {
        name: "p".to_string(),
        version: "v2".to_string(),
        stage: RolloutStage::RolledBack,
        revision,
    };
    rollout.fleet.write_rollout(&late);
    rollout.load(&everyone, Duration::from_secs(2));
    assert_eq!(rollout.stored(), Some(RolloutStage::Completed));
    let after = rollout.fleet.now;
    rollout.load(&everyone, Duration::from_secs(1));
    assert!(rollout.old.iter().all(|at| *at < after), "the earlier targets get no more requests");
}

/// The order is withdrawn while the version is on trial: its targets get no more requests.
#[test]
fn withdrawn_order_stops_requests_to_its_version() {
    let mut rollout = VersionedFleet::new(6);
    let everyone = rollout.everyone();
    rollout.fleet.order_version("v2", ORDER_TIME);
    rollout.start_version();
    rollout.load(&everyone, Duration::from_secs(2));
    rollout.fleet.rollouts = (Vec::new(), rollout.fleet.rollouts.1 + 1);
    rollout.load(&everyone, Duration::from_secs(2));
    let tried = rollout.new.len();
    rollout.load(&everyone, Duration::from_secs(3));
    assert_eq!(rollout.new.len(), tried);
}
