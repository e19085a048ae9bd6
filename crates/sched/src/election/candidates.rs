//! Decides which daemons may schedule, and with which of them each daemon exchanges heartbeats.
//!
//! Inputs: for each daemon, from its heartbeats or its record at the platform: whether it is reachable and its view of
//! the platform fresh, the processor capacity of its VM, when it started. The rule, in a fleet of more than
//! `mesh_limit`: the candidates are the first [`CANDIDATES`] in the order of schedulers, where a recorded daemon counts
//! as reachable until it has not answered for the suspicion timeout. Every daemon sends each heartbeat to the
//! candidates, and to those that would be the first if all were reachable, so that a daemon that was cut off recovers;
//! these answer. The others get no heartbeats, so that the number of heartbeats of an ordinary daemon does not grow
//! with the fleet.
//!
//! Load pattern: many daemons start at once on VMs with an eighth of a core. Where each sent greetings and a tenth of
//! its heartbeats to all others, 87 daemons took 129 s of processor time over a day instead of 63 s.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;

use curlewcleat_core::{DaemonId, Uptime, VmId};

use super::membership::MemberView;
use super::order::{rank_of_peer, rank_of_record, CandidateRank};

/// Subject under which the single scheduler of all pools is elected.
pub const ALL_POOLS: &str = "all pools";
/// Number of candidates, the first in the order of schedulers: the scheduler, its deputy and one more for each.
pub(super) const CANDIDATES: usize = 4;
/// Maximum number of daemons from which permits are requested, one after the other, before a daemon schedules for
/// itself: the candidates and as many again, in case all candidates end together.
const ORDER_LIMIT: usize = 2 * CANDIDATES;
/// A recorded daemon that has not answered is tried again after this many suspicion timeouts.
const PROBE_AGAIN: u32 = 10;

impl MemberView {
    /// Returns the daemons to request permits from, best first, in a fleet that is no mesh. This daemon schedules for
    /// itself if none of the others in the list answers.
    pub(super) fn candidate_order(&self, subject: &str) -> Vec<DaemonId> {
        if self.is_cut_off() {
            return vec![self.me.clone()];
        }
        let mut ranked = self.reachable(subject);
        let own = self.own_rank(subject);
        let own_index = ranked.partition_point(|(rank, _)| *rank < own);
        let is_candidate = !self.draining && own_index < CANDIDATES;
        if is_candidate {
            ranked.insert(own_index, (own, self.me.clone()));
        }
        ranked.truncate(ORDER_LIMIT);
        let mut order: Vec<DaemonId> = ranked.into_iter().map(|(_, daemon)| daemon).collect();
        if order.is_empty() || !is_candidate && !self.draining {
            order.push(self.me.clone());
        }
        order
    }

    /// Returns the other daemons that may be reachable, with their ranks, best first.
    fn reachable(&self, subject: &str) -> Vec<(CandidateRank, DaemonId)> {
        let from_peers = self.peers.iter().filter(|(_, peer)| peer.live && !peer.draining);
        let from_peers = from_peers.map(|(vm, peer)| {
            let daemon = DaemonId { vm: vm.clone(), incarnation: peer.incarnation };
            (rank_of_peer(subject, vm, peer), daemon)
        });
        let from_records = self.records.values().filter(|record| {
            let vm = &record.daemon.vm;
            !self.peers.contains_key(vm) && !self.unanswered.contains_key(vm)
        });
        let from_records =
            from_records.map(|record| (rank_of_record(subject, record), record.daemon.clone()));
        let mut reachable: Vec<(CandidateRank, DaemonId)> =
            from_peers.chain(from_records).collect();
        reachable.sort();
        reachable
    }

    /// Returns whether this daemon is cut off: it knows peers, and none of them is reachable.
    pub(super) fn is_cut_off(&self) -> bool {
        !self.peers.is_empty() && !self.peers.values().any(|peer| peer.live)
    }

    /// Returns the VMs whose daemons get each heartbeat and are to answer it.
    pub(super) fn exchange_partners(&self) -> BTreeSet<VmId> {
        let reachable = self.reachable(ALL_POOLS).into_iter();
        let candidates = reachable.take(CANDIDATES).map(|(_, daemon)| daemon.vm);
        candidates.chain(self.first_if_reachable().into_iter().cloned()).collect()
    }

    /// Returns the VMs whose daemons would be the first in the order of schedulers if all were reachable.
    fn first_if_reachable(&self) -> Vec<&VmId> {
        let from_peers = self.peers.iter();
        let from_peers =
            from_peers.map(|(vm, peer)| (rank_of_peer(ALL_POOLS, vm, peer).if_fresh(), vm));
        let from_records = self.records.iter().filter(|(vm, _)| !self.peers.contains_key(*vm));
        let from_records = from_records.map(|(vm, record)| (rank_of_record(ALL_POOLS, record), vm));
        let mut first_if_reachable: Vec<(CandidateRank, &VmId)> =
            from_peers.chain(from_records).collect();
        first_if_reachable.sort();
        first_if_reachable.into_iter().take(CANDIDATES).map(|(_, vm)| vm).collect()
    }

    /// Starts a probe of each partner that has never sent a heartbeat, so that it is skipped if it does not answer.
    pub(super) fn start_probes(&mut self, now: Uptime, partners: &BTreeSet<VmId>) {
        for vm in partners.iter().filter(|vm| !self.peers.contains_key(*vm)) {
            self.probes.entry(vm.clone()).or_insert(now);
        }
    }

    /// Ends probes that have timed out: the daemon is skipped until it is time to try it again.
    pub(super) fn review_probes(&mut self, now: Uptime) {
        let limit = self.options.suspect_after;
        let before = self.unanswered.len();
        self.unanswered.retain(|_, since| now < *since + limit * PROBE_AGAIN);
        self.changed |= before != self.unanswered.len();
        let expired: Vec<VmId> = self
            .probes
            .iter()
            .filter(|(_, since)| now >= **since + limit)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            self.probes.remove(&vm);
            self.unanswered.insert(vm, now);
            self.changed = true;
        }
    }
}
