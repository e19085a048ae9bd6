//! The steps from each state of the model, and the states that break its invariants.
//!
//! Owns: nothing. Relies on: [`LethalModel`] for what each step changes.

use super::{LethalModel, LethalState, DAEMONS};
use crate::explore::SpecModel;

impl SpecModel for LethalModel {
    type State = LethalState;

    fn initial(&self) -> LethalState {
        LethalState {
            daemons: vec![LethalModel::new_daemon(); DAEMONS],
            running_at: [None; DAEMONS],
            instance_count: 0,
            terminated: Vec::new(),
            stored: None,
            partitioned: None,
            reports_settled: true,
            sends: self.sends,
            partitions: self.partitions,
            restarts: self.restarts,
            bystander_interruptions: self.bystander_interruptions,
            bystander_arrivals: self.bystander_arrivals,
            sent_too_late: false,
            bystander_terminations: 0,
            bystander_refused: false,
        }
    }

    fn successors(&self, state: &LethalState) -> Vec<(String, LethalState)> {
        let mut steps = Vec::new();
        let mut add_step = |name: String, next: Option<LethalState>| {
            steps.extend(next.map(|next| (name, next)));
        };
        for index in 0..self.calling_daemons {
            add_step(format!("daemon {index} sends the request"), self.send(state, index));
            for (reported, with_bystander) in [(true, false), (false, false), (true, true)] {
                if !reported && !self.loses_reports {
                    continue;
                }
                let name = format!(
                    "target of {index} terminates, reported {reported}, at both {with_bystander}"
                );
                add_step(name, self.terminate_target(state, index, reported, with_bystander));
            }
            add_step(
                format!("the other request of daemon {index} is interrupted"),
                self.interrupt_bystander(state, index),
            );
            add_step(
                format!("the other request arrives at daemon {index}"),
                self.bystander_arrives(state, index),
            );
        }
        for index in 0..DAEMONS {
            add_step(format!("daemon {index} restarts"), self.restart_daemon(state, index));
            if state.partitioned.is_none() {
                add_step(
                    format!("daemon {index} is partitioned"),
                    self.change_partition(state, Some(index)),
                );
            }
        }
        if state.partitioned.is_some() {
            add_step("the partition ends".to_string(), self.change_partition(state, None));
        }
        add_step("all daemons restart together".to_string(), self.restart_all(state));
        add_step("time passes".to_string(), Some(self.exchange_reports(state)));
        steps
    }

    fn violation(&self, state: &LethalState) -> Option<String> {
        if state.sent_too_late {
            return Some(
                "it was sent again after all daemons had time to learn of the third termination"
                    .to_string(),
            );
        }
        state.bystander_refused.then(|| "a request that terminated nothing was refused".to_string())
    }
}
