//! Keeps the permits of entry daemons that seem lost, and counts them again once such a daemon is heard.
//!
//! Inputs: which entry daemons are lost, and which of them are heard again. The rule: the permits of a lost daemon are
//! free at once, since it may have ended. It may also only have been unheard: then it still uses them, and nothing makes
//! it report them. They are counted again with its next heartbeat and sent to it, and it returns those that it does not
//! use. They are forgotten when another process runs in its place, or when peers forget a lost daemon.
//!
//! Load pattern: a link that carries frames in one direction only, in a pool whose slots are all in use.
//!
//! Owns: the permits of lost daemons; its size grows with these alone. Relies on: the node for who is lost.

use std::collections::{BTreeMap, BTreeSet};

use curlewcleat_core::{DaemonId, PermitId, Uptime};

use crate::election::failure::REMOVE_AFTER;
use crate::permit_record::PermitRecord;

/// The permits that one lost daemon had in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DaemonLoss {
    since: Uptime,
    permits: Vec<PermitId>,
}

/// The permits that lost daemons had in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LostPermits {
    records: BTreeMap<PermitId, PermitRecord>,
    losses: BTreeMap<DaemonId, DaemonLoss>,
    /// The lost daemons in the order in which they were lost.
    order: BTreeSet<(Uptime, DaemonId)>,
}

impl LostPermits {
    /// Keeps the permits of a daemon that is lost now.
    pub fn insert(
        &mut self,
        now: Uptime,
        entry: &DaemonId,
        records: Vec<(PermitId, PermitRecord)>,
    ) {
        if records.is_empty() {
            return;
        }
        let permits = records.iter().map(|(permit, _)| *permit).collect();
        self.records.extend(records);
        self.losses.insert(entry.clone(), DaemonLoss { since: now, permits });
        self.order.insert((now, entry.clone()));
    }

    /// Removes and returns the permits of a daemon that were not returned since it was lost.
    pub fn take(&mut self, entry: &DaemonId) -> Vec<(PermitId, PermitRecord)> {
        let Some(loss) = self.losses.remove(entry) else { return Vec::new() };
        self.order.remove(&(loss.since, entry.clone()));
        let records = &mut self.records;
        loss.permits.into_iter().filter_map(|permit| records.remove_entry(&permit)).collect()
    }

    /// Forgets a permit that has ended or is reported anew.
    pub fn forget(&mut self, permit: &PermitId) {
        self.records.remove(permit);
    }

    /// Forgets the permits of daemons that have been lost for too long.
    pub fn expire(&mut self, now: Uptime) {
        while let Some((_, entry)) = self.order.first().filter(|(since, _)| is_expired(now, *since))
        {
            let entry = entry.clone();
            self.take(&entry);
        }
    }
}

fn is_expired(now: Uptime, since: Uptime) -> bool {
    now.saturating_sub(since) >= REMOVE_AFTER
}
