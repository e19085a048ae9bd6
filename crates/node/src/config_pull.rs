//! Fetching a newer configuration from peers.
//!
//! A configuration comes in parts of bounded length, of which one is asked for at a time, so that
//! neither a slow link nor a sender's memory holds more than one part for each daemon. A part that is
//! lost is asked for again, of whichever peer next says that it has the configuration.
//!
//! Owns: the parts that have come so far. Relies on: peers that name equal archives equally.

use curlewcleat_core::{ArchiveId, ConfigPart, ConfigPartPull, Generation, Uptime};

use crate::open_pull::OpenPull;

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

/// A configuration on its way to this daemon.
#[derive(Clone, Debug, Default)]
pub struct ConfigPull {
    open: OpenPull,
    /// What has the beginning here, and that beginning.
    archive: Option<(ArchiveId, Vec<u8>)>,
    /// The newest generation that cannot be used here; it is not asked for again.
    rejected: Generation,
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
        let is_new = offered > in_force && offered > self.rejected;
        (is_new && self.open.begin(now)).then(|| self.next_pull(in_force))
    }

    /// Takes a part that a peer has sent.
    pub fn part_received(
        &mut self,
        now: Uptime,
        part: ConfigPart,
        in_force: Generation,
    ) -> PartOutcome {
        if !self.keep(part, in_force) {
            return PartOutcome::Unused;
        }
        self.open.answered();
        match self.archive.take() {
            Some((id, bytes)) if bytes.len() >= id.length as usize => PartOutcome::Whole(id, bytes),
            unfinished => {
                self.archive = unfinished;
                self.open.begin(now);
                PartOutcome::Next(self.next_pull(in_force))
            }
        }
    }

    /// A configuration cannot be used by this daemon, whoever sends it.
    pub fn reject(&mut self, generation: Generation) {
        self.rejected = self.rejected.max(generation);
    }

    /// Appends a part that continues what is here, or begins a newer archive.
    fn keep(&mut self, part: ConfigPart, in_force: Generation) -> bool {
        let generation = part.archive.generation;
        if generation <= in_force || generation <= self.rejected || part.bytes.is_empty() {
            return false;
        }
        match &mut self.archive {
            Some((id, bytes)) if *id == part.archive => {
                let continues = bytes.len() == part.offset as usize;
                if continues {
                    bytes.extend_from_slice(&part.bytes);
                }
                continues
            }
            Some((id, _)) if generation < id.generation => false,
            _ if part.offset == 0 => {
                self.archive = Some((part.archive, part.bytes));
                true
            }
            _ => false,
        }
    }

    fn next_pull(&self, known: Generation) -> ConfigPartPull {
        match &self.archive {
            Some((id, bytes)) if id.generation > known => {
                ConfigPartPull { known, archive: Some(*id), offset: bytes.len() as u32 }
            }
            _ => ConfigPartPull { known, archive: None, offset: 0 },
        }
    }
}
