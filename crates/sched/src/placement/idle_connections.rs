//! Tracks which entry daemons are assumed to have idle connections to a target.
//!
//! Inputs: grants, and the ends of attempts. The rule: a complete answer leaves an idle connection from its entry daemon
//! to its target instance, until the next grant of both uses it or [`IDLE_LIMIT`] has passed. Other ends leave none:
//! failed attempts close their connections, and unused permits do not tell. Answers that end with their connection,
//! `Connection: close` and connections through a peer are not reported, so some assumptions are wrong. Then the entry
//! daemon opens a connection, as it does without any assumption.
//!
//! Load pattern: many entry daemons before many targets, where the requests of one pair are further apart than the idle
//! time of its connection.
//!
//! Owns: the assumed connections to one target instance, and the numbers of the entry daemons. Relies on: permits that
//! are returned after the connection became idle.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{DaemonId, Uptime};

/// Time for which a connection is assumed to be idle; shorter than the time for which entry daemons keep one.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Maximum number of idle connections assumed for one target, which bounds the work of finding one.
const MAX_PER_TARGET: usize = 128;
/// Maximum number of idle connections assumed for all targets of a pool: 4 MiB.
const MAX_IN_POOL: usize = 512 << 10;
/// Number of entry daemons at which all of them get new numbers.
const MAX_ENTRY_DAEMONS: usize = 4_096;

/// Number of an entry daemon at this scheduler. It is not assigned again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryNumber(u32);

/// Numbers of the entry daemons that have returned a permit after a complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EntryNumbers {
    numbers: BTreeMap<DaemonId, EntryNumber>,
    next: u32,
}

impl EntryNumbers {
    /// Returns the number of an entry daemon, `None` if it has none.
    pub fn get(&self, entry: &DaemonId) -> Option<EntryNumber> {
        self.numbers.get(entry).copied()
    }

    /// Returns the number of an entry daemon, and assigns one if it has none.
    pub fn assign(&mut self, entry: &DaemonId) -> EntryNumber {
        if let Some(number) = self.get(entry) {
            return number;
        }
        // With new numbers, no earlier assumption applies to any entry daemon.
        if self.numbers.len() >= MAX_ENTRY_DAEMONS {
            self.numbers.clear();
        }
        let number = EntryNumber(self.next);
        self.next = self.next.wrapping_add(1);
        self.numbers.insert(entry.clone(), number);
        number
    }

    /// Removes an entry daemon, whose connections have ended. What is assumed of its number expires.
    pub fn remove(&mut self, entry: &DaemonId) {
        self.numbers.remove(entry);
    }
}

/// When a connection became idle, in whole seconds of the scheduler's uptime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdleSecond(u32);

impl IdleSecond {
    fn of(now: Uptime) -> IdleSecond {
        IdleSecond(u32::try_from(now.as_secs()).unwrap_or(u32::MAX))
    }
}

/// One connection that is assumed to be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct IdleConnection {
    entry: EntryNumber,
    since: IdleSecond,
}

impl IdleConnection {
    fn is_fresh(&self, now: IdleSecond) -> bool {
        u64::from(now.0.saturating_sub(self.since.0)) < IDLE_LIMIT.as_secs()
    }
}

/// The idle connections assumed for one target instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct IdleConnections {
    /// By entry daemon, the newest last.
    connections: Vec<IdleConnection>,
}

impl IdleConnections {
    /// Returns since when the newest idle connection that an entry daemon is assumed to have is idle, `None` if it is
    /// assumed to have none.
    pub fn newest_since(&self, now: Uptime, entry: EntryNumber) -> Option<IdleSecond> {
        let connection = self.connections[self.newest(entry)?];
        connection.is_fresh(IdleSecond::of(now)).then_some(connection.since)
    }

    /// Records that a connection of an entry daemon has become idle; the oldest are forgotten beyond `limit`.
    pub fn record_idle(&mut self, now: Uptime, entry: EntryNumber, limit: usize) {
        let since = IdleSecond::of(now);
        if self.connections.len() >= limit {
            self.connections.retain(|connection| connection.is_fresh(since));
        }
        while self.connections.len() >= limit.max(1) {
            self.forget_oldest();
        }
        let index = self.end_of(entry);
        self.connections.insert(index, IdleConnection { entry, since });
    }

    /// Records that an entry daemon uses a connection; it uses the newest first.
    pub fn record_use(&mut self, entry: EntryNumber) {
        if let Some(index) = self.newest(entry) {
            self.connections.remove(index);
        }
    }

    /// Forgets all connections.
    pub fn clear(&mut self) {
        self.connections = Vec::new();
    }

    /// Returns the number of connections kept, including those that have expired since.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the index after the connections of an entry daemon and those of lower number.
    fn end_of(&self, entry: EntryNumber) -> usize {
        self.connections.partition_point(|connection| connection.entry <= entry)
    }

    fn newest(&self, entry: EntryNumber) -> Option<usize> {
        let index = self.end_of(entry).checked_sub(1)?;
        (self.connections[index].entry == entry).then_some(index)
    }

    fn forget_oldest(&mut self) {
        let ages = self.connections.iter().enumerate();
        let oldest = ages.min_by_key(|(_, connection)| connection.since).map(|(index, _)| index);
        if let Some(index) = oldest {
            self.connections.remove(index);
        }
    }
}

/// Returns the maximum number of idle connections assumed for each target of a pool with this number of targets.
pub fn limit_per_target(targets: usize) -> usize {
    (MAX_IN_POOL / targets.max(1)).clamp(1, MAX_PER_TARGET)
}
