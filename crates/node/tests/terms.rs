//! What a daemon grants that has missed that another one took over: cut off, standing still, or not heard.

mod support;

use std::time::Duration;

use curlewcleat_core::RequestId;
use curlewcleat_node::CallerDecision;
use rstest::rstest;

use support::{address, later_daemon, Fleet};

const DAEMONS: usize = 6;
const RATE: u64 = 1_000;
const BURST: u64 = 200;
/// Units that a request costs.
const COST: u64 = 10;
const STEP: Duration = Duration::from_millis(20);

/// A fleet whose account has a rate and a burst, and what was granted of them.
struct RatedFleet {
    fleet: Fleet,
    number: u128,
}

impl RatedFleet {
    /// Returns a fleet that has granted nothing for long enough that the whole burst is available.
    fn new(rate: u64, burst: u64) -> RatedFleet {
        RatedFleet::of(DAEMONS, rate, burst)
    }

    fn of(daemons: usize, rate: u64, burst: u64) -> RatedFleet {
        let mut fleet = Fleet::new(daemons);
        let rated = format!("shared_rate_per_s = {rate}\nshared_burst = {burst}\n");
        fleet.config = fleet.config.replace("shared_rate_per_s = 1000\n", &rated);
        fleet.generation += 1;
        fleet.run(Duration::from_secs(4));
        RatedFleet { fleet, number: 0 }
    }

    /// Sends requests to a daemon at once; returns the units that were granted.
    fn request(&mut self, index: usize, requests: usize) -> u64 {
        let first = self.number + 1;
        for _ in 0..requests {
            self.number += 1;
            self.fleet.admit_for(index, self.number, COST);
            self.fleet.finish(index, self.number);
        }
        self.granted_since(first)
    }

    /// Sends more requests to these daemons than the rate allows; returns the units that were granted.
    fn load(&mut self, daemons: &[usize], time: Duration) -> u64 {
        let (first, end) = (self.number + 1, self.fleet.now + time);
        while self.fleet.now < end {
            self.fleet.run(STEP);
            for index in daemons {
                self.request(*index, 5);
            }
        }
        self.granted_since(first)
    }

    fn granted_since(&self, first: u128) -> u64 {
        let first = RequestId::from_u128(first);
        let is_granted =
            |decision: &CallerDecision| matches!(decision, CallerDecision::Dispatch(..));
        let decisions = self.fleet.decisions.iter();
        let granted = decisions.filter(|(id, decision)| *id >= first && is_granted(decision));
        granted.count() as u64 * COST
    }

    fn others(&self, left_out: usize) -> Vec<usize> {
        (0..self.fleet.daemons.len()).filter(|index| *index != left_out).collect()
    }

    /// Makes all frames from a daemon be lost.
    fn lose_frames_of(&mut self, index: usize) {
        self.others(index).into_iter().for_each(|other| {
            self.fleet.blocked.insert((index, other));
        });
    }
}

/// Guards against a scheduler that was cut off and grants the burst that another one has granted meanwhile.
#[test]
fn burst_is_not_granted_again_by_a_scheduler_that_was_cut_off() {
    let (rate, burst) = (100, 1_000);
    let mut rated = RatedFleet::new(rate, burst);
    let scheduler = rated.fleet.leader();
    let far = rated.others(scheduler)[0];
    rated.request(scheduler, 1);
    rated.fleet.run(Duration::from_secs(12));
    rated.fleet.block(scheduler, 0..DAEMONS, true);
    rated.request(far, 1);
    rated.fleet.run(Duration::from_secs(3));
    rated.request(far, 1);
    rated.fleet.run(Duration::from_secs(20));
    let since = rated.fleet.now;
    let granted_meanwhile = rated.request(far, 200);
    rated.fleet.blocked.clear();
    rated.fleet.run(Duration::from_secs(1));
    let granted_again = rated.request(scheduler, 200);
    let time = (rated.fleet.now - since).as_secs();
    let granted = granted_meanwhile + granted_again;
    assert!(granted_meanwhile > burst / 2, "{granted_meanwhile}");
    assert!(
        granted <= burst + rate * time + 2 * COST,
        "{granted_meanwhile} and {granted_again} in {time} s"
    );
}

