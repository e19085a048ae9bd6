//! Where do daemons live? Addresses from the settings, the platform's records and peers.
//!
//! Inputs: the seeds of the settings, recorded addresses, those that heartbeats name. The rule: every
//! address that was ever named gets heartbeats until its daemon has sent none for ten minutes. Until
//! the platform has named its records, the fleet is taken to have at least [`UNKNOWN_FLEET`] daemons.
//!
//! Owns: nothing; the state is [`MemberView`]'s.

use std::collections::BTreeSet;

use super::membership::MemberView;

/// Daemons that there may be where none has been listed yet. Chosen: more than the users' small
/// deployments have, so that a new daemon claims too small a part of the rates rather than too large.
const UNKNOWN_FLEET: usize = 16;

impl MemberView {
    /// Addresses at which daemons may live; `complete` where they are all that the platform has.
    pub fn add_addresses(&mut self, addresses: Vec<String>, complete: bool) {
        for address in addresses {
            let own = address == self.options.address;
            if !own && self.known_addresses.insert(address.clone()) && !self.is_heard(&address) {
                self.reply_due.insert(address);
            }
        }
        self.records_known |= complete;
        if complete {
            self.announce();
        }
    }

    fn is_heard(&self, address: &str) -> bool {
        self.peers.values().any(|peer| peer.address == address)
    }

    /// Addresses that heartbeats go to.
    pub fn addresses(&self) -> BTreeSet<String> {
        let peers = self.peers.values().map(|peer| peer.address.clone());
        let mut addresses: BTreeSet<String> =
            peers.chain(self.options.seeds.iter().cloned()).collect();
        addresses.extend(self.known_addresses.iter().cloned());
        addresses.remove(&self.options.address);
        addresses
    }

    /// Daemons that there may be, this one among them. Until the recorded ones are known there may be
    /// more than have been heard of.
    pub fn fleet_size(&self) -> usize {
        let known = self.addresses().len() + 1;
        match self.records_known {
            true => known,
            false => known.max(UNKNOWN_FLEET),
        }
    }
}
