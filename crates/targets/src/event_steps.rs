//! Tracks by how much the numbers of a stream rise.
//!
//! Owns: the step between two numbers. Relies on: numbers that rise.

/// Steps of one after which a continuation has to follow by one as well.
const MIN_STEPS_OF_ONE: u32 = 2;

/// The steps by which the numbers of a stream have risen within its answers.
#[derive(Debug, Default)]
pub struct NumberSteps {
    /// The first number of the stream, `None` where an earlier answer began it.
    first: Option<u64>,
    /// The latest step, `None` before the first one.
    step: Option<u64>,
    /// Number of steps of this size.
    count: u32,
    is_varying: bool,
}

impl NumberSteps {
    /// Records the first number of a stream.
    pub fn begin(&mut self, first: u64) {
        self.first = Some(first);
    }

    /// Records a step.
    pub fn record(&mut self, step: u64) {
        self.is_varying |= self.step.is_some_and(|known| known != step);
        self.step = Some(step);
        self.count += 1;
    }

    /// Records that a number left out others that events without a number may stand for.
    pub fn record_varying(&mut self) {
        self.is_varying = true;
    }

    /// Returns whether steps of several sizes were seen, so that a step tells nothing.
    pub fn is_varying(&self) -> bool {
        self.is_varying
    }

    /// Returns whether no step is known.
    pub fn is_unknown(&self) -> bool {
        self.step.is_none() && !self.is_varying
    }

    /// Returns whether a step is of the size of all others. If there are none, it is of one, or of the first number, with
    /// which a stream begins that counts in wider steps.
    pub fn expects(&self, step: u64) -> bool {
        !self.is_varying
            && match self.step {
                Some(known) => step == known,
                None => step == 1 || self.first == Some(step),
            }
    }

    /// Returns whether the numbers have risen by one often enough that a continuation has to do so.
    pub fn rise_by_one(&self) -> bool {
        self.count >= MIN_STEPS_OF_ONE && self.expects(1)
    }
}
