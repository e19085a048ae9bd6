//! Model of a request that terminates its targets, at daemons that may be partitioned and may restart. Once three
//! terminations are known to the connected daemons or stored at the platform, and all of these daemons have had time to
//! exchange them, none of them sends the request again. Another request, which terminates nothing and was served, is
//! refused by no daemon.

mod steps;

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    FeatureReport, InterruptionKind, RequestFeature, RequestIdentity, RequestInterruption,
    TargetInstance, TargetStart, Uptime,
};
use curlewcleat_sched::{InstancePresence, LethalOptions, LethalRequests, LethalVerdict};

/// Number of daemons.
const DAEMONS: usize = 3;
/// Number of terminations after which the request isn't sent again: the users' bound.
const MAX_TERMINATIONS: usize = 3;
/// Number of targets that the platform lists, for the rule that depends on how common terminations are: larger than the
/// number that terminates in this model.
const TARGETS: usize = 20;
/// The time, which is constant: behaviour that depends on it has separate tests.
const NOW: Uptime = Duration::from_secs(1_000);

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LethalFault {
    /// No fault.
    None,
    /// Daemons don't request unknown reports from other daemons.
    NoReportsRequested,
    /// A daemon serves after its start before it has received any report.
    ServesWithoutReports,
    /// Every interruption counts as a termination.
    InterruptionTakenForTermination,
    /// A request that was served completely stays suspect.
    ServedStaysSuspect,
    /// A daemon that restarts doesn't read the stored report of a request that has to be refused.
    StoredReportIgnored,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct LethalModel {
    /// Injected fault.
    pub fault: LethalFault,
    /// Number of times that the request may be sent to a target.
    pub sends: u8,
    /// Number of targets that may have the request at the same time.
    pub copies: usize,
    /// Number of daemons that have callers.
    pub calling_daemons: usize,
    /// Whether a daemon's report of a termination may be lost.
    pub loses_reports: bool,
    /// Number of times that a daemon is partitioned from all others and the platform.
    pub partitions: u8,
    /// Number of restarts, of one daemon or of all together.
    pub restarts: u8,
    /// Number of interruptions of the other request, at a target that keeps running or that terminates.
    pub bystander_interruptions: u8,
    /// Number of times that the other request arrives.
    pub bystander_arrivals: u8,
}

/// State of what each daemon knows, and of the actual system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LethalState {
    daemons: Vec<LethalRequests>,
    /// Number of the target instance that has the request of each daemon.
    running_at: [Option<u8>; DAEMONS],
    /// Number of target instances so far.
    instance_count: u8,
    /// Numbers of the instances that terminated while running the request.
    terminated: Vec<u8>,
    /// Report that is stored at the platform.
    stored: Option<FeatureReport>,
    /// Daemon that is partitioned from the others and the platform.
    partitioned: Option<usize>,
    /// Whether all daemons have had time to exchange reports since the last termination or change of the partition.
    reports_settled: bool,
    sends: u8,
    partitions: u8,
    restarts: u8,
    bystander_interruptions: u8,
    bystander_arrivals: u8,
    /// Whether a connected daemon sent the request after all connected daemons had time to learn of the third
    /// termination.
    sent_too_late: bool,
    /// Number of instances that terminated while running the other request, since that one was last served completely.
    bystander_terminations: u8,
    /// Whether the other request was refused although fewer than three instances terminated while running it.
    bystander_refused: bool,
}

fn lethal_feature() -> RequestFeature {
    feature(b"lethal")
}

fn bystander_feature() -> RequestFeature {
    feature(b"other")
}

fn feature(body: &[u8]) -> RequestFeature {
    RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body }.digest().into()
}

fn instance(number: u8) -> TargetInstance {
    TargetInstance { id: "t".to_string(), start: Some(TargetStart(u64::from(number))) }
}

fn closed_connection(number: u8) -> RequestInterruption {
    RequestInterruption { instance: instance(number), kind: InterruptionKind::Closed, begun: false }
}

