//! Checks that two daemons hear each other again after a connection between them died in one direction only.
//!
//! The failure: a daemon was frozen for longer than its peers' heartbeats count as due, while new connections to it
//! stalled as well. Once it ran again, the peers received its frames and so had no reason to redial. The daemon itself
//! received nothing, but held that its peers owed it nothing. Both sent into the dead connection for good.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{DaemonId, Heartbeat, PeerFrame, PeerMessage};
use curlewcleat_peers::{PeerActivity, PendingAnswers};
use curlewcleat_sched::{MemberOptions, MemberView};
use rstest::rstest;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
const DEAD_AFTER: Duration = Duration::from_millis(350);
/// Time for which a redialed peer also gets frames on the previous connection, as the transport sends them.
const OVERLAP: Duration = Duration::from_millis(200);
/// Time between two steps of the simulated daemons.
const STEP_MS: u64 = 10;
/// Time after the last fault within which the daemons hear each other: one of them finds that the other is unreachable,
/// waits for an answer, redials, and the other redials in turn.
const HEAL_LIMIT: Duration = Duration::from_millis(700 + 2 * 350 + 3 * 200);
/// Largest size of a fleet in which every heartbeat goes to all daemons.
const MESH_LIMIT: usize = 12;
/// The daemon that is frozen, and its peer.
const FIRST: usize = 0;
const SECOND: usize = 1;

fn address(index: usize) -> String {
    format!("127.0.0.1:{}", 1_000 + index)
}

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("vm-{index}"), incarnation: 1 }
}

/// A connection on which a daemon sends to the other one.
#[derive(Clone, Debug)]
struct Connection {
    number: u32,
    /// Whether the receiver has accepted it; frames sent earlier are dropped.
    accepted: bool,
    /// Whether it carries nothing more, without a reset.
    dead: bool,
    /// Frames that wait for the receiver to run.
    in_transit: Vec<PeerFrame>,
}

impl Connection {
    fn new(number: u32) -> Connection {
        Connection { number, accepted: false, dead: false, in_transit: Vec::new() }
    }

    fn carries_frames(&self) -> bool {
        self.accepted && !self.dead
    }
}

/// A daemon with its connection to the other one.
struct Daemon {
    index: usize,
    view: MemberView,
    activity: PeerActivity<u32>,
    pending: PendingAnswers,
    connection: Option<Connection>,
    /// The connection before the last redial.
    previous: Option<Connection>,
    dialed: Moment,
    redials: u32,
    /// Whether its heartbeats request no answers, as those of the former build in a small fleet.
    is_former_build: bool,
}

impl Daemon {
    fn new(index: usize, mesh_limit: usize, start: Moment) -> Daemon {
        let options = MemberOptions {
            address: address(index),
            data_centre: "d".to_string(),
            seeds: vec![address(1 - index)],
            suspect_after: SUSPECT_AFTER,
            mesh_limit,
            capacity: 12,
            started: 5,
        };
        let mut view = MemberView::new(daemon(index), options);
        view.update_records(Vec::new());
        Daemon {
            index,
            view,
            activity: PeerActivity::new(DEAD_AFTER),
            pending: PendingAnswers::default(),
            connection: None,
            previous: None,
            dialed: start,
            redials: 0,
            is_former_build: false,
        }
    }

    /// Returns the heartbeat to the other daemon, if it gets one now.
    fn heartbeat(&mut self, uptime: Duration) -> Option<PeerFrame> {
        self.view.tick(uptime);
        let heartbeat = self.view.heartbeat(1, 0);
        let receivers = self.view.heartbeat_receivers(uptime);
        let receiver =
            receivers.into_iter().find(|receiver| receiver.address == address(1 - self.index))?;
        let answer_wanted = receiver.answer_wanted && !self.is_former_build;
        let message = PeerMessage::Heartbeat(Heartbeat { answer_wanted, ..heartbeat });
        Some(PeerFrame { from: daemon(self.index), messages: vec![message] })
    }

    /// Sends a frame as the transport does, and dials where it does.
    fn send(&mut self, now: Moment, frame: PeerFrame, next_connection: &mut u32) {
        let peer = address(1 - self.index);
        let last = self.activity.last(&peer);
        self.pending.sent(now, &peer, last, &frame);
        let pending = self.pending.since(&peer, last);
        let needs_redial =
            self.activity.needs_redial_with_pending(now, &peer, self.dialed, pending);
        if self.connection.is_none() || needs_redial {
            self.dial(now, next_connection);
        }
        if now.saturating_duration_since(self.dialed) >= OVERLAP {
            self.previous = None;
        }
        for connection in self.connections().filter(|connection| connection.carries_frames()) {
            connection.in_transit.push(frame.clone());
        }
    }

