//! Learns how fast a target streams, from the streams that it has completed.
//!
//! Inputs: for each complete stream the time to its first part, the time of the rest, its number of parts
//! and its longest pause, and its estimated work in microseconds. The rule: times are learned as ratios to
//! the estimated work, in exponentially weighted means. A new target is assumed to be as fast as its pool.
//! The estimate of an idle target decays towards that of its pool; otherwise a bad estimate would keep
//! requests away, and no further stream could correct it.
//!
//! Owns: the means of one target or pool. Relies on: entry daemons that report complete streams.

use std::time::Duration;

use curlewcleat_core::{StreamTiming, Uptime, WorkMicros};

use crate::decaying_ratio::DecayingRatio;

/// A stream has a weight of one in this many in the learned pace of its target.
const TARGET_WEIGHT: u64 = 8;
/// A stream has a weight of one in this many in the pace of its pool, which new targets begin with.
const POOL_WEIGHT: u64 = 64;
/// Half-life of the longest pause.
const PAUSE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Work in microseconds that is added to the work of each prompt's tokens, so that short prompts do not appear slow.
const PROMPT_BASE: WorkMicros = 50_000;

/// Learned streaming speed of a target, or of a whole pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamPace {
    /// Microseconds to the first part, per estimated prompt work.
    first_part_time: DecayingRatio,
    /// Microseconds per further part.
    part_time: DecayingRatio,
    /// Number of parts, per estimated output work.
    parts_per_work: DecayingRatio,
    /// Longest recent pause, and when it was reported.
    longest: (Duration, Uptime),
    /// A stream has a weight of one in this many.
    weight: u64,
}

impl StreamPace {
    /// Returns the pace of a pool about which nothing is known yet.
    pub fn of_pool() -> StreamPace {
        StreamPace {
            first_part_time: DecayingRatio::default(),
            part_time: DecayingRatio::default(),
            parts_per_work: DecayingRatio::default(),
            longest: (Duration::ZERO, Duration::ZERO),
            weight: POOL_WEIGHT,
        }
    }

    /// Returns the pace that is assumed of a new target in a pool with this pace.
    pub fn of_new_target(&self) -> StreamPace {
        let scaled = |ratio: DecayingRatio| DecayingRatio {
            numerator: ratio.numerator * TARGET_WEIGHT / POOL_WEIGHT,
            denominator: ratio.denominator * TARGET_WEIGHT / POOL_WEIGHT,
        };
        StreamPace {
            first_part_time: scaled(self.first_part_time),
            part_time: scaled(self.part_time),
            parts_per_work: scaled(self.parts_per_work),
            longest: (Duration::ZERO, Duration::ZERO),
            weight: TARGET_WEIGHT,
        }
    }

    /// Learns from a complete stream of a request with this estimated work.
    pub fn learn(
        &mut self,
        now: Uptime,
        prompt: WorkMicros,
        output: WorkMicros,
        timing: &StreamTiming,
    ) {
        let micros = |time: Duration| time.as_micros() as u64;
        self.first_part_time.add_sample(micros(timing.first), prompt + PROMPT_BASE, self.weight);
        if timing.parts > 1 {
            self.part_time.add_sample(
                micros(timing.rest),
                u64::from(timing.parts - 1),
                self.weight,
            );
        }
        self.parts_per_work.add_sample(u64::from(timing.parts), output, self.weight);
        if timing.pause >= self.longest_pause(now) {
            self.longest = (timing.pause, now);
        }
    }

    /// Moves the estimate of an idle target towards that of its pool.
    pub fn fade_towards(&mut self, pool: &StreamPace) {
        let new_target = pool.of_new_target();
        self.first_part_time.approach(new_target.first_part_time, TARGET_WEIGHT);
        self.part_time.approach(new_target.part_time, TARGET_WEIGHT);
    }

    /// Returns the estimated time until the first part, `None` while nothing is known.
    pub fn prompt_time(&self, prompt: WorkMicros) -> Option<WorkMicros> {
        self.first_part_time.scale(prompt + PROMPT_BASE)
    }

    /// Returns the estimated time from the first part to the end, `None` while nothing is known. The number
    /// of parts is estimated from `pool`.
    pub fn output_time(&self, output: WorkMicros, pool: &StreamPace) -> Option<WorkMicros> {
        self.part_time.scale(pool.parts_per_work.scale(output)?)
    }

    /// Returns the longest recent pause, halved for each [`PAUSE_HALF_LIFE`] since it was reported.
    pub fn longest_pause(&self, now: Uptime) -> Duration {
        let (pause, reported) = self.longest;
        let halvings = now.saturating_sub(reported).as_millis() / PAUSE_HALF_LIFE.as_millis();
        pause / (1u32 << halvings.min(16) as u32)
    }
}
