//! Graceful shutdown, from SIGTERM to the end of the process, in the stages of `dunepond_routing::Shutdown`.

use dunepond_routing::{Shutdown, ShutdownStage};
use tracing::info;

use super::EventLoop;
use crate::clock::TimerEvent;

impl EventLoop {
    /// Handles SIGTERM or SIGINT. The times of the stages count from the earliest time at which the signal may have
    /// come, not from when it was noticed: after a stall the signal is noticed late, but SIGKILL does not come any
    /// later. A second signal changes nothing.
    pub(super) fn begin_shutdown(&mut self) {
        let now = self.refresh_clock_and_config();
        if self.shutdown.is_none() {
            let shutdown = Shutdown::new(self.times.earliest_arrival(), self.longest_timeout);
            info!(
                "shutdown requested within the last {:.3} s: {} connections, {} queries in flight; last responses due in {:.3} s",
                now - self.times.earliest_arrival(),
                self.router_host.downstream.count(),
                self.router_host.unanswered_queries().len(),
                shutdown.last_answers_at() - now
            );
            self.shutdown = Some(shutdown);
            self.router.begin_shutdown(shutdown);
            self.router_host.downstream.is_draining = true;
            self.router_host.downstream.shutdown_deadline = shutdown.last_answers_at();
            self.run_shutdown_stages();
        }
    }

    /// Enters the next stage of the shutdown if it is due. Called before the events of an iteration are handled, so
    /// that the stage applies to the requests that come with these events.
    pub(super) fn advance_shutdown(&mut self) {
        if self.shutdown.is_some_and(|shutdown| shutdown.stage(self.router_host.now) > self.shutdown_stage) {
            self.run_shutdown_stages();
        }
    }

    /// Carries out the stage that the shutdown has reached and all stages before it, and schedules the next one. After a
    /// stall several stages may be due at once.
    pub(super) fn run_shutdown_stages(&mut self) {
        let Some(shutdown) = self.shutdown else { return };
        let now = self.router_host.now;
        let stage = shutdown.stage(now);
        if stage > self.shutdown_stage {
            info!("shutdown: {stage:?}, {} connections", self.router_host.downstream.count());
            self.shutdown_stage = stage;
        }
        if let Some(next) = shutdown.next_stage_at(now) {
            self.router_host.timers.schedule(next, TimerEvent::ShutdownStage);
        }
        if stage >= ShutdownStage::ClosingAfterAnswers {
            self.router_host.downstream.close_after_responses();
        }
        if stage >= ShutdownStage::Refusing {
            // The listeners stay open while there is no room to accept their whole backlog; see `retry_closing_listeners`.
            self.listeners_closed = self.listeners_closed
                || self.router_host.downstream.close_listeners(now, &mut self.router_host.timers);
            self.router_host.downstream.close_idle(now, &mut self.router_host.timers);
        }
        if stage >= ShutdownStage::ClosingWithoutRequest {
            self.router_host.downstream.close_without_request(now, &mut self.router_host.timers);
        }
        if stage >= ShutdownStage::LastAnswers {
            self.router_host.downstream.read_pending_requests();
            self.process_pending();
            self.expire_queries();
            self.router_host.downstream.expire_pending_requests(now, &mut self.router_host.timers);
        }
    }

    /// Ends queries that are still unanswered. The timer of such a query may fire only after SIGKILL, if the query's
    /// timeout is longer than `longest_timeout`, from which the shutdown's schedule is computed.
    fn expire_queries(&mut self) {
        for query in self.router_host.unanswered_queries() {
            self.expire_query(query);
            self.process_pending();
        }
    }

    /// Tries again to accept the whole backlog of the listeners and to close them, if the shutdown has reached that stage.
    pub(super) fn retry_closing_listeners(&mut self) {
        let is_refusing = self.shutdown.is_some_and(|shutdown| shutdown.is_refusing(self.router_host.now));
        if is_refusing && !self.listeners_closed {
            self.run_shutdown_stages();
        }
    }
}
