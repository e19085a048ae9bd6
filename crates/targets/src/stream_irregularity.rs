//! Finds numbers of events that do not rise within one answer, and numbers that leave out others.
//!
//! Owns: the order of the numbers of one answer. Relies on: nothing.

/// What is irregular about a number within one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IrregularityKind {
    /// It is not higher than the one before.
    Fell,
    /// It leaves out others in a stream whose numbers rose by one so far.
    Gap,
    /// It rises behind one that fell, but the event counts as seen and is left out.
    LeftOut,
}

impl IrregularityKind {
    /// All kinds.
    pub const ALL: [IrregularityKind; 3] =
        [IrregularityKind::Fell, IrregularityKind::Gap, IrregularityKind::LeftOut];

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            IrregularityKind::Fell => "fell",
            IrregularityKind::Gap => "gap",
            IrregularityKind::LeftOut => "left_out",
        }
    }
}

/// A number that is irregular within one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamIrregularity {
    /// What is irregular about it.
    pub kind: IrregularityKind,
    /// Number of the event before it in this answer.
    pub last: u64,
    /// The number.
    pub number: u64,
}

/// The order of the numbers of one answer.
#[derive(Debug, Default)]
pub struct AnswerOrder {
    first: Option<u64>,
    last: Option<u64>,
    has_fallen: bool,
    /// Kinds that were found, each at most once.
    found: Vec<IrregularityKind>,
    /// What was found and not taken yet.
    irregularities: Vec<StreamIrregularity>,
}

impl AnswerOrder {
    /// Returns the latest number.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an answer that goes on with this number begins again, as it may once: with its first one, or where
    /// the answer is a continuation, with one before it.
    pub fn may_start_over(&self, number: u64) -> bool {
        !self.has_fallen
            && self.first.is_some_and(|first| number <= first)
            && self.last > self.first
    }

    /// Records the number of the next event. `position` is the highest number of the stream so far.
    pub fn record(&mut self, number: u64, position: Option<u64>, rises_by_one: bool) {
        let Some(last) = self.last.replace(number) else {
            self.first = Some(number);
            return;
        };
        let kind = if number <= last {
            self.has_fallen = true;
            IrregularityKind::Fell
        } else if self.has_fallen && position.is_some_and(|position| number <= position) {
            IrregularityKind::LeftOut
        } else if number - last > 1 && rises_by_one {
            IrregularityKind::Gap
        } else {
            return;
        };
        if !self.found.contains(&kind) {
            self.found.push(kind);
            self.irregularities.push(StreamIrregularity { kind, last, number });
        }
    }

    /// Returns what was found, each kind once.
    pub fn take_irregularities(&mut self) -> Vec<StreamIrregularity> {
        std::mem::take(&mut self.irregularities)
    }
}