    fn dial(&mut self, now: Moment, next_connection: &mut u32) {
        if self.connection.is_some() {
            self.redials += 1;
            let since = now.saturating_duration_since(self.dialed);
            assert!(since >= DEAD_AFTER, "redialed {since:?} after the last dialing");
        }
        self.dialed = now;
        *next_connection += 1;
        self.previous = self.connection.replace(Connection::new(*next_connection));
    }

    /// Returns the open connections on which this daemon sends.
    fn connections(&mut self) -> impl Iterator<Item = &mut Connection> {
        self.previous.iter_mut().chain(&mut self.connection)
    }

    fn receive(&mut self, now: Moment, uptime: Duration, frame: &PeerFrame, connection: u32) {
        self.activity.record(now, frame, connection);
        for message in &frame.messages {
            let PeerMessage::Heartbeat(heartbeat) = message else { continue };
            self.view.heartbeat_received(uptime, &frame.from, heartbeat);
        }
    }

    /// Returns whether the other daemon counts as reachable.
    fn hears_peer(&self) -> bool {
        self.view.peers().get(&daemon(1 - self.index).vm).is_some_and(|peer| peer.live)
    }
}

/// The faults of a run, in milliseconds from its start.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// Times in which each daemon is frozen.
    frozen: [Vec<Range<u64>>; 2],
    /// Times in which the connections to each daemon die once they are dialed or used.
    stalled: [Vec<Range<u64>>; 2],
}

impl Faults {
    fn end_ms(&self) -> u64 {
        let all = self.frozen.iter().chain(&self.stalled).flatten();
        all.map(|range| range.end).max().unwrap_or_default()
    }
}

fn is_within(ranges: &[Range<u64>], ms: u64) -> bool {
    ranges.iter().any(|range| range.contains(&ms))
}

/// Two daemons that exchange heartbeats.
struct Pair {
    start: Moment,
    daemons: [Daemon; 2],
    faults: Faults,
    /// When the second daemon sends its heartbeats, after those of the first one.
    second_after_ms: u64,
    /// When each daemon sends its next heartbeat.
    next_ms: [u64; 2],
    next_connection: u32,
}

impl Pair {
    fn new(mesh_limit: usize, second_after_ms: u64, faults: Faults) -> Pair {
        let start = Moment::now();
        Pair {
            start,
            daemons: [FIRST, SECOND].map(|index| Daemon::new(index, mesh_limit, start)),
            faults,
            second_after_ms,
            next_ms: [0, second_after_ms],
            next_connection: 0,
        }
    }

