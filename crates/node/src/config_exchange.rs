//! Tracks the transfer of configurations from peers and to peers.
//!
//! Owns: the transfers in progress in both directions, and the count of received bytes. Relies on: [`ConfigPull`] and
//! [`ConfigServing`] for their bounds.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{Uptime, VmId};

use crate::config_pull::ConfigPull;
use crate::config_serving::ConfigServing;
use crate::status::ConfigIntake;

/// Minimum time between two whole configurations to one peer: a megabyte takes a second over the slowest link that
/// the users' VMs have.
const WHOLE_PUSH_INTERVAL: Duration = Duration::from_secs(2);

/// The state of a daemon's configuration transfers.
#[derive(Clone, Debug)]
pub struct ConfigExchange {
    /// The configuration that is being fetched.
    pub pull: ConfigPull,
    /// The peers that fetch the configuration in force.
    pub serving: ConfigServing,
    /// Bytes received so far.
    pub intake: ConfigIntake,
    /// When peers that cannot request parts were last sent a whole configuration.
    whole_pushes: BTreeMap<VmId, Uptime>,
}

impl ConfigExchange {
    /// Returns a state without transfers. The argument is the capacity of the link of this VM, in bytes per second.
    pub fn new(link_bytes_per_s: u64) -> ConfigExchange {
        ConfigExchange {
            pull: ConfigPull::default(),
            serving: ConfigServing::new(link_bytes_per_s),
            intake: ConfigIntake::default(),
            whole_pushes: BTreeMap::new(),
        }
    }

    /// Returns whether to send a peer a whole configuration now: not while one may still be on its way.
    pub fn begin_whole_push(&mut self, now: Uptime, peer: &VmId) -> bool {
        self.whole_pushes.retain(|_, sent| now < *sent + WHOLE_PUSH_INTERVAL);
        let begins = !self.whole_pushes.contains_key(peer);
        if begins {
            self.whole_pushes.insert(peer.clone(), now);
        }
        begins
    }
}
