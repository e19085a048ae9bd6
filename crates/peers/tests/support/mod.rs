//! Two simulated daemons that exchange heartbeats over connections that die without a reset. Their heartbeats and
//! redials follow the rules of the daemon; frames and dialing are those of the transport.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{DaemonId, Heartbeat, PeerFrame, PeerMessage};
use curlewcleat_peers::{PeerActivity, PendingAnswers};
use curlewcleat_sched::{MemberOptions, MemberView};

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
pub const DEAD_AFTER: Duration = Duration::from_millis(350);
/// Time for which a redialed peer also gets frames on the previous connection, as the transport sends them.
const OVERLAP: Duration = Duration::from_millis(200);
/// Time between two steps of the simulated daemons.
pub const STEP_MS: u64 = 10;
/// Time after the last fault within which the daemons hear each other: one of them finds that the other is unreachable,
/// waits for an answer, redials, and the other redials in turn.
const HEAL_LIMIT: Duration = Duration::from_millis(700 + 2 * 350 + 3 * 200);
/// Largest size of a fleet in which every heartbeat goes to all daemons.
pub const MESH_LIMIT: usize = 12;
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
pub struct Daemon {
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
    pub is_former_build: bool,
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

/// A period in milliseconds from the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    pub from: u64,
    pub until: u64,
}

impl Period {
    fn contains(&self, ms: u64) -> bool {
        (self.from..self.until).contains(&ms)
    }
}

/// The faults of a run.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Times in which each daemon is frozen.
    pub frozen: [Vec<Period>; 2],
    /// Times in which the connections to each daemon die once they are dialed or used.
    pub stalled: [Vec<Period>; 2],
}

impl Faults {
    fn end_ms(&self) -> u64 {
        let all = self.frozen.iter().chain(&self.stalled).flatten();
        all.map(|period| period.until).max().unwrap_or_default()
    }
}

fn is_within(periods: &[Period], ms: u64) -> bool {
    periods.iter().any(|period| period.contains(ms))
}

/// Two daemons that exchange heartbeats.
pub struct Pair {
    start: Moment,
    pub daemons: [Daemon; 2],
    faults: Faults,
    /// When the second daemon sends its heartbeats, after those of the first one.
    second_after_ms: u64,
    /// When each daemon sends its next heartbeat.
    next_ms: [u64; 2],
    next_connection: u32,
}

impl Pair {
    /// Returns two daemons that have not begun.
    pub fn new(mesh_limit: usize, second_after_ms: u64, faults: Faults) -> Pair {
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
    pub fn run(&mut self, range: Range<u64>) {
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

    /// Returns the number of redials of both daemons.
    pub fn redials(&self) -> u32 {
        self.daemons.iter().map(|daemon| daemon.redials).sum()
    }

    /// Plays the faults and checks that both daemons hear each other soon after them, and later.
    pub fn check(mut self) {
        let end_ms = self.faults.end_ms();
        let healed_ms = end_ms + HEAL_LIMIT.as_millis() as u64;
        self.run(0..healed_ms);
        let phase = self.second_after_ms;
        assert_eq!(self.who_hears(), [FIRST, SECOND].into(), "phase {phase} ms");
        self.run(healed_ms..healed_ms + 10_000);
        assert_eq!(self.who_hears(), [FIRST, SECOND].into(), "phase {phase} ms, later");
    }
}
