//! Runs the event loop: its startup timers, its iterations and what it does at its end.

use std::time::Duration;

use dunepond_routing::SIGNAL_POLL_INTERVAL;

use super::EventLoop;
use crate::clock::TimerEvent;
use crate::discovery::RESPONSE_OVERDUE_SECONDS;
use crate::iteration::Iteration;

/// How long a new process waits for discovery before it uses the configured endpoint list. A second call is started in
/// parallel once the first is overdue; this is the time at which the second is overdue too.
const FIRST_LIST_TIMEOUT_SECONDS: f64 = 2.0 * RESPONSE_OVERDUE_SECONDS;

impl EventLoop {
    /// Schedules the timers of a new process and calls discovery. Accepting connections waits for the first endpoint list,
    /// but at most `max_accept_delay` seconds.
    pub(super) fn schedule_startup_timers(&mut self, max_accept_delay: f64) {
        let now = self.refresh_clock_and_config();
        self.report_counters();
        if let Some(persistence) = &self.persistence {
            self.router_host.timers.schedule(now + persistence.snapshot_interval(), TimerEvent::Snapshot);
        }
        if self.configured_endpoints.is_some() {
            // Scheduled before the end of the accept delay, so that it fires first if both are due at the same time:
            // the endpoint list must be in force before connections are accepted.
            self.router_host.timers.schedule(now + FIRST_LIST_TIMEOUT_SECONDS, TimerEvent::FirstListTimeout);
            self.router_host.downstream.delay_accepting(
                now,
                now + FIRST_LIST_TIMEOUT_SECONDS.min(max_accept_delay),
                &mut self.router_host.timers,
            );
        }
        self.discovery.start_call(now, &mut self.router_host.timers);
    }

    /// Runs iterations until the listeners are closed and no client connection is left.
    pub(super) fn run(&mut self, poller: &mut calloop::EventLoop<'static, Iteration>) -> calloop::Result<()> {
        let mut iteration = Iteration::default();
        while !(self.listeners_closed && self.router_host.downstream.count() == 0) {
            let now = self.clock.now();
            let wait = self.poll_wait(now);
            self.times.record_poll_start(now);
            poller.dispatch(wait, &mut iteration)?;
            // If this iteration has no events, idle work delays no event.
            let idle = iteration.events.is_empty() && self.unfinished_turns.is_empty();
            self.begin_iteration();
            self.detect_disconnects(&iteration);
            let turns = self.begin_client_turns();
            while let Some(event) = iteration.events.pop_front() {
                self.handle_or_queue(event, turns);
            }
            self.run_timers();
            self.continue_unfinished_turns(turns);
            self.end_iteration(idle);
        }
        Ok(())
    }

    /// Returns how long to wait for events: until the next timer, or not at all if a connection gets another turn.
    fn poll_wait(&self, now: f64) -> Duration {
        if !self.unfinished_turns.is_empty() {
            return Duration::ZERO;
        }
        let next = self.router_host.timers.until_next(now);
        next.map_or(SIGNAL_POLL_INTERVAL, |next| next.min(SIGNAL_POLL_INTERVAL))
    }

    /// Writes the state that a restarted process reads, and stops the control plane's thread.
    pub(super) fn finish(&mut self) {
        let now = self.refresh_clock_and_config();
        if let (Some(persistence), Some(pool)) = (&mut self.persistence, self.background.pool()) {
            persistence.write_final_state(now, &mut self.router, &self.router_host, pool);
        }
        if let Some(control_plane) = &mut self.router_host.control_plane {
            control_plane.stop();
        }
    }
}
