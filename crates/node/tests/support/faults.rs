//! Daemons that stand still, answers of the platform that come late, and processes that are killed and start again.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_node::NodeEvent;

use super::{builders::address, later_daemon, recorded, Fleet};

impl Fleet {
    /// Returns the event if the daemon handles it now. One that stands still handles it later, except for ticks.
    pub(super) fn reached_by(&mut self, index: usize, event: NodeEvent) -> Option<NodeEvent> {
        let Some(queue) = self.standing_still.get_mut(&index) else { return Some(event) };
        if !matches!(event, NodeEvent::Tick) {
            queue.push_back(event);
        }
        None
    }

    /// Stops a daemon from handling anything.
    pub fn suspend(&mut self, index: usize) {
        self.standing_still.entry(index).or_default();
    }

    /// Lets a daemon go on: after a tick it handles what has arrived in the meantime.
    pub fn resume(&mut self, index: usize) {
        let queue: VecDeque<NodeEvent> = self.standing_still.remove(&index).unwrap_or_default();
        self.event(index, NodeEvent::Tick);
        for event in queue {
            self.event(index, event);
        }
    }

    /// Kills a daemon and starts another process in its place, which has to learn everything anew.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let seeds = (0..self.daemons.len()).map(address).collect();
        self.standing_still.remove(&index);
        self.late_answers.retain(|(_, receiver, _)| *receiver != index);
        self.daemons[index] = later_daemon(index, seeds, incarnation, self.now);
        self.event(index, recorded(self.daemons.len()));
    }

    /// Cuts a daemon off from these others, in both directions or only towards it.
    pub fn block(&mut self, index: usize, others: impl Iterator<Item = usize>, both_ways: bool) {
        for other in others.filter(|other| *other != index) {
            self.blocked.insert((other, index));
            if both_ways {
                self.blocked.insert((index, other));
            }
        }
    }

    /// Returns the answer to a read of the splits if it arrives at once.
    pub(super) fn history_answer(
        &mut self,
        index: usize,
        answer: NodeEvent,
    ) -> Option<(usize, NodeEvent)> {
        let delay = self.history_delays.get(&index).copied().unwrap_or_default();
        if delay == Duration::ZERO {
            return Some((index, answer));
        }
        self.late_answers.push((self.now + delay, index, answer));
        None
    }

    pub(super) fn apply_late_writes(&mut self) {
        let now = self.now;
        let writes = std::mem::take(&mut self.late_writes);
        let (due, later): (Vec<_>, Vec<_>) = writes.into_iter().partition(|(at, _)| *at <= now);
        self.late_writes = later;
        due.into_iter().for_each(|(_, history)| self.write_history(history));
    }

    pub(super) fn deliver_late_answers(&mut self) {
        let now = self.now;
        let answers = std::mem::take(&mut self.late_answers);
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, ..)| *at <= now);
        self.late_answers = later;
        for (_, index, answer) in due {
            self.event(index, answer);
        }
    }
}
