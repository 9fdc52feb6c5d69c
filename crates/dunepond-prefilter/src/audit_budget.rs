//! Limits audits, which search a pruned segment to check its denials, to a configured ratio of the pruned segments.

#[cfg(test)]
mod tests;

/// Budget of audits. Each pruned segment adds a fraction of an audit to the budget, and each audit takes one from it.
pub struct AuditBudget {
    /// Audits added for each pruned segment.
    ratio: f64,
    /// Maximum number of audits that the budget accumulates. Without a maximum, a burst of audits after an hour without
    /// any would load the nodes noticeably.
    max: f64,
    /// Number of audits that may be taken now. Fractions add up; an audit can be taken only if this is at least 1.
    available: f64,
}

impl AuditBudget {
    /// Creates an empty budget that gains `ratio` audits for each pruned segment and accumulates at most `max`.
    pub fn new(ratio: f64, max: f64) -> Self {
        Self { ratio, max, available: 0.0 }
    }

    /// Sets the number of audits added for each pruned segment.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds the audits for `pruned_segments` segments, up to the maximum.
    pub fn deposit(&mut self, pruned_segments: usize) {
        self.available = (self.available + self.ratio * pruned_segments as f64).min(self.max);
    }

    /// Takes one audit from the budget. Returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let has_one = self.available >= 1.0;
        if has_one {
            self.available -= 1.0;
        }
        has_one
    }
}
