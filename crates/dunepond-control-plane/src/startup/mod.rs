//! Startup of the control plane: opens the stored state, starts the links to other brokers, and runs the control loop
//! on its own thread.

mod assembly;
mod fills;
mod settlement;
mod stored;
mod voter;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{Sender, bounded};
use dunepond_consensus::{ActiveConfig, ConsensusConfig};
use dunepond_membership::MembershipOptions;
use rand::RngExt;
use tracing::{error, info};

use crate::audit_log::{AuditLog, AuditSender};
use crate::config::{ControlPlaneConfig, QuotaConfig, TestDoubles};
use crate::control_loop::{ControlLoop, QuotaSharing};
use crate::error::ControlPlaneError;
use crate::handle::{CarriedBytes, ControlHandle, LoopRequest};
use crate::link_limits;
use assembly::{Links, LoopParts};
use fills::FillSchedulers;
use settlement::Accounts;
use stored::OpenedStorage;

/// Maximum time that a shutdown waits for each thread.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of queued requests from the event loop.
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

fn role(config: &ConsensusConfig) -> &'static str {
    if config.voters.contains(&config.name) { "voter" } else { "not a voter" }
}

/// Creates the event loop's handle with this active configuration. All other shared state is empty at first.
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

fn start_audit_log(
    path: Option<PathBuf>,
    broker: &str,
    incarnation: u64,
) -> Result<(Option<AuditSender>, Option<AuditLog>), ControlPlaneError> {
    let started = path.map(|path| AuditLog::start(&path, broker, incarnation)).transpose()?;
    Ok(started.unzip())
}

fn start_links(
    config: &ControlPlaneConfig,
    incarnation: u64,
    key: Option<String>,
    seed: u64,
) -> Result<Links, ControlPlaneError> {
    let (name, known_brokers) = (&config.consensus.name, config.known_brokers.clone());
    let mut options = MembershipOptions::new(name, incarnation, config.listen_address, known_brokers, seed);
    options.key = key;
    options.limits = link_limits::limits_for(config);
    let (peers, events) = dunepond_membership::start(options)?;
    Ok(Links { peers, events })
}

fn new_quotas(
    config: Option<QuotaConfig>,
    lease_seconds: f64,
    handle: &ControlHandle,
    now: f64,
) -> Option<QuotaSharing> {
    config.map(|config| QuotaSharing::new(config, lease_seconds, handle.demand.clone(), now))
}

fn spawn(control_loop: ControlLoop) -> Result<JoinHandle<()>, ControlPlaneError> {
    let thread = std::thread::Builder::new().name("fleet".to_string()).spawn(move || control_loop.run());
    thread.map_err(|e| ControlPlaneError::Thread { why: e.to_string() })
}

/// Starts the control plane. `wake` is called on the control plane's thread whenever the phase of the configuration or
/// the configuration versions that apply have changed; it must not block.
///
/// # Errors
/// If the consensus configuration is inconsistent, the key or the data directory cannot be read, the operator's
/// recovery order for a lost majority does not match, the address cannot be bound, or the audit log or a thread cannot
/// be started.
pub fn start(
    mut config: ControlPlaneConfig,
    doubles: TestDoubles,
    wake: impl Fn() + Send + 'static,
) -> Result<ControlPlane, ControlPlaneError> {
    config.consensus.check()?;
    let name = config.consensus.name.clone();
    let key = config.key_file.take().map(read_key).transpose()?;
    // The components draw their seeds from `stored.rng` one after the other, so the order in which they are created
    // must not change.
    let mut stored = OpenedStorage::open(&config, doubles.storage)?;
    let incarnation = stored.incarnation;
    let (audit_sender, audit_log) = start_audit_log(config.audit_log_file.take(), &name, incarnation)?;
    let links = start_links(&config, incarnation, key, stored.rng.random())?;
    let listen_address = links.peers.local_addr();
    let (request_sender, requests) = bounded(MAX_QUEUED_REQUESTS);
    let active_config = stored.lease_client.active_config();
    let handle = new_handle(active_config, config.partners.len(), audit_sender, request_sender);
    let quotas = new_quotas(config.quotas.take(), config.consensus.lease_seconds, &handle, stored.opened_at);
    let accounts = Accounts::open(&config, &mut stored)?;
    let fills = FillSchedulers::new(&config, doubles.fill_client, &accounts.commitments, &mut stored);
    info!(
        "fleet: {name} listening at {listen_address}, incarnation {incarnation}, {}",
        role(&config.consensus)
    );
    let (wake, crash_hook) = (Box::new(wake), doubles.crash_hook);
    let parts = LoopParts { stored, links, requests, quotas, accounts, fills, wake, crash_hook };
    let thread = spawn(parts.assemble(config, &handle))?;
    Ok(ControlPlane { handle, listen_address, thread, audit_log })
}

/// FNV-1a hash of a name. Mixed into the seed, so that brokers with the same configured seed have different random
/// numbers. Also used to assign nodes to brokers.
pub(crate) fn name_hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Returns the seed of one start of a broker. It differs at each start and at each broker, as the ids that are drawn from it must.
fn start_seed(configured_seed: u64, incarnation: u64, name: &str) -> u64 {
    configured_seed ^ incarnation ^ name_hash(name)
}

/// Waits until a thread ends, at most for [`SHUTDOWN_TIMEOUT`].
pub(crate) fn join_with_timeout(thread: JoinHandle<()>) {
    let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
    while !thread.is_finished() {
        if Instant::now() > deadline {
            return error!("fleet: a thread did not end in time; check the disk");
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let _ = thread.join();
}

impl ControlPlane {
    /// The event loop's handle. Cheap to clone.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The address at which this broker listens for the other brokers.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Shuts down gracefully: the traffic counts are stored and the audit log is flushed. If a thread hangs, for
    /// example on a disk that does not respond, the shutdown stops waiting for it after a timeout.
    pub fn stop(self) {
        let _ = self.handle.requests.send_timeout(LoopRequest::Stop, SHUTDOWN_TIMEOUT);
        join_with_timeout(self.thread);
        if let Some(audit_log) = self.audit_log {
            audit_log.finish();
        }
    }
}

#[cfg(test)]
mod tests;
