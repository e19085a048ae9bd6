//! How fast a target streams, learned from the streams that passed through.

use std::time::Duration;

use curlewcleat_core::{StreamTiming, Uptime, WorkMicros};

/// A stream weighs one in this many in the learned pace of its target.
const TARGET_WEIGHT: u64 = 8;
/// A stream weighs one in this many in the pace that is assumed of new targets.
const POOL_WEIGHT: u64 = 64;
/// Time after which a long pause counts half.
const PAUSE_LIFE: Duration = Duration::from_secs(10);
/// Work that every prompt has besides its tokens, so that short prompts do not look slow.
const PROMPT_BASE: WorkMicros = 50_000;

/// A mean that follows what it is fed; both sums fade alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct FadingRatio {
    above: u64,
    below: u64,
}

impl FadingRatio {
    fn feed(&mut self, above: u64, below: u64, weight: u64) {
        self.above = self.above - self.above / weight + above;
        self.below = self.below - self.below / weight + below;
    }

    fn fade_towards(&mut self, other: FadingRatio) {
        self.above = self.above - self.above / TARGET_WEIGHT + other.above / TARGET_WEIGHT;
        self.below = self.below - self.below / TARGET_WEIGHT + other.below / TARGET_WEIGHT;
    }

    /// `amount` times the ratio, `None` where nothing was fed.
    fn of(&self, amount: u64) -> Option<u64> {
        let scaled = u128::from(amount) * u128::from(self.above);
        let ratio = scaled.checked_div(u128::from(self.below))?;
        Some(u64::try_from(ratio).unwrap_or(u64::MAX))
    }
}

/// Learned pace of a target, or of a whole pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamPace {
    /// Microseconds to the first part by estimated prompt work.
    first: FadingRatio,
    /// Microseconds by part.
    part: FadingRatio,
    /// Parts by estimated output work.
    parts: FadingRatio,
    /// Longest pause lately, and when it was seen.
    pause: (Duration, Uptime),
    weight: u64,
}

impl StreamPace {
    /// The pace of a pool about which nothing is known yet.
    pub fn of_pool() -> StreamPace {
        StreamPace {
            first: FadingRatio::default(),
            part: FadingRatio::default(),
            parts: FadingRatio::default(),
            pause: (Duration::ZERO, Duration::ZERO),
            weight: POOL_WEIGHT,
        }
    }

    /// The pace that is assumed of a new target of a pool with this pace.
    pub fn of_new_target(&self) -> StreamPace {
        let fade = |ratio: FadingRatio| FadingRatio {
            above: ratio.above * TARGET_WEIGHT / POOL_WEIGHT,
            below: ratio.below * TARGET_WEIGHT / POOL_WEIGHT,
        };
        StreamPace {
            first: fade(self.first),
            part: fade(self.part),
            parts: fade(self.parts),
            pause: (Duration::ZERO, Duration::ZERO),
            weight: TARGET_WEIGHT,
        }
    }

    /// Learns from a whole stream of a request with this estimated work.
    pub fn learn(
        &mut self,
        now: Uptime,
        prompt: WorkMicros,
        output: WorkMicros,
        seen: &StreamTiming,
    ) {
        let micros = |time: Duration| time.as_micros() as u64;
        self.first.feed(micros(seen.first), prompt + PROMPT_BASE, self.weight);
        if seen.parts > 1 {
            self.part.feed(micros(seen.rest), u64::from(seen.parts - 1), self.weight);
        }
        self.parts.feed(u64::from(seen.parts), output, self.weight);
        if seen.pause >= self.longest_pause(now) {
            self.pause = (seen.pause, now);
        }
    }

    /// What is believed of an idle target fades towards what holds for its pool.
    pub fn fade_towards(&mut self, pool: &StreamPace) {
        let usual = pool.of_new_target();
        self.first.fade_towards(usual.first);
        self.part.fade_towards(usual.part);
    }

    /// Time that the prompt takes, `None` while nothing is known.
    pub fn prompt_time(&self, prompt: WorkMicros) -> Option<WorkMicros> {
        self.first.of(prompt + PROMPT_BASE)
    }

    /// Time from the first part to the end, `None` while nothing is known. `pool` knows how many parts
    /// an output has.
    pub fn output_time(&self, output: WorkMicros, pool: &StreamPace) -> Option<WorkMicros> {
        self.part.of(pool.parts.of(output)?)
    }

    /// Longest pause that was seen lately.
    pub fn longest_pause(&self, now: Uptime) -> Duration {
        let (pause, seen) = self.pause;
        let halvings = now.saturating_sub(seen).as_millis() / PAUSE_LIFE.as_millis();
        pause / (1u32 << halvings.min(16) as u32)
    }
}
