//! Transfers newer configurations and key tables between peers, in both directions.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`ConfigExchange`] and [`AwaitedAnswer`] so that nothing is
//! requested while it is on its way.
//!
//! [`ConfigExchange`]: crate::config_exchange::ConfigExchange
//! [`AwaitedAnswer`]: crate::awaited_answer::AwaitedAnswer

use curlewcleat_config::ConfigArchive;
use curlewcleat_core::{
    ArchiveId, ConfigBundle, ConfigPart, ConfigPartPull, Generation, ObjectVersion, PeerMessage,
    StatePull, TablePush, VmId,
};
use curlewcleat_keys::KeyTable;

use super::Node;
use crate::config_pull::PartOutcome;
use crate::event::{NodeAction, NodeNote};

impl Node {
    /// Requests a configuration that a peer advertises, if it is newer.
    pub(super) fn config_advertised(&mut self, peer: &VmId, generation: Generation) {
        let in_force = self.store.generation();
        if let Some(pull) = self.configs.pull.offered(self.now, generation, in_force) {
            self.post(peer, PeerMessage::ConfigPartPull(pull));
        }
    }

    /// Answers a peer's request for a part of a newer configuration. Bytes that the peer has of any other archive are
    /// useless, so it then gets the first part.
    pub(super) fn config_part_pulled(&mut self, peer: &VmId, pull: ConfigPartPull) {
        if pull.known >= self.store.generation() {
            return;
        }
        let archive = match self.store.archive() {
            Ok(archive) => archive,
            Err(error) => {
                let note = NodeNote::ConfigNotPacked(self.store.generation(), error.to_string());
                return self.actions.push(NodeAction::Note(note));
            }
        };
        let offset = |archive: &ConfigArchive| match pull.archive == Some(archive.id()) {
            true => pull.offset,
            false => 0,
        };
        let part = archive.and_then(|archive| archive.part(offset(archive)));
        let Some(mut part) = part else { return };
        if !self.configs.serving.begin_part(self.now, peer, !part.is_last()) {
            part.bytes.clear();
        }
        self.post(peer, PeerMessage::ConfigPart(part));
    }

    pub(super) fn config_part_received(&mut self, peer: &VmId, part: ConfigPart) {
        let bytes = part.bytes.len() as u64;
        let in_force = self.store.generation();
        let outcome = self.configs.pull.part_received(self.now, part, in_force);
        match outcome {
            PartOutcome::Unused => return self.configs.intake.unused += bytes,
            PartOutcome::Next(pull) => self.post(peer, PeerMessage::ConfigPartPull(pull)),
            PartOutcome::Whole(id, archive) => self.archive_received(id, &archive),
        }
        self.configs.intake.taken += bytes;
    }

    fn archive_received(&mut self, id: ArchiveId, bytes: &[u8]) {
        match ConfigArchive::unpack(id, bytes) {
            Ok(bundle) => {
                self.config_offered(bundle);
                if self.store.generation() < id.generation {
                    self.configs.pull.reject(id);
                }
            }
            Err(error) => {
                self.configs.pull.reject(id);
                let note = NodeNote::ConfigUnreadable(id.generation, error.to_string());
                self.actions.push(NodeAction::Note(note));
            }
        }
    }

    /// Applies a whole configuration that a peer has sent.
    pub(super) fn config_pushed(&mut self, bundle: ConfigBundle) {
        let (generation, bytes) = (bundle.generation, bundle.text_bytes());
        let before = self.store.generation();
        self.config_offered(bundle);
        match before < generation && self.store.generation() == generation {
            true => self.configs.intake.taken += bytes,
            false => self.configs.intake.unused += bytes,
        }
    }

    /// Requests a key table that a peer advertises, if it is newer.
    pub(super) fn table_advertised(&mut self, peer: &VmId, version: ObjectVersion) {
        if version <= self.key_holder.version() || !self.table_pull.begin(self.now) {
            return;
        }
        // Configurations are fetched in parts, so this pull requests none.
        let pull = StatePull { generation: Generation::MAX, table: self.key_holder.version() };
        self.post(peer, PeerMessage::StatePull(pull));
    }

    /// Answers a peer's pull with the whole configuration and key table, where the peer's are older.
    pub(super) fn state_pulled(&mut self, peer: &VmId, pull: StatePull) {
        if pull.generation < self.store.generation() {
            self.push_whole(peer);
        }
        if pull.table < self.key_holder.version() {
            let slots = self.key_holder.table().slots.clone();
            let push = TablePush { version: self.key_holder.version(), slots };
            self.post(peer, PeerMessage::TablePush(push));
        }
    }

    /// Sends a whole configuration, unless one was sent to the peer a short time ago.
    fn push_whole(&mut self, peer: &VmId) {
        let Some(bundle) = self.store.bundle().cloned() else { return };
        if self.configs.begin_whole_push(self.now, peer) {
            self.post(peer, PeerMessage::ConfigPush(bundle));
        }
    }

    pub(super) fn table_pushed(&mut self, push: TablePush) {
        self.table_pull.answered();
        self.apply_table(push.version, KeyTable { slots: push.slots });
    }
}
