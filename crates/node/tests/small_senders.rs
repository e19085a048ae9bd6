//! Tests the distribution of a configuration when the daemons that have it first are behind slow links too, as after
//! the loss of all strong VMs.

mod support;

use std::time::Duration;

use support::Fleet;

/// Number of daemons: more than exchange every heartbeat with all others.
const DAEMONS: usize = 24;
/// Link of a small VM of the users, in megabits per second.
const SMALL_LINK: usize = 10;
/// Length of the configuration in bytes. It packs to half of that, as a megabyte of rules does.
const TEXT: usize = 200_000;

/// Without a limit on the peers that are sent a configuration at once, 1.4 MB waited at one sender, more than its
/// link carries in the time after which a part is requested again: 1,310 kB of 3,682 were sent twice.
#[test]
fn slow_senders_do_not_send_parts_twice() {
    let mut fleet = Fleet::behind_links(DAEMONS, SMALL_LINK);
    let readers = fleet.readers();
    for index in (0..DAEMONS).filter(|index| !readers.contains(index)) {
        fleet.daemons[index].reads_late = true;
    }
    fleet.change_config(TEXT);
    let taken_after = fleet.run_until(Duration::from_secs(10), |fleet| {
        (0..DAEMONS).all(|index| fleet.generation_of(index) == 2)
    });
    assert!(taken_after < Duration::from_secs(4), "{taken_after:?}");
    let unused: u64 = (0..DAEMONS).map(|index| fleet.intake_of(index).unused).sum();
    let taken: u64 = (0..DAEMONS).map(|index| fleet.intake_of(index).taken).sum();
    assert!(unused < taken / 10, "{unused} bytes of {taken} were sent twice");
    let waiting = fleet.uplinks.values().map(|link| link.most_waiting).max().unwrap_or_default();
    assert!(waiting < SMALL_LINK * 1_000_000 / 8, "{waiting} bytes waited at one sender");
}
