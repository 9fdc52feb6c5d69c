//! The event loop: handles each event and timer in turn, and after each one all work that follows from it.

mod background;
mod disconnects;
mod reload;
mod shutdown;
mod startup;

use dunepond_body_buffer::{BodyId, Done};
use dunepond_config::operator::Operator;
use dunepond_routing::{NOTICEABLE_PAUSE_SECONDS, Query, QueryId, Router, Shutdown, ShutdownStage};
use tracing::{info, warn};

use crate::background::Background;
use crate::body_store::BodyEvent;
use crate::clock::{Clock, TimerEvent};
use crate::config_reload::ConfigReloader;
use crate::control_plane::ControlPlane;
use crate::discovery::{DiscoveryClient, EndpointUpdate};
use crate::downstream::ClientEvent;
use crate::iteration::LoopEvent;
use crate::persistence::Persistence;
use crate::prefilter::PrefilterHost;
use crate::router::RouterHost;
pub use startup::{Hooks, serve};

/// The broker: all state that the event loop works on.
struct EventLoop {
    clock: Clock,
    router: Router,
    router_host: RouterHost,
    discovery: DiscoveryClient,
    /// `None` if the operator's file does not enable the prefilter.
    prefilter: Option<PrefilterHost>,
    background: Background,
    /// `None` if the operator's file names no state folder.
    persistence: Option<Persistence>,
    /// A background job for a prefilter audit is scheduled.
    audit: bool,
    config_reloader: ConfigReloader,
    operator: Operator,
    /// The configured endpoint list, until discovery answers or has been silent for too long.
    known: Option<EndpointUpdate>,
    /// When this iteration began, and the previous one; the events of this iteration came after the latter.
    iteration_began_at: f64,
    previous_iteration_at: f64,
    /// The longest query timeout in seconds, or that of a configuration reloaded since, if shorter.
    longest_timeout: f64,
    shutdown: Option<Shutdown>,
    /// The last stage of the shutdown that was carried out.
    stage: ShutdownStage,
    /// The listeners are closed; the loop ends once no client connection is left.
    over: bool,
}

impl EventLoop {
    /// Reads the clock, which stands still until the next call, and applies the active configuration.
    fn tick(&mut self) -> f64 {
        self.router_host.now = self.clock.now();
        let apart = (self.iteration_began_at - self.previous_iteration_at)
            .max(self.router_host.now - self.iteration_began_at);
        self.router_host.downstream.received_since =
            (apart > NOTICEABLE_PAUSE_SECONDS).then_some(self.previous_iteration_at);
        self.apply_control_plane();
        self.router_host.now
    }

    /// An iteration begins: an event or a timer has come, or signals are to be checked.
    fn begin_iteration(&mut self) {
        self.previous_iteration_at = std::mem::replace(&mut self.iteration_began_at, self.clock.now());
        let now = self.tick();
        let apart = now - self.previous_iteration_at;
        if apart > NOTICEABLE_PAUSE_SECONDS {
            warn!("event loop stalled for {apart:.3} s");
        }
        self.advance_shutdown();
    }

    /// Brings rules, quotas and drained nodes up to the active configuration of this moment; called before each event is handled.
    fn apply_control_plane(&mut self) {
        if let Some(fleet) = &mut self.router_host.control_plane {
            fleet.needs(|seconds| self.router.quota_demand(seconds));
            if let Some(limits) = fleet.changed_limits() {
                self.router.set_quota_shares(limits);
            }
        }
        let Some(changed) = self.router_host.control_plane.as_mut().and_then(ControlPlane::changed) else {
            return;
        };
        // With each new lease, so that the next lease request carries it.
        self.router_host.control_plane.iter().for_each(|fleet| fleet.press(self.router.is_overloaded()));
        if let Some(rules) = changed.rules {
            self.router.set_rules(&rules);
        }
        if !changed.endpoints.is_empty() {
            self.apply_endpoints(EndpointUpdate { whole: false, endpoints: changed.endpoints });
        }
    }

