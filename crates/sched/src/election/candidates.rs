//! Which daemons may schedule, and with which of them does each exchange heartbeats?
//!
//! Inputs: what is known of each daemon, by its heartbeats or by its record at the platform: whether it is
//! reachable and its view of the platform fresh, the processor of its VM, when it started. The rule, in a
//! fleet of more than `mesh_limit`: the candidates are the first [`CANDIDATES`] in the order of schedulers,
//! where a recorded daemon counts as reachable until it has not answered for the suspicion time-out.
//! Every daemon sends each heartbeat to the candidates, and to those that would be the first if all were
//! reachable, so that one that was cut off comes back; these answer. The others get no heartbeats, so that
//! those of an ordinary daemon do not grow with the fleet.
//!
//! Load pattern: many daemons that begin at once on VMs with an eighth of a core. Where each greeted all
//! others and sent them a tenth of its heartbeats, 87 daemons took 129 s of processor time over a day
//! in place of 63 s (one run each).
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;

use curlewcleat_core::{DaemonId, Uptime, VmId};

use super::membership::MemberView;
use super::order::{rank_of_peer, rank_of_record, CandidateRank};

/// Subject by which the one scheduler of all pools is drawn.
pub const ALL_POOLS: &str = "all pools";
/// Daemons, first in the order of schedulers, with which all others exchange every heartbeat: the scheduler, its
/// deputy and one more for each.
pub(super) const CANDIDATES: usize = 4;
/// Daemons that are asked for permits, one after the other, before a daemon schedules for itself: the candidates and
/// as many again, for the moment in which all candidates have ended together.
const ASKED: usize = 2 * CANDIDATES;
/// A recorded daemon that has not answered is tried again after this many suspicion time-outs.
const PROBE_AGAIN: u32 = 10;

impl MemberView {
    /// The daemons to ask for permits, best first, in a fleet that is no mesh. This one schedules for itself
    /// once none of the others that it would ask answers.
    pub(super) fn candidate_order(&self, subject: &str) -> Vec<DaemonId> {
        if self.is_cut_off() {
            return vec![self.me.clone()];
        }
        let mut ranked = self.reachable(subject);
        let own = self.own_rank(subject);
        let before_me = ranked.partition_point(|(rank, _)| *rank < own);
        let am_candidate = !self.draining && before_me < CANDIDATES;
        if am_candidate {
            ranked.insert(before_me, (own, self.me.clone()));
        }
        ranked.truncate(ASKED);
        let mut order: Vec<DaemonId> = ranked.into_iter().map(|(_, daemon)| daemon).collect();
        if order.is_empty() || !am_candidate && !self.draining {
            order.push(self.me.clone());
        }
        order
    }

    /// Daemons that may be reachable, this one not among them, with their ranks, best first.
    fn reachable(&self, subject: &str) -> Vec<(CandidateRank, DaemonId)> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.live && !peer.draining);
        let heard = heard.map(|(vm, peer)| {
            let daemon = DaemonId { vm: vm.clone(), incarnation: peer.incarnation };
            (rank_of_peer(subject, vm, peer), daemon)
        });
        let unheard = self.records.values().filter(|record| {
            let vm = &record.daemon.vm;
            !self.peers.contains_key(vm) && !self.unanswered.contains_key(vm)
        });
        let unheard =
            unheard.map(|record| (rank_of_record(subject, record), record.daemon.clone()));
        let mut reachable: Vec<(CandidateRank, DaemonId)> = heard.chain(unheard).collect();
        reachable.sort();
        reachable
    }

    /// Whether no daemon that this one has heard of is reachable; then this one is cut off.
    pub(super) fn is_cut_off(&self) -> bool {
        !self.peers.is_empty() && !self.peers.values().any(|peer| peer.live)
    }

    /// VMs whose daemons get each heartbeat and are to answer it.
    pub(super) fn exchange_partners(&self) -> BTreeSet<VmId> {
        let reachable = self.reachable(ALL_POOLS).into_iter();
        let candidates = reachable.take(CANDIDATES).map(|(_, daemon)| daemon.vm);
        candidates.chain(self.foremost().into_iter().cloned()).collect()
    }

    /// VMs whose daemons would be asked first if all were reachable.
    fn foremost(&self) -> Vec<&VmId> {
        let heard = self.peers.iter();
        let heard = heard.map(|(vm, peer)| (rank_of_peer(ALL_POOLS, vm, peer).if_fresh(), vm));
        let unheard = self.records.iter().filter(|(vm, _)| !self.peers.contains_key(*vm));
        let unheard = unheard.map(|(vm, record)| (rank_of_record(ALL_POOLS, record), vm));
        let mut foremost: Vec<(CandidateRank, &VmId)> = heard.chain(unheard).collect();
        foremost.sort();
        foremost.into_iter().take(CANDIDATES).map(|(_, vm)| vm).collect()
    }

    /// Notes which partners were never heard of, so that they are passed over where they do not answer.
    pub(super) fn probe(&mut self, now: Uptime, partners: &BTreeSet<VmId>) {
        for vm in partners.iter().filter(|vm| !self.peers.contains_key(*vm)) {
            self.probes.entry(vm.clone()).or_insert(now);
        }
    }

    /// Recorded daemons that have not answered for long are passed over for a while.
    pub(super) fn review_probes(&mut self, now: Uptime) {
        let limit = self.options.suspect_after;
        let before = self.unanswered.len();
        self.unanswered.retain(|_, since| now < *since + limit * PROBE_AGAIN);
        self.changed |= before != self.unanswered.len();
        let over: Vec<VmId> = self
            .probes
            .iter()
            .filter(|(_, since)| now >= **since + limit)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in over {
            self.probes.remove(&vm);
            self.unanswered.insert(vm, now);
            self.changed = true;
        }
    }
}
