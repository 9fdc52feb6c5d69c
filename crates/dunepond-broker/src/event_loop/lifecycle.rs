//! The course of the event loop: its first timers, its iterations and its end.

use dunepond_routing::SIGNAL_POLL_INTERVAL;

use super::EventLoop;
use crate::clock::TimerEvent;
use crate::discovery::RESPONSE_OVERDUE_SECONDS;
use crate::iteration::Iteration;

/// How long a new process waits for discovery, one call and a second one beside it, before it uses the configured endpoint list.
const FIRST_LIST_TIMEOUT_SECONDS: f64 = 2.0 * RESPONSE_OVERDUE_SECONDS;

impl EventLoop {
    /// Schedules what is due from the start. Accepting waits for the first endpoint list, `max_accept_delay` seconds at most.
    pub(super) fn schedule_startup_timers(&mut self, max_accept_delay: f64) {
        let now = self.refresh_clock_and_config();
        self.report_counters();
        if let Some(persistence) = &self.persistence {
            self.router_host.timers.schedule(now + persistence.snapshot_interval(), TimerEvent::Snapshot);
        }
        if self.configured_endpoints.is_some() {
            // Scheduled first, so that the list is in force before waiting connections are accepted.
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
    pub(super) fn run(
        &mut self,
        sources: &mut calloop::EventLoop<'static, Iteration>,
    ) -> calloop::Result<()> {
        let mut iteration = Iteration::default();
        while !(self.listeners_closed && self.router_host.downstream.count() == 0) {
            let now = self.clock.now();
            let next = self.router_host.timers.until_next(now);
            let wait = next.map_or(SIGNAL_POLL_INTERVAL, |next| next.min(SIGNAL_POLL_INTERVAL));
            self.times.poll_begins(now);
            sources.dispatch(wait, &mut iteration)?;
            // Only a timer is due: idle work delays no event.
            let idle = iteration.events.is_empty();
            self.begin_iteration();
            self.detect_disconnects(&iteration);
            while let Some(event) = iteration.events.pop_front() {
                self.handle_event(event);
            }
            self.run_timers();
            self.end_iteration(idle);
        }
        Ok(())
    }

    /// Writes the state that outlasts the process, and stops the control plane's thread.
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
