//! What holds in each state of applying configurations.

use super::state::{apply_ids, ConfigState};

/// The promise that a state breaks; `same_file` where both operators apply the same file.
pub fn violation(state: &ConfigState, same_file: bool) -> Option<String> {
    daemon_violation(state)
        .or_else(|| order_violation(state, same_file))
        .or_else(|| operator_violation(state))
}

/// A daemon's configuration never gets older, and one generation is the same on both.
fn daemon_violation(state: &ConfigState) -> Option<String> {
    for daemon in 0..2 {
        if state.daemons[daemon].generation() < state.highest[daemon] {
            return Some(format!("daemon {daemon} went back"));
        }
    }
    let [one, two] = &state.daemons;
    (one.generation() == two.generation() && one.bundle() != two.bundle())
        .then(|| "two configurations of one generation".to_string())
}

/// Two applies take effect one after the other; where both change the same file, the operator of the
/// later one has seen the earlier one.
fn order_violation(state: &ConfigState, same_file: bool) -> Option<String> {
    let [one, two] = &state.operators;
    let (first, second) = (one.applied()?, two.applied()?);
    if first == second {
        return Some("two applies in one place".to_string());
    }
    let later = usize::from(second > first);
    let unseen = state.operators[later].first_read < Some(first.min(second));
    (same_file && unseen)
        .then(|| "an apply overwrote one that its operator had not seen".to_string())
}

/// Each apply takes effect once at most, and its operator is told whether it did.
fn operator_violation(state: &ConfigState) -> Option<String> {
    for (index, operator) in state.operators.iter().enumerate() {
        let records = applies_recorded(state, index);
        if records > 1 {
            return Some(format!("operator {index}'s apply took effect twice"));
        }
        if operator.told_wrong_end(records == 1) {
            return Some(format!("operator {index} was told the wrong end"));
        }
    }
    None
}

/// Records of an operator's apply in the latest manifest, under either of its ids.
fn applies_recorded(state: &ConfigState, operator: usize) -> usize {
    let ids = apply_ids(operator);
    state.manifests.last().map_or(0, |manifest| {
        manifest.history.iter().filter(|record| ids.contains(&record.apply)).count()
    })
}
