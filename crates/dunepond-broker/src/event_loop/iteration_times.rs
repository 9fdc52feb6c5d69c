//! Determines the earliest time at which the events of an iteration can have arrived.

use dunepond_routing::STALL_THRESHOLD_SECONDS;

#[cfg(test)]
mod tests;

/// The times of the current and the previous iteration, in seconds of the broker's clock.
///
/// An iteration polls for events and then reads the clock. If the process is stopped between the two, events that
/// arrive during the stop are found only by the next poll, and the clock reading after the stop is too late to be their
/// earliest arrival time. So the clock is read before each poll as well.
pub(super) struct IterationTimes {
    /// When the latest poll began.
    poll_began_at: f64,
    /// When the current iteration began, which is right after its poll.
    began_at: f64,
    /// When the previous iteration began.
    previous_began_at: f64,
    /// The earliest time at which an event of the current iteration can have arrived.
    earliest_arrival: f64,
}

impl IterationTimes {
    /// Creates the times before the first iteration; no event has arrived before `at`.
    pub(super) fn new(at: f64) -> Self {
        Self { poll_began_at: at, began_at: at, previous_began_at: at, earliest_arrival: at }
    }

    /// Records that the next poll begins at `now`.
    pub(super) fn record_poll_start(&mut self, now: f64) {
        let stalled_at_poll = self.began_at - self.poll_began_at > STALL_THRESHOLD_SECONDS;
        self.earliest_arrival = if stalled_at_poll { self.poll_began_at } else { self.began_at };
        self.poll_began_at = now;
    }

    /// Records that the poll has returned, and that an iteration begins at `now`.
    pub(super) fn record_iteration_start(&mut self, now: f64) {
        self.previous_began_at = std::mem::replace(&mut self.began_at, now);
    }

    /// When the current iteration began.
    pub(super) fn began_at(&self) -> f64 {
        self.began_at
    }

    /// When the previous iteration began.
    pub(super) fn previous_began_at(&self) -> f64 {
        self.previous_began_at
    }

    /// The earliest time at which an event of the current iteration, including a signal, can have arrived.
    pub(super) fn earliest_arrival(&self) -> f64 {
        self.earliest_arrival
    }
}
