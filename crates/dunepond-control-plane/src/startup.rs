//! Assembly of the control plane: what is stored is opened, consensus and the links are started, and the control loop gets
//! its thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{Sender, bounded, unbounded};
use dunepond_consensus::{ConsensusConfig, ConsensusError, LeaseClient, StoredVoter, Voter};
use dunepond_membership::MembershipOptions;
use dunepond_settlement as settlement;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing::{error, info};

use crate::audit_log::AuditLog;
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::commitments::Commitments;
use crate::config::{ControlPlaneConfig, FillConfig, Partner, TestDoubles};
use crate::control_loop::{
    ControlLoop, DEFAULT_SETTLE_SECONDS, FillEnded, FillLane, LOG_SHARE_HOLDER, Lane, LoopState, Proposals,
    QuotaSharing, Rebalancing, Settlements, TrafficCounts,
};
use crate::data_directory::{DataDirectory, StoredState};
use crate::error::ControlPlaneError;
use crate::fill_client::{FillClient, HttpFillClient};
use crate::handle::{ActivityCounters, CarriedBytes, ControlHandle, LoopRequest};
use crate::{link_limits, lost_majority};

/// Longest that a shutdown waits for each thread.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Requests of the event loop that may wait.
const MAX_QUEUED_COMMANDS: usize = 16;

/// A running control plane.
pub struct ControlPlane {
    handle: ControlHandle,
    listen_address: SocketAddr,
    thread: JoinHandle<()>,
    audit_log: Option<AuditLog>,
}

fn settlement_error(e: settlement::SettlementError) -> ControlPlaneError {
    ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() }
}

fn consensus_error(e: ConsensusError) -> ControlPlaneError {
    ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() }
}

fn read_key(path: PathBuf) -> Result<String, ControlPlaneError> {
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok(text.trim().to_string()),
        Err(e) => Err(ControlPlaneError::Key { path, why: e.to_string() }),
    }
}

/// The voter, where this broker is one: by an operator's statement on a lost majority if there is one, else from its
/// journal.
fn open_voter(
    config: &ControlPlaneConfig,
    data: &mut DataDirectory,
    stored: StoredVoter,
    now: f64,
    rng: &mut Pcg64Mcg,
) -> Result<Option<Voter>, ControlPlaneError> {
    let terms = &config.terms;
    if !terms.voters.contains(&terms.name) {
        return Ok(None);
    }
    let recovered = lost_majority::recover(&config.data_directory, data, terms, &stored, now, rng.random())?;
    let voter = match recovered {
        Some(voter) => voter,
        None => match Voter::open(terms.clone(), stored, now, rng.random()) {
            // As good as a lost directory, which the other voters allow for.
            Err(e @ (ConsensusError::CorruptRecord(_) | ConsensusError::CorruptLog(_))) => {
                error!("fleet: {e} ({}); this voter begins anew", e.help());
                Voter::open(terms.clone(), StoredVoter::new(), now, rng.random())
            }
            other => other,
        }
        .map_err(consensus_error)?,
    };
    lost_majority::log_recovery_facts(&voter);
    Ok(Some(voter))
}

fn open_counts(
    stored: Option<settlement::LocalCounts>,
    broker: &str,
    incarnation: u64,
) -> Result<settlement::LocalCounts, ControlPlaneError> {
    let opened = match settlement::LocalCounts::open(stored.clone(), broker, incarnation) {
        // The clock went back, and the number of starts was lost.
        Err(settlement::SettlementError::OldIncarnation { kept, .. }) => {
            settlement::LocalCounts::open(stored, broker, kept + 1)
        }
        other => other,
    };
    opened.map_err(settlement_error)
}

fn partner_sides(partners: &[Partner]) -> settlement::BrokerPartners {
    let brokers = |p: &Partner| {
        let name = p.name.clone();
        p.brokers.clone().into_iter().map(move |broker| (broker, name.clone()))
    };
    settlement::BrokerPartners {
        partner_of: partners.iter().flat_map(brokers).collect(),
        metered: partners.iter().filter(|p| p.metered).map(|p| p.name.clone()).collect(),
    }
}

