//! Graceful shutdown from SIGTERM to the end, in the stages that the router set.

use dunepond_routing::{Shutdown, ShutdownStage};
use tracing::info;

use super::EventLoop;
use crate::clock::TimerEvent;

impl EventLoop {
    /// The signal was found in this turn, so that it came after the turn before had begun: a process that was held up
    /// meanwhile has less time to the kill than the moment of finding it would say.
    pub(super) fn told_to_end(&mut self) {
        let now = self.tick();
        if self.shutdown.is_none() {
            let shutdown = Shutdown::new(self.previous_iteration_at, self.longest_timeout);
            info!(
                "shutdown requested within the last {:.3} s: {} connections, {} queries in flight; last responses due in {:.3} s",
                now - self.previous_iteration_at,
                self.router_host.downstream.count(),
                self.router_host.owed_answers().len(),
                shutdown.last_answers_at() - now
            );
            self.shutdown = Some(shutdown);
            self.router.begin_shutdown(shutdown);
            self.router_host.downstream.leaving = true;
            self.router_host.downstream.until = shutdown.last_answers_at();
            self.drain();
        }
    }

    /// A stage that has come is taken before anything that this turn brings: requests in it are treated by that stage.
    pub(super) fn advance_shutdown(&mut self) {
        if self.shutdown.is_some_and(|shutdown| shutdown.stage(self.router_host.now) > self.stage) {
            self.drain();
        }
    }

    /// Does what belongs to the stage that the shutdown has reached, and has the next one called. Several stages may come at
    /// once, as the process may have stood still.
    pub(super) fn drain(&mut self) {
        let Some(shutdown) = self.shutdown else { return };
        let now = self.router_host.now;
        let stage = shutdown.stage(now);
        if stage > self.stage {
            info!("shutdown: {stage:?}, {} connections", self.router_host.downstream.count());
            self.stage = stage;
        }
        if let Some(next) = shutdown.next_stage_at(now) {
            self.router_host.timers.set(next, TimerEvent::ShutdownStage);
        }
        if stage >= ShutdownStage::ClosingAfterAnswers {
            self.router_host.downstream.close_after_responses();
        }
        if stage >= ShutdownStage::Refusing {
            // Where there is no room for those who wait at a listener, it closes once somebody has made room.
            self.over =
                self.over || self.router_host.downstream.close_listeners(now, &mut self.router_host.timers);
            self.router_host.downstream.close_resting(now, &mut self.router_host.timers);
        }
        if stage >= ShutdownStage::ClosingWithoutRequest {
            self.router_host.downstream.close_without_request(now, &mut self.router_host.timers);
        }
        if stage >= ShutdownStage::LastAnswers {
            self.router_host.downstream.read_pending_requests();
            self.settle();
            self.expire_queries();
            self.router_host.downstream.expire_pending_requests(now, &mut self.router_host.timers);
        }
    }

    /// What was taken before SIGTERM may have more time than the process, where query timeouts are longer than is counted.
    fn expire_queries(&mut self) {
        for query in self.router_host.owed_answers() {
            self.scan_ends(query);
            self.settle();
        }
    }

    /// Who waited at a listener may be taken in, and the listener closed.
    pub(super) fn retry_closing_listeners(&mut self) {
        let refuses = self.shutdown.is_some_and(|shutdown| shutdown.is_refusing(self.router_host.now));
        if refuses && !self.over {
            self.drain();
        }
    }
}