    /// Runs the daemons for a time.
    fn run(&mut self, range: Range<u64>) {
        for ms in range.step_by(STEP_MS as usize) {
            self.break_connections(ms);
            self.deliver(ms);
            for index in [FIRST, SECOND] {
                if !is_within(&self.faults.frozen[index], ms) && ms >= self.next_ms[index] {
                    self.next_ms[index] = ms + HEARTBEAT_INTERVAL.as_millis() as u64;
                    self.send_heartbeat(index, ms);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize, ms: u64) {
        let uptime = Duration::from_millis(ms);
        let sender = &mut self.daemons[index];
        if let Some(frame) = sender.heartbeat(uptime) {
            sender.send(self.start + uptime, frame, &mut self.next_connection);
        }
    }

    /// Every connection that is open during a stall dies, as a frame is sent on it in each interval.
    fn break_connections(&mut self, ms: u64) {
        for index in [FIRST, SECOND] {
            let stalled = is_within(&self.faults.stalled[1 - index], ms);
            for connection in self.daemons[index].connections().filter(|_| stalled) {
                connection.dead = true;
            }
        }
    }

    /// Accepts connections and delivers frames to the daemons that run.
    fn deliver(&mut self, ms: u64) {
        let uptime = Duration::from_millis(ms);
        for index in [FIRST, SECOND] {
            if is_within(&self.faults.frozen[1 - index], ms) {
                continue;
            }
            let mut received = Vec::new();
            for connection in self.daemons[index].connections() {
                connection.accepted |= !connection.dead;
                let frames = std::mem::take(&mut connection.in_transit);
                received.extend(frames.into_iter().map(|frame| (frame, connection.number)));
            }
            for (frame, number) in received {
                self.daemons[1 - index].receive(self.start + uptime, uptime, &frame, number);
            }
        }
    }

    fn who_hears(&self) -> BTreeSet<usize> {
        [FIRST, SECOND].into_iter().filter(|index| self.daemons[*index].hears_peer()).collect()
    }

    fn redials(&self) -> u32 {
        self.daemons.iter().map(|daemon| daemon.redials).sum()
    }

    /// Plays the faults and checks that both daemons hear each other soon after them, and later.
    fn check(mut self) {
        let end_ms = self.faults.end_ms();
        let healed_ms = end_ms + HEAL_LIMIT.as_millis() as u64;
        self.run(0..healed_ms);
        let phase = self.second_after_ms;
        assert_eq!(self.who_hears(), [FIRST, SECOND].into(), "phase {phase} ms");
        self.run(healed_ms..healed_ms + 10_000);
        assert_eq!(self.who_hears(), [FIRST, SECOND].into(), "phase {phase} ms, later");
    }
}

/// Plays faults for every offset between the heartbeats of the two daemons.
fn check_all_phases(mesh_limit: usize, faults: &Faults, is_former_build: [bool; 2]) {
    for phase_ms in (0..HEARTBEAT_INTERVAL.as_millis() as u64).step_by(STEP_MS as usize) {
        let mut pair = Pair::new(mesh_limit, phase_ms, faults.clone());
        for (daemon, is_former_build) in pair.daemons.iter_mut().zip(is_former_build) {
            daemon.is_former_build = is_former_build;
        }
        pair.check();
    }
}

fn faults(frozen: [&[Range<u64>]; 2], stalled: [&[Range<u64>]; 2]) -> Faults {
    Faults { frozen: frozen.map(<[_]>::to_vec), stalled: stalled.map(<[_]>::to_vec) }
}

/// A daemon runs for less than a heartbeat interval between two freezes; while it is frozen first, connections to it
/// stall until shortly before it runs again.
fn two_freezes_and_a_stall() -> Faults {
    faults([&[4_403..6_741, 6_800..9_043], &[]], [&[4_523..6_632], &[]])
}

#[rstest]
#[case::one_freeze(faults([&[4_403..6_741], &[]], [&[4_523..6_735], &[]]))]
#[case::two_freezes(two_freezes_and_a_stall())]
#[case::stall_until_the_second_freeze_ends(faults([&[4_403..6_741, 6_800..9_043], &[]], [&[4_523..9_040], &[]]))]
#[case::stall_across_a_wake(faults([&[4_403..6_741], &[]], [&[6_600..6_900], &[]]))]
#[case::stall_without_a_freeze(faults([&[], &[]], [&[4_000..6_500], &[]]))]
#[case::short_stall(faults([&[], &[]], [&[4_000..4_020], &[]]))]
#[case::stall_in_the_other_direction(faults([&[4_403..6_741], &[]], [&[], &[6_600..6_900]]))]
#[case::stall_in_both_directions(faults([&[4_403..6_741], &[]], [&[6_600..6_745], &[6_600..6_900]]))]
#[case::both_frozen(faults([&[4_403..7_000], &[4_500..7_600]], [&[6_500..6_995], &[7_000..7_595]]))]
#[case::one_after_the_other(faults([&[4_403..7_000], &[7_000..9_500]], [&[6_500..6_995], &[9_000..9_495]]))]
#[case::frozen_for_two_minutes(faults([&[4_403..124_000], &[]], [&[4_523..123_995], &[]]))]
#[case::frozen_until_the_peer_is_forgotten(faults([&[4_403..704_000], &[]], [&[4_523..703_995], &[]]))]
fn daemons_hear_each_other_after_faults(
    #[values(MESH_LIMIT, 1)] mesh_limit: usize,
    #[case] faults: Faults,
) {
    check_all_phases(mesh_limit, &faults, [false, false]);
}

#[rstest]
#[case::two_freezes(two_freezes_and_a_stall())]
#[case::one_freeze(faults([&[4_403..6_741], &[]], [&[4_523..6_735], &[]]))]
fn daemon_hears_a_peer_of_the_former_build_again(#[case] faults: Faults) {
    check_all_phases(MESH_LIMIT, &faults, [false, true]);
}

/// Where a peer has ended, its address is redialed, but no more often than once in each limit.
#[test]
fn peer_that_has_ended_is_redialed_once_in_each_limit() {
    let mut pair = Pair::new(MESH_LIMIT, 100, faults([&[], &[4_000..u64::MAX]], [&[], &[]]));
    pair.run(0..64_000);
    let limits = 60_000 / DEAD_AFTER.as_millis() as u32;
    assert!(pair.redials() <= limits, "{} redials", pair.redials());
}