    /// Handles one event.
    fn turn(&mut self, ready: LoopEvent) {
        match ready {
            LoopEvent::Accept(api) => self.accept(api),
            LoopEvent::ClientReady(id, readable) => self.client_ready(id, readable),
            LoopEvent::UpstreamReady(id, readable) => self.upstream_ready(id, readable),
            LoopEvent::PrefilterReady(id, readable) => self.prefilter_ready(id, readable),
            LoopEvent::DiscoveryReady(readable) => self.discovery_ready(readable),
            LoopEvent::DiskDone(done) => self.disk_done(done),
            LoopEvent::JobFinished(on_job_finished) => self.job_finished(on_job_finished),
            LoopEvent::ControlPlaneChanged => {
                self.tick();
                self.settle();
            }
            LoopEvent::ReloadRequested => self.start_reload(),
            LoopEvent::ConfigLoaded(configuration) => self.reread(*configuration),
            LoopEvent::ShutdownRequested => self.told_to_end(),
        }
    }

    fn accept(&mut self, api: bool) {
        let now = self.tick();
        self.router_host.downstream.accept(now, api, &mut self.router_host.timers);
        self.settle();
    }

    /// Accepts at once the connections that have waited at the listeners while accepting was paused, so that they can be told from
    /// those that come later.
    fn accept_backlog(&mut self) {
        self.router_host.downstream.resume();
        for api in [false, true] {
            self.router_host.downstream.accept(self.router_host.now, api, &mut self.router_host.timers);
        }
    }

    fn client_ready(&mut self, id: usize, readable: bool) {
        let now = self.tick();
        self.router_host.downstream.ready(now, id, readable, &mut self.router_host.timers);
        self.router_host.downstream.again.push(id);
        self.settle();
    }

    fn upstream_ready(&mut self, id: usize, readable: bool) {
        let now = self.tick();
        for query in self.router_host.upstream.unsent(id) {
            self.router_host.check_client(query);
        }
        self.let_go();
        self.router_host.upstream.ready(now, id, readable, &mut self.router_host.timers);
        self.settle();
    }

    fn prefilter_ready(&mut self, id: usize, readable: bool) {
        let now = self.tick();
        if let Some(prefilter_connections) = &mut self.router_host.prefilter_connections {
            prefilter_connections.ready(now, id, readable, &mut self.router_host.timers);
        }
        self.settle();
    }

    fn discovery_ready(&mut self, readable: bool) {
        let now = self.tick();
        for news in self.discovery.ready(now, readable, &mut self.router_host.timers) {
            if self.known.take().is_some() {
                self.accept_backlog();
            }
            self.listed(news);
        }
        self.settle();
    }

    /// Repeats a call to discovery that found no file descriptor: without it the list would go stale.
    fn retry_discovery(&mut self) {
        if std::mem::take(&mut self.discovery.short) && self.router_host.make_room() {
            self.discovery.call(self.router_host.now, &mut self.router_host.timers);
        }
    }

    fn disk_done(&mut self, done: Done) {
        let now = self.tick();
        if let Some(bodies) = &mut self.router_host.body_store {
            bodies.done(now, done);
        }
        self.settle();
    }

    fn listed(&mut self, mut news: EndpointUpdate) {
        if let Some(fleet) = &mut self.router_host.control_plane {
            news.endpoints = fleet
                .listed(self.router_host.now, news.whole, news.endpoints, |zone| self.discovery.zone(zone));
        }
        self.apply_endpoints(news);
    }

