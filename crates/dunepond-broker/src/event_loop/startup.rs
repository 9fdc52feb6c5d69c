//! Builds a broker from its configuration and runs it until it has shut down.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use dunepond_background::Scheduler;
use dunepond_body_buffer::SpillFolder;
use dunepond_config::operator;
use dunepond_config::{ConfigError, HostSettings};
use dunepond_control_plane::TestDoubles;
use dunepond_routing::{Deployment, Idempotency, MemoryLimits, QueryMemory, Router, ShutdownStage};
use dunepond_storage::FileStore;
use tracing::info;

use super::EventLoop;
use super::iteration_times::IterationTimes;
use super::setup::{
    BodySpool, listen_with_retry, setup_error, start_body_spool, start_job_pool, watch_signals,
};
use super::turn_times::TurnTimes;
use crate::background::Background;
use crate::body_store::BodyStore;
use crate::buffers::{self, Pool, Pools};
use crate::clock::Clock;
use crate::config::StartupConfig;
use crate::config_reload::ConfigReloader;
use crate::control_plane::ControlPlaneClient;
use crate::discovery::DiscoveryClient;
use crate::downstream::Downstream;
use crate::iteration::{EventLoopHandle, LoopEvent, Port, event_channel};
use crate::persistence::Persistence;
use crate::prefilter::{PrefilterHost, PrefilterMemoryLimits};
use crate::prefilter_connections::PrefilterConnections;
use crate::read_turn::UnfinishedTurns;
use crate::router::RouterHost;
use crate::run_id::RunId;
use crate::search_api::SearchApi;
use crate::signals::{CaughtSignals, catch_signals};
use crate::socket_buffers::SocketBuffers;
use crate::upstream::Upstream;

/// Accepting connections may wait for the first endpoint list for at most this share of the shortest query timeout.
/// Guards against a client that learns of a rejection too late to ask another broker.
const MAX_ACCEPT_DELAY_RATIO: f64 = 0.5;

/// What the caller of [`serve`] may replace or add.
#[derive(Default)]
pub struct Hooks {
    /// The caught signals; `None` if [`serve`] is to catch them.
    pub signals: Option<CaughtSignals>,
    /// Path of the operator's file, which SIGHUP reloads.
    pub operator_file: Option<PathBuf>,
    /// Folder for the disk spill of bodies, instead of the one that the operator's file names.
    pub body_folder: Option<Arc<dyn SpillFolder>>,
    /// Store for the state files, instead of the folder that the operator's file names.
    pub state_files: Option<Arc<dyn FileStore>>,
    /// Test doubles for the fleet's data directory and fill service.
    pub control_plane: TestDoubles,
}

/// A broker that is ready to run.
struct Broker {
    event_loop: EventLoop,
    /// Address of the listener for clients.
    address: SocketAddr,
    /// The folder of the disk spill for bodies, if there is one.
    body_folder: Option<Arc<dyn SpillFolder>>,
    /// Longest time in seconds for which accepting connections may wait for the first endpoint list.
    max_accept_delay: f64,
}

/// The router's host, with the optional components that the operator's file enables.
struct Host {
    router_host: RouterHost,
    prefilter: Option<PrefilterHost>,
    address: SocketAddr,
    body_folder: Option<Arc<dyn SpillFolder>>,
}

/// The router's host, with the prefilter connections and the address of the listener for clients.
struct Connections {
    router_host: RouterHost,
    prefilter_connections: PrefilterConnections,
    address: SocketAddr,
}

/// What all connections share.
struct SharedByConnections<'a> {
    pools: &'a Pools,
    memory_limits: MemoryLimits,
    socket_buffers: SocketBuffers,
    settings: &'a Rc<HostSettings>,
    handle: &'a EventLoopHandle,
    unfinished_turns: &'a UnfinishedTurns,
}

/// Runs a broker until a signal has shut it down. Fails if something that it needs cannot be set up.
pub fn serve(startup: StartupConfig, mut hooks: Hooks) -> Result<(), ConfigError> {
    buffers::configure_allocator();
    let mut poller = calloop::EventLoop::try_new().map_err(|e| setup_error("loop", &e))?;
    let handle = poller.handle();
    let CaughtSignals { signals, since } = hooks.signals.take().map_or_else(catch_signals, Ok)?;
    watch_signals(&handle, signals)?;
    let Broker { mut event_loop, address, body_folder, max_accept_delay } =
        build(startup, hooks, since, &handle)?;
    event_loop.schedule_startup_timers(max_accept_delay);
    info!("listening on {address}");
    event_loop.run(&mut poller).map_err(|e| setup_error("loop", &e))?;
    event_loop.finish();
    if let Some(folder) = &body_folder {
        folder.close();
    }
    info!("stopped");
    Ok(())
}

