//! The steady clock of the fleet: seconds since the machine's start, asleep or not, never set back.

use rustix::time::{ClockId, clock_gettime};

/// All leases are counted on this clock. A clock that stood still while the machine slept would let a lease outlast its
/// end.
pub fn monotonic_seconds() -> f64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Unix seconds, for people only.
pub fn unix_seconds() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |since| since.as_secs_f64())
}
