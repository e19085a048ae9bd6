//! Shares of account rates: the daemons together never admit more than the rate.

use std::time::Duration;

use curlewcleat_core::{RateUnit, SharedRate};
use curlewcleat_sched::{AccountShares, FleetDemand};

const RATE: SharedRate = SharedRate { per_s: 100_000, burst: 100_000, unit: RateUnit::Tokens(200) };
const COST: u64 = 1_000;

/// Daemons that tell each other their demand every half second.
struct Fleet {
    shares: Vec<AccountShares>,
    told: Vec<u64>,
    now: Duration,
    admitted: u64,
}

impl Fleet {
    fn new(daemons: usize) -> Fleet {
        let shares = vec![AccountShares::default(); daemons];
        Fleet { shares, told: vec![0; daemons], now: Duration::ZERO, admitted: 0 }
    }

    /// Lets half a second pass in which each daemon is asked for `asks` requests; `cut` daemons hear
    /// nobody and are heard by nobody.
    fn step(&mut self, asks: &[usize], cut: &[usize]) {
        let all = self.shares.len();
        for (index, asked) in asks.iter().enumerate() {
            let reached =
                |other: &usize| *other != index && !cut.contains(&index) && !cut.contains(other);
            let live: Vec<u64> = (0..all).filter(reached).map(|other| self.told[other]).collect();
            let silent = all - 1 - live.len();
            let fleet = FleetDemand { live, silent };
            for ask in 0..*asked {
                let at = self.now + Duration::from_millis(500) * ask as u32 / *asked as u32;
                let taken = self.shares[index].take(at, &"a".to_string(), &RATE, COST, &fleet);
                self.admitted += if taken.is_ok() { COST } else { 0 };
            }
        }
        self.now += Duration::from_millis(500);
        for (index, shares) in self.shares.iter_mut().enumerate() {
            let told = shares.tell(self.now);
            self.told[index] = told.first().map_or(0, |(_, demand)| *demand);
        }
    }
}

/// What may be admitted in a time: the rate, the burst, and one request of each daemon in debt.
fn allowed(seconds: u64, daemons: u64) -> u64 {
    RATE.per_s * seconds + RATE.burst + daemons * COST
}

#[test]
fn together_they_admit_the_rate_and_no_more() {
    let mut fleet = Fleet::new(6);
    for _ in 0..20 {
        fleet.step(&[300, 50, 50, 10, 0, 0], &[]);
    }
    assert!(fleet.admitted <= allowed(10, 6), "{}", fleet.admitted);
    assert!(fleet.admitted >= RATE.per_s * 10 * 85 / 100, "{}", fleet.admitted);
}

#[test]
fn demand_that_moves_at_once_admits_no_more() {
    let mut fleet = Fleet::new(6);
    for step in 0..40 {
        let mut asks = [5usize; 6];
        asks[step % 6] = 400;
        fleet.step(&asks, &[]);
    }
    assert!(fleet.admitted <= allowed(20, 6) * 11 / 10, "{}", fleet.admitted);
}

#[test]
fn daemons_that_are_cut_off_keep_an_equal_part() {
    let mut fleet = Fleet::new(6);
    for step in 0..40 {
        let cut: &[usize] = if (8..30).contains(&step) { &[0, 1, 2] } else { &[] };
        fleet.step(&[200; 6], cut);
    }
    assert!(fleet.admitted <= allowed(20, 6) * 11 / 10, "{}", fleet.admitted);
}

#[test]
fn daemons_that_restart_have_nothing_saved() {
    let mut fleet = Fleet::new(6);
    for step in 0..16 {
        if step % 4 == 0 {
            let now = fleet.now;
            fleet.shares = vec![AccountShares::born(now); 6];
            fleet.told = vec![0; 6];
        }
        fleet.step(&[200; 6], &[]);
    }
    assert!(fleet.admitted <= RATE.per_s * 8 + 4 * 6 * COST, "{}", fleet.admitted);
}

#[test]
fn advice_when_to_come_back_is_the_time_until_there_is_room() {
    let mut shares = AccountShares::default();
    let fleet = FleetDemand::default();
    let account = "a".to_string();
    let now = Duration::from_secs(1);
    let large = 300_000;
    assert!(shares.take(now, &account, &RATE, large, &fleet).is_ok());
    let wait = shares.take(now, &account, &RATE, COST, &fleet).expect_err("the share is used up");
    assert!(shares.take(now + wait, &account, &RATE, COST, &fleet).is_ok());
}