    fn apply_endpoints(&mut self, news: EndpointUpdate) {
        let now = self.router_host.now;
        let mut listed = Vec::with_capacity(news.endpoints.len());
        if news.whole {
            let named = news.endpoints.iter().map(|row| row.0.node).collect();
            self.router_host.upstream.remove_unlisted(
                self.router_host.now,
                &named,
                &mut self.router_host.timers,
            );
        }
        for (row, listing) in news.endpoints {
            self.router_host.upstream.listed(now, row.node, listing, &mut self.router_host.timers);
            listed.push(row);
        }
        for (node, replaced) in std::mem::take(&mut self.router_host.upstream.changed) {
            if let Some(prefilter_connections) = &mut self.router_host.prefilter_connections {
                prefilter_connections.leave(node, &mut self.router_host.timers);
            }
            if let Some(prefilter) = self.prefilter.as_mut().filter(|_| replaced) {
                prefilter.forget(node);
            }
        }
        self.router_host.downstream.has_endpoints = self.router_host.upstream.any_active();
        self.router.update_endpoints(&mut self.router_host, news.whole, &listed);
        if let Some(persistence) = &mut self.persistence {
            persistence.believe(now, &mut self.router, &mut self.router_host);
        }
    }

    /// Works until nothing is left to report: requests that have been read, orders to be written, and attempts that ended while
    /// the router was in a call, as its calls never nest.
    fn settle(&mut self) {
        loop {
            let now = self.router_host.now;
            self.let_go();
            self.router_host.flush();
            self.router_host.feed();
            if let Some((node, attempt)) = self.router_host.upstream.framed.pop_front() {
                self.router.on_frame_written(&mut self.router_host, node, attempt);
            } else if let Some(back) = self.router_host.upstream.back.pop_front() {
                let query = back.ended.query;
                if let Some(prefilter) = &mut self.prefilter {
                    prefilter.returned(&mut self.router, &mut self.router_host, &back);
                }
                if let Some(ended) = self.router_host.book(back) {
                    self.router.on_attempt_ended(&mut self.router_host, ended);
                    self.router_host.release_body(query, |query| self.router.needs_body(query));
                    self.router_host.release(query);
                }
            } else if let Some(client) = self.router_host.downstream.again.pop() {
                match self.router_host.downstream.next(now, client, &mut self.router_host.timers) {
                    ClientEvent::Query(asked) => {
                        if let Some(query) = self.router_host.take(client, asked) {
                            self.begin(query);
                        }
                    }
                    ClientEvent::SearchRequest(request) => {
                        for query in self.router_host.request(client, &request) {
                            self.begin(query);
                        }
                    }
                    ClientEvent::StreamedQuery(asked, head) => self.router_host.open(client, asked, *head),
                    ClientEvent::Disconnected(Some(query)) => self.client_disconnected(query),
                    ClientEvent::Disconnected(None) | ClientEvent::Nothing => {}
                }
            } else if let Some((body, event)) =
                self.router_host.body_store.as_mut().and_then(|b| b.events.pop_front())
            {
                self.body(body, event);
            } else if let Some((question, words)) =
                self.router_host.prefilter_connections.as_mut().and_then(|q| q.told.pop_front())
            {
                if let Some(prefilter) = &mut self.prefilter {
                    prefilter.told(&mut self.router, &mut self.router_host, question, words);
                }
            } else if let Some((query, answered)) = self.router_host.concluded.pop() {
                self.prefilter
                    .as_mut()
                    .into_iter()
                    .for_each(|prefilter| prefilter.over(now, query, answered));
            } else if let Some((node, host)) = self.router_host.upstream.next_forgotten() {
                self.router.remove_node(node);
                self.router_host
                    .control_plane
                    .as_mut()
                    .into_iter()
                    .for_each(|fleet| fleet.forget(node, &host));
                self.prefilter.as_mut().into_iter().for_each(|prefilter| prefilter.forget(node));
                self.discovery.forget(node, &host);
            } else {
                return;
            }
        }
    }

    fn begin(&mut self, mut query: Query) {
        if !self.router_host.admit(&mut query) {
            return;
        }
        match &mut self.prefilter {
            Some(prefilter) => prefilter.begin(&mut self.router, &mut self.router_host, query),
            None => self.router.on_query(&mut self.router_host, query),
        }
    }

