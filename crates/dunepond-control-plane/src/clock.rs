//! Clocks. The monotonic clock counts seconds since the machine's start, suspended or not, and is never set back.

use rustix::time::{ClockId, clock_gettime};

/// Seconds on the monotonic clock, by which all leases are counted. A clock that stands still while the machine is suspended
/// would let a lease outlast its end.
pub fn monotonic_seconds() -> f64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Unix seconds: for records that people or other brokers read, never for leases.
pub fn unix_seconds() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |since| since.as_secs_f64())
}
