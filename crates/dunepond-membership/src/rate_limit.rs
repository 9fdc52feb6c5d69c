//! Limits on the number of messages per second from each sender.

use std::collections::BTreeMap;

/// Time since the start of a sender's window after which the window is removed, in seconds. Such windows are removed
/// only when another sender is added.
const RETENTION_SECONDS: f64 = 60.0;
const WINDOW_SECONDS: f64 = 1.0;

/// The messages of one sender since the start of its current window.
struct Window {
    /// Time of the window's first message, in seconds on the core's clock.
    start: f64,
    count: u32,
}

/// Counts messages by the sender's name, in windows of one second. Callers pass verified names only, so that there are
/// no more entries than members.
#[derive(Default)]
pub struct RateLimiter {
    windows: BTreeMap<String, Window>,
}

impl RateLimiter {
    /// Counts a message. Returns `false` if `name` has sent more than `max_per_second` within its current window.
    pub fn admit(&mut self, name: &str, max_per_second: u32, now: f64) -> bool {
        if !self.windows.contains_key(name) {
            self.windows.retain(|_, window| now - window.start < RETENTION_SECONDS);
            self.windows.insert(name.into(), Window { start: now, count: 0 });
        }
        let Some(window) = self.windows.get_mut(name) else { return false };
        if now - window.start >= WINDOW_SECONDS {
            *window = Window { start: now, count: 0 };
        }
        window.count = window.count.saturating_add(1);
        window.count <= max_per_second
    }
}