    /// All events and timers of this iteration have been handled.
    fn end_iteration(&mut self, idle: bool) {
        if let Some(prefilter) = &mut self.prefilter {
            prefilter.end_iteration(&mut self.router, &mut self.router_host);
            self.settle();
        }
        self.work(idle);
    }

    /// A streamed body has been buffered, is passed through, or was lost.
    fn body(&mut self, body: BodyId, event: BodyEvent) {
        let note = match event {
            BodyEvent::Buffered => None,
            BodyEvent::PassThrough(why) => Some(why),
            BodyEvent::Lost(why) => {
                if let Some(query) = self.router_host.lost(body, why) {
                    self.router.on_body_discarded(&mut self.router_host, query);
                }
                let now = self.router_host.now;
                return self.router_host.upstream.abort_lost_bodies(now, &mut self.router_host.timers);
            }
        };
        if let Some((query, body)) = self.router_host.begin(body, note) {
            let (id, mut query) = (query.id, query);
            if self.router_host.admit(&mut query) {
                self.router.on_query(&mut self.router_host, query);
            }
            body.begin();
            self.router_host.release_body(id, |query| self.router.needs_body(query));
        }
    }

    /// A query's deadline has passed.
    fn scan_ends(&mut self, query: QueryId) {
        if self.router_host.scan_ends(query) {
            self.settle();
            self.router_host.fail_overdue(query);
            self.router.on_client_disconnect(&mut self.router_host, query);
        }
    }

    /// Handles all timers that are due.
    fn run_timers(&mut self) {
        let now = self.tick();
        while let Some(due) = self.router_host.timers.pop_due(now) {
            match due {
                TimerEvent::RouterWake => self.router.on_wake(&mut self.router_host),
                TimerEvent::QueryDeadline(query) => self.scan_ends(query),
                TimerEvent::PrefilterConnection(id) => {
                    if let Some(prefilter_connections) = &mut self.router_host.prefilter_connections {
                        prefilter_connections.due(id, &mut self.router_host.timers);
                    }
                }
                TimerEvent::Prefilter => {
                    if let Some(prefilter) = &mut self.prefilter {
                        prefilter.due(&mut self.router, &mut self.router_host);
                    }
                }
                TimerEvent::Snapshot => {
                    if let Some(persistence) = &mut self.persistence {
                        persistence.due(now, &mut self.background);
                        self.router_host.timers.set(now + persistence.every(), TimerEvent::Snapshot);
                    }
                }
                TimerEvent::BackgroundJob => self.background.on_timer(),
                TimerEvent::UpstreamConnection(id) => {
                    self.router_host.upstream.due(now, id, &mut self.router_host.timers)
                }
                TimerEvent::ClientTimeout(id) => {
                    // Its bytes may have arrived in this iteration without having been read.
                    let time = self.router_host.downstream.read_before_timeout(id);
                    self.settle();
                    if self.router_host.downstream.is_still_timed_out(id, time)
                        && let Some(query) =
                            self.router_host.downstream.slow(now, id, &mut self.router_host.timers)
                    {
                        self.client_disconnected(query);
                    }
                }
                TimerEvent::ClientResume(id) => self.router_host.downstream.go_on(id),
                TimerEvent::Discovery => {
                    self.discovery.due(now, &mut self.router_host.timers);
                    self.retry_discovery();
                }
                TimerEvent::ResumeAccept => {
                    self.accept_backlog();
                    self.retry_closing_listeners();
                }
                TimerEvent::FirstListTimeout => {
                    if let Some(known) = self.known.take() {
                        info!(
                            "discovery does not answer; the configured endpoint list is used until it does"
                        );
                        self.listed(known);
                        self.accept_backlog();
                    }
                }
                TimerEvent::ShutdownStage => self.drain(),
                TimerEvent::BodyCheck => self.router_host.check_bodies(),
                TimerEvent::Counters => self.report(),
            }
            self.settle();
        }
    }
}