/// What both lanes of fills are made of.
struct FillSetup {
    client: Option<Arc<dyn FillClient>>,
    ended: Sender<FillEnded>,
    link_rates: BTreeMap<(String, String), f64>,
    default_link_rate: f64,
    deadline_seconds: f64,
    segment_bytes: u64,
    max_concurrent: usize,
}

impl FillSetup {
    fn new(
        config: &ControlPlaneConfig,
        client: Option<Arc<dyn FillClient>>,
        ended: Sender<FillEnded>,
    ) -> Self {
        let fills = config.fills.as_ref();
        let http_client =
            |fills: &FillConfig| -> Arc<dyn FillClient> { Arc::new(HttpFillClient::new(fills.fill_service)) };
        let rates = config
            .link_rates
            .iter()
            .map(|link| ((link.from.clone(), link.to.clone()), link.bytes_per_second as f64));
        let default_rate = config.rebalancing.as_ref().and_then(|it| it.default_link_rate);
        Self {
            client: client.or(fills.map(http_client)),
            ended,
            link_rates: rates.collect(),
            default_link_rate: default_rate.map_or(f64::INFINITY, |rate| rate as f64),
            deadline_seconds: config.terms.fill_deadline_seconds,
            segment_bytes: fills.map_or(1, |fills| fills.segment_bytes),
            max_concurrent: fills.map_or(1, |fills| fills.max_concurrent_fills),
        }
    }

    fn lane(&self, lane: Lane, by: &str, rng: &mut Pcg64Mcg) -> FillLane {
        FillLane::new(
            lane,
            self.client.clone(),
            self.ended.clone(),
            settlement::FillPlanner::new(by, settlement::PlanningRule::MaxMin, rng.random()),
            settlement::LinkCapacities {
                caps: self.link_rates.clone(),
                unstated: self.default_link_rate,
                inside: f64::INFINITY,
            },
            settlement::FillRetryPolicy {
                deadline: self.deadline_seconds,
                ..settlement::FillRetryPolicy::default()
            },
            self.segment_bytes,
            self.max_concurrent,
            Pcg64Mcg::seed_from_u64(rng.random()),
        )
    }
}

fn role(terms: &ConsensusConfig) -> &'static str {
    if terms.voters.contains(&terms.name) { "voter" } else { "no voter" }
}

