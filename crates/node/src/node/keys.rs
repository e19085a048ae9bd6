//! Tracks the key table and decides when to propose a new one.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: `KeyHolder` for keys, the platform for the stored table.

use std::time::Duration;

use curlewcleat_core::ObjectVersion;
use curlewcleat_keys::KeyTable;
use curlewcleat_sched::DrainPhase;

use super::Node;
use crate::event::{NodeAction, NodeNote, PlatformCall, TableWrite};

/// Subject of the scheduler order whose first daemon proposes key tables.
const TABLE_SUBJECT: &str = "key table";
/// Delay after the start before the first key table is proposed, so that the peers are known by then.
const FIRST_TABLE_DELAY: Duration = Duration::from_secs(2);

impl Node {
    pub(super) fn table_read(&mut self, read: Option<(ObjectVersion, KeyTable)>) {
        self.proposal_pending = false;
        match read {
            Some((version, table)) => self.apply_table(version, table),
            None => self.table_absent = true,
        }
    }

    pub(super) fn apply_table(&mut self, version: ObjectVersion, table: KeyTable) {
        if version <= self.key_holder.version() {
            return;
        }
        self.table_absent = false;
        self.key_holder.apply_table(version, table);
        self.actions
            .push(NodeAction::Note(NodeNote::TableKnown(version, self.key_holder.slots_held())));
    }

    pub(super) fn table_written(&mut self, write: TableWrite) {
        match write {
            TableWrite::Stored(version, table) => {
                self.proposal_pending = false;
                self.apply_table(version, table);
            }
            TableWrite::ReadAgain => {
                self.actions.push(NodeAction::Platform(PlatformCall::ReadTable))
            }
        }
    }

    /// Proposes a new key table if one is needed.
    pub(super) fn review_table(&mut self) {
        if self.proposal_pending || self.options.key_slots == 0 {
            return;
        }
        let proposal = if self.drain.phase() >= DrainPhase::Closing {
            self.key_holder.table_after_hand_over()
        } else if self.key_holder.version() == 0 {
            self.first_table()
        } else {
            self.changed_table()
        };
        if let Some(table) = proposal {
            self.proposal_pending = true;
            self.actions.push(NodeAction::Platform(PlatformCall::ProposeTable(
                self.key_holder.version(),
                table,
            )));
        }
    }

    pub(super) fn first_table(&self) -> Option<KeyTable> {
        let due = self.table_absent && self.now >= FIRST_TABLE_DELAY && self.proposes_tables();
        due.then(|| KeyTable::distribute(self.options.key_slots, &self.eligible))
            .filter(|table| !table.slots.is_empty())
    }

    pub(super) fn changed_table(&self) -> Option<KeyTable> {
        let mut ended = self.vms.ended(&self.options.me.vm);
        if self.stood_still_lately() {
            // Reachable peers seem unreachable until their frames have been handled.
            ended.clear();
        }
        // A VM whose daemon is still reachable has not ended, whatever a VM list says.
        ended.retain(|vm| !self.members.peers().get(vm).is_some_and(|peer| peer.live));
        let has_earlier_slots = self.key_holder.table().slots.iter().any(|slot| {
            slot.holder.vm == self.options.me.vm
                && slot.holder.incarnation != self.options.me.incarnation
        });
        if !has_earlier_slots && !self.proposes_tables() {
            return None;
        }
        self.key_holder.reassign(&ended, &self.eligible, self.wall)
    }

    pub(super) fn proposes_tables(&self) -> bool {
        self.members.scheduler_order(TABLE_SUBJECT).first() == Some(&self.options.me)
    }
}