/// Builds a broker. `signals_since` is the time since which signals are caught; no caught signal came earlier.
fn build(
    startup: StartupConfig,
    mut hooks: Hooks,
    signals_since: Instant,
    handle: &EventLoopHandle,
) -> Result<Broker, ConfigError> {
    let memory_limits = startup.memory_limits()?;
    let (pools, host_settings) = (create_pools(&memory_limits), Rc::new(startup.host_settings.clone()));
    let unfinished_turns = UnfinishedTurns::default();
    let agent = startup.discovery_address;
    let socket_buffer_bytes = memory_limits.socket_buffer_bytes(startup.max_connections());
    let socket_buffers = SocketBuffers::new(socket_buffer_bytes as usize);
    let mut discovery =
        DiscoveryClient::new(handle.clone(), &pools.nodes, agent, &host_settings, &unfinished_turns);
    discovery.socket_buffers = socket_buffers;
    // An invalid configured list is ignored, as discovery will send a list.
    let configured_endpoints = discovery.parse_configured_list(&startup.configured_endpoints).ok();
    let shared = SharedByConnections {
        pools: &pools,
        memory_limits,
        socket_buffers,
        settings: &host_settings,
        handle,
        unfinished_turns: &unfinished_turns,
    };
    let Host { router_host, prefilter, address, body_folder } = open_host(&startup, &mut hooks, &shared)?;
    let timeouts = startup.deployment.query_classes.iter().map(|class| class.timeout);
    let max_accept_delay = MAX_ACCEPT_DELAY_RATIO * timeouts.clone().fold(f64::MAX, f64::min);
    let longest_timeout = timeouts.fold(0.0, f64::max);
    let seed = startup.deployment.seed;
    let router = Router::new(startup.deployment);
    let (clock, operator) = (Clock::start(), startup.operator);
    let job_pool = start_job_pool(&operator, handle)?;
    let reloaded = event_channel(handle, LoopEvent::ConfigLoaded);
    let reloaded = reloaded.map_err(|e| setup_error("configuration", &e))?;
    let config_reloader = ConfigReloader::new(reloaded, hooks.operator_file);
    let mut background = Background::new(Scheduler::new(operator.background.clone(), seed), job_pool);
    let persistence = operator.recovery.clone().map(|config| {
        let query_classes = host_settings.query_classes.clone();
        Persistence::start(clock.now(), config, hooks.state_files, query_classes, &mut background)
    });
    let event_loop = EventLoop {
        clock,
        router,
        router_host,
        discovery,
        prefilter,
        background,
        persistence,
        audit_scheduled: false,
        config_reloader,
        operator,
        configured_endpoints,
        times: IterationTimes::new(clock.at(signals_since)),
        turn_times: TurnTimes::new(),
        unfinished_turns,
        longest_timeout,
        shutdown: None,
        shutdown_stage: ShutdownStage::Serving,
        listeners_closed: false,
    };
    Ok(Broker { event_loop, address, body_folder, max_accept_delay })
}

/// Creates the pools of buffers.
fn create_pools(limits: &MemoryLimits) -> Pools {
    Pools {
        clients: Pool::with_limit(limits.client_buffer_bytes() as usize),
        nodes: Pool::with_limit(limits.node_buffer_bytes() as usize),
        frames: Pool::with_limit(limits.node_frame_bytes() as usize),
    }
}

/// Creates the router's host, with the optional components that the operator's file enables.
fn open_host(
    startup: &StartupConfig,
    hooks: &mut Hooks,
    shared: &SharedByConnections,
) -> Result<Host, ConfigError> {
    let Connections { mut router_host, prefilter_connections, address } = open_connections(startup, shared)?;
    if let Some(search) = &startup.operator.search_api {
        open_search_api(&mut router_host, search, shared, &startup.deployment)?;
    }
    let mut body_folder = None;
    if let Some(bodies) = &startup.operator.body_buffer {
        let replacement = hooks.body_folder.take();
        body_folder = open_body_store(&mut router_host, bodies, replacement, shared)?;
    }
    let config = startup.operator.prefilter.clone();
    let prefilter_limits = PrefilterMemoryLimits {
        max_entries: shared.memory_limits.max_prefilter_entries(),
        max_audit_text_bytes: shared.memory_limits.max_audit_text_bytes(),
    };
    let prefilter = config.map(|config| PrefilterHost::new(config, prefilter_limits, &startup.deployment));
    router_host.prefilter_connections = prefilter.is_some().then_some(prefilter_connections);
    if let Some(fleet) = &startup.operator.fleet {
        let test_doubles = std::mem::take(&mut hooks.control_plane);
        let name = &startup.name;
        start_control_plane(&mut router_host, fleet, name, &startup.deployment, test_doubles, shared)?;
    }
    Ok(Host { router_host, prefilter, address, body_folder })
}

