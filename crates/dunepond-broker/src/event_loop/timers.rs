//! Handles the event loop's timers.

use tracing::info;

use super::EventLoop;
use crate::clock::TimerEvent;

impl EventLoop {
    /// Handles the timers that are due. Those that are scheduled meanwhile are left to the next iteration.
    pub(super) fn run_timers(&mut self) {
        let now = self.refresh_clock_and_config();
        let pass = self.router_host.timers.begin_pass(now);
        while let Some(event) = self.router_host.timers.pop_due(pass) {
            let turn = self.begin_timer_turn(event);
            self.on_timer(now, event);
            self.process_pending();
            self.end_turn(&turn);
        }
    }

    /// Handles one timer that is due.
    fn on_timer(&mut self, now: f64, event: TimerEvent) {
        match event {
            TimerEvent::RouterWake => self.router.on_wake(&mut self.router_host),
            TimerEvent::QueryDeadline(query) => self.expire_query(query),
            TimerEvent::PrefilterConnection(id) => {
                if let Some(prefilter_connections) = &mut self.router_host.prefilter_connections {
                    prefilter_connections.on_timeout(id, &mut self.router_host.timers);
                }
            }
            TimerEvent::Prefilter => {
                if let Some(prefilter) = &mut self.prefilter {
                    prefilter.on_deadline(&mut self.router, &mut self.router_host);
                }
            }
            TimerEvent::Snapshot => {
                if let Some(persistence) = &mut self.persistence {
                    persistence.schedule_snapshot(now, &mut self.background);
                    self.router_host
                        .timers
                        .schedule(now + persistence.snapshot_interval(), TimerEvent::Snapshot);
                }
            }
            TimerEvent::BackgroundJob => self.background.on_timer(),
            TimerEvent::UpstreamConnection(id) => {
                self.router_host.upstream.on_timeout(now, id, &mut self.router_host.timers)
            }
            TimerEvent::ClientTimeout(id) => self.on_client_timeout(now, id),
            TimerEvent::ClientResume(id) => self.router_host.downstream.resume_reading(id),
            TimerEvent::Discovery => {
                self.discovery.on_timer(now, &mut self.router_host.timers);
                self.retry_discovery();
            }
            TimerEvent::ResumeAccept => {
                self.accept_backlog();
                self.retry_closing_listeners();
            }
            TimerEvent::FirstListTimeout => self.use_configured_endpoints(),
            TimerEvent::ShutdownStage => self.run_shutdown_stages(),
            TimerEvent::BodyCheck => self.router_host.check_bodies(),
            TimerEvent::Counters => self.report_counters(),
        }
    }

    /// Handles a time limit of a client connection, after reading what the client has sent by now.
    fn on_client_timeout(&mut self, now: f64, id: usize) {
        // The client's bytes may have arrived in this iteration without having been read.
        let timer = self.router_host.downstream.read_before_timeout(id);
        self.process_pending();
        if self.router_host.downstream.is_still_timed_out(id, timer)
            && let Some(query) = self.router_host.downstream.on_timeout(now, id, &mut self.router_host.timers)
        {
            self.client_disconnected(query);
        }
    }

    /// Uses the configured endpoint list, as discovery has not answered in time after the start of the process.
    fn use_configured_endpoints(&mut self) {
        if let Some(configured) = self.configured_endpoints.take() {
            info!("discovery does not answer; the configured endpoint list is used until it does");
            self.on_endpoint_update(configured);
            self.accept_backlog();
        }
    }
}