/// Starts the control plane. `wake` is called on its thread whenever what the broker may act on has changed; it must not
/// block.
pub fn start(
    mut config: ControlPlaneConfig,
    doubles: TestDoubles,
    wake: impl Fn() + Send + 'static,
) -> Result<ControlPlane, ControlPlaneError> {
    let link_limits = link_limits::bounds(&config);
    config.terms.check()?;
    let name = config.terms.name.clone();
    let key = config.key_file.take().map(read_key).transpose()?;
    let votes = config.terms.voters.contains(&name);
    let unix_millis = (unix_seconds() * 1000.0) as u64;
    let (mut data, stored) =
        DataDirectory::open(&config.data_directory, doubles.storage, votes, unix_millis)?;
    let StoredState { incarnation, voter_records, config: stored_config, counts, commitments } = stored;
    // Differs at each start and at each broker.
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed ^ incarnation ^ name_hash(&name));
    let now = monotonic_seconds();
    let voter = open_voter(&config, &mut data, voter_records, now, &mut rng)?;
    let mut member = LeaseClient::new(config.terms.clone(), stored_config, now, rng.random());
    let audit_log = config.audit_log_file.take().map(|path| AuditLog::start(&path, &name, incarnation));
    let (audit_sender, audit_log) = audit_log.transpose()?.unzip();
    let configured_brokers = config.known_brokers.iter().map(|known| known.0.clone()).collect();
    let known_brokers = std::mem::take(&mut config.known_brokers);
    let mut links =
        MembershipOptions::new(&name, incarnation, config.listen_address, known_brokers, rng.random());
    (links.key, links.limits) = (key, link_limits);
    let (peers, events) = dunepond_membership::start(links)?;
    let listen_address = peers.local_addr();

    let (commands, command_queue) = bounded(MAX_QUEUED_COMMANDS);
    let partners: Vec<_> = config.partners.iter().map(|partner| partner.name.clone()).collect();
    let handle = ControlHandle {
        demand: Arc::default(),
        active_config: Arc::new(ArcSwap::from_pointee(member.active_config())),
        carried_bytes: Arc::new(CarriedBytes::new(partners.len())),
        audit_log: audit_sender.clone(),
        commands,
        listed_nodes: Arc::new(ArcSwap::from_pointee(Vec::new())),
        started_nodes: Arc::new(ArcSwap::from_pointee(Vec::new())),
        counters: Arc::new(ActivityCounters::default()),
        link_counters: Arc::default(),
    };
    let quotas = config
        .quotas
        .take()
        .map(|quotas| QuotaSharing::new(quotas, config.terms.lease_seconds, handle.demand.clone(), now));

    let counts = open_counts(counts, &name, incarnation)?;
    let sides = partner_sides(&config.partners);
    let commitments = match commitments {
        Some(commitments) => commitments,
        None => Commitments::new(&name).map_err(settlement_error)?,
    };
    member.set_known_settlements(commitments.applied_entries);
    let fill_rate = config.fills.as_ref().map_or(f64::MAX, |fills| fills.bytes_per_second as f64);
    let balance_terms =
        settlement::SettlementTerms { most_rate: fill_rate, ..settlement::SettlementTerms::default() };
    let balances = settlement::Balances::new(balance_terms, sides.clone(), commitments.ledger.clone())
        .map_err(settlement_error)?;
    let (fill_ended, finished_fills) = unbounded();
    let setup = FillSetup::new(&config, doubles.fill_client, fill_ended);
    let version_fills = setup.lane(Lane::Version, LOG_SHARE_HOLDER, &mut rng);
    let mut own_fills = setup.lane(Lane::Own, &name, &mut rng);
    // Committed before the restart: whether it is done, the fill service knows.
    let unfinished = commitments.fills.values().filter(|fill| !fill.done);
    own_fills.resume(unfinished.map(|committed| committed.fill.clone()), now);
    let fills_started_nodes = config.fills.as_ref().is_some_and(|fills| fills.fill_started_nodes);
    let rebalancing = config.rebalancing.as_ref();
    info!("fleet: {name} listening at {listen_address}, start {incarnation}, {}", role(&config.terms));
    let control_loop = ControlLoop {
        name,
        lease_seconds: config.terms.lease_seconds,
        voter,
        member,
        data,
        peers,
        events,
        commands: command_queue,
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
        rebalancing: Rebalancing::new(
            rebalancing.map(|it| it.plan_file.clone()),
            rebalancing.map_or(1, |it| it.max_concurrent_acts),
            rebalancing.map_or(DEFAULT_SETTLE_SECONDS, |it| it.settle_seconds),
        ),
        traffic: TrafficCounts::new(
            partners,
            handle.carried_bytes.clone(),
            counts,
            balances,
            sides,
            Pcg64Mcg::seed_from_u64(rng.random()),
        ),
        settlement: Settlements::new(commitments, fills_started_nodes),
        version_fills,
        own_fills,
        quotas,
        finished_fills,
        fill_bytes_per_second: fill_rate,
        slow_start: config.slow_start,
        started_nodes: handle.started_nodes.clone(),
        configured_brokers,
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
    /// What the event loop holds; cheap to clone.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// Where other brokers reach this one.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Shuts down gracefully: counts are stored and the audit log is flushed. A disk that does not answer is not waited for.
    pub fn stop(self) {
        let _ = self.handle.commands.send_timeout(LoopRequest::Stop, SHUTDOWN_TIMEOUT);
        join_with_timeout(self.thread);
        if let Some(audit_log) = self.audit_log {
            audit_log.finish();
        }
    }
}
