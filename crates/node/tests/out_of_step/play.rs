//! Streams that begin at daemons of a fleet and are taken up at others, each compared with the version that began it.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{RequestId, StreamVersion, VersionDigest};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::{RequestSpec, TakenUpStream};

use super::support::streams::{set_versions, stream};
use super::support::{spec, Fleet};

/// Time that callers have for a stream.
pub const CALLER_LIMIT: Duration = Duration::from_secs(8);
/// Smallest number of a request that takes up a stream.
pub const FIRST_TAKE_UP: u128 = 1_000_000_000;
/// Interval between two looks at the decisions.
const STEP: Duration = Duration::from_millis(20);

/// A stream that a target has begun.
#[derive(Clone, Debug)]
pub struct BegunStream {
    pub number: u128,
    /// The daemon that began it.
    pub entry: usize,
    pub version: String,
    /// When its caller sent it.
    pub sent: Duration,
}

/// What became of the streams of a play.
#[derive(Clone, Debug, Default)]
pub struct PlayCounts {
    pub sent: usize,
    pub begun: usize,
    pub taken_up: usize,
    pub went_on: usize,
    /// Streams that went on at another version, by number and both versions.
    pub joined: Vec<String>,
}

/// A fleet and its callers.
pub struct StreamPlay {
    pub fleet: Fleet,
    pub begun: Vec<BegunStream>,
    pub counts: PlayCounts,
    /// Streams that no target has begun yet, by number, with their daemon and when they were sent.
    waiting: BTreeMap<u128, (usize, Duration)>,
    /// Requests that take up streams: the daemon and the version that began the stream.
    take_ups: BTreeMap<u128, (usize, String)>,
    /// The next request gets this number, above [`FIRST_TAKE_UP`] if it takes up a stream.
    pub next_number: u128,
    /// Times that callers have for a stream, in turn.
    pub caller_limits: Vec<Duration>,
    seen_decisions: usize,
}

impl StreamPlay {
    /// Returns a fleet whose targets are all of version `v1`, and that has begun streams for longer than callers wait.
    pub fn start(daemons: usize) -> StreamPlay {
        let mut fleet = Fleet::new(daemons);
        set_versions(&mut fleet, &["v1"]);
        fleet.run(Duration::from_secs(2));
        let mut play = StreamPlay {
            fleet,
            begun: Vec::new(),
            counts: PlayCounts::default(),
            waiting: BTreeMap::new(),
            take_ups: BTreeMap::new(),
            next_number: 1,
            caller_limits: vec![CALLER_LIMIT],
            seen_decisions: 0,
        };
        for _ in 0..14 {
            play.begin(0);
            play.run(Duration::from_secs(1));
        }
        play
    }

    /// Sends a stream to a daemon.
    pub fn begin(&mut self, entry: usize) {
        let number = self.next_number;
        self.next_number += 1;
        let begins = Some(stream(number));
        let spec =
            RequestSpec { begins, caller_time_left: Some(self.limit_of(number)), ..spec(number) };
        self.waiting.insert(number, (entry, self.fleet.now));
        self.counts.sent += 1;
        self.fleet.event(entry, NodeEvent::Admit(Box::new(spec)));
        self.look();
    }

    /// Has the caller of a stream, which has broken off, take it up at a daemon.
    pub fn take_up(&mut self, begun: &BegunStream, entry: usize) {
        let number = FIRST_TAKE_UP + self.next_number;
        self.next_number += 1;
        let takes_up = Some(TakenUpStream { stream: Some(stream(begun.number)) });
        let limit = self.limit_of(begun.number);
        let time_left = limit.saturating_sub(self.fleet.now - begun.sent);
        let spec = RequestSpec { takes_up, caller_time_left: Some(time_left), ..spec(number) };
        self.take_ups.insert(number, (entry, begun.version.clone()));
        self.counts.taken_up += 1;
        self.fleet.event(entry, NodeEvent::Admit(Box::new(spec)));
        self.look();
    }

    /// Returns whether the caller of a stream still waits for it.
    pub fn is_awaited(&self, begun: &BegunStream) -> bool {
        self.fleet.now < begun.sent + self.limit_of(begun.number)
    }

    /// Returns the time that the caller of a stream has.
    fn limit_of(&self, number: u128) -> Duration {
        self.caller_limits[number as usize % self.caller_limits.len()]
    }

    /// Runs the fleet for some time.
    pub fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            self.look();
        }
    }

    /// Handles the decisions since the last look.
    fn look(&mut self) {
        while let Some((id, decision)) = self.fleet.decisions.get(self.seen_decisions).cloned() {
            self.seen_decisions += 1;
            let CallerDecision::Dispatch(_, target) = decision else { continue };
            let version = target.version.expect("a version");
            self.dispatched(id.as_u128(), version);
        }
    }

    fn dispatched(&mut self, number: u128, version: String) {
        if let Some((entry, sent)) = self.waiting.remove(&number) {
            self.report_begun(entry, number, number, &version);
            self.counts.begun += 1;
            self.begun.push(BegunStream { number, entry, version, sent });
        } else if let Some((entry, began_at)) = self.take_ups.remove(&number) {
            self.counts.went_on += 1;
            if version != began_at {
                let at = self.fleet.now;
                self.counts.joined.push(format!("{began_at} then {version} at {entry}, {at:?}"));
            }
            self.fleet.finish(entry, number);
        }
    }

    fn report_begun(&mut self, entry: usize, request: u128, number: u128, version: &str) {
        let version = VersionDigest::of(Some(&version.to_string()));
        let begun = StreamVersion { stream: stream(number), version };
        let id = RequestId::from_u128(request);
        self.fleet.event(entry, NodeEvent::StreamBegun(id, "p".to_string(), begun));
        self.fleet.finish(entry, request);
    }
}
