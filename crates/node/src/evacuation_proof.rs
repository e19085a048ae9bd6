//! Decides whether this daemon has to learn the evacuated data centres anew before it uses a permit.
//!
//! Inputs: the time within which an evacuation has to be in force, when the reads were sent that showed the known list to
//! be the newest, and the standstills of this daemon. The rule: after a standstill a list that was proved too long ago is
//! not used until a read or a query that was sent after the standstill has shown the current one, for [`LIST_WAIT`] at
//! most: where no daemon can show it, the known list is used as before. Load pattern: virtual machines that are suspended
//! for some seconds, and permits that were granted meanwhile.
//!
//! Owns: the time of the latest proof. Relies on: peers that send their list before the age of their reads.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Longest wait for a list after a standstill: several queries to peers, or calls of the platform.
const LIST_WAIT: Duration = Duration::from_millis(500);
/// Divides the time within which an evacuation has to be in force. The rest is for the change to reach the daemon that
/// proves its list, and for the connection to the target.
const PROOF_AGE_DIVISOR: u32 = 2;

/// How recently the list of the evacuated data centres was shown to be the newest.
#[derive(Clone, Debug)]
pub struct EvacuationProof {
    /// Age of the proof above which the list is not used after a standstill, `None` if evacuations are not read.
    age_limit: Option<Duration>,
    /// When the latest read was sent that proved the list.
    proved: Uptime,
    /// The end of the standstill after which a proof is awaited.
    awaited_since: Option<Uptime>,
}

impl EvacuationProof {
    /// Returns the state of a process that has read nothing yet, where an evacuation has to be in force within `limit`.
    pub fn within(limit: Option<Duration>) -> EvacuationProof {
        let age_limit = limit.map(|limit| limit / PROOF_AGE_DIVISOR);
        EvacuationProof { age_limit, proved: Uptime::ZERO, awaited_since: None }
    }

    /// Records that this daemon did not run until now. Returns whether a proof is awaited from now on.
    pub fn stood_still(&mut self, now: Uptime) -> bool {
        let is_old = self.is_older(now, self.proved);
        if is_old {
            self.awaited_since = Some(now);
        }
        is_old
    }

    /// Records that the list was the newest at time `at`.
    pub fn record_proof(&mut self, at: Uptime) {
        self.proved = self.proved.max(at);
    }

    /// Records an answer that shows the list of time `at`, to a read or a query that was sent at time `sent`.
    pub fn record_answer(&mut self, now: Uptime, sent: Uptime, at: Uptime) {
        self.record_proof(at);
        let is_later = self.awaited_since.is_some_and(|since| sent >= since);
        if is_later && !self.is_older(now, at) {
            self.awaited_since = None;
        }
    }

    /// Returns whether no permit may be used until the list is proved.
    pub fn is_awaited(&self, now: Uptime) -> bool {
        self.awaited_since.is_some_and(|since| now < since + LIST_WAIT)
    }

    fn is_older(&self, now: Uptime, proved: Uptime) -> bool {
        self.age_limit.is_some_and(|limit| now.saturating_sub(proved) > limit)
    }
}
