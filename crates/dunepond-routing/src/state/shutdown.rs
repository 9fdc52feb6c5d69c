//! The instants of a shutdown in progress.

/// A shutdown in progress: when the signal may have arrived, and when the last answers are due.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Earliest instant at which the signal may have arrived, in seconds on the transport's clock.
    pub(crate) signalled_at: f64,
    /// Seconds from that instant to the last answers.
    pub(crate) last_answers_after: f64,
}
