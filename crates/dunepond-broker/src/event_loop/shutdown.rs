//! The way from SIGTERM to the end, during which whoever still comes is served or refused.

use dunepond_routing::{Shutdown, ShutdownStage};
use tracing::info;

use super::World;
use crate::clock::Due;

impl World {
    /// The signal was found in this turn, so that it came after the turn before had begun: a process that was held up
    /// meanwhile has less time to the kill than the moment of finding it would say.
    pub(super) fn told_to_end(&mut self) {
        let now = self.tick();
        if self.shutdown.is_none() {
            let shutdown = Shutdown::new(self.turn_before, self.longest_timeout);
            info!(
                "told to end within the last {:.3} s: {} connections, {} scans in hand; the last answers are due in {:.3} s",
                now - self.turn_before,
                self.desk.clients.count(),
                self.desk.owed().len(),
                shutdown.last_answers_at() - now
            );
            self.shutdown = Some(shutdown);
            self.broker.begin_shutdown(shutdown);
            self.desk.clients.leaving = true;
            self.desk.clients.until = shutdown.last_answers_at();
            self.drain();
        }
    }

    /// A stage that has come is taken before anything that this turn brings: requests in it are treated by that stage.
    pub(super) fn advance_shutdown(&mut self) {
        if self.shutdown.is_some_and(|shutdown| shutdown.stage(self.desk.now) > self.stage) {
            self.drain();
        }
    }

    /// Does what belongs to the stage that the shutdown has reached, and has the next one called. Several stages may come at
    /// once, as the process may have stood still.
    pub(super) fn drain(&mut self) {
        let Some(shutdown) = self.shutdown else { return };
        let now = self.desk.now;
        let stage = shutdown.stage(now);
        if stage > self.stage {
            info!("shutdown: {stage:?}, {} connections", self.desk.clients.count());
            self.stage = stage;
        }
        if let Some(next) = shutdown.next_stage_at(now) {
            self.desk.alarms.set(next, Due::Drain);
        }
        if stage >= ShutdownStage::ClosingAfterAnswers {
            self.desk.clients.close_with_answers();
        }
        if stage >= ShutdownStage::Refusing {
            // Where there is no room for those who wait at a listener, it closes once somebody has made room.
            self.over = self.over || self.desk.clients.close_listeners(now, &mut self.desk.alarms);
            self.desk.clients.close_resting(now, &mut self.desk.alarms);
        }
        if stage >= ShutdownStage::ClosingWithoutRequest {
            self.desk.clients.close_unasked(now, &mut self.desk.alarms);
        }
        if stage >= ShutdownStage::LastAnswers {
            self.desk.clients.hear_asking();
            self.settle();
            self.end_scans();
            self.desk.clients.close_asking(now, &mut self.desk.alarms);
        }
    }

    /// What was taken before SIGTERM may have more time than the process, where query timeouts are longer than is counted.
    fn end_scans(&mut self) {
        for scan in self.desk.owed() {
            self.scan_ends(scan);
            self.settle();
        }
    }

    /// Who waited at a listener may be taken in, and the listener closed.
    pub(super) fn make_room_to_end(&mut self) {
        let refuses = self.shutdown.is_some_and(|shutdown| shutdown.is_refusing(self.desk.now));
        if refuses && !self.over {
            self.drain();
        }
    }
}
