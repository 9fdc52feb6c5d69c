//! The way from SIGTERM to the end, during which whoever still comes is served.

use tracing::info;

use super::World;
use crate::clock::Due;

/// After SIGTERM new connections come for a while, and clients go on using those that they have. From the first time on
/// each closes with its answer; by the second no new one comes any more, and those on which nothing is asked again
/// are closed; by the third so is who has connected and not asked anything yet.
const STILL_USED: f64 = 0.45;
const STILL_COMING: f64 = 0.65;
const STILL_ASKING: f64 = 1.0;
/// While there is no room for who waits at a listener.
const ROOM: f64 = 0.02;

impl World {
    pub(super) fn told_to_end(&mut self) {
        let now = self.tick();
        if self.told_to_end.is_none() {
            info!("told to end: what was taken is still answered");
            self.told_to_end = Some(now);
            self.desk.clients.leaving = true;
            self.desk.clients.until = now + self.at_most;
            self.drain();
        }
    }

    /// On the way to the end: first all is served as before, then connections close with their answers,
    /// then no new one is taken.
    pub(super) fn drain(&mut self) {
        let now = self.desk.now;
        let since = now - self.told_to_end.unwrap_or(now);
        if since < STILL_USED {
            self.desk.alarms.set(now + STILL_USED - since, Due::Drain);
        } else if since < STILL_COMING {
            self.desk.clients.close_with_answers();
            self.desk.alarms.set(now + STILL_COMING - since, Due::Drain);
        } else if !self.over {
            self.over = self.desk.clients.close_listeners(now, &mut self.desk.alarms);
            self.desk.clients.close_resting(now, &mut self.desk.alarms);
            let next = if self.over { (STILL_ASKING - since).max(ROOM) } else { ROOM };
            self.desk.alarms.set(now + next, Due::Drain);
        } else {
            self.desk.clients.close_unasked(now, &mut self.desk.alarms);
        }
    }
}
