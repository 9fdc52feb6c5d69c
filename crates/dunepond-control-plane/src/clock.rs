//! The two clocks of the control plane: the monotonic clock, which is never set back and keeps counting while the
//! machine is suspended, and the Unix clock.

use rustix::time::{ClockId, clock_gettime};

/// Seconds since the machine booted, including the time for which it was suspended. All leases are timed by this clock:
/// a clock that stops during suspension would keep a lease valid after its expiry.
pub fn monotonic_seconds() -> f64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Seconds since the Unix epoch, for records that people or other brokers read. Leases must not be timed by this clock,
/// as it can be set back.
pub fn unix_seconds() -> f64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0.0, |duration| duration.as_secs_f64())
}
