//! The times of a shutdown under way.

/// A shutdown under way: when the signal may have come, and when the last answers are due.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Earliest instant at which the signal may have come.
    pub(crate) signalled_at: f64,
    /// Seconds from then to the last answers.
    pub(crate) last_answers_after: f64,
}
