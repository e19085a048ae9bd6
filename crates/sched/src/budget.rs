//! Bounds retries to a share of the requests, so that retries cannot multiply an overload.

/// How many retries a daemon may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryLimits {
    /// Retries allowed for each hundred requests.
    pub percent: u64,
    /// Retries that all daemons together may save up.
    pub saved: u64,
    /// Whether `saved` is divided among the daemons.
    pub shared: bool,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { percent: 10, saved: 20, shared: false }
    }
}

/// Daemons that share a budget where fewer are known, since others may not be known yet.
const LEAST_DAEMONS: u64 = 4;
/// A daemon that restarts has a full budget again; each has only this part of its share.
const RESTART_PARTS: u64 = 2;

impl RetryLimits {
    /// What one of so many daemons may save up, in hundredths of a retry.
    fn saved_hundredths(&self, daemons: u64) -> u64 {
        match self.shared {
            true => self.saved * 100 / (daemons.max(LEAST_DAEMONS) * RESTART_PARTS),
            false => self.saved * 100,
        }
    }
}

/// Grows with each request and shrinks with each retry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    limits: RetryLimits,
    limit: u64,
    hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryLimits::default(), 1)
    }
}

impl RetryBudget {
    /// A full budget of one of so many daemons.
    pub fn new(limits: RetryLimits, daemons: u64) -> RetryBudget {
        let limit = limits.saved_hundredths(daemons);
        RetryBudget { limits, limit, hundredths: limit }
    }

    /// The number of daemons has changed.
    pub fn set_daemons(&mut self, daemons: u64) {
        self.limit = self.limits.saved_hundredths(daemons);
        self.hundredths = self.hundredths.min(self.limit);
    }

    /// Counts a new request.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + self.limits.percent).min(self.limit);
    }

    /// Takes one retry out if there is one.
    pub fn spend(&mut self) -> bool {
        match self.hundredths.checked_sub(100) {
            Some(rest) => {
                self.hundredths = rest;
                true
            }
            None => false,
        }
    }
}
