//! What a simulated load consists of, and what is counted.

use std::time::Duration;

/// Counts over one simulated load.
#[derive(Debug, Default)]
pub struct CrowdCount {
    pub requests: usize,
    /// Harmless requests that were held, and those that were refused.
    pub held: usize,
    pub refused: usize,
    /// Terminations of engines by lethal requests, and for other reasons.
    pub terminations: usize,
    pub other_terminations: usize,
}

impl CrowdCount {
    /// Adds the counts of another load.
    pub fn add(&mut self, other: &CrowdCount) {
        self.requests += other.requests;
        self.held += other.held;
        self.refused += other.refused;
        self.terminations += other.terminations;
        self.other_terminations += other.other_terminations;
    }
}

/// What happens to the engines beside the harmless requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrowdFaults {
    /// Lethal requests that their callers repeat.
    pub lethal_requests: usize,
    /// Time after which these terminate their engine.
    pub lethal_work: Duration,
    /// Share of the new requests that have the lethal part.
    pub lethal_part_share: f64,
    /// Terminations of engines for other reasons.
    pub terminations_per_s: f64,
    /// Events at which a tenth of all connections is reset.
    pub resets_per_s: f64,
}