/// Listens for clients, and prepares the connections to nodes.
fn open_connections(
    startup: &StartupConfig,
    shared: &SharedByConnections,
) -> Result<Connections, ConfigError> {
    let SharedByConnections {
        pools,
        memory_limits,
        socket_buffers,
        settings: host_settings,
        handle,
        unfinished_turns,
    } = *shared;
    let failed_to_listen = |e: &dyn std::fmt::Display| setup_error("GW_LISTEN", e);
    let listener =
        listen_with_retry("GW_LISTEN", startup.listen_address).map_err(|e| failed_to_listen(&e))?;
    let address = listener.local_addr().map_err(|e| failed_to_listen(&e))?;
    socket_buffers.apply(&listener);
    let downstream = Downstream::new(
        handle.clone(),
        &pools.clients,
        host_settings.clone(),
        startup.max_clients,
        listener,
        unfinished_turns,
    );
    let mut downstream = downstream.map_err(|e| failed_to_listen(&e))?;
    downstream.max_unread_bytes = memory_limits.unread_response_bytes() as usize;
    let max_prefilter =
        if startup.operator.prefilter.is_some() { startup.max_node_connections / 4 } else { 0 };
    let mut prefilter_connections = PrefilterConnections::new(
        handle.clone(),
        pools,
        host_settings.clone(),
        max_prefilter,
        unfinished_turns,
    );
    prefilter_connections.socket_buffers = socket_buffers;
    let max_upstream = startup.max_node_connections - max_prefilter;
    let mut upstream =
        Upstream::new(handle.clone(), pools, host_settings.clone(), max_upstream, unfinished_turns);
    upstream.socket_buffers = socket_buffers;
    if !startup.operator.search_api_nodes.is_empty() {
        let classes = startup.deployment.query_classes.iter();
        let is_non_idempotent = classes.map(|class| class.idempotency == Idempotency::NonIdempotent);
        upstream.set_search_api_nodes(startup.operator.search_api_nodes.clone(), is_non_idempotent.collect());
    }
    let run_id = RunId::random().map_err(|e| setup_error("the system's random source", &e))?;
    let memory = QueryMemory::new(memory_limits);
    let router_host = RouterHost::new(
        &startup.deployment,
        host_settings.clone(),
        pools,
        downstream,
        upstream,
        run_id,
        memory,
    );
    Ok(Connections { router_host, prefilter_connections, address })
}

/// Enables the search API, and listens for its clients.
fn open_search_api(
    router_host: &mut RouterHost,
    config: &operator::SearchApiConfig,
    shared: &SharedByConnections,
    deployment: &Deployment,
) -> Result<(), ConfigError> {
    let failed_to_listen = |e: &dyn std::fmt::Display| setup_error("search: listen", e);
    let listener =
        listen_with_retry("search: listen", config.listen_address).map_err(|e| failed_to_listen(&e))?;
    let address = listener.local_addr().map_err(|e| failed_to_listen(&e))?;
    shared.socket_buffers.apply(&listener);
    router_host.downstream.add_listener(listener, Port::SearchApi).map_err(|e| failed_to_listen(&e))?;
    router_host.downstream.search_api =
        Some(Rc::new(SearchApi::new(config.limits.clone(), shared.settings.clone(), deployment)));
    info!("the API listening at {address}");
    Ok(())
}

/// Enables streamed bodies; returns the folder of their disk spill, if the operator's file names one.
fn open_body_store(
    router_host: &mut RouterHost,
    config: &operator::BodyBufferConfig,
    replacement: Option<Arc<dyn SpillFolder>>,
    shared: &SharedByConnections,
) -> Result<Option<Arc<dyn SpillFolder>>, ConfigError> {
    router_host.downstream.accepts_streamed = true;
    let spool = start_body_spool(config, replacement, shared.handle)?;
    let (spool, folder) = spool.map(|BodySpool { spool, folder }| (spool, folder)).unzip();
    let query_classes = shared.settings.query_classes.clone();
    let max_body_bytes = shared.memory_limits.body_bytes() as u64;
    router_host.body_store =
        Some(BodyStore::new(config.limits.clone(), max_body_bytes, spool, query_classes));
    Ok(folder)
}

/// Starts the control plane's thread, and sets it up to check frames against its active configuration before they are
/// sent.
fn start_control_plane(
    router_host: &mut RouterHost,
    config: &operator::FleetConfig,
    name: &str,
    deployment: &Deployment,
    test_doubles: TestDoubles,
    shared: &SharedByConnections,
) -> Result<(), ConfigError> {
    let tenants = router_host.tenants();
    let memory_bytes = shared.memory_limits.control_plane_bytes() as usize;
    let control_plane = ControlPlaneClient::start(
        config,
        name,
        deployment,
        &tenants,
        memory_bytes,
        test_doubles,
        shared.handle,
    )?;
    router_host.upstream.gate = Some(control_plane.gate.clone());
    router_host.control_plane = Some(control_plane);
    Ok(())
}
