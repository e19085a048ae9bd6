//! Chooses among about equally good targets one to which the entry daemon has an idle connection.
//!
//! Inputs: the candidates of one decision with their fit and load, and which of them are assumed to have an idle
//! connection from the entry daemon.
//!
//! The rule: the best candidate is taken unless it has no idle connection and another one has, is equal in all criteria
//! but time and load, and
//! - begins the answer later by no more than the time of a new connection and a small fraction of the latency objective,
//! - ends the answer later by no more than the time of a new connection and a small fraction of the estimated time,
//! - is not too slow for the deadline, unless the best candidate is as well,
//! - has no more permits in use relative to its slots,
//! - is in the entry daemon's data centre, or in that of the best candidate,
//! - is on trial if and only if the best candidate is, so that each version keeps its share.
//!
//! Of several such candidates, the one with the lowest load is taken, and of these the one whose connection has been idle
//! for longest, so that the work spreads over all of them.
//!
//! Load pattern: a pool with free capacity, most of whose targets are about equally fast. In an overload only one target
//! is free at a time, and this rule decides nothing.
//!
//! Owns: the rule. Relies on: [`idle_connections`](super::idle_connections) for the assumed connections.

use curlewcleat_core::{PermitRequest, TargetId, Uptime, WorkMicros};

use super::idle_connections::IdleSecond;
use super::origin::RequestOrigin;
use super::target::TargetState;
use super::TargetFit;
use crate::work_estimate::micros;

/// Time in microseconds that a new connection takes: a round trip, and its acceptance by the target.
const NEW_CONNECTION_TIME: WorkMicros = 1_000;
/// A caller does not notice a difference of its latency objective divided by this.
const OBJECTIVE_DIVISOR: u64 = 16;
/// Estimates that differ by the estimated time divided by this count as equal.
const TIME_DIVISOR: u64 = 16;

/// A target with free capacity, and how well it suits a permit request.
#[derive(Clone, Copy)]
pub(super) struct TargetCandidate<'a> {
    pub fit: TargetFit,
    /// Permits in use relative to the slots, in thousandths.
    pub load: u32,
    pub id: &'a TargetId,
    pub state: &'a TargetState,
    /// Whether it is in another data centre than the entry daemon.
    pub remote: bool,
    /// Whether the answer would probably end after the deadline.
    pub too_slow: bool,
    /// Since when the entry daemon is assumed to have an idle connection to it, `None` if it has none.
    pub idle_since: Option<IdleSecond>,
}

impl<'a> TargetCandidate<'a> {
    /// Returns a candidate that is not too slow.
    pub fn new(
        now: Uptime,
        fit: TargetFit,
        id: &'a TargetId,
        state: &'a TargetState,
        origin: &RequestOrigin<'_>,
    ) -> TargetCandidate<'a> {
        TargetCandidate {
            fit,
            load: load_permille(state),
            id,
            state,
            remote: origin.is_remote(state),
            too_slow: false,
            idle_since: origin.idle_since(now, state),
        }
    }

    /// Returns the sort key by which the smallest candidate is the best.
    fn rank(&self) -> (TargetFit, u32, &'a TargetId) {
        (self.fit, self.load, self.id)
    }

    /// Returns whether it may be taken instead of the best candidate for the sake of a connection.
    fn may_replace(&self, best: &TargetCandidate<'_>) -> bool {
        let criteria = |fit: &TargetFit| (fit.rests, fit.stalls, fit.late);
        let is_near = !self.remote || self.state.data_centre == best.state.data_centre;
        let allowance = NEW_CONNECTION_TIME + best.fit.time / TIME_DIVISOR;
        criteria(&self.fit) == criteria(&best.fit)
            && self.fit.penalized <= best.fit.penalized.saturating_add(allowance)
            && (!self.too_slow || best.too_slow)
            && self.load <= best.load
            && is_near
            && self.state.access == best.state.access
    }

    /// Returns the estimated time until the first part of the answer; of a record, until its end.
    fn first_part_time(&self, now: Uptime, request: &PermitRequest) -> WorkMicros {
        match self.state.pace.prompt_time(request.prompt_work) {
            Some(prompt) => micros(self.state.prompt_backlog(now)) + prompt,
            None => self.fit.time,
        }
    }
}

/// The best candidate so far, and all those with an idle connection.
#[derive(Default)]
pub(super) struct TargetChoice<'a> {
    best: Option<TargetCandidate<'a>>,
    connected: Vec<TargetCandidate<'a>>,
}

impl<'a> TargetChoice<'a> {
    /// Adds a candidate.
    pub fn add(&mut self, candidate: TargetCandidate<'a>) {
        if candidate.idle_since.is_some() {
            self.connected.push(candidate);
        }
        if self.best.as_ref().is_none_or(|best| candidate.rank() < best.rank()) {
            self.best = Some(candidate);
        }
    }

    /// Returns the candidate that is taken, `None` if there is none.
    pub fn close(self, now: Uptime, request: &PermitRequest) -> Option<TargetCandidate<'a>> {
        let best = self.best?;
        if best.idle_since.is_some() || self.connected.is_empty() {
            return Some(best);
        }
        let unnoticed = micros(request.objectives.first_part_by) / OBJECTIVE_DIVISOR;
        let first_part_by = best.first_part_time(now, request) + NEW_CONNECTION_TIME + unnoticed;
        let equals = self.connected.into_iter().filter(|other| {
            other.may_replace(&best) && other.first_part_time(now, request) <= first_part_by
        });
        let chosen = equals.min_by_key(|other| (other.load, other.idle_since, other.fit, other.id));
        Some(chosen.unwrap_or(best))
    }
}

/// Returns the permits in use relative to the slots, in thousandths.
fn load_permille(state: &TargetState) -> u32 {
    state.in_flight * 1_000 / state.slots.max(1)
}
