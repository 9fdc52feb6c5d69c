//! Builds a broker from its configuration and runs it until it has shut down.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::signals::{Signal, Signals};
use dunepond_background::{Pool as WorkPool, Scheduler};
use dunepond_body_buffer::{Disk, Folder, Spool};
use dunepond_config::operator::{self, Operator};
use dunepond_config::{Bad, Bounds};
use dunepond_routing::{
    Deployment, Idempotency, MAX_SHUTDOWN_SECONDS, Router, SIGNAL_POLL_INTERVAL, ShutdownStage,
};
use dunepond_storage::FileStore;
use tracing::{info, warn};

use super::EventLoop;
use crate::background::Background;
use crate::body_store::BodyStore;
use crate::buffers::{self, Pool};
use crate::clock::{Clock, TimerEvent};
use crate::config::StartupConfig;
use crate::config_reload::ConfigReloader;
use crate::control_plane::ControlPlane;
use crate::discovery::{DiscoveryClient, RESPONSE_OVERDUE_SECONDS};
use crate::downstream::{self, Downstream};
use crate::iteration::{EventLoopHandle, Iteration, LoopEvent, event_channel};
use crate::persistence::Persistence;
use crate::prefilter::PrefilterHost;
use crate::prefilter_connections::PrefilterConnections;
use crate::router::RouterHost;
use crate::search_api::SearchApi;
use crate::signals::{CaughtSignals, catch_signals};
use crate::upstream::Upstream;

/// How long a new process waits for discovery, one call and a second one beside it, before it uses the configured endpoint list.
const FIRST_LIST_TIMEOUT_SECONDS: f64 = 2.0 * RESPONSE_OVERDUE_SECONDS;
/// Share of the shortest query timeout for which accepting may wait for the first list. Guards against a client that learns of a
/// rejection too late to ask another broker.
const MAX_ACCEPT_HOLD_RATIO: f64 = 0.5;
/// How soon binding an address that is still in use is tried again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What the caller of [`serve`] may replace or add.
#[derive(Default)]
pub struct Hooks {
    /// The signals, if they have been caught already.
    pub signals: Option<CaughtSignals>,
    /// Path of the operator's file, which SIGHUP reloads.
    pub operator: Option<PathBuf>,
    /// Replaces the folder that the operator's file names for bodies.
    pub folder: Option<Arc<dyn Folder>>,
    /// Replaces the folder that the operator's file names for state.
    pub files: Option<Arc<dyn FileStore>>,
    /// Replaces the fleet's data directory and fill service.
    pub fleet: dunepond_control_plane::TestDoubles,
}

/// The threads of the disk spill for bodies, and the folder that they work on.
type BodyFiles = (Spool, Arc<dyn Folder>);

/// Starts the disk spill for bodies, where the operator's file names a folder. Its threads report to the event loop.
fn spool(
    bodies: &operator::Bodies,
    hooks: &Hooks,
    handle: &EventLoopHandle,
) -> Result<Option<BodyFiles>, Bad> {
    let Some(told) = &bodies.folder else { return Ok(None) };
    let failed = |e: &dyn std::fmt::Display| Bad(format!("files: folder: {}: {e}", told.path.display()));
    let folder = match &hooks.folder {
        Some(folder) => folder.clone(),
        None => {
            // Unique to this start, so that files of an earlier one are recognised.
            let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
            let mark = format!("{}-{since:x}", std::process::id());
            Arc::new(Disk::open(&told.path, &mark).map_err(|e| failed(&e))?)
        }
    };
    let sender = event_channel(handle, LoopEvent::DiskDone).map_err(|e| failed(&e))?;
    // A send fails only once the event loop has ended.
    let tell = move |done| drop(sender.send(done));
    let spool = Spool::start(folder.clone(), told.threads, told.waiting, tell).map_err(|e| failed(&e))?;
    Ok(Some((spool, folder)))
}

/// Listens at an address. While an old process that is shutting down still holds it, binding is retried until that process must
/// have been killed: a start that failed at once would never succeed.
fn listen(what: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let (since, mut waits) = (Instant::now(), false);
    loop {
        match downstream::listen(address) {
            Err(e)
                if e.kind() == io::ErrorKind::AddrInUse
                    && since.elapsed().as_secs_f64() < MAX_SHUTDOWN_SECONDS =>
            {
                if !std::mem::replace(&mut waits, true) {
                    warn!("{what}: {address}: {e}; retrying until it is free");
                }
                thread::sleep(BIND_RETRY_INTERVAL);
            }
            outcome => return outcome,
        }
    }
}

