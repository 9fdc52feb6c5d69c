//! Assembly of the control plane: what is stored is opened, consensus and the links are started, and the control loop gets
//! its thread.

mod fills;
mod settlement;
mod voter;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use dunepond_consensus::{ActiveConfig, ConsensusConfig, LeaseClient};
use dunepond_membership::{Event, MembershipOptions, Peers};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing::{error, info};

use crate::audit_log::{AuditLog, AuditSender};
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::config::{ControlPlaneConfig, RebalanceConfig, TestDoubles};
use crate::control_loop::{
    ControlLoop, DEFAULT_SETTLE_SECONDS, FillKind, LOG_SHARE_HOLDER, LoopState, Proposals, QuotaSharing,
    Rebalancing, Settlements, TrafficCounts,
};
use crate::data_directory::DataDirectory;
use crate::error::ControlPlaneError;
use crate::handle::{CarriedBytes, ControlHandle, LoopRequest};
use crate::link_limits;
use fills::{FillSetup, fill_rate, fills_started_nodes};
use settlement::{broker_partners, new_balances, open_commitments, open_counts};
use voter::open_voter;

/// Longest that a shutdown waits for each thread.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Requests of the event loop that may wait for the control loop.
const MAX_QUEUED_REQUESTS: usize = 16;

/// A running control plane.
pub struct ControlPlane {
    handle: ControlHandle,
    listen_address: SocketAddr,
    thread: JoinHandle<()>,
    audit_log: Option<AuditLog>,
}

fn read_key(path: PathBuf) -> Result<String, ControlPlaneError> {
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok(text.trim().to_string()),
        Err(e) => Err(ControlPlaneError::Key { path, why: e.to_string() }),
    }
}

fn role(terms: &ConsensusConfig) -> &'static str {
    if terms.voters.contains(&terms.name) { "voter" } else { "no voter" }
}

/// The handle of the event loop, with nothing published yet.
fn new_handle(
    active_config: ActiveConfig,
    partner_count: usize,
    audit_log: Option<AuditSender>,
    requests: Sender<LoopRequest>,
) -> ControlHandle {
    ControlHandle {
        active_config: Arc::new(ArcSwap::from_pointee(active_config)),
        carried_bytes: Arc::new(CarriedBytes::new(partner_count)),
        audit_log,
        requests,
        listed_nodes: Arc::default(),
        started_nodes: Arc::default(),
        counters: Arc::default(),
        demand: Arc::default(),
        link_counters: Arc::default(),
    }
}

fn new_rebalancing(config: Option<&RebalanceConfig>) -> Rebalancing {
    match config {
        Some(config) => Rebalancing::new(
            Some(config.plan_file.clone()),
            config.max_concurrent_acts,
            config.settle_seconds,
        ),
        None => Rebalancing::new(None, 1, DEFAULT_SETTLE_SECONDS),
    }
}

fn start_links(
    config: &ControlPlaneConfig,
    incarnation: u64,
    key: Option<String>,
    seed: u64,
) -> Result<(Peers, Receiver<Event>), ControlPlaneError> {
    let (name, known_brokers) = (&config.terms.name, config.known_brokers.clone());
    let mut options = MembershipOptions::new(name, incarnation, config.listen_address, known_brokers, seed);
    options.key = key;
    options.limits = link_limits::limits_for(config);
    Ok(dunepond_membership::start(options)?)
}

