//! Fetches a newer configuration from peers.
//!
//! A configuration is sent in parts of bounded length, and one part is requested at a time, so that neither a slow
//! link nor a sender's memory holds more than one part for each daemon. A lost part is requested again from whichever
//! peer next advertises the configuration. A partial archive that no longer grows, since the peers with the rest of
//! it have ended, is dropped in favour of what the other peers have.
//!
//! Owns: the parts received so far. Relies on: peers that compute the same id for equal archives.

use curlewcleat_config::MAX_ARCHIVE_BYTES;
use curlewcleat_core::{ArchiveId, ConfigPart, ConfigPartPull, Generation, Uptime};

use crate::awaited_answer::AwaitedAnswer;

/// Result of receiving a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The part was not needed.
    Unused,
    /// The part was kept; this pull requests the next one from its sender.
    Next(ConfigPartPull),
    /// The part was the last one; this is the whole archive.
    Whole(ArchiveId, Vec<u8>),
}

/// The first bytes of an archive.
#[derive(Clone, Debug)]
struct PartialArchive {
    id: ArchiveId,
    bytes: Vec<u8>,
    /// When the latest part arrived.
    last_part_at: Uptime,
}

/// The state of fetching a configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigPull {
    answer: AwaitedAnswer,
    partial: Option<PartialArchive>,
    /// The latest archive that this daemon could not use. A pull claims that this daemon has the whole of it, so that
    /// peers send no part of it again.
    unusable: Option<ArchiveId>,
}

impl ConfigPull {
    /// Handles a peer's advertisement of a configuration. Returns the pull to send, `None` if the configuration is
    /// not new or an answer is awaited.
    pub fn offered(
        &mut self,
        now: Uptime,
        offered: Generation,
        in_force: Generation,
    ) -> Option<ConfigPartPull> {
        self.drop_stalled(now, in_force);
        // A peer with an older generation than the partial archive has no part of it.
        let min_generation =
            self.partial.as_ref().map_or(in_force + 1, |partial| partial.id.generation);
        (offered >= min_generation && self.answer.begin(now)).then(|| self.next_pull(in_force))
    }

    /// Returns whether a part is awaited, or some have arrived and more are missing.
    pub fn is_under_way(&self) -> bool {
        self.partial.is_some() || self.answer.is_awaited()
    }

    /// Handles a part that a peer has sent.
    pub fn part_received(
        &mut self,
        now: Uptime,
        part: ConfigPart,
        in_force: Generation,
    ) -> PartOutcome {
        if part.bytes.is_empty() {
            // An empty part means that the sender is busy; another peer may be able to send one sooner.
            self.answer.answered();
            return PartOutcome::Unused;
        }
        if !self.store_part(now, part, in_force) {
            return PartOutcome::Unused;
        }
        self.answer.answered();
        match self.partial.take() {
            Some(partial) if partial.bytes.len() >= partial.id.length as usize => {
                PartOutcome::Whole(partial.id, partial.bytes)
            }
            unfinished => {
                self.partial = unfinished;
                self.answer.begin(now);
                PartOutcome::Next(self.next_pull(in_force))
            }
        }
    }

    /// Records that a configuration is in force, from any source; the pull that was sent before is not needed.
    pub fn config_applied(&mut self) {
        self.answer.answered();
    }

    /// Records that this daemon cannot use an archive that it has received in full.
    pub fn reject(&mut self, archive: ArchiveId) {
        self.unusable = Some(archive);
    }

    /// Appends a part to the partial archive, or starts a newer archive with it. Returns whether the part was kept.
    fn store_part(&mut self, now: Uptime, part: ConfigPart, in_force: Generation) -> bool {
        let id = part.archive;
        let usable = id.generation > in_force
            && self.unusable != Some(id)
            && id.length as usize <= MAX_ARCHIVE_BYTES;
        if !usable {
            return false;
        }
        match &mut self.partial {
            Some(partial) if partial.id == id => {
                let continues = partial.bytes.len() == part.offset as usize;
                if continues {
                    partial.bytes.extend_from_slice(&part.bytes);
                    partial.last_part_at = now;
                }
                continues
            }
            // Two archives of one generation must not replace each other's partial archive in turn.
            Some(partial) if id.generation <= partial.id.generation => false,
            _ if part.offset == 0 => {
                self.partial = Some(PartialArchive { id, bytes: part.bytes, last_part_at: now });
                true
            }
            _ => false,
        }
    }

    /// Drops the partial archive if no part has arrived for longer than the longest wait for an answer, or if it is
    /// no longer newer than the configuration in force.
    fn drop_stalled(&mut self, now: Uptime, in_force: Generation) {
        let limit = self.answer.longest_wait();
        self.partial.take_if(|partial| {
            partial.id.generation <= in_force || now >= partial.last_part_at + limit
        });
    }

    fn next_pull(&self, known: Generation) -> ConfigPartPull {
        let whole = self.unusable.map(|id| (id, id.length));
        let partial = self.partial.as_ref().map(|partial| (partial.id, partial.bytes.len() as u32));
        let (archive, offset) = match partial.or(whole) {
            Some((id, offset)) => (Some(id), offset),
            None => (None, 0),
        };
        ConfigPartPull { known, archive, offset }
    }
}
