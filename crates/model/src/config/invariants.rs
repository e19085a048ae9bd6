//! Invariants of the model of applying configurations.

use super::state::{apply_ids, ConfigState};

/// Returns the invariant that the state violates. `same_file`: both operators apply the same file.
pub fn violation(state: &ConfigState, same_file: bool) -> Option<String> {
    daemon_violation(state)
        .or_else(|| order_violation(state, same_file))
        .or_else(|| operator_violation(state))
}

/// Checks that a daemon's generation never decreases, and that one generation has the same content at both daemons.
fn daemon_violation(state: &ConfigState) -> Option<String> {
    for daemon in 0..2 {
        if state.daemons[daemon].generation() < state.highest_generations[daemon] {
            return Some(format!("daemon {daemon} returned to an older generation"));
        }
    }
    let [one, two] = &state.daemons;
    (one.generation() == two.generation() && one.bundle() != two.bundle())
        .then(|| "the daemons have different configurations of one generation".to_string())
}

/// Checks that two applies don't produce the same generation. Where both change the same file, the operator of the
/// later apply must have read the result of the earlier one.
fn order_violation(state: &ConfigState, same_file: bool) -> Option<String> {
    let [one, two] = &state.operators;
    let (first, second) = (one.applied()?, two.applied()?);
    if first == second {
        return Some("two applies produced the same generation".to_string());
    }
    let later = usize::from(second > first);
    let unread = state.operators[later].first_read < Some(first.min(second));
    (same_file && unread)
        .then(|| "an apply overwrote another one that its operator had not read".to_string())
}

/// Checks that each apply takes effect at most once, and that its operator doesn't receive a false result.
fn operator_violation(state: &ConfigState) -> Option<String> {
    for (index, operator) in state.operators.iter().enumerate() {
        let records = count_records(state, index);
        if records > 1 {
            return Some(format!("operator {index}'s apply took effect twice"));
        }
        if operator.received_false_result(records == 1) {
            return Some(format!("operator {index} received a false result"));
        }
    }
    None
}

/// Counts the records of an operator's apply in the latest manifest, under either of its ids.
fn count_records(state: &ConfigState, operator: usize) -> usize {
    let ids = apply_ids(operator);
    state.manifests.last().map_or(0, |manifest| {
        manifest.history.iter().filter(|record| ids.contains(&record.apply)).count()
    })
}
