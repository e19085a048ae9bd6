//! One daemon's view of the parts, and the requests that tests send.

use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, PoolHash, RequestFeature, RequestIdentity, RequestInterruption, SharedParts,
    TargetInstance, TargetStart,
};
use curlewcleat_sched::{InstancePresence, LethalOptions, LethalRequests, LethalVerdict};

pub const TARGETS: usize = 20;
pub const POOL: &str = "p";
pub const MOMENT: Duration = Duration::from_millis(100);
/// Time after which an answer that began no longer refutes an interruption.
pub const LATER: Duration = Duration::from_secs(2);

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns the features of a request: the whole, and its shared parts.
pub fn request(number: u64, account: &str, parts: &[&str]) -> Vec<RequestFeature> {
    let body = number.to_be_bytes();
    let identity =
        RequestIdentity { method: "POST", host: "h", path: "/p", caller: account, body: &body };
    let shared = SharedParts { pool: POOL, account: Some(account), ids: parts };
    [identity.digest().into()].into_iter().chain(shared.features()).collect()
}

pub fn closed(number: usize) -> RequestInterruption {
    let instance = TargetInstance { id: format!("i-{number}"), start: Some(TargetStart(1)) };
    RequestInterruption { instance, kind: InterruptionKind::Closed, begun: false }
}

/// One daemon, with the numbers of its next request and target instance.
pub struct Daemon {
    pub lethal: LethalRequests,
    pub now: Duration,
    pub next: u64,
}

impl Daemon {
    pub fn new() -> Daemon {
        let lethal = LethalRequests::new(LethalOptions::default());
        Daemon { lethal, now: seconds(100), next: 1 }
    }

    /// Interrupts a request like no other at an instance like no other.
    pub fn terminate(&mut self, account: &str, parts: &[&str]) {
        self.now += MOMENT;
        self.next += 1;
        let features = request(self.next, account, parts);
        self.lethal.record_interruptions(self.now, &features, &closed(self.next as usize));
    }

    /// Begins the answer to a request.
    pub fn answer(&mut self, account: &str, parts: &[&str]) {
        self.now += MOMENT;
        let features = request(0, account, parts);
        self.lethal.record_begun(self.now, PoolHash::of(POOL), &features);
    }

    /// Returns the verdict on a request like no other.
    pub fn verdict(&mut self, account: &str, parts: &[&str]) -> LethalVerdict {
        self.next += 1;
        let features = request(self.next, account, parts);
        self.lethal.verdict(self.now, &features)
    }

    pub fn is_held(&mut self, account: &str, parts: &[&str]) -> bool {
        matches!(self.verdict(account, parts), LethalVerdict::Held(_))
    }

    /// Lets the list entries of all instances expire.
    pub fn expire_entries(&mut self) {
        self.now += seconds(4);
        self.lethal.review(self.now, TARGETS, &|_| InstancePresence::Unlisted);
    }

    /// Sends all reports to another daemon, at once.
    pub fn report_to(&self, other: &mut Daemon) -> Vec<RequestFeature> {
        other.now = other.now.max(self.now);
        other.lethal.merge(other.now, self.lethal.changes_since(self.now, 0))
    }
}
