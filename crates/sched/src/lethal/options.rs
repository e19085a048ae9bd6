//! Limits that decide when a request counts as lethal, and for how long.
//!
//! Owns: the limit and the times. Relies on: the users' bound, and on how fast the platform's list entries expire.

use std::time::Duration;

/// Limits that decide when a request counts as lethal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LethalOptions {
    /// Number of terminated instances from which a request is refused.
    pub limit: usize,
    /// Number of terminated instances from which requests with a shared feature are refused: one more, since different
    /// requests and their repeats add up.
    pub shared_limit: usize,
    /// Time after an interruption within which the list entry of a terminated target expires.
    pub listing_expiry: Duration,
    /// Time after an interruption from which a daemon that did not observe it itself treats a list entry it does not
    /// know as expired: by then it has read every list entry of that time.
    pub listing_propagation: Duration,
    /// Time after the answer to a request began for which interruptions of requests with the same shared feature do not
    /// count: many connections may be reset at the same moment.
    pub begun_for: Duration,
    /// Time after the latest interruption for which a request stays suspect.
    pub suspect_for: Duration,
    /// Time after the latest interruption or repeat for which a refused request stays refused.
    pub refused_for: Duration,
}

/// The limit is the users' bound. List entries expire after three heartbeats of about a second, up to 3.6 s after a
/// termination; `listing_expiry` is twice that, and the views of the list are up to two seconds old. A caller whose
/// refusal states that a retry does not help does not retry within minutes. A request that a new release can run is
/// accepted again within the hour.
impl Default for LethalOptions {
    fn default() -> LethalOptions {
        LethalOptions {
            limit: 3,
            shared_limit: 4,
            listing_expiry: Duration::from_secs(8),
            listing_propagation: Duration::from_secs(3),
            begun_for: Duration::from_secs(1),
            suspect_for: Duration::from_secs(600),
            refused_for: Duration::from_secs(3_600),
        }
    }
}
