//! Tests for faults by which a daemon that pulls a configuration never gets it, or holds more than one.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_config::ConfigArchive;
use curlewcleat_core::{ArchiveId, ConfigBundle, ConfigPart, DaemonId, PeerFrame, PeerMessage};
use curlewcleat_node::{NodeAction, NodeEvent};
use rstest::rstest;

use support::{archive, bundle, Fleet, Peer, ScriptedWorld};

/// The only peer with generation 3 fails after its first part. The other peer has generation 2, which is newer than
/// the one in force, but its parts were ignored as older than the partial archive of 3.
#[test]
fn partial_newer_configuration_does_not_block_an_older_complete_one() {
    let newest = Peer::new(1, archive(3, 7), Duration::from_millis(10));
    let mut world = ScriptedWorld::new(vec![newest], Duration::from_millis(20));
    while world.peers[0].answers == 0 {
        world.step();
    }
    world.run(Duration::from_millis(30));
    // The peer fails; another one has the configuration before.
    world.peers = vec![Peer::new(2, archive(2, 7), Duration::from_millis(100))];
    world.in_transit.clear();
    world.run(Duration::from_secs(60));
    let unused = world.fleet.intake_of(0).unused;
    let pulls = world.pulls.len();
    assert_eq!(world.generation(), 2, "after 60 s, {pulls} pulls, {unused} bytes not used");
}

/// One part of generation 3 is lost. The peer that has it continues to advertise it, but each time the open pull is
/// one of the other peer, which has only generation 2.
#[test]
fn peer_with_an_older_configuration_does_not_hold_the_open_pull() {
    let mut newest = Peer::new(1, archive(3, 7), Duration::from_millis(110));
    newest.lost = vec![2];
    let behind = Peer::new(2, archive(2, 7), Duration::from_millis(200));
    let mut world = ScriptedWorld::new(vec![newest, behind], Duration::from_millis(20));
    // After the loss, the heartbeat of the peer that is behind always comes first.
    world.run(Duration::from_secs(30));
    let pull_count =
        |peer: usize| world.pulls.iter().filter(|(_, index, _)| *index == peer).count();
    assert_eq!(
        world.generation(),
        3,
        "after 30 s; the up-to-date peer was pulled from {} times, the other {}",
        pull_count(1),
        pull_count(2)
    );
}

/// Two releases pack one configuration differently, so its archives differ; the other case, with equal archives, is
/// for comparison. Answers take longer than the time after which a pull counts as lost: each answer replaced the
/// partial archive of the other.
#[rstest]
#[case::archives_of_one_generation_do_not_replace_each_other_for_ever(8)]
#[case::slow_answers_of_equal_archives_make_a_configuration(7)]
fn slow_answers_of_two_peers_make_a_configuration(#[case] other_text: u64) {
    let one = Peer::new(1, archive(2, 7), Duration::from_millis(10));
    let other = Peer::new(2, archive(2, other_text), Duration::from_millis(260));
    let mut world = ScriptedWorld::new(vec![one, other], Duration::from_millis(620));
    world.run(Duration::from_secs(60));
    let intake = world.fleet.intake_of(0);
    assert_eq!(world.generation(), 2, "after 60 s, {} bytes taken", intake.taken);
}

/// Changes come faster than a configuration of five parts over a link whose answers take 400 ms.
#[test]
fn frequent_changes_do_not_block_every_configuration() {
    let mut world = ScriptedWorld::new(
        vec![Peer::new(1, archive(2, 7), Duration::from_millis(10))],
        Duration::from_millis(400),
    );
    for generation in 3..33 {
        world.run(Duration::from_millis(1_500));
        world.peers[0].archive = archive(generation, 7);
    }
    let intake = world.fleet.intake_of(0);
    assert!(world.generation() > 1, "after 45 s, {} bytes taken", intake.taken);
}

