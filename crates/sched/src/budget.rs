//! Bounds retries to a share of the requests, so that retries cannot multiply an overload.

/// Retries allowed for each hundred requests.
const RETRY_PERCENT: u64 = 10;
/// Retries that may be saved up, in hundredths.
const SAVED_LIMIT: u64 = 2_000;

/// Grows with each request and shrinks with each retry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { hundredths: SAVED_LIMIT }
    }
}

impl RetryBudget {
    /// Counts a new request.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + RETRY_PERCENT).min(SAVED_LIMIT);
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