/// Guards against frames that have waited during a standstill and that make a scheduler reach all when they are handled.
#[test]
fn rate_is_not_granted_twice_after_a_standstill_that_ends_in_a_cut() {
    let mut rated = RatedFleet::new(RATE, BURST);
    let scheduler = rated.fleet.leader();
    let others = rated.others(scheduler);
    rated.fleet.suspend(scheduler);
    rated.load(&others, Duration::from_secs(4));
    rated.fleet.block(scheduler, 0..DAEMONS, true);
    rated.fleet.resume(scheduler);
    let everyone: Vec<usize> = (0..DAEMONS).collect();
    let time = Duration::from_secs(2);
    let granted = rated.load(&everyone, time);
    let allowed = RATE * time.as_secs() + BURST;
    assert!(granted <= allowed, "{granted} of {allowed} units granted");
    assert!(granted >= allowed / 2, "{granted} of {allowed} units granted");
}

/// Guards against a scheduler that counts as reached whoever it hears, while nobody hears it.
#[test]
fn rate_is_not_granted_twice_where_a_scheduler_is_not_heard() {
    let mut rated = RatedFleet::new(RATE, BURST);
    let scheduler = rated.fleet.leader();
    rated.lose_frames_of(scheduler);
    let everyone: Vec<usize> = (0..DAEMONS).collect();
    rated.load(&everyone, Duration::from_secs(6));
    let time = Duration::from_secs(4);
    let granted = rated.load(&everyone, time);
    let allowed = RATE * time.as_secs() + BURST;
    assert!(granted <= allowed, "{granted} of {allowed} units granted");
}

/// Guards against the same in fleets of other sizes, with and without a full mesh, and against a rate that stays divided.
#[rstest]
#[case::mesh(7)]
#[case::largest_mesh(12)]
#[case::no_mesh(13)]
#[case::large(40)]
fn rate_is_granted_once_while_a_scheduler_is_not_heard_and_afterwards(#[case] daemons: usize) {
    let mut rated = RatedFleet::of(daemons, RATE, BURST);
    let scheduler = rated.fleet.leader();
    let served: Vec<usize> =
        rated.others(scheduler).into_iter().take(5).chain([scheduler]).collect();
    rated.lose_frames_of(scheduler);
    rated.load(&served, Duration::from_secs(6));
    let time = Duration::from_secs(4);
    let allowed = RATE * time.as_secs() + BURST;
    let granted = rated.load(&served, time);
    assert!(granted <= allowed, "{granted} of {allowed} units granted");
    assert!(granted >= allowed / 2, "{granted} of {allowed} units granted");

    rated.fleet.blocked.clear();
    rated.load(&served, Duration::from_secs(3));
    let granted = rated.load(&served, time);
    assert!(granted <= allowed, "{granted} of {allowed} units granted once it is heard");
    assert!(granted >= allowed * 9 / 10, "{granted} of {allowed} units granted once it is heard");
}

/// Guards against a scheduler that grants less since a peer that has just started does not hear it yet.
#[rstest]
fn whole_rate_is_granted_soon_after_a_daemon_has_started(
    #[values(7, 40)] daemons: usize,
    #[values(true, false)] knows_records: bool,
) {
    let mut rated = RatedFleet::of(daemons, RATE, BURST);
    let scheduler = rated.fleet.leader();
    let started = rated.others(scheduler)[0];
    match knows_records {
        true => rated.fleet.restart(started, 2),
        false => {
            let seeds = rated.others(started).into_iter().map(address).collect();
            rated.fleet.daemons[started] = later_daemon(started, seeds, 2, rated.fleet.now);
        }
    }
    rated.fleet.run(Duration::from_secs(2));
    let served: Vec<usize> = rated.others(started).into_iter().take(5).collect();
    let time = Duration::from_secs(4);
    let granted = rated.load(&served, time);
    assert!(granted >= RATE * time.as_secs() * 95 / 100, "{granted} units granted");
}
