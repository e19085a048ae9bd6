//! Where do daemons live? Addresses from the settings, the platform's records and peers.
//!
//! Inputs: the seeds of the settings, recorded daemons, addresses that heartbeats name. The rule: in a
//! small fleet every address that was ever named gets heartbeats until its daemon has sent none for ten
//! minutes; in a larger one ([`candidates`](super::candidates)) only the daemons that may schedule do.
//! Until the platform has named its records, the fleet is taken to have at least [`UNKNOWN_FLEET`]
//! daemons.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;

use curlewcleat_core::DaemonRecord;

use super::candidates::CANDIDATES;
use super::membership::MemberView;

/// Daemons that there may be where none has been listed yet: more than the users' small deployments have, so that a
/// new daemon claims too small a part of the rates rather than too large.
const UNKNOWN_FLEET: usize = 16;

impl MemberView {
    /// Addresses at which daemons may live, from the settings.
    pub fn add_seeds(&mut self, addresses: Vec<String>) {
        for address in addresses {
            self.add_address(&address, true);
        }
    }

    /// The daemons that the platform has recorded; they may have ended. A record that has gone since the
    /// last list is dropped, so that a fleet whose VMs are replaced does not seem to grow.
    pub fn records_listed(&mut self, records: Vec<DaemonRecord>) {
        let gone = std::mem::take(&mut self.records);
        for record in gone.values() {
            self.known_addresses.remove(&record.address);
        }
        for record in records.into_iter().filter(|record| record.daemon.vm != self.me.vm) {
            self.known_addresses.insert(record.address.clone());
            self.records.insert(record.daemon.vm.clone(), record);
        }
        self.known_addresses.extend(self.peers.values().map(|peer| peer.address.clone()));
        self.records_known = true;
        self.changed = true;
        self.announce();
    }

    /// A peer has named addresses, those of the daemons that it would ask first before all others.
    pub(super) fn addresses_named(&mut self, addresses: &[String]) {
        let mesh = self.is_mesh();
        for (place, address) in addresses.iter().enumerate() {
            self.add_address(address, mesh || place < CANDIDATES);
        }
    }

    /// Adds an address; `greet` where its daemon is to be heard of soon.
    fn add_address(&mut self, address: &str, greet: bool) {
        if address == self.options.address {
            return;
        }
        self.known_addresses.insert(address.to_string());
        if greet && !self.is_heard(address) {
            self.reply_due.insert(address.to_string());
        }
    }

    fn is_heard(&self, address: &str) -> bool {
        self.peers.values().any(|peer| peer.live && peer.address == address)
    }

    /// Addresses of daemons that are known.
    pub fn addresses(&self) -> BTreeSet<String> {
        let mut addresses = self.known_addresses.clone();
        addresses.extend(self.options.seeds.iter().cloned());
        addresses.remove(&self.options.address);
        addresses
    }

    /// Daemons that there may be, this one among them. Until the recorded ones are known there may be
    /// more than have been heard of.
    pub fn fleet_size(&self) -> usize {
        let own = &self.options.address;
        let seeds = self.options.seeds.iter().filter(|seed| *seed != own);
        let unnamed: BTreeSet<&String> =
            seeds.filter(|seed| !self.known_addresses.contains(*seed)).collect();
        let known = self.known_addresses.len() + unnamed.len() + 1;
        match self.records_known {
            true => known,
            false => known.max(UNKNOWN_FLEET),
        }
    }
}
