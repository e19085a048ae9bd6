//! Breadth-first search over all reachable states of a specification.

use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A specification: its initial state, its transitions and its invariants.
pub trait SpecModel {
    /// A state of the whole system.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns every state that one step leads to, with the name of the step.
    fn successors(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns a description of the invariant that the state violates, if it violates one.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Result of a search.
#[derive(Debug)]
pub struct Exploration {
    /// Number of states visited.
    pub states: usize,
    /// Number of steps from the initial state to the farthest state.
    pub depth: usize,
    /// Duration of the search.
    pub elapsed: Duration,
    /// The violated invariant and the steps of the shortest trace that leads there.
    pub violation: Option<(String, Vec<String>)>,
}

impl fmt::Display for Exploration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} states, depth {}, {:.1} s",
            self.states,
            self.depth,
            self.elapsed.as_secs_f64()
        )?;
        if let Some((invariant, steps)) = &self.violation {
            write!(f, "\n  broken: {invariant}")?;
            for (index, step) in steps.iter().enumerate() {
                write!(f, "\n  {:>3}. {step}", index + 1)?;
            }
        }
        Ok(())
    }
}

/// A state with its distance from the initial state; the distance is ignored when states are compared.
#[derive(Clone)]
struct VisitedState<S> {
    state: S,
    depth: usize,
}

impl<S: PartialEq> PartialEq for VisitedState<S> {
    fn eq(&self, other: &VisitedState<S>) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for VisitedState<S> {}

impl<S: Hash> Hash for VisitedState<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every reachable state, or stops at the first one that violates an invariant.
pub fn explore<M: SpecModel>(model: &M) -> Exploration {
    let started = Instant::now();
    let start = VisitedState { state: model.initial(), depth: 0 };
    let successors = |visited: &VisitedState<M::State>| {
        let depth = visited.depth + 1;
        let steps = model.successors(&visited.state).into_iter();
        steps.map(|(_, state)| VisitedState { state, depth }).collect::<Vec<_>>()
    };
    let mut states = 0;
    let mut depth = 0;
    let mut found = false;
    for visited in bfs_reach(start, successors) {
        states += 1;
        depth = depth.max(visited.depth);
        if model.violation(&visited.state).is_some() {
            found = true;
            break;
        }
    }
    let violation = if found { shortest_trace(model) } else { None };
    Exploration { states, depth, elapsed: started.elapsed(), violation }
}

/// Returns the violated invariant and the shortest trace to a state that violates it.
fn shortest_trace<M: SpecModel>(model: &M) -> Option<(String, Vec<String>)> {
    let visited = Cell::new(0usize);
    let successors = |state: &M::State| {
        visited.set(visited.get() + 1);
        model.successors(state).into_iter().map(|(_, next)| next).collect::<Vec<_>>()
    };
    let path = bfs(&model.initial(), successors, |state| model.violation(state).is_some())?;
    let invariant = path.last().and_then(|state| model.violation(state))?;
    let steps = path.windows(2).map(|pair| {
        let step = model.successors(&pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        step.map(|(name, _)| name).unwrap_or_default()
    });
    Some((invariant, steps.collect()))
}