/// A fault of the start: what could not be set up, and why.
fn failed(what: &str, why: &dyn std::fmt::Display) -> Bad {
    Bad(format!("{what}: {why}"))
}

/// Turns signals into events of the loop.
fn watch_signals(handle: &EventLoopHandle, signals: Signals) -> Result<(), Bad> {
    let inserted = handle.insert_source(signals, |event, _, iteration: &mut Iteration| {
        iteration.ready.push_back(match event.signal() {
            Signal::SIGHUP => LoopEvent::ReloadRequested,
            _ => LoopEvent::ShutdownRequested,
        });
    });
    inserted.map(drop).map_err(|e| failed("signals", &e.error))
}

/// Listens for the search API, where the operator's file asks for it.
fn open_search_api(
    router_host: &mut RouterHost,
    told: &operator::Search,
    bounds: Rc<Bounds>,
    deployment: &Deployment,
) -> Result<(), Bad> {
    let listener = listen("search: listen", told.listen).map_err(|e| failed("search: listen", &e))?;
    let address = listener.local_addr().map_err(|e| failed("search: listen", &e))?;
    router_host.downstream.open(listener, true).map_err(|e| failed("search: listen", &e))?;
    router_host.downstream.api = Some(Rc::new(SearchApi::new(told.limits.clone(), bounds, deployment)));
    info!("the API listening at {address}");
    Ok(())
}

/// The thread pool for background jobs, where there are any that may block.
fn start_job_pool(operator: &Operator, handle: &EventLoopHandle) -> Result<Option<WorkPool>, Bad> {
    let sender = event_channel(handle, LoopEvent::JobFinished).map_err(|e| failed("background", &e))?;
    if operator.state.is_none() {
        return Ok(None);
    }
    let pool = WorkPool::start("work", operator.background.at_once, move |finished| {
        let _ = sender.send(finished);
    });
    pool.map(Some).map_err(|e| failed("background", &e))
}

/// Runs a broker until a signal has shut it down. Fails if something that it needs cannot be set up.
pub fn serve(start: StartupConfig, mut hooks: Hooks) -> Result<(), Bad> {
    if start.operator.bodies.is_some() {
        buffers::use_single_malloc_arena();
    }
    let mut event_loop = calloop::EventLoop::try_new().map_err(|e| failed("loop", &e))?;
    let handle = event_loop.handle();
    let CaughtSignals { signals, since } = hooks.signals.take().map_or_else(catch_signals, Ok)?;
    watch_signals(&handle, signals)?;
    let (pool, bounds) = (Pool::default(), Rc::new(start.bounds));
    let mut discovery = DiscoveryClient::new(handle.clone(), &pool, start.discovery, &bounds);
    // An invalid list is ignored: discovery will send another.
    let known = discovery.read(&start.known).ok().map(|(_, news, _)| news);
    let listener = listen("GW_LISTEN", start.listen).map_err(|e| failed("GW_LISTEN", &e))?;
    let local = listener.local_addr().map_err(|e| failed("GW_LISTEN", &e))?;
    let downstream = Downstream::new(
        handle.clone(),
        &pool,
        bounds.clone(),
        start.max_clients,
        start.max_buffers,
        listener,
    );
    let downstream = downstream.map_err(|e| failed("GW_LISTEN", &e))?;
    let for_questions = if start.operator.phases.is_some() { start.most_links / 4 } else { 0 };
    let prefilter_connections =
        PrefilterConnections::new(handle.clone(), &pool, bounds.clone(), for_questions);
    let mut upstream = Upstream::new(handle, &pool, bounds.clone(), start.most_links - for_questions);
    let (table_types, table_bounds) = (bounds.table_types.clone(), bounds.clone());
    if !start.operator.search_nodes.is_empty() {
        let once = start.deployment.query_classes.iter().map(|t| t.idempotency == Idempotency::NonIdempotent);
        upstream.set_search_api_nodes(start.operator.search_nodes.clone(), once.collect());
    }
    let mut router_host = RouterHost::new(&start.deployment, bounds, &pool, downstream, upstream);
    if let Some(told) = &start.operator.search {
        open_search_api(&mut router_host, told, table_bounds, &start.deployment)?;
    }
    let mut folder = None;
    if let Some(bodies) = &start.operator.bodies {
        router_host.downstream.raw = true;
        let (spool, used) = spool(bodies, &hooks, &event_loop.handle())?.unzip();
        folder = used;
        router_host.body_store = Some(BodyStore::new(bodies.terms.clone(), spool, table_types));
    }
    let timeouts = start.deployment.query_classes.iter().map(|t| t.timeout);
    let held_at_most = MAX_ACCEPT_HOLD_RATIO * timeouts.clone().fold(f64::MAX, f64::min);
    let longest_timeout = timeouts.fold(0.0, f64::max);
    let (terms, seed, types) =
        (start.operator.phases.clone(), start.deployment.seed, router_host.table_types());
    let prefilter = terms.map(|terms| PrefilterHost::new(terms, &start.deployment));
    router_host.prefilter_connections = prefilter.is_some().then_some(prefilter_connections);
    if let Some(told) = &start.operator.fleet {
        let (site, customers) = (&start.deployment, router_host.customers());
        let fleet = ControlPlane::start(
            told,
            &start.name,
            site,
            &customers,
            std::mem::take(&mut hooks.fleet),
            &event_loop.handle(),
        )?;
        router_host.upstream.gate = Some(fleet.gate.clone());
        router_host.control_plane = Some(fleet);
    }
    let router = Router::new(start.deployment);
    let (clock, operator) = (Clock::start(), start.operator);
    let pool = start_job_pool(&operator, &event_loop.handle())?;
    let reread = event_channel(&event_loop.handle(), LoopEvent::ConfigLoaded);
    let reread = reread.map_err(|e| failed("configuration", &e))?;
    let config_reloader = ConfigReloader::new(reread, hooks.operator.clone());
    let mut background = Background::new(Scheduler::new(operator.background.clone(), seed), pool);
    let files = hooks.files.clone();
    let persistence = operator.state.clone();
    let persistence =
        persistence.map(|told| Persistence::start(clock.now(), told, files, types, &mut background));
    let mut world = EventLoop {
        clock,
        router,
        router_host,
        discovery,
        prefilter,
        background,
        persistence,
        audit: false,
        config_reloader,
        operator,
        known,
        iteration_began_at: clock.at(since),
        previous_iteration_at: clock.at(since),
        longest_timeout,
        shutdown: None,
        stage: ShutdownStage::Serving,
        over: false,
    };
    world.schedule_first(held_at_most);
    info!("listening on {local}");
    world.run(&mut event_loop).map_err(|e| failed("loop", &e))?;
    world.finish();
    if let Some(folder) = &folder {
        folder.leave();
    }
    info!("stopped");
    Ok(())
}

