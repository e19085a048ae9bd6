//! Configurations that come from peers and go to them.
//!
//! Owns: what is on its way in both directions, and the bytes that came. Relies on: [`ConfigPull`] and
//! [`ConfigServing`] for their bounds.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{Uptime, VmId};

use crate::config_pull::ConfigPull;
use crate::config_serving::ConfigServing;
use crate::status::ConfigIntake;

/// Least time between two whole configurations to one peer: a megabyte takes a second over the slowest link that the
/// users' VMs have.
const WHOLE_PUSH_INTERVAL: Duration = Duration::from_secs(2);

/// A daemon's part in the exchange of configurations.
#[derive(Clone, Debug)]
pub struct ConfigExchange {
    /// The configuration that comes.
    pub pull: ConfigPull,
    /// The peers to which the one in force goes.
    pub serving: ConfigServing,
    /// What has come so far.
    pub intake: ConfigIntake,
    /// When peers that cannot ask for parts were last sent a whole configuration.
    whole_pushes: BTreeMap<VmId, Uptime>,
}

impl ConfigExchange {
    /// Nothing is on its way. The argument is what the link of this VM carries, in bytes a second.
    pub fn new(link_bytes_per_s: u64) -> ConfigExchange {
        ConfigExchange {
            pull: ConfigPull::default(),
            serving: ConfigServing::new(link_bytes_per_s),
            intake: ConfigIntake::default(),
            whole_pushes: BTreeMap::new(),
        }
    }

    /// Whether to send a peer a whole configuration now: not while one is on its way.
    pub fn begin_whole_push(&mut self, now: Uptime, peer: &VmId) -> bool {
        self.whole_pushes.retain(|_, sent| now < *sent + WHOLE_PUSH_INTERVAL);
        let begins = !self.whole_pushes.contains_key(peer);
        if begins {
            self.whole_pushes.insert(peer.clone(), now);
        }
        begins
    }
}