impl LethalModel {
    fn new_daemon() -> LethalRequests {
        LethalRequests::new(LethalOptions::default())
    }

    fn reaches(state: &LethalState, from: usize, to: usize) -> bool {
        from == to || state.partitioned != Some(from) && state.partitioned != Some(to)
    }

    /// Delivers all reports of a daemon to another one, which doesn't answer.
    fn deliver_reports(state: &mut LethalState, from: usize, to: usize) {
        let reports = state.daemons[from].changes_since(NOW, 0);
        state.daemons[to].merge(NOW, reports);
    }

    /// Delivers all reports of a daemon to each daemon that it reaches.
    fn deliver_to_reachable(state: &mut LethalState, from: usize) {
        for to in 0..DAEMONS {
            if from != to && LethalModel::reaches(state, from, to) {
                LethalModel::deliver_reports(state, from, to);
            }
        }
    }

    /// Reads the platform's list of targets at a daemon, and stores the report of the request there if it has to be
    /// stored.
    fn review(&self, state: &mut LethalState, index: usize) {
        let terminated: Vec<TargetInstance> =
            state.terminated.iter().map(|number| instance(*number)).collect();
        let treats_all_as_terminated = self.fault == LethalFault::InterruptionTakenForTermination;
        let presence = |instance: &TargetInstance| match treats_all_as_terminated
            || terminated.contains(instance)
        {
            true => InstancePresence::Unlisted,
            false => InstancePresence::Listed,
        };
        state.daemons[index].review(NOW, TARGETS, &presence);
        let unstored: Vec<RequestFeature> = state.daemons[index]
            .unstored()
            .copied()
            .filter(|feature| *feature == lethal_feature())
            .collect();
        for feature in unstored {
            state.daemons[index].record_stored(&feature);
            state.stored = state.daemons[index].report(NOW, &feature);
        }
    }

    /// Counts the terminations that are known to the connected daemons or stored at the platform.
    fn known_terminations(state: &LethalState) -> usize {
        let connected = (0..DAEMONS).filter(|index| state.partitioned != Some(*index));
        let reports =
            connected.filter_map(|index| state.daemons[index].report(NOW, &lethal_feature()));
        let reports = reports.chain(state.stored.clone());
        let instances = reports
            .flat_map(|report| report.interruptions)
            .map(|interruption| interruption.interruption.instance);
        instances.collect::<BTreeSet<TargetInstance>>().len()
    }

    /// Checks whether a daemon may send a request.
    fn may_send(state: &mut LethalState, index: usize, feature: &RequestFeature) -> bool {
        state.daemons[index].verdict(NOW, std::slice::from_ref(feature)) == LethalVerdict::Clear
    }

    /// Sends the request to a new target instance, if the daemon may send it.
    fn send(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        let copies = next.running_at.iter().flatten().count();
        if next.sends == 0 || next.running_at[index].is_some() || copies >= self.copies {
            return None;
        }
        if !LethalModel::may_send(&mut next, index, &lethal_feature()) {
            return None;
        }
        next.sends -= 1;
        next.running_at[index] = Some(next.instance_count);
        next.instance_count += 1;
        next.sent_too_late |= next.reports_settled
            && next.partitioned != Some(index)
            && LethalModel::known_terminations(&next) >= MAX_TERMINATIONS;
        Some(next)
    }

    /// Terminates the target instance that runs a daemon's request. `reported`: the daemon's report reaches the others.
    /// `with_bystander`: the other request ran there too, sent by the next daemon.
    fn terminate_target(
        &self,
        state: &LethalState,
        index: usize,
        reported: bool,
        with_bystander: bool,
    ) -> Option<LethalState> {
        let mut next = state.clone();
        let number = next.running_at[index].take()?;
        if with_bystander {
            next.bystander_interruptions = next.bystander_interruptions.checked_sub(1)?;
        }
        next.terminated.push(number);
        next.reports_settled = false;
        next.daemons[index].record_interruption(NOW, lethal_feature(), closed_connection(number));
        if with_bystander {
            let other = (index + 1) % DAEMONS;
            next.bystander_terminations += 1;
            next.daemons[other].record_interruption(
                NOW,
                bystander_feature(),
                closed_connection(number),
            );
        }
        if reported {
            LethalModel::deliver_to_reachable(&mut next, index);
        }
        Some(next)
    }

