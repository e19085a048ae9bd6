//! A configuration on its way from daemon to daemon.
//!
//! What happened. Symptom: beside a change of a configuration of 1 MB, callers of small VMs lost their
//! connections in the middle of answers, half of the requests of 87 daemons failed for twenty seconds, and
//! keyed requests were refused since the configuration could not be proved. Sequence: the configuration
//! changes; two daemons read it; 85 others hear of it in heartbeats, of which each hears several in each
//! half second, and ask whoever says so for the whole of it, again and again until the first copy has
//! arrived, which takes a second over 10 Mbit/s; the copies queue at the senders and fill the links;
//! heartbeats and proofs come late behind them; processes grow until they are killed, and their callers'
//! connections end with them. Cause: a pull was limited by a pause of 100 ms between two of them, not by
//! whether its answer was on its way, and its answer had no bound. What settled it: one change sent 1,392
//! MB of copies that were not used beside 134 MB that were; a sender grew from 10 to 123 MB; no daemon had
//! logged `answer_cut`, so that none had ended those answers itself; their processes had been killed two
//! seconds before.

mod support;

use std::time::Duration;

use support::{Fleet, SlowLink, APPLY_LIMIT};

/// Length of a large configuration in bytes: near what a platform stores in one object.
const LARGE: usize = 900_000;
/// Link of a small VM of the users in megabits a second.
const SMALL_LINK: usize = 10;
/// Daemons: more than exchange every heartbeat with all others.
const DAEMONS: usize = 24;

/// A fleet in which all daemons but the candidates are behind slow links, over which a read of the
/// platform takes as long as a copy.
fn fleet_of_small_vms() -> Fleet {
    let mut fleet = Fleet::new(DAEMONS);
    for index in fleet.outsiders() {
        fleet.links.insert(index, SlowLink::megabits(SMALL_LINK));
        fleet.daemons[index].reads_late = true;
    }
    fleet
}

fn all_have(fleet: &Fleet, generation: u64) -> bool {
    (0..DAEMONS).all(|index| fleet.generation_of(index) == generation)
}

#[test]
fn configuration_is_sent_once_over_slow_links() {
    let mut fleet = fleet_of_small_vms();
    fleet.change_config(LARGE);
    fleet.run(Duration::from_millis(600));
    // A further change meets the copies of the first on their way.
    fleet.change_config(LARGE);
    let taken_after = fleet.run_until(Duration::from_secs(10), |fleet| all_have(fleet, 3));
    for (index, link) in &fleet.links {
        let copies = link.sent_bytes as f64 / LARGE as f64;
        assert!(copies < 2.5, "{copies:.1} copies were sent to daemon {index}");
        // Heartbeats and proofs wait behind a tenth of a second of other bytes at most.
        let most = link.most_waiting;
        assert!(most < SMALL_LINK * 1_000_000 / 8 / 10, "{most} bytes waited for daemon {index}");
    }
    assert!(taken_after < APPLY_LIMIT, "{taken_after:?}");
}