/// A peer announces an archive of 4 GiB and sends part after part.
#[test]
fn oversized_archive_is_not_gathered() {
    let mut fleet = Fleet::new(3);
    let id = ArchiveId { generation: 9, length: u32::MAX, checksum: 1 };
    let from = DaemonId { vm: "vm-1".to_string(), incarnation: 1 };
    let mut gathered = 0;
    for index in 0..64u32 {
        let bytes = vec![0; 1 << 20];
        let part = ConfigPart { archive: id, offset: index << 20, bytes };
        let messages = vec![PeerMessage::ConfigPart(part)];
        let event = NodeEvent::PeerFrameReceived(PeerFrame { from: from.clone(), messages });
        let now = fleet.now;
        let actions = fleet.daemons[0].node.handle(now, now, event);
        let requests_more = actions.iter().any(|action| {
            matches!(action, NodeAction::Send(_, frame)
                if frame.messages.iter().any(|message| matches!(message, PeerMessage::ConfigPartPull(_))))
        });
        gathered += if requests_more { 1 } else { 0 };
    }
    assert!(gathered <= 16, "{gathered} MiB gathered and more requested");
}

/// Returns a bundle that does not pass the checks.
fn invalid(generation: u64) -> ConfigBundle {
    let files = BTreeMap::from([("a.ini".to_string(), "[no such section]\n".to_string())]);
    ConfigBundle { generation, files }
}

/// The newest configuration of the platform does not pass the checks, so all daemons keep the one before. A daemon
/// that starts reads the newest, rejects it, and has no other; its peers have the one before.
#[test]
fn daemon_that_starts_with_an_invalid_newest_configuration_fetches_the_one_in_force() {
    let peer = Peer::new(1, archive(8, 7), Duration::from_millis(10));
    let mut world = ScriptedWorld::new(vec![peer], Duration::from_millis(20));
    // It starts without a configuration, as each new process does.
    world.fleet.daemons[0] = support::daemon(0, Vec::new());
    let now = world.fleet.now;
    world.fleet.daemons[0].node.handle(now, now, NodeEvent::ConfigRead(invalid(9)));
    world.run(Duration::from_secs(60));
    assert_eq!(world.generation(), 8, "after 60 s, {} pulls", world.pulls.len());
}

/// One peer's archive of a generation is unusable; another peer's archive of it has another id and is usable.
#[test]
fn unusable_archive_does_not_block_another_of_its_generation() {
    let bad = ConfigArchive::pack(&invalid(9)).expect("an archive");
    let one = Peer::new(1, bad, Duration::from_millis(10));
    let other = Peer::new(2, archive(9, 7), Duration::from_millis(260));
    let mut world = ScriptedWorld::new(vec![one, other], Duration::from_millis(20));
    world.run(Duration::from_secs(60));
    let pull_count = world.pulls.iter().filter(|(_, index, _)| *index == 2).count();
    assert_eq!(
        world.generation(),
        9,
        "after 60 s, the usable archive was requested {pull_count} times"
    );
}

/// Pulls of earlier configurations had no answer, and each configuration came by the daemon's own read of the
/// platform. That must not affect the next one: its first part is lost, and requested again after the first wait.
#[test]
fn superseded_pulls_do_not_delay_a_later_one() {
    let mut newest = Peer::new(1, archive(2, 7), Duration::from_millis(10));
    newest.lost = (1..=20).collect();
    let mut world = ScriptedWorld::new(vec![newest], Duration::from_millis(20));
    for generation in 3..8 {
        world.run(Duration::from_millis(600));
        let bundle = bundle(generation - 1, 7);
        let now = world.fleet.now;
        world.fleet.daemons[0].node.handle(now, now, NodeEvent::ConfigRead(bundle));
        world.peers[0].archive = archive(generation, 7);
    }
    let answers = world.peers[0].answers;
    world.peers[0].lost = vec![answers + 1];
    world.run(Duration::from_millis(1_600));
    assert_eq!(world.generation(), 7, "{} pulls", world.pulls.len());
}
