//! Signals between the node and the tasks that follow the platform.
//!
//! Owns: [`ReadSignals`]. Relies on: nothing.

use std::rc::Rc;

use curlewcleat_node::ReadRole;
use tokio::sync::{watch, Notify};

use crate::config_freshness::ConfigFreshness;

/// Signals between the node and the tasks that follow the platform.
pub struct ReadSignals {
    /// Age of the configuration in force.
    pub freshness: Rc<ConfigFreshness>,
    read_role: watch::Sender<ReadRole>,
    /// Notified when the node requests that the rollouts are read again.
    rollouts: Notify,
    /// Notified when the node requests that the evacuations are read again.
    evacuations: Notify,
}

impl Default for ReadSignals {
    /// A daemon reads the platform itself until it knows that others do.
    fn default() -> ReadSignals {
        ReadSignals {
            freshness: Rc::default(),
            read_role: watch::Sender::new(ReadRole::Reader),
            rollouts: Notify::new(),
            evacuations: Notify::new(),
        }
    }
}

impl ReadSignals {
    /// Returns a receiver of this daemon's read role and its changes.
    pub fn read_role(&self) -> watch::Receiver<ReadRole> {
        self.read_role.subscribe()
    }

    /// Sets whether this daemon reads the platform or others read it on its behalf.
    pub fn set_read_role(&self, role: ReadRole) {
        self.read_role.send_replace(role);
    }

    /// Requests that the rollouts are read again.
    pub fn request_rollout_read(&self) {
        self.rollouts.notify_one();
    }

    /// Waits until the rollouts have to be read again.
    pub async fn rollout_read_requested(&self) {
        self.rollouts.notified().await;
    }

    /// Requests that the evacuations are read again.
    pub fn request_evacuation_read(&self) {
        self.evacuations.notify_one();
    }

    /// Waits until the evacuations have to be read again.
    pub async fn evacuation_read_requested(&self) {
        self.evacuations.notified().await;
    }
}
