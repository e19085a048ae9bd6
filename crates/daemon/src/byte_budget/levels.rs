//! Owners of the bytes that are held, and the levels of pressure with their marks.
//!
//! Owns: codes for metrics and log lines, which are stable, and the marks. Relies on: nothing.

/// Share of the budget from which on bodies of the lowest tier wait. Below it a third of the budget is free for bodies
/// and answers that have begun, and no other request is delayed.
pub const PAUSE_PERCENT: u64 = 60;
/// Share of the budget that no large body may lead beyond: what is left is for answers, whose work has been done.
pub const REFUSE_PERCENT: u64 = 75;
/// Share of the budget from which on the slowest reader loses its connection. The last tenth holds what arrives until
/// its memory is free.
pub const END_PERCENT: u64 = 90;
/// Share of the budget by which a level's mark must be undercut before the level is left.
pub const RETURN_PERCENT: u64 = 5;
/// For whom bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteOwner {
    /// Buffers of callers' connections.
    Connection,
    /// State of requests in progress.
    Request,
    /// Bodies of callers, read or promised to be read.
    Body,
    /// Answers that are buffered, or whose parts wait for the caller's connection.
    Answer,
    /// Bytes that callers' connections could not pass to the kernel.
    Unread,
    /// Connections to targets that are made for peers.
    Relay,
}

impl ByteOwner {
    /// All owners in a fixed order.
    pub const ALL: [ByteOwner; 6] = [
        ByteOwner::Connection,
        ByteOwner::Request,
        ByteOwner::Body,
        ByteOwner::Answer,
        ByteOwner::Unread,
        ByteOwner::Relay,
    ];

    /// Returns the code for metrics.
    pub fn code(self) -> &'static str {
        match self {
            ByteOwner::Connection => "connection",
            ByteOwner::Request => "request",
            ByteOwner::Body => "body",
            ByteOwner::Answer => "answer",
            ByteOwner::Unread => "unread",
            ByteOwner::Relay => "relay",
        }
    }
}

/// How near what is held is to the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureLevel {
    /// No request is affected.
    #[default]
    Calm,
    /// Bodies of the lowest tier wait.
    Pausing,
    /// Large bodies are refused.
    Refusing,
    /// The slowest readers lose their connections.
    Ending,
}

impl PressureLevel {
    /// Returns the code for log lines.
    pub fn code(self) -> &'static str {
        match self {
            PressureLevel::Calm => "calm",
            PressureLevel::Pausing => "pausing",
            PressureLevel::Refusing => "refusing",
            PressureLevel::Ending => "ending",
        }
    }

    /// Returns the share of the budget from which on the level holds.
    pub(super) fn mark_percent(self) -> u64 {
        match self {
            PressureLevel::Calm => 0,
            PressureLevel::Pausing => PAUSE_PERCENT,
            PressureLevel::Refusing => REFUSE_PERCENT,
            PressureLevel::Ending => END_PERCENT,
        }
    }
}
