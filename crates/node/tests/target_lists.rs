//! Tests what a peer gets that knows an earlier revision of the targets.
//!
//! The failure: a daemon that read the platform listed all targets again, because the platform had forgotten its
//! history, after an outage, or because it had just become a reader. Its log of changes began anew, so that each other
//! daemon got the whole list: 300 KB for 3,000 targets to each of 985 daemons, within a second, from one link. Releases
//! and outages with more changes than the log held had the same effect.

mod support;

use std::collections::BTreeMap;

use curlewcleat_core::{DiscoveredTarget, TargetChange, TargetStart, TargetsContent};
use curlewcleat_node::{TargetView, ViewUpdate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use support::target;

/// Number of targets of the users' whole fleet, and twice as many.
const SIZES: [usize; 2] = [3_000, 6_000];

fn all(count: usize) -> Vec<DiscoveredTarget> {
    (0..count).map(|index| target(&format!("t{index}"), false)).collect()
}

fn started(id: &str, start: u64) -> DiscoveredTarget {
    let mut target = target(id, false);
    target.entry.start = Some(TargetStart(start));
    target
}

fn by_id(view: &TargetView) -> BTreeMap<String, DiscoveredTarget> {
    view.targets().into_iter().map(|target| (target.entry.id.clone(), target)).collect()
}

fn changes_since(view: &TargetView, known: u64) -> usize {
    match view.since(known) {
        TargetsContent::Since(_, changes) => changes.len(),
        TargetsContent::All(_) => usize::MAX,
    }
}

#[rstest]
#[case(SIZES[0])]
#[case(SIZES[1])]
fn list_read_again_reaches_peers_as_its_differences(#[case] targets: usize) {
    let mut view = TargetView::default();
    view.apply_list(all(targets), 100, false);
    let mut again = all(targets);
    again.remove(7);
    again[20].leaving = true;
    again.push(target("new", false));
    view.apply_list(again, 500, false);
    assert_eq!(changes_since(&view, 100), 3);
    assert_eq!(changes_since(&view, 500), 0);
    assert_eq!(changes_since(&view, 99), usize::MAX, "nothing is known of the time before");
}

/// A release replaces a sixth of the targets; each one leaves, vanishes, and a new one appears, which then changes.
#[rstest]
#[case(SIZES[0])]
#[case(SIZES[1])]
fn release_of_a_sixth_of_the_targets_reaches_peers_as_changes(#[case] targets: usize) {
    let mut view = TargetView::default();
    view.apply_list(all(targets), 100, false);
    let mut at = 100;
    let mut change = |change: TargetChange| {
        at += 1;
        view.apply_changes(at - 1, vec![change], at, false);
    };
    for index in 0..targets / 6 {
        let (old, new) = (format!("t{index}"), format!("n{index}"));
        change(TargetChange::Present(target(&old, true)));
        change(TargetChange::Present(target(&new, false)));
        change(TargetChange::Gone(old));
        for slots in 5..8 {
            let mut stated = target(&new, false);
            stated.entry.slots = slots;
            change(TargetChange::Present(stated));
        }
    }
    assert_eq!(changes_since(&view, 100), targets / 6 * 2, "the latest change to each");
}

/// A late entry of an earlier instance follows the entry of the latest one. A peer that knows neither gets the latest.
#[test]
fn late_entry_of_an_earlier_instance_does_not_hide_the_latest_one_from_peers() {
    let (mut view, mut peer) = (TargetView::default(), TargetView::default());
    view.apply_list(vec![started("a", 10)], 1, false);
    peer.apply_list(vec![started("a", 10)], 1, false);
    view.apply_changes(1, vec![TargetChange::Present(started("a", 20))], 2, false);
    view.apply_changes(2, vec![TargetChange::Present(started("a", 10))], 3, false);
    let TargetsContent::Since(from, changes) = view.since(1) else { panic!("a list") };
    assert_eq!(peer.apply_changes(from, changes, 3, false), ViewUpdate::Applied);
    assert_eq!(by_id(&peer), by_id(&view));
    assert_eq!(peer.targets()[0].entry.start, Some(TargetStart(20)));
}

/// All targets vanish in an outage, more than are remembered of a small fleet, and late entries of their earlier
/// instances arrive.
#[rstest]
#[case(SIZES[0])]
#[case(SIZES[1])]
fn earlier_instances_do_not_return_after_all_targets_have_vanished(#[case] targets: usize) {
    let of_start = |start: u64| -> Vec<DiscoveredTarget> {
        (0..targets).map(|index| started(&format!("t{index}"), start)).collect()
    };
    let mut view = TargetView::default();
    view.apply_list(of_start(20), 1, false);
    let gone = (0..targets).map(|index| TargetChange::Gone(format!("t{index}"))).collect();
    view.apply_changes(1, gone, 2, false);
    let late = of_start(10).into_iter().map(TargetChange::Present).collect();
    view.apply_changes(2, late, 3, false);
    assert_eq!(view.targets().len(), 0);
}

/// A platform whose targets come and go at random.
struct RandomPlatform {
    random: StdRng,
    listed: BTreeMap<String, DiscoveredTarget>,
    at: u64,
}

impl RandomPlatform {
    const TARGETS: u64 = 400;

    /// Changes one target and passes the change, or now and then the whole list, to the view.
    fn step(&mut self, step: u64, view: &mut TargetView) {
        let id = format!("t{}", self.random.random_range(0..Self::TARGETS));
        self.at += 1;
        let change = match self.listed.remove(&id) {
            Some(_) => TargetChange::Gone(id.clone()),
            None => {
                self.listed.insert(id.clone(), started(&id, step));
                TargetChange::Present(started(&id, step))
            }
        };
        match self.random.random_range(0..50) {
            0 => view.apply_list(self.listed.values().cloned().collect(), self.at, false),
            _ => view.apply_changes(self.at - 1, vec![change], self.at, false),
        };
    }
}

/// A peer that pulls at random moments knows the same targets as the daemon that it pulls from, and gets the whole list
/// only if it lacks many changes.
#[rstest]
fn peer_follows_lists_and_changes(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    /// Changes that are kept of so few targets.
    const KEPT: u64 = 256;
    let random = StdRng::seed_from_u64(seed);
    let mut platform = RandomPlatform { random, listed: BTreeMap::new(), at: 1 };
    let (mut view, mut peer) = (TargetView::default(), TargetView::default());
    let mut last_pull = None;
    view.apply_list(Vec::new(), 1, false);
    for step in 0..4_000 {
        platform.step(step, &mut view);
        if platform.random.random_range(0..80) > 0 {
            continue;
        }
        match view.since(peer.at()) {
            TargetsContent::All(targets) => {
                let missed = last_pull.map_or(u64::MAX, |pulled| step - pulled);
                assert!(missed > KEPT, "the whole list after {missed} changes");
                peer.apply_list(targets, view.at(), false);
            }
            TargetsContent::Since(from, changes) => {
                let update = peer.apply_changes(from, changes, view.at(), false);
                assert_eq!(update, ViewUpdate::Applied);
            }
        }
        last_pull = Some(step);
        assert_eq!(by_id(&peer), by_id(&view), "after {step} steps");
    }
}
