//! When a request is taken for the reason for which targets end, and for how long.
//!
//! Owns: the limit and the times. Relies on: the users' bound, and on how fast entries lapse.

use std::time::Duration;

/// When a request is taken for the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LethalOptions {
    /// Lives that may end under a request.
    pub limit: usize,
    /// Time after a break in which the entry of a target that has ended lapses.
    pub shown_for: Duration,
    /// Time after a break until a daemon that did not see it itself takes an entry that it does not know for one that
    /// has lapsed: by then it knows all entries of that time.
    pub known_for: Duration,
    /// Time after the latest break for which a request stays suspect.
    pub suspect_for: Duration,
    /// Time after the latest break or repeat for which a refused request stays refused.
    pub refused_for: Duration,
}

/// The limit is the users' bound. Entries lapse after three heartbeats of a second or so, seen up to 3.6 s after an end,
/// and twice that is waited for; views of them are up to two seconds old. A caller that is told that coming back does not help comes back later than in minutes, and whatever
/// a release mended is tried again within the hour.
impl Default for LethalOptions {
    fn default() -> LethalOptions {
        LethalOptions {
            limit: 3,
            shown_for: Duration::from_secs(8),
            known_for: Duration::from_secs(3),
            suspect_for: Duration::from_secs(600),
            refused_for: Duration::from_secs(3_600),
        }
    }
}
