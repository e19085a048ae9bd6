//! Breadth-first search over every reachable state.

use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A specification.
pub trait SpecModel {
    /// A state of the whole system.
    type State: Clone + Eq + Hash;

    /// Where it begins.
    fn initial(&self) -> Self::State;

    /// Every state that one step leads to, with the step's name.
    fn successors(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// The promise that a state breaks, if it breaks one.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// What a search found.
#[derive(Debug)]
pub struct Exploration {
    /// States visited.
    pub states: usize,
    /// Steps to the farthest state.
    pub depth: usize,
    /// Time taken.
    pub elapsed: Duration,
    /// The broken promise and the shortest way there.
    pub broken: Option<(String, Vec<String>)>,
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
        if let Some((promise, steps)) = &self.broken {
            write!(f, "\n  broken: {promise}")?;
            for (index, step) in steps.iter().enumerate() {
                write!(f, "\n  {:>3}. {step}", index + 1)?;
            }
        }
        Ok(())
    }
}

/// A state with its distance from the beginning; the distance is no part of its identity.
#[derive(Clone)]
struct Visited<S> {
    state: S,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Visited<S> {
    fn eq(&self, other: &Visited<S>) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Visited<S> {}

impl<S: Hash> Hash for Visited<S> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

/// Visits every reachable state, or stops at the first that breaks a promise.
pub fn explore<M: SpecModel>(model: &M) -> Exploration {
    let begun = Instant::now();
    let start = Visited { state: model.initial(), depth: 0 };
    let successors = |visited: &Visited<M::State>| {
        let depth = visited.depth + 1;
        let steps = model.successors(&visited.state).into_iter();
        steps.map(|(_, state)| Visited { state, depth }).collect::<Vec<_>>()
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
    let broken = if found { shortest(model) } else { None };
    Exploration { states, depth, elapsed: begun.elapsed(), broken }
}

/// The shortest way to a state that breaks a promise.
fn shortest<M: SpecModel>(model: &M) -> Option<(String, Vec<String>)> {
    let visited = Cell::new(0usize);
    let successors = |state: &M::State| {
        visited.set(visited.get() + 1);
        model.successors(state).into_iter().map(|(_, next)| next).collect::<Vec<_>>()
    };
    let path = bfs(&model.initial(), successors, |state| model.violation(state).is_some())?;
    let promise = path.last().and_then(|state| model.violation(state))?;
    let steps = path.windows(2).map(|pair| {
        let named = model.successors(&pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        named.map(|(name, _)| name).unwrap_or_default()
    });
    Some((promise, steps.collect()))
}