    /// Interrupts the other request at a target that keeps running.
    fn interrupt_bystander(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        next.bystander_interruptions = next.bystander_interruptions.checked_sub(1)?;
        next.daemons[index].record_interruption(
            NOW,
            bystander_feature(),
            closed_connection(next.instance_count),
        );
        next.instance_count += 1;
        Some(next)
    }

    /// Handles an arrival of the other request. It is served completely or refused; a refusal is wrong while fewer than
    /// three targets have terminated while running it.
    fn bystander_arrives(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        next.bystander_arrivals = next.bystander_arrivals.checked_sub(1)?;
        if !LethalModel::may_send(&mut next, index, &bystander_feature()) {
            let refused =
                next.daemons[index].refused().any(|refused| *refused == bystander_feature());
            next.bystander_refused =
                refused && usize::from(next.bystander_terminations) < MAX_TERMINATIONS;
            return Some(next);
        }
        next.bystander_terminations = 0;
        if self.fault == LethalFault::ServedStaysSuspect {
            return Some(next);
        }
        next.daemons[index].record_served(NOW, &bystander_feature());
        LethalModel::deliver_to_reachable(&mut next, index);
        Some(next)
    }

    /// Gives all connected daemons time to read the platform and to exchange their reports.
    fn exchange_reports(&self, state: &LethalState) -> LethalState {
        let mut next = state.clone();
        for _ in 0..2 {
            for index in 0..DAEMONS {
                if next.partitioned != Some(index) {
                    self.review(&mut next, index);
                }
                for from in 0..DAEMONS {
                    let requests_reports = self.fault != LethalFault::NoReportsRequested;
                    if requests_reports && from != index && LethalModel::reaches(&next, from, index)
                    {
                        LethalModel::deliver_reports(&mut next, from, index);
                    }
                }
            }
        }
        next.reports_settled = true;
        next
    }

    /// Restarts a daemon.
    fn restart_daemon(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        next.restarts = next.restarts.checked_sub(1)?;
        // The target that had its request terminates, and no daemon observes it.
        next.terminated.extend(next.running_at[index].take());
        next.daemons[index] = LethalModel::new_daemon();
        if self.fault == LethalFault::ServesWithoutReports || next.partitioned == Some(index) {
            return Some(next);
        }
        let stored_report =
            next.stored.clone().filter(|_| self.fault != LethalFault::StoredReportIgnored);
        next.daemons[index].merge(NOW, stored_report.into_iter().collect());
        for from in 0..DAEMONS {
            if from != index && LethalModel::reaches(&next, from, index) {
                LethalModel::deliver_reports(&mut next, from, index);
            }
        }
        Some(next)
    }

    /// Restarts all daemons together.
    fn restart_all(&self, state: &LethalState) -> Option<LethalState> {
        let mut next = state.clone();
        next.restarts = next.restarts.checked_sub(1)?;
        next.terminated.extend(next.running_at.iter().flatten());
        next.running_at = [None; DAEMONS];
        next.partitioned = None;
        let stored_report = next.stored.clone().filter(|_| {
            self.fault != LethalFault::StoredReportIgnored
                && self.fault != LethalFault::ServesWithoutReports
        });
        for daemon in &mut next.daemons {
            *daemon = LethalModel::new_daemon();
            daemon.merge(NOW, stored_report.clone().into_iter().collect());
        }
        Some(next)
    }

    fn change_partition(
        &self,
        state: &LethalState,
        partitioned: Option<usize>,
    ) -> Option<LethalState> {
        let mut next = state.clone();
        if partitioned.is_some() {
            next.partitions = next.partitions.checked_sub(1)?;
        }
        next.partitioned = partitioned;
        next.reports_settled = false;
        Some(next)
    }
}
