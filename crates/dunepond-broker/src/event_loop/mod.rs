//! The event loop: handles each event and timer in turn, and after each of them all the work that results from it.

mod background;
mod client_turns;
mod disconnects;
mod endpoints;
mod iteration_times;
mod lifecycle;
mod long_turns;
mod pending;
mod reload;
mod setup;
mod shutdown;
mod startup;
mod timers;
mod turn_times;

use dunepond_body_buffer::DiskEvent;
use dunepond_config::operator::OperatorConfig;
use dunepond_routing::{QueryId, Router, STALL_THRESHOLD_SECONDS, Shutdown, ShutdownStage};
use tracing::warn;

use crate::background::Background;
use crate::clock::Clock;
use crate::config_reload::ConfigReloader;
use crate::discovery::{DiscoveryClient, EndpointUpdate};
use crate::iteration::{LoopEvent, Port};
use crate::persistence::Persistence;
use crate::prefilter::PrefilterHost;
use crate::read_turn::UnfinishedTurns;
use crate::router::RouterHost;
use iteration_times::IterationTimes;
pub use startup::{Hooks, serve};
use turn_times::TurnTimes;

/// The broker: all state that the event loop works on.
struct EventLoop {
    clock: Clock,
    router: Router,
    router_host: RouterHost,
    discovery: DiscoveryClient,
    /// The prefilter; `None` if the operator's file does not enable it.
    prefilter: Option<PrefilterHost>,
    background: Background,
    /// Saves state that a restarted process restores; `None` if the operator's file names no folder for this state.
    persistence: Option<Persistence>,
    /// Whether a background job for a prefilter audit is scheduled.
    audit_scheduled: bool,
    config_reloader: ConfigReloader,
    operator: OperatorConfig,
    /// The configured endpoint list, which is used if discovery does not answer in time; `None` once discovery has
    /// answered or the list has been used.
    configured_endpoints: Option<EndpointUpdate>,
    times: IterationTimes,
    turn_times: TurnTimes,
    /// The connections that get another turn without a further event.
    unfinished_turns: UnfinishedTurns,
    /// The longest query timeout in seconds, from which the schedule of a shutdown is computed; lowered if the longest
    /// timeout of a reloaded configuration is shorter.
    longest_timeout: f64,
    /// The schedule of the graceful shutdown; `None` until a shutdown has been requested.
    shutdown: Option<Shutdown>,
    /// The stage of the shutdown that was carried out most recently.
    shutdown_stage: ShutdownStage,
    /// Whether the listeners are closed; the loop then ends once no client connection is left.
    listeners_closed: bool,
}

impl EventLoop {
    /// Reads the clock, applies the active configuration and returns the time, which stays the same until the next call.
    fn refresh_clock_and_config(&mut self) -> f64 {
        self.router_host.now = self.clock.now();
        let began_at = self.times.began_at();
        let gap = (began_at - self.times.earliest_arrival()).max(self.router_host.now - began_at);
        self.router_host.downstream.received_since =
            (gap > STALL_THRESHOLD_SECONDS).then_some(self.times.earliest_arrival());
        self.apply_control_plane();
        self.router_host.now
    }

    /// Begins an iteration: an event has arrived, a timer may be due, or signals are to be checked.
    fn begin_iteration(&mut self) {
        self.times.record_iteration_start(self.clock.now());
        let now = self.refresh_clock_and_config();
        let gap = now - self.times.previous_began_at();
        if gap > STALL_THRESHOLD_SECONDS {
            warn!("event loop stalled for {gap:.3} s");
        }
        self.advance_shutdown();
    }

    /// Handles one event of the iteration.
    fn handle_event(&mut self, event: LoopEvent) {
        let turn = self.begin_event_turn(&event);
        self.dispatch_event(event);
        self.end_turn(&turn);
    }

    fn dispatch_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Accept(port) => self.accept(port),
            LoopEvent::ClientReady(id, readable) => self.client_ready(id, readable),
            LoopEvent::UpstreamReady(id, readable) => self.upstream_ready(id, readable),
            LoopEvent::PrefilterReady(id, readable) => self.prefilter_ready(id, readable),
            LoopEvent::DiscoveryReady(readable) => self.discovery_ready(readable),
            LoopEvent::SearchesPending(request) => self.continue_searches(request),
            LoopEvent::DiskDone(done) => self.disk_done(done),
            LoopEvent::JobFinished(finished) => self.job_finished(finished),
            LoopEvent::ControlPlaneChanged => {
                self.refresh_clock_and_config();
                self.process_pending();
            }
            LoopEvent::ReloadRequested => self.start_reload(),
            LoopEvent::ConfigLoaded(configuration) => self.apply_reloaded_config(*configuration),
            LoopEvent::ShutdownRequested => self.begin_shutdown(),
        }
    }

    /// Accepts connections at a port.
    fn accept(&mut self, port: Port) {
        let now = self.refresh_clock_and_config();
        self.router_host.downstream.accept(now, port, &mut self.router_host.timers);
        self.process_pending();
    }

    /// Resumes accepting after a pause, and accepts the listeners' backlog at once, so that only the connections in
    /// the backlog count as having waited since the pause began, not those that come later.
    fn accept_backlog(&mut self) {
        self.router_host.downstream.on_resume_timer();
        for port in Port::ALL {
            self.router_host.downstream.accept(self.router_host.now, port, &mut self.router_host.timers);
        }
    }

    /// Handles a readiness event of a client connection.
    fn client_ready(&mut self, id: usize, readable: bool) {
        let now = self.refresh_clock_and_config();
        self.router_host.downstream.on_ready(now, id, readable, &mut self.router_host.timers);
        self.router_host.downstream.clients_to_read.push(id);
        self.process_pending();
    }

    /// Handles a readiness event of a connection to a node, after checking whether the clients whose queries wait to be
    /// written to it have disconnected.
    fn upstream_ready(&mut self, id: usize, readable: bool) {
        let now = self.refresh_clock_and_config();
        for query in self.router_host.upstream.queries_awaiting_write(id) {
            self.router_host.check_client(query);
        }
        self.end_disconnected_queries();
        self.router_host.upstream.on_ready(now, id, readable, &mut self.router_host.timers);
        self.process_pending();
    }

    /// Handles a readiness event of a prefilter connection.
    fn prefilter_ready(&mut self, id: usize, readable: bool) {
        let now = self.refresh_clock_and_config();
        if let Some(prefilter_connections) = &mut self.router_host.prefilter_connections {
            prefilter_connections.on_ready(now, id, readable, &mut self.router_host.timers);
        }
        self.process_pending();
    }

    /// Starts the next search of a search API request whose searches have not all started.
    fn continue_searches(&mut self, request: QueryId) {
        self.refresh_clock_and_config();
        self.start_next_search(request);
        self.process_pending();
    }

    /// Handles a completed operation of the disk spill for bodies.
    fn disk_done(&mut self, done: DiskEvent) {
        let now = self.refresh_clock_and_config();
        if let Some(bodies) = &mut self.router_host.body_store {
            bodies.on_disk_done(now, done);
        }
        self.process_pending();
    }

    /// Ends an iteration after all its events and timers have been handled; `idle` if it had no events.
    fn end_iteration(&mut self, idle: bool) {
        if let Some(prefilter) = &mut self.prefilter {
            prefilter.end_iteration(&mut self.router, &mut self.router_host);
            self.process_pending();
        }
        self.run_background_jobs(idle);
    }
}
