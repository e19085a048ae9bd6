//! Decides from the streams of one source whether all of them end with an event without a number.
//!
//! Load pattern: streams that end with such an event, of which a damaged or killed target leaves it out in a few; sources
//! of which some sound streams end in another way must not lose those.
//!
//! Owns: how the recent streams ended. Relies on: streams that began here and ended whole.

/// Consecutive streams that show how all of them end.
const MIN_STREAMS: u32 = 8;
/// Consecutive streams after which one that may not be repeated is cut: no other target can show that its end is sound.
const MIN_STREAMS_FOR_CUTS: u32 = 16 * MIN_STREAMS;
/// Factor by which more streams are needed each time that one ended in another way. Sound ones that are cut are few then,
/// however often they end so: one each time that the number of streams has grown by this factor.
const CONTRADICTION_FACTOR: u32 = 4;

/// How the recent streams of a source ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndEvidence {
    /// Consecutive streams that ended with an event without a number.
    streams: u32,
    /// Factor of the streams that are needed.
    factor: u32,
}

impl Default for EndEvidence {
    fn default() -> EndEvidence {
        EndEvidence { streams: 0, factor: 1 }
    }
}

impl EndEvidence {
    /// Returns whether all streams end with an event without a number.
    pub fn is_known(&self, may_repeat: bool) -> bool {
        let required = if may_repeat { MIN_STREAMS } else { MIN_STREAMS_FOR_CUTS };
        self.streams >= required.saturating_mul(self.factor)
    }

    /// Records a stream that ended with an event without a number, or may have ended in another way.
    pub fn record(&mut self, is_unnumbered: bool) {
        match is_unnumbered {
            true => self.streams = self.streams.saturating_add(1),
            false => *self = self.contradicted(),
        }
    }

    /// Returns the evidence before the first stream of another form.
    pub fn anew(&self) -> EndEvidence {
        EndEvidence { streams: 0, ..*self }
    }

    fn contradicted(&self) -> EndEvidence {
        let factor = if self.is_known(true) { CONTRADICTION_FACTOR } else { 1 };
        EndEvidence { streams: 0, factor: self.factor.saturating_mul(factor) }
    }
}