/// Starts the control plane. `wake` is called on its thread whenever what the broker may act on has changed; it must not
/// block.
///
/// # Errors
/// If the terms contradict each other, the key or the data directory cannot be read, an operator's order on a lost
/// majority does not fit, the address cannot be bound, or the audit log or the thread cannot be started.
pub fn start(
    mut config: ControlPlaneConfig,
    doubles: TestDoubles,
    wake: impl Fn() + Send + 'static,
) -> Result<ControlPlane, ControlPlaneError> {
    config.terms.check()?;
    let name = config.terms.name.clone();
    let key = config.key_file.take().map(read_key).transpose()?;
    let is_voter = config.terms.voters.contains(&name);
    let unix_millis = (unix_seconds() * 1000.0) as u64;
    let (mut data, stored) =
        DataDirectory::open(&config.data_directory, doubles.storage, is_voter, unix_millis)?;
    let incarnation = stored.incarnation;
    // Differs at each start and at each broker.
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed ^ incarnation ^ name_hash(&name));
    let now = monotonic_seconds();
    let voter = open_voter(&config, &mut data, stored.voter_records, now, &mut rng)?;
    let mut lease_client = LeaseClient::new(config.terms.clone(), stored.config, now, rng.random());
    let audit_log = config.audit_log_file.take().map(|path| AuditLog::start(&path, &name, incarnation));
    let (audit_sender, audit_log) = audit_log.transpose()?.unzip();
    let (peers, events) = start_links(&config, incarnation, key, rng.random())?;
    let listen_address = peers.local_addr();

    let (request_sender, requests) = bounded(MAX_QUEUED_REQUESTS);
    let active_config = lease_client.active_config();
    let handle = new_handle(active_config, config.partners.len(), audit_sender.clone(), request_sender);
    let lease_seconds = config.terms.lease_seconds;
    let quotas = config.quotas.take();
    let quotas = quotas.map(|quotas| QuotaSharing::new(quotas, lease_seconds, handle.demand.clone(), now));
    let commitments = open_commitments(stored.commitments, &name)?;
    lease_client.set_known_settlements(commitments.applied_entries);
    let counts = open_counts(stored.counts, &name, incarnation)?;
    let balances = new_balances(&config, &commitments)?;
    let (result_sender, attempt_results) = unbounded();
    let setup = FillSetup::new(&config, doubles.fill_client, result_sender);
    let version_fills = setup.scheduler(FillKind::Version, LOG_SHARE_HOLDER, &mut rng);
    let mut own_fills = setup.scheduler(FillKind::Own, &name, &mut rng);
    // Committed before the restart: the fill service knows whether they are done.
    let unfinished = commitments.fills.values().filter(|fill| !fill.done);
    own_fills.resume(unfinished.map(|committed| committed.fill.clone()), now);
    info!("fleet: {name} listening at {listen_address}, start {incarnation}, {}", role(&config.terms));
    let control_loop = ControlLoop {
        name,
        lease_seconds,
        voter,
        lease_client,
        data,
        peers,
        events,
        requests,
        active_config: handle.active_config.clone(),
        link_counters: handle.link_counters.clone(),
        counters: handle.counters.clone(),
        audit_log: audit_sender,
        wake: Box::new(wake),
        proposals: Proposals::new(
            config.version_file.take(),
            config.query_class_count,
            handle.listed_nodes.clone(),
            config.terms.map_requirements.clone(),
        ),
        rebalancing: new_rebalancing(config.rebalancing.as_ref()),
        traffic: TrafficCounts::new(
            config.partners.iter().map(|partner| partner.name.clone()).collect(),
            handle.carried_bytes.clone(),
            counts,
            balances,
            broker_partners(&config.partners),
            Pcg64Mcg::seed_from_u64(rng.random()),
        ),
        settlement: Settlements::new(commitments, fills_started_nodes(&config)),
        version_fills,
        own_fills,
        quotas,
        attempt_results,
        fill_bytes_per_second: fill_rate(&config),
        slow_start: config.slow_start,
        started_nodes: handle.started_nodes.clone(),
        configured_brokers: config.known_brokers.into_iter().map(|known| known.0).collect(),
        crashes_at: doubles.crashes_at,
        state: LoopState::default(),
    };
    let thread = std::thread::Builder::new().name("fleet".to_string()).spawn(move || control_loop.run());
    let thread = thread.map_err(|e| ControlPlaneError::Thread { why: e.to_string() })?;
    Ok(ControlPlane { handle, listen_address, thread, audit_log })
}

/// FNV-1a of a name: brokers that share a seed differ by it.
pub(crate) fn name_hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Waits for a thread's end, at most [`SHUTDOWN_TIMEOUT`].
pub(crate) fn join_with_timeout(thread: JoinHandle<()>) {
    let until = Instant::now() + SHUTDOWN_TIMEOUT;
    while !thread.is_finished() {
        if Instant::now() > until {
            return error!("fleet: a thread does not end: look at the disk");
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let _ = thread.join();
}

impl ControlPlane {
    /// The event loop's access; cheap to clone.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The bound address at which other brokers reach this one.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Shuts down gracefully: counts are stored and the audit log is flushed. A disk that does not answer is not waited for.
    pub fn stop(self) {
        let _ = self.handle.requests.send_timeout(LoopRequest::Stop, SHUTDOWN_TIMEOUT);
        join_with_timeout(self.thread);
        if let Some(audit_log) = self.audit_log {
            audit_log.finish();
        }
    }
}
