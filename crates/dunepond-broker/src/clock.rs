//! A monotonic clock that returns Unix times, in which the endpoint list also states start times, and the event
//! loop's timers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock whose Unix time is read from the system once, at the start, and continued by a monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_at_start: f64,
}

impl Clock {
    /// Creates a clock that starts at the system's current Unix time.
    pub fn start() -> Self {
        let unix_at_start =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        Self { started_at: Instant::now(), unix_at_start }
    }

    /// Returns the Unix time in seconds; never goes back.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// Returns the Unix time of `moment` in seconds; `moment` may be before the clock's start.
    pub fn at(&self, moment: Instant) -> f64 {
        let before = self.started_at.saturating_duration_since(moment);
        self.unix_at_start + moment.saturating_duration_since(self.started_at).as_secs_f64()
            - before.as_secs_f64()
    }
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimerEvent {
    /// The router is to be called, at the time that it asked for.
    RouterWake,
    /// The deadline of the query with this id has passed.
    QueryDeadline(u64),
    /// A time limit of the connection to a node with this index has passed.
    UpstreamConnection(usize),
    /// A time limit of the prefilter connection with this index has passed.
    PrefilterConnection(usize),
    /// The time limit for the prefilter responses of a query has passed.
    Prefilter,
    /// A snapshot of the learned state is due.
    Snapshot,
    /// A background job may run.
    BackgroundJob,
    /// A time limit of the client connection with this index has passed.
    ClientTimeout(usize),
    /// Reading from the client connection with this index resumes after a pause.
    ClientResume(usize),
    /// A discovery response is overdue, or the pause between two requests is over.
    Discovery,
    /// Accepting connections resumes after a pause.
    ResumeAccept,
    /// Discovery has not delivered a first endpoint list in time after the broker's start.
    FirstListTimeout,
    /// The next stage of the shutdown is due.
    ShutdownStage,
    /// The progress of streamed bodies and of their disk spill is to be checked.
    BodyCheck,
    /// The counters are to be logged.
    Counters,
}

/// Identifies a scheduled timer. Keys are ordered by time, and keys of the same time in the order of scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// Unix time in microseconds.
    micros: u64,
    /// Position in the order of scheduling.
    sequence: u64,
}

impl TimerKey {
    /// Whether the timer is scheduled for an earlier time than `at`, in Unix seconds.
    pub fn is_before(self, at: f64) -> bool {
        self.micros < to_micros(at)
    }
}

/// The timers that are handled together: those that are due at one time and were scheduled before the pass began. A timer that is
/// scheduled during the pass waits for the next one even if it is due, so that timers which schedule others do not keep the
/// event loop from its other events.
#[derive(Clone, Copy, Debug)]
pub struct TimerPass {
    /// The last key that a timer of the pass can have.
    last: TimerKey,
}

/// The event loop's timers in order of time. Used instead of calloop's timers, in which cancelling one scans all of them.
#[derive(Default)]
pub struct Timers {
    pending: BTreeMap<TimerKey, TimerEvent>,
    last_sequence: u64,
}

impl Timers {
    /// Schedules an event for the Unix time `at` in seconds. Events at the same time are due in the order of scheduling.
    pub fn schedule(&mut self, at: f64, event: TimerEvent) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey { micros: to_micros(at.max(0.0)), sequence: self.last_sequence };
        self.pending.insert(key, event);
        key
    }

    /// Cancels a timer; does nothing if it has fired or is `None`.
    pub fn cancel(&mut self, key: Option<TimerKey>) {
        if let Some(key) = key {
            self.pending.remove(&key);
        }
    }

    /// Returns the time until the earliest timer; `None` if there is none.
    pub fn until_next(&self, now: f64) -> Option<Duration> {
        let (first, _) = self.pending.first_key_value()?;
        Some(Duration::from_micros(first.micros.saturating_sub(to_micros(now))))
    }

    /// Begins a pass over the timers that are due at `now`, in Unix seconds.
    pub fn begin_pass(&self, now: f64) -> TimerPass {
        TimerPass { last: TimerKey { micros: to_micros(now), sequence: self.last_sequence } }
    }

    /// Removes and returns the earliest event that is left of a pass; `None` at its end.
    pub fn pop_due(&mut self, pass: TimerPass) -> Option<TimerEvent> {
        let mut due = self.pending.range(..=pass.last).map(|(key, _)| *key);
        let key = due.find(|key| key.sequence <= pass.last.sequence)?;
        self.pending.remove(&key)
    }
}

/// Whether the timer with this key is due at `now`, in Unix seconds.
pub fn is_due(key: TimerKey, now: f64) -> bool {
    key.micros <= to_micros(now)
}

fn to_micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

#[cfg(test)]
mod tests;
