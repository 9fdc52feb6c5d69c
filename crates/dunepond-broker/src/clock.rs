//! One monotonic clock on Unix time, as the endpoint list's times are, and the event loop's timers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read once at the start and carried on by a clock that is never set back.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        Self { start: Instant::now(), unix }
    }

    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The time of a moment, which may lie before the start.
    pub fn at(&self, moment: Instant) -> f64 {
        let before = self.start.saturating_duration_since(moment);
        self.unix + moment.saturating_duration_since(self.start).as_secs_f64() - before.as_secs_f64()
    }
}

/// What is due at some time, each naming whom it concerns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimerEvent {
    RouterWake,
    QueryDeadline(u64),
    UpstreamConnection(usize),
    PrefilterConnection(usize),
    /// Phase one is over for some query.
    Prefilter,
    /// Another snapshot of what was learned.
    Snapshot,
    /// Background work may go on.
    BackgroundJob,
    ClientTimeout(usize),
    ClientResume(usize),
    Discovery,
    ResumeAccept,
    /// Discovery has not spoken since the start.
    FirstListTimeout,
    ShutdownStage,
    /// What passes and what the disk does is looked over.
    BodyCheck,
    Counters,
}

/// A timer that is set; good for taking it back.
pub type TimerKey = (u64, u64);

/// Kept in order of time: calloop's own timers pass all of them to take one back.
#[derive(Default)]
pub struct Timers {
    set: BTreeMap<TimerKey, TimerEvent>,
    count: u64,
}

impl Timers {
    pub fn set(&mut self, at: f64, due: TimerEvent) -> TimerKey {
        self.count += 1;
        let key = ((at.max(0.0) * 1e6) as u64, self.count);
        self.set.insert(key, due);
        key
    }

    pub fn unset(&mut self, key: Option<TimerKey>) {
        if let Some(key) = key {
            self.set.remove(&key);
        }
    }

    pub fn until_next(&self, now: f64) -> Option<Duration> {
        let (micros, _) = self.set.first_key_value()?.0;
        Some(Duration::from_micros(micros.saturating_sub((now * 1e6) as u64)))
    }

    pub fn pop_due(&mut self, now: f64) -> Option<TimerEvent> {
        let first = self.set.first_entry()?;
        if is_due(*first.key(), now) { Some(first.remove()) } else { None }
    }
}

/// Whether a timer's time has come, rung or not.
pub fn is_due(key: TimerKey, now: f64) -> bool {
    key.0 <= (now * 1e6) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn alarms_ring_in_order_of_time_and_not_once_they_are_taken_back() {
        let mut timers = Timers::default();
        timers.set(3.0, TimerEvent::Discovery);
        let taken_back = timers.set(1.0, TimerEvent::RouterWake);
        timers.set(2.0, TimerEvent::ResumeAccept);
        timers.unset(Some(taken_back));
        assert_eq!(timers.until_next(1.5), Some(Duration::from_millis(500)));
        assert_eq!(timers.pop_due(1.9), None);
        assert_eq!(
            (timers.pop_due(9.0), timers.pop_due(9.0)),
            (Some(TimerEvent::ResumeAccept), Some(TimerEvent::Discovery))
        );
        assert_eq!(timers.until_next(9.0), None);
    }
}
