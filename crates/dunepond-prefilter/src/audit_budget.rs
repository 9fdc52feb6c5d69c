//! How many audits may be made: a part of what is pruned, and none beyond it.

#[cfg(test)]
mod tests;

/// A budget that pruned segments earn.
pub struct AuditBudget {
    ratio: f64,
    /// A burst of audits after a quiet hour would be a load of its own.
    max: f64,
    available: f64,
}

impl AuditBudget {
    /// `ratio` audits for each pruned segment, at most `max` saved up.
    pub fn new(ratio: f64, max: f64) -> Self {
        Self { ratio, max, available: 0.0 }
    }

    /// Sets the ratio.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds what pruned segments earn.
    pub fn earn(&mut self, pruned_segments: usize) {
        self.available = (self.available + self.ratio * pruned_segments as f64).min(self.max);
    }

    /// Takes one audit, if there is one.
    pub fn try_take(&mut self) -> bool {
        let has_one = self.available >= 1.0;
        if has_one {
            self.available -= 1.0;
        }
        has_one
    }
}
