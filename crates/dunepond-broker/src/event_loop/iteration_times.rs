//! When the events of an iteration arrived, at the earliest.

use dunepond_routing::STALL_THRESHOLD_SECONDS;

#[cfg(test)]
mod tests;

/// The times of the current iteration and the one before, in seconds of the broker's clock.
///
/// An iteration polls and then reads the clock. Of a process that is stopped in between, the poll has looked before the stop: what arrives
/// during the stop is found by the next poll only, although that iteration follows at once. So the clock is read before each poll as well.
pub(super) struct IterationTimes {
    poll_began_at: f64,
    began_at: f64,
    previous_began_at: f64,
    events_since: f64,
}

impl IterationTimes {
    /// Nothing arrived before `at`.
    pub(super) fn new(at: f64) -> Self {
        Self { poll_began_at: at, began_at: at, previous_began_at: at, events_since: at }
    }

    /// The next poll begins.
    pub(super) fn poll_begins(&mut self, now: f64) {
        let stalled_at_poll = self.began_at - self.poll_began_at > STALL_THRESHOLD_SECONDS;
        self.events_since = if stalled_at_poll { self.poll_began_at } else { self.began_at };
        self.poll_began_at = now;
    }

    /// The poll has returned, and an iteration begins.
    pub(super) fn iteration_begins(&mut self, now: f64) {
        self.previous_began_at = std::mem::replace(&mut self.began_at, now);
    }

    pub(super) fn began_at(&self) -> f64 {
        self.began_at
    }

    pub(super) fn previous_began_at(&self) -> f64 {
        self.previous_began_at
    }

    /// No event of this iteration, a signal included, arrived before this time.
    pub(super) fn events_since(&self) -> f64 {
        self.events_since
    }
}
