//! Asks a target whether it outlives an answer that has ended with its connection.
//!
//! The system closes the connections of a process that terminates in the same way as a target that has sent its whole
//! answer. What distinguishes both is an answer that the target makes afterwards. A new connection alone does not: the
//! system may accept it while it still closes the others.
//!
//! Owns: what an answer to the question means. Relies on: [`StatusQueries`](super::status_queries::StatusQueries), which ask.

/// What a target did after the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetLiveness {
    /// It answered a request that was sent after the end.
    Alive,
    /// Another instance answered at its address.
    Replaced,
    /// It accepted no connection, several times.
    Unreachable,
    /// It did not answer within the limit.
    Unresponsive,
    /// It may not be asked: its data centre is evacuated, or a request that it turns away may terminate it.
    NotAsked,
}

impl TargetLiveness {
    /// All values.
    pub const ALL: [TargetLiveness; 5] = [
        TargetLiveness::Alive,
        TargetLiveness::Replaced,
        TargetLiveness::Unreachable,
        TargetLiveness::Unresponsive,
        TargetLiveness::NotAsked,
    ];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            TargetLiveness::Alive => "alive",
            TargetLiveness::Replaced => "replaced",
            TargetLiveness::Unreachable => "unreachable",
            TargetLiveness::Unresponsive => "unresponsive",
            TargetLiveness::NotAsked => "not_asked",
        }
    }
}
