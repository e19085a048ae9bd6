//! Statistics for the comparison of two groups of answers.
//!
//! Owns: nothing; pure functions. Relies on: nothing.

/// Returns the median of some values (the upper one of two in the middle), `None` if there are none.
pub fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[values.len() / 2])
}

/// Returns the mean and the standard deviation of some values, `None` if there are none.
pub fn mean_and_deviation(values: &[f64]) -> Option<(f64, f64)> {
    if values.is_empty() {
        return None;
    }
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    Some((mean, (squares / count).sqrt()))
}

/// Returns the probability of at least `hits` successes in `all` independent trials that each succeed with
/// `probability`.
pub fn binomial_tail(all: u64, hits: u64, probability: f64) -> f64 {
    if hits == 0 {
        return 1.0;
    }
    if hits > all || probability <= 0.0 {
        return 0.0;
    }
    if probability >= 1.0 {
        return 1.0;
    }
    let odds = (probability / (1.0 - probability)).ln();
    let mut term = all as f64 * (1.0 - probability).ln();
    let mut tail = 0.0;
    for index in 0..=all {
        if index >= hits {
            tail += term.exp();
        }
        term += ((all - index) as f64 / (index + 1) as f64).ln() + odds;
    }
    tail.min(1.0)
}
