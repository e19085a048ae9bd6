//! Collects the addresses of daemons from the settings, the platform's records and peers.
//!
//! Inputs: the seeds of the settings, recorded daemons, the addresses in heartbeats. The rule: in a small fleet every
//! address that was ever reported gets heartbeats until its daemon has sent none for ten minutes; in a larger one
//! ([`candidates`](super::candidates)) only the daemons that may schedule get them. Until the platform has listed its
//! records, the fleet is assumed to have at least [`UNKNOWN_FLEET`] daemons.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;
use std::net::IpAddr;

use curlewcleat_core::DaemonRecord;

use super::candidates::CANDIDATES;
use super::membership::MemberView;

/// Assumed minimum size of the fleet until the platform has listed its records: more than the users' small deployments
/// have, so that a new daemon claims too small a share of the rates rather than too large a one.
const UNKNOWN_FLEET: usize = 16;

impl MemberView {
    /// Adds the addresses from the settings.
    pub fn add_seeds(&mut self, addresses: Vec<String>) {
        for address in addresses {
            self.add_address(&address, true);
        }
    }

    /// Replaces the list of daemons that the platform has recorded; they may have ended. An address whose record is
    /// missing from the new list is dropped, so that a fleet whose VMs are replaced does not seem to grow.
    pub fn update_records(&mut self, records: Vec<DaemonRecord>) {
        let previous = std::mem::take(&mut self.records);
        for record in previous.values() {
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

    /// Adds the addresses in a heartbeat; those of the first daemons in its sender's order of schedulers come
    /// before all others.
    pub(super) fn add_reported_addresses(&mut self, addresses: &[String]) {
        let mesh = self.is_mesh();
        for (index, address) in addresses.iter().enumerate() {
            self.add_address(address, mesh || index < CANDIDATES);
        }
    }

    /// Adds an address; with `greet` its daemon gets the next heartbeat unless it is already reachable.
    fn add_address(&mut self, address: &str, greet: bool) {
        if address == self.options.address {
            return;
        }
        self.known_addresses.insert(address.to_string());
        if greet && !self.is_reachable_at(address) {
            self.reply_due.insert(address.to_string());
        }
    }

    fn is_reachable_at(&self, address: &str) -> bool {
        self.peers.values().any(|peer| peer.live && peer.address == address)
    }

    /// Returns whether another daemon is known at an IP number.
    pub fn knows_ip(&self, ip: IpAddr) -> bool {
        let prefix = match ip {
            IpAddr::V4(ip) => format!("{ip}:"),
            IpAddr::V6(ip) => format!("[{ip}]:"),
        };
        let first = self.known_addresses.range(prefix.clone()..).next();
        first.is_some_and(|address| address.starts_with(&prefix))
    }

    /// Returns the known addresses of other daemons.
    pub fn addresses(&self) -> BTreeSet<String> {
        let mut addresses = self.known_addresses.clone();
        addresses.extend(self.options.seeds.iter().cloned());
        addresses.remove(&self.options.address);
        addresses
    }

    /// Returns the assumed number of daemons, including this one. Until the records are known there may be more daemons
    /// than are known.
    pub fn fleet_size(&self) -> usize {
        let own_address = &self.options.address;
        let seeds = self.options.seeds.iter().filter(|seed| *seed != own_address);
        let unlisted: BTreeSet<&String> =
            seeds.filter(|seed| !self.known_addresses.contains(*seed)).collect();
        let known = self.known_addresses.len() + unlisted.len() + 1;
        match self.records_known {
            true => known,
            false => known.max(UNKNOWN_FLEET),
        }
    }
}
