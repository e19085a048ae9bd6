//! The key table: the one object that says which daemon holds which slot.
//!
//! Owns: the form of the key table as stored. Relies on: the object API for its versions.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::Duration;

use curlewcleat_core::{AccountId, DaemonId, KeySlot, SlotHolder, VmId, WallTime};
use serde::{Deserialize, Serialize};

/// Key of the table in the object API.
pub const TABLE_KEY: &str = "keys/table";

/// Holders by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyTable {
    /// One holder a slot.
    pub slots: Vec<SlotHolder>,
}

impl KeyTable {
    /// The first table: slots dealt out in turn. No key has been used before it exists.
    pub fn deal(slots: KeySlot, eligible: &[DaemonId]) -> KeyTable {
        let holders =
            eligible.iter().cycle().take(if eligible.is_empty() { 0 } else { usize::from(slots) });
        KeyTable {
            slots: holders
                .map(|holder| SlotHolder { holder: holder.clone(), complete_since_ms: 0 })
                .collect(),
        }
    }

    /// The holder of a slot.
    pub fn holder(&self, slot: KeySlot) -> Option<&SlotHolder> {
        self.slots.get(usize::from(slot))
    }

    /// Slots of a daemon.
    pub fn held_by(&self, daemon: &DaemonId) -> Vec<KeySlot> {
        let held = self.slots.iter().enumerate().filter(|(_, slot)| slot.holder == *daemon);
        held.map(|(index, _)| index as KeySlot).collect()
    }

    /// The table after the end of some holders: those on VMs that are gone, and earlier daemons of
    /// the own VM. Their slots go to the eligible daemons with the fewest, with a history that begins
    /// now. `None` where nothing changes.
    pub fn reassign(
        &self,
        gone: &BTreeSet<VmId>,
        me: &DaemonId,
        eligible: &[DaemonId],
        now: WallTime,
    ) -> Option<KeyTable> {
        let mut next = self.clone();
        let mut changed = false;
        for index in 0..next.slots.len() {
            let holder = &next.slots[index].holder;
            // The process that has bound the VM's peer address knows that the earlier one has ended.
            let own_earlier = holder.vm == me.vm && holder.incarnation != me.incarnation;
            let holder = if own_earlier {
                Some(me.clone())
            } else if gone.contains(&holder.vm) && holder != me {
                next.least_loaded(eligible, gone)
            } else {
                None
            };
            if let Some(holder) = holder {
                next.slots[index] =
                    SlotHolder { holder, complete_since_ms: now.as_millis() as u64 };
                changed = true;
            }
        }
        changed.then_some(next)
    }

    /// The table after a hand-over of slots with their complete records.
    pub fn pass(&self, passed: &[(KeySlot, DaemonId, WallTime)]) -> KeyTable {
        let mut next = self.clone();
        for (slot, holder, complete_since) in passed {
            if let Some(entry) = next.slots.get_mut(usize::from(*slot)) {
                let complete_since_ms = complete_since.as_millis() as u64;
                *entry = SlotHolder { holder: holder.clone(), complete_since_ms };
            }
        }
        next
    }

    /// The eligible daemon that holds the fewest slots.
    pub fn least_loaded(&self, eligible: &[DaemonId], gone: &BTreeSet<VmId>) -> Option<DaemonId> {
        let usable = eligible.iter().filter(|holder| !gone.contains(&holder.vm));
        usable.min_by_key(|holder| (self.held_by(holder).len(), (*holder).clone())).cloned()
    }
}

/// Slot of a key; the same on every daemon.
pub fn slot_of(account: &AccountId, key: &str, slots: usize) -> KeySlot {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(account.as_bytes());
    hasher.write_u8(0);
    hasher.write(key.as_bytes());
    (hasher.finish() % slots.max(1) as u64) as KeySlot
}

/// The time at which a key was minted, where it is a UUID of version 7.
pub(crate) fn minted_at(key: &str) -> Option<WallTime> {
    let uuid = uuid::Uuid::parse_str(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanos))
}