impl EventLoop {
    /// Schedules what is due from the start. Accepting waits for the first endpoint list, `held_at_most` seconds at most.
    fn schedule_first(&mut self, held_at_most: f64) {
        let now = self.tick();
        self.report();
        if let Some(persistence) = &self.persistence {
            self.router_host.timers.set(now + persistence.every(), TimerEvent::Snapshot);
        }
        if self.known.is_some() {
            // Scheduled first, so that the list is in force before waiting connections are accepted.
            self.router_host.timers.set(now + FIRST_LIST_TIMEOUT_SECONDS, TimerEvent::FirstListTimeout);
            self.router_host.downstream.hold(
                now,
                now + FIRST_LIST_TIMEOUT_SECONDS.min(held_at_most),
                &mut self.router_host.timers,
            );
        }
        self.discovery.call(now, &mut self.router_host.timers);
    }

    /// Runs iterations until the listeners are closed and no client connection is left.
    fn run(&mut self, event_loop: &mut calloop::EventLoop<'static, Iteration>) -> calloop::Result<()> {
        let mut turn = Iteration::default();
        while !(self.over && self.router_host.downstream.count() == 0) {
            let next = self.router_host.timers.until_next(self.clock.now());
            let wait = next.map_or(SIGNAL_POLL_INTERVAL, |next| next.min(SIGNAL_POLL_INTERVAL));
            event_loop.dispatch(wait, &mut turn)?;
            // No event came, only a timer: idle work delays nobody.
            let idle = turn.ready.is_empty();
            self.begin_iteration();
            self.detect_disconnects(&turn);
            while let Some(ready) = turn.ready.pop_front() {
                self.turn(ready);
            }
            self.run_timers();
            self.end_iteration(idle);
        }
        Ok(())
    }

    /// Writes the state that outlasts the process, and stops the control plane's thread.
    fn finish(&mut self) {
        let now = self.tick();
        if let (Some(persistence), Some(pool)) = (&mut self.persistence, self.background.pool()) {
            persistence.finish(now, &mut self.router, &self.router_host, pool);
        }
        self.router_host.control_plane.iter_mut().for_each(ControlPlane::stop);
    }
}
