//! Fetching a newer configuration from peers.
//!
//! A configuration comes in parts of bounded length, of which one is asked for at a time, so that
//! neither a slow link nor a sender's memory holds more than one part for each daemon. A part that is
//! lost is asked for again, of whichever peer next says that it has the configuration. A beginning that
//! does not grow, since whoever has the rest of it is gone, makes room for what the others have.
//!
//! Owns: the parts that have come so far. Relies on: peers that name equal archives equally.

use curlewcleat_config::ARCHIVE_LIMIT;
use curlewcleat_core::{ArchiveId, ConfigPart, ConfigPartPull, Generation, Uptime};

use crate::awaited_answer::AwaitedAnswer;

/// What a part led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// It was not needed.
    Unused,
    /// It was kept; its sender is asked for the next one.
    Next(ConfigPartPull),
    /// It was the last one; here is the whole archive.
    Whole(ArchiveId, Vec<u8>),
}

/// The beginning of an archive.
#[derive(Clone, Debug)]
struct PartialArchive {
    id: ArchiveId,
    bytes: Vec<u8>,
    /// When the latest part came.
    last_part_at: Uptime,
}

/// A configuration on its way to this daemon.
#[derive(Clone, Debug, Default)]
pub struct ConfigPull {
    answer: AwaitedAnswer,
    partial: Option<PartialArchive>,
    /// The latest archive that could not be used here. A pull says that it is here whole, so that peers
    /// send no part of it again.
    unusable: Option<ArchiveId>,
}

impl ConfigPull {
    /// A peer has a configuration of this generation. Returns what to ask it for, `None` where there is
    /// nothing new or an answer is on its way.
    pub fn offered(
        &mut self,
        now: Uptime,
        offered: Generation,
        in_force: Generation,
    ) -> Option<ConfigPartPull> {
        self.drop_stalled(now, in_force);
        // A peer that is behind what has begun has no part of it.
        let least = self.partial.as_ref().map_or(in_force + 1, |partial| partial.id.generation);
        (offered >= least && self.answer.begin(now)).then(|| self.next_pull(in_force))
    }

    /// Whether a part is awaited, or some have come and more are missing.
    pub fn is_under_way(&self) -> bool {
        self.partial.is_some() || self.answer.is_awaited()
    }

    /// Takes a part that a peer has sent.
    pub fn part_received(
        &mut self,
        now: Uptime,
        part: ConfigPart,
        in_force: Generation,
    ) -> PartOutcome {
        if part.bytes.is_empty() {
            // Another peer may have time for this daemon sooner.
            self.answer.answered();
            return PartOutcome::Unused;
        }
        if !self.keep(now, part, in_force) {
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

    /// A configuration is in force, wherever it came from; what was asked for before is not needed.
    pub fn config_applied(&mut self) {
        self.answer.answered();
    }

    /// An archive that has come whole cannot be used by this daemon.
    pub fn reject(&mut self, archive: ArchiveId) {
        self.unusable = Some(archive);
    }

    /// Appends a part that continues what is here, or begins a newer archive.
    fn keep(&mut self, now: Uptime, part: ConfigPart, in_force: Generation) -> bool {
        let id = part.archive;
        let usable = id.generation > in_force
            && self.unusable != Some(id)
            && id.length as usize <= ARCHIVE_LIMIT;
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
            // Two archives of one generation must not throw each other's beginning away in turn.
            Some(partial) if id.generation <= partial.id.generation => false,
            _ if part.offset == 0 => {
                self.partial = Some(PartialArchive { id, bytes: part.bytes, last_part_at: now });
                true
            }
            _ => false,
        }
    }

    /// A beginning is given up when no part has come for longer than an answer is waited for, or when it
    /// is no longer newer than what is in force.
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
