//! Finds the callers that have read least for the longest time.
//!
//! Inputs: for each connection that has unread bytes, what it accepted and when, and what is held for it.
//!
//! The rule: of the callers that have had unread bytes for at least [`MIN_WAIT`], those with the lowest pace since then
//! end, one after the other, until what is held for them covers the excess; of several that read nothing, the one that has
//! waited longest ends first. What is held for connections that are closing counts as released, so that the time of
//! closing ends no further callers.
//!
//! Load pattern: readers of one part in seconds beside normal ones, all with unread bytes at some moments; on a narrowed
//! link normal callers have unread bytes as well, and only their pace distinguishes them.
//!
//! Owns: one entry for each connection with unread bytes, at most as many as connections. Relies on: connections that
//! report when they close.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_clock::Moment;

/// Id of a caller's connection, unique in this process.
pub type ReaderId = u64;

/// Time for which a caller must have had unread bytes before it may end. A caller on a link of 10 Mbit/s receives 600 KB
/// in this time, so that a normal one has emptied its connection or shows its pace.
pub const MIN_WAIT: Duration = Duration::from_millis(500);
/// Time after which what is held for a connection that has to end no longer counts as released.
const CLOSE_LIMIT: Duration = Duration::from_millis(200);

/// Bytes that a connection needs besides what a slow caller leaves unread: the buffers of actix-http, its state and that
/// of the socket.
pub const CONNECTION_COST: u64 = 16 << 10;
/// Bytes that a request in progress needs besides its body, its answer and its caller's connection: its task, its entry
/// at the node, and the connection to its target.
pub const REQUEST_COST: u64 = 8 << 10;
/// Shortest time between two searches: with 3,000 readers and none that may end, a search for each part that arrives
/// would take more processor time than a small VM has.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);

/// A caller that has unread bytes.
#[derive(Clone, Copy, Debug)]
struct WaitingReader {
    /// Since when it has had unread bytes.
    since: Moment,
    /// Bytes accepted since then.
    accepted: u64,
    /// Bytes held for it.
    held: u64,
    /// Since when its connection has to end.
    ended: Option<Moment>,
}

impl WaitingReader {
    /// Returns the bytes that are released when its connection closes.
    fn released(&self) -> u64 {
        self.held + CONNECTION_COST + REQUEST_COST
    }
}

/// The callers that have unread bytes.
#[derive(Debug, Default)]
pub struct ReaderBook {
    waiting: BTreeMap<ReaderId, WaitingReader>,
    /// When the slowest reader was last searched.
    searched: Option<Moment>,
}

impl ReaderBook {
    /// Returns the number of callers that have unread bytes.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no caller has unread bytes.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns for how long a caller has had unread bytes, and what it has accepted since then.
    pub fn progress(&self, now: Moment, reader: ReaderId) -> Option<(Duration, u64)> {
        let waiting = self.waiting.get(&reader)?;
        Some((now.saturating_duration_since(waiting.since), waiting.accepted))
    }

    /// Records what a connection has accepted, and what it could not accept.
    pub(super) fn record(&mut self, now: Moment, reader: ReaderId, accepted: u64, unread: u64) {
        if unread == 0 {
            self.waiting.remove(&reader);
            return;
        }
        match self.waiting.get_mut(&reader) {
            Some(waiting) => waiting.accepted += accepted,
            None => {
                let waiting = WaitingReader { since: now, accepted: 0, held: unread, ended: None };
                self.waiting.insert(reader, waiting);
            }
        }
    }

    /// Removes a connection that has closed.
    pub(super) fn forget(&mut self, reader: ReaderId) {
        self.waiting.remove(&reader);
    }

    /// Records what is held for a reader that has unread bytes, besides its connection and its request.
    pub(super) fn set_held(&mut self, reader: ReaderId, held: u64) {
        if let Some(waiting) = self.waiting.get_mut(&reader) {
            waiting.held = held;
        }
    }

    /// Returns the slowest readers, which now end: as many as are needed to release `excess` bytes.
    pub(super) fn end_slowest(&mut self, now: Moment, excess: u64) -> Vec<ReaderId> {
        if self
            .searched
            .is_some_and(|searched| now.saturating_duration_since(searched) < SEARCH_INTERVAL)
        {
            return Vec::new();
        }
        self.searched = Some(now);
        let mut missing = excess.saturating_sub(self.closing_bytes(now));
        let mut ended = Vec::new();
        for reader in self.slowest_first(now, missing) {
            if missing == 0 {
                break;
            }
            if let Some(waiting) = self.waiting.get_mut(&reader) {
                waiting.ended = Some(now);
                missing = missing.saturating_sub(waiting.released());
            }
            ended.push(reader);
        }
        ended
    }

    /// Returns the bytes that connections release that have to end and have not closed yet.
    fn closing_bytes(&self, now: Moment) -> u64 {
        let closing = self.waiting.values().filter(|waiting| {
            let ended = waiting.ended;
            ended.is_some_and(|ended| now.saturating_duration_since(ended) < CLOSE_LIMIT)
        });
        closing.map(WaitingReader::released).sum()
    }

    /// Returns the readers that may end, the slowest first; none if there are no bytes to release.
    fn slowest_first(&self, now: Moment, missing: u64) -> Vec<ReaderId> {
        if missing == 0 {
            return Vec::new();
        }
        let mut readers: Vec<(ReaderId, Duration, u64)> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.ended.is_none())
            .map(|(reader, waiting)| {
                (*reader, now.saturating_duration_since(waiting.since), waiting.accepted)
            })
            .filter(|(_, waited, _)| *waited >= MIN_WAIT)
            .collect();
        readers.sort_by(|(_, waited, accepted), (_, other_waited, other_accepted)| {
            compare_pace((*waited, *accepted), (*other_waited, *other_accepted))
        });
        readers.into_iter().map(|(reader, ..)| reader).collect()
    }
}

/// Orders readers by their pace, and those of the same pace by the longest wait. Fractions are compared by
/// multiplication, so that no pace is rounded to that of another reader.
fn compare_pace(first: (Duration, u64), second: (Duration, u64)) -> Ordering {
    let first_pace = u128::from(first.1) * second.0.as_micros();
    let second_pace = u128::from(second.1) * first.0.as_micros();
    first_pace.cmp(&second_pace).then(second.0.cmp(&first.0))
}
