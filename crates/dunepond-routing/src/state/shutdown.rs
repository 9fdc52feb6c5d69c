//! The instants of a shutdown in progress.

/// A shutdown in progress: the earliest instant at which SIGTERM may have arrived, and the time until the last
/// answers are due. The exact instant of the signal is not known, because signals are checked for at intervals.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Earliest instant at which the signal may have arrived, in seconds on the transport's clock.
    pub(crate) signalled_at: f64,
    /// Seconds from `signalled_at` to the instant at which the last answers are due.
    pub(crate) last_answers_after: f64,
}
