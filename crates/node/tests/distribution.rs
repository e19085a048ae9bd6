//! Tests the distribution of a configuration from daemon to daemon.
//!
//! The failure: while a configuration of 1 MB changed, callers of small VMs lost their connections in the middle of
//! answers, half of the requests of 87 daemons failed for twenty seconds, and keyed requests were refused since the
//! configuration could not be proved. Two daemons read the change; the 85 others saw it advertised in several
//! heartbeats in each half second and requested the whole of it from each advertiser, again and again until the first
//! copy arrived, which takes a second over 10 Mbit/s. The copies filled the links and delayed heartbeats and proofs,
//! and processes grew (a sender from 10 to 123 MB) until they were killed, and their callers' connections with them;
//! no daemon logged `answer_cut`. One change sent 1,392 MB of unused copies and 134 MB of used ones. The cause: a
//! pull was limited by a pause of 100 ms between two pulls, not by whether its answer was in transit, and its answer
//! had no bound.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_config::ConfigArchive;
use curlewcleat_core::{ConfigBundle, ConfigPartPull, DaemonId, PeerFrame, PeerMessage, StatePull};
use curlewcleat_node::{NodeAction, NodeEvent};
use rstest::rstest;

use support::{heartbeat, Fleet, SlowLink, APPLY_LIMIT};

/// Length of a large configuration in bytes: near the maximum that a platform stores in one object.
const LARGE: usize = 900_000;
/// Link of a small VM of the users, in megabits per second.
const SMALL_LINK: usize = 10;
/// Number of daemons: more than exchange every heartbeat with all others.
const DAEMONS: usize = 24;

/// Returns a fleet in which all daemons except the candidates are behind slow links, over which a read of the
/// platform takes as long as a copy.
fn fleet_of_small_vms() -> Fleet {
    let mut fleet = Fleet::new(DAEMONS);
    for index in fleet.non_candidates() {
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
    // A further change occurs while copies of the first are in transit.
    fleet.change_config(LARGE);
    let taken_after = fleet.run_until(Duration::from_secs(10), |fleet| all_have(fleet, 3));
    for (index, link) in &fleet.links {
        let copies = link.sent_bytes as f64 / LARGE as f64;
        assert!(copies < 2.5, "{copies:.1} copies were sent to daemon {index}");
        // Heartbeats and proofs wait behind at most a tenth of a second of other traffic.
        let most = link.most_waiting;
        assert!(most < SMALL_LINK * 1_000_000 / 8 / 10, "{most} bytes waited for daemon {index}");
    }
    assert!(taken_after < APPLY_LIMIT, "{taken_after:?}");
}

#[rstest]
#[case::one_frame_in_three(3)]
#[case::one_frame_in_ten(10)]
fn lost_configuration_parts_are_requested_again(#[case] loss_interval: usize) {
    let mut fleet = fleet_of_small_vms();
    for link in fleet.links.values_mut() {
        link.loss_interval = Some(loss_interval);
    }
    fleet.change_config(LARGE / 10);
    let taken_after = fleet.run_until(Duration::from_secs(20), |fleet| all_have(fleet, 2));
    assert!(taken_after < Duration::from_secs(20));
    let most = fleet.links.values().map(|link| link.sent_bytes).max().unwrap_or_default();
    assert!(most < LARGE / 4, "{most} bytes");
}

#[test]
fn fetching_continues_at_another_peer_when_the_first_fails() {
    let mut fleet = fleet_of_small_vms();
    let before: Vec<u64> = (0..DAEMONS).map(|index| fleet.intake_of(index).taken).collect();
    fleet.change_config(LARGE);
    fleet.run_until(APPLY_LIMIT, |fleet| {
        fleet.non_candidates().iter().any(|index| fleet.intake_of(*index).taken > before[*index])
    });
    for reader in fleet.readers() {
        fleet.daemons[reader].cut = true;
    }
    let alive: Vec<usize> = (0..DAEMONS).filter(|index| !fleet.daemons[*index].cut).collect();
    let taken_after = fleet.run_until(Duration::from_secs(10), |fleet| {
        alive.iter().all(|index| fleet.generation_of(*index) == 2)
    });
    assert!(taken_after < Duration::from_secs(10));
    for index in alive {
        let unused = fleet.intake_of(index).unused as usize;
        assert!(unused < LARGE / 10, "{unused} bytes came twice to daemon {index}");
    }
}

/// Returns the pulls of parts that a daemon sends when it receives a message of a peer with generation 9.
fn pulls_after(fleet: &mut Fleet, message: PeerMessage) -> Vec<ConfigPartPull> {
    fleet.now += Duration::from_secs(1);
    let peer = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let event = NodeEvent::PeerFrameReceived(PeerFrame { from: peer, messages: vec![message] });
    let actions = fleet.daemons[0].node.handle(fleet.now, fleet.now, event);
    let frames = actions.into_iter().filter_map(|action| match action {
        NodeAction::Send(_, frame) => Some(frame.messages),
        _ => None,
    });
    let pulls = frames.flatten().filter_map(|message| match message {
        PeerMessage::ConfigPartPull(pull) => Some(pull),
        _ => None,
    });
    pulls.collect()
}

#[rstest]
#[case::no_such_section("[no such section]\n", true)]
#[case::bytes_that_do_not_unpack("", false)]
fn unusable_configuration_is_fetched_once(#[case] text: &str, #[case] intact: bool) {
    let mut fleet = Fleet::new(2);
    let files = BTreeMap::from([("a.ini".to_string(), text.to_string())]);
    let archive = ConfigArchive::pack(&ConfigBundle { generation: 9, files }).expect("an archive");
    let offer = PeerMessage::Heartbeat(heartbeat(9));
    let first = pulls_after(&mut fleet, offer.clone());
    assert_eq!(first, [ConfigPartPull { known: 1, archive: None, offset: 0 }]);
    let mut part = archive.part(0).expect("a part");
    if !intact {
        part.bytes[0] ^= 1;
    }
    assert_eq!(pulls_after(&mut fleet, PeerMessage::ConfigPart(part)), []);
    let id = archive.id();
    for _ in 0..5 {
        // The pull claims that the daemon has the whole archive, so a peer with the same one sends nothing.
        for pull in pulls_after(&mut fleet, offer.clone()) {
            assert_eq!((pull.archive, pull.offset), (Some(id), id.length));
            assert_eq!(archive.part(pull.offset), None);
        }
    }
    assert_eq!(fleet.generation_of(0), 1);
}

/// A daemon of a release that requests whole configurations is sent one, and not again while that one is in transit.
#[test]
fn whole_configuration_is_not_sent_again_while_in_transit() {
    let mut fleet = Fleet::new(2);
    let peer = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let pull = PeerMessage::StatePull(StatePull { generation: 0, table: 0 });
    let frame = PeerFrame { from: peer, messages: vec![pull] };
    let mut pushes = 0;
    for step in 0..20 {
        let now = fleet.now + Duration::from_millis(100) * step;
        let event = NodeEvent::PeerFrameReceived(frame.clone());
        for action in fleet.daemons[0].node.handle(now, now, event) {
            let NodeAction::Send(_, frame) = action else { continue };
            let whole = |message: &&PeerMessage| matches!(message, PeerMessage::ConfigPush(_));
            pushes += frame.messages.iter().filter(whole).count();
        }
    }
    assert_eq!(pushes, 1);
}
