//! The host of what brokers agree on: a thread of its own between the links, the folder and the broker's loop. The loop
//! holds a [`ControlHandle`], which says at each act what is allowed; nothing that it calls there waits.
//!
//! Times are seconds on the steady clock ([`monotonic_seconds`]) unless stated.

mod audit_log;
mod clock;
mod control_loop;
mod data_directory;
mod documents;
mod error;
pub mod explain;
mod fill_client;
#[cfg(test)]
mod golden;
mod handle;
mod link_limits;
mod lost_majority;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{bounded, unbounded};
use dunepond_consensus::{ConsensusConfig, ConsensusError, LeaseClient, StoredVoter, Voter};
use dunepond_settlement as debts;
use dunepond_storage::FileStore;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing::{error, info};

pub use audit_log::{AuditEvent, AuditPhase, AuditRecord};
pub use clock::monotonic_seconds;
pub use control_loop::{CrashPoints, SlowStartPolicy, StartedNode};
pub use error::{ControlPlaneError, FillError, PlanError, VersionError};
pub use fill_client::{FillClient, FillRequest, FillResult, HttpFillClient};
pub use handle::{ActiveConfigWatch, ControlHandle, audit_phase};

use audit_log::AuditLog;
use control_loop::{
    Commitments, ControlLoop, DEFAULT_SETTLE_SECONDS, FillLane, LOG_SHARE_HOLDER, Lane, LoopState, Proposals,
    QuotaSharing, Rebalancing, Settlements, TrafficCounts,
};
use data_directory::{DataDirectory, StoredState};
use handle::{ActivityCounters, CarriedBytes, LoopRequest};

/// Longest that the end waits for each thread.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Commands of the loop that may wait.
const MAX_QUEUED_COMMANDS: usize = 16;

/// What a broker is told of its fleet.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    pub terms: ConsensusConfig,
    pub listen_address: SocketAddr,
    pub data_directory: PathBuf,
    /// Voters and others that are known from the start, this broker among them or not.
    pub known_brokers: Vec<(String, SocketAddr)>,
    /// A file with the fleet's secret.
    pub key_file: Option<PathBuf>,
    pub version_file: Option<PathBuf>,
    pub audit_log_file: Option<PathBuf>,
    pub partners: Vec<Partner>,
    /// From, to, bytes a second.
    pub link_rates: Vec<(String, String, u64)>,
    pub fills: Option<FillConfig>,
    /// How a cold node is spared; nothing: fills take no heed of it.
    pub slow_start: Option<SlowStartPolicy>,
    /// Bounds that the fleet shares, and the seconds between plans.
    pub quotas: Option<(dunepond_quota::SharedQuotas, f64)>,
    pub rebalancing: Option<RebalanceConfig>,
    /// Entries that lists by table type have.
    pub query_class_count: usize,
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct Partner {
    pub name: String,
    /// Its brokers: what they count speaks for its side.
    pub brokers: Vec<String>,
    /// They also count what its own nodes carry: the lesser of both sides' counts is owed.
    pub metered: bool,
}

/// Plans of moves.
#[derive(Clone, Debug)]
pub struct RebalanceConfig {
    /// The operator's document.
    pub plan_file: PathBuf,
    /// Acts of one step, at most.
    pub max_concurrent_acts: usize,
    /// Seconds between two steps.
    pub settle_seconds: f64,
    /// Bytes a second that fills may take between two partners without a link of their own.
    pub default_link_rate: Option<u64>,
}

/// How holders are filled.
#[derive(Clone, Debug)]
pub struct FillConfig {
    pub fill_service: SocketAddr,
    /// Bytes of a segment.
    pub segment_bytes: u64,
    /// Bytes a second of one fill, at most.
    pub bytes_per_second: u64,
    pub max_concurrent_fills: usize,
    /// Each broker fills cold holders of the map in force that fall to it, and settles from its share.
    pub fill_started_nodes: bool,
}

/// What stands in for the outside in tests.
#[derive(Default)]
pub struct TestDoubles {
    pub storage: Option<Arc<dyn FileStore>>,
    pub fill_client: Option<Arc<dyn FillClient>>,
    pub crashes_at: Option<CrashPoints>,
}

/// A fleet that this broker takes part in.
pub struct ControlPlane {
    handle: ControlHandle,
    listen: SocketAddr,
    thread: JoinHandle<()>,
    recording: Option<AuditLog>,
}

/// Takes part from now on. `wake` is called from the fleet's thread when what may be acted on has changed; it must not
/// wait.
pub fn start(
    told: ControlPlaneConfig,
    stand_ins: TestDoubles,
    wake: impl Fn() + Send + 'static,
) -> Result<ControlPlane, ControlPlaneError> {
    let bounds = link_limits::bounds(&told);
    let ControlPlaneConfig { terms, listen_address: listen, known_brokers: known, seed, .. } = told;
    terms.check()?;
    let key = told.key_file.map(|path| {
        let text = std::fs::read_to_string(&path);
        text.map(|text| text.trim().to_string())
            .map_err(|e| ControlPlaneError::Key { path, why: e.to_string() })
    });
    let key = key.transpose()?;
    let votes = terms.voters.contains(&terms.name);
    let millis = (clock::unix_seconds() * 1000.0) as u64;
    let (mut folder, held) = DataDirectory::open(&told.data_directory, stand_ins.storage, votes, millis)?;
    let StoredState { incarnation, voter_records: saved, config: kept, counts, commitments: promises } = held;
    // Another one at each start, at each broker.
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ incarnation ^ name_hash(&terms.name));
    let now = monotonic_seconds();
    let back = match votes {
        true => {
            lost_majority::recover(&told.data_directory, &mut folder, &terms, &saved, now, chance.random())?
        }
        false => None,
    };
    let voter = (votes && back.is_none()).then(|| {
        let opened = Voter::open(terms.clone(), saved, now, chance.random());
        match opened {
            // As good as a folder that was lost, which the others allow for.
            Err(e @ (ConsensusError::CorruptRecord(_) | ConsensusError::CorruptLog(_))) => {
                error!("fleet: {e} ({}); this voter begins anew", e.help());
                Voter::open(terms.clone(), StoredVoter::new(), now, chance.random())
            }
            other => other,
        }
    });
    let voter = voter
        .transpose()
        .map_err(|e| ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() })?;
    let voter = back.or(voter);
    voter.iter().for_each(lost_majority::log_recovery_facts);
    let mut member = LeaseClient::new(terms.clone(), kept, now, chance.random());
    let recording = told.audit_log_file.map(|path| AuditLog::start(&path, &terms.name, incarnation));
    let (recorder, recording) = recording.transpose()?.unzip();
    let known_names = known.iter().map(|known| known.0.clone()).collect();
    let mut links =
        dunepond_membership::MembershipOptions::new(&terms.name, incarnation, listen, known, chance.random());
    links.key = key;
    links.limits = bounds;
    let (peers, events) = dunepond_membership::start(links)?;
    let listen = peers.local_addr();

    let (commands, commanded) = bounded(MAX_QUEUED_COMMANDS);
    let acting = Arc::new(ArcSwap::from_pointee(member.active_config()));
    let links_counted: Arc<ArcSwap<dunepond_membership::Counters>> = Arc::default();
    let nodes = Arc::new(ArcSwap::from_pointee(Vec::new()));
    let started = Arc::new(ArcSwap::from_pointee(Vec::new()));
    let names: Vec<_> = told.partners.iter().map(|partner| partner.name.clone()).collect();
    let carried = Arc::new(CarriedBytes::new(names.len()));
    let tally = Arc::new(ActivityCounters::default());
    let needs = Arc::default();
    let limiting = told.quotas.map(|(bounds, every)| {
        QuotaSharing::new(bounds, every, terms.lease_seconds, Arc::clone(&needs), now)
    });
    let hand = ControlHandle {
        demand: needs,
        active_config: acting.clone(),
        carried_bytes: carried.clone(),
        audit_log: recorder.clone(),
        commands,
        listed_nodes: nodes.clone(),
        started_nodes: started.clone(),
        counters: tally.clone(),
        link_counters: links_counted.clone(),
    };

    let owed =
        |e: debts::DebtError| ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() };
    let counts = match debts::Tally::open(counts.clone(), &terms.name, incarnation) {
        // The clock went back, and the number of starts was lost.
        Err(debts::DebtError::OldIncarnation { kept, .. }) => {
            debts::Tally::open(counts, &terms.name, kept + 1)
        }
        other => other,
    };
    let counts = counts.map_err(owed)?;
    let sides = debts::Sides {
        partner_of: (told.partners.iter())
            .flat_map(|p| p.brokers.iter().map(|broker| (broker.clone(), p.name.clone())))
            .collect(),
        metered: told.partners.iter().filter(|p| p.metered).map(|p| p.name.clone()).collect(),
    };
    let promises = match promises {
        Some(promises) => promises,
        None => Commitments::new(&terms.name).map_err(owed)?,
    };
    member.set_known_settlements(promises.applied_entries);
    let rate = told.fills.as_ref().map_or(f64::MAX, |fills| fills.bytes_per_second as f64);
    let owing = debts::Terms { most_rate: rate, ..debts::Terms::default() };
    let book = debts::Book::new(owing, sides.clone(), promises.ledger.clone()).map_err(owed)?;
    let caps: BTreeMap<_, _> =
        told.link_rates.into_iter().map(|(a, b, bytes)| ((a, b), bytes as f64)).collect();
    let moves = told.rebalancing.as_ref();
    let unstated =
        moves.and_then(|moves| moves.default_link_rate).map_or(f64::INFINITY, |bytes| bytes as f64);
    let (ended, filled) = unbounded();
    let filler = stand_ins.fill_client.or(told.fills.as_ref().map(|fills| {
        let filler: Arc<dyn FillClient> = Arc::new(HttpFillClient::new(fills.fill_service));
        filler
    }));
    let mut lane = |lane: Lane, by: &str| {
        FillLane::new(
            lane,
            filler.clone(),
            ended.clone(),
            debts::Planner::new(by, debts::Rule::MaxMin, chance.random()),
            debts::Links { caps: caps.clone(), unstated, inside: f64::INFINITY },
            debts::Patience { deadline: terms.fill_deadline_seconds, ..debts::Patience::default() },
            told.fills.as_ref().map_or(1, |fills| fills.segment_bytes),
            told.fills.as_ref().map_or(1, |fills| fills.max_concurrent_fills),
            Pcg64Mcg::seed_from_u64(chance.random()),
        )
    };
    let (fills, mut warm) = (lane(Lane::Version, LOG_SHARE_HOLDER), lane(Lane::Own, &terms.name));
    // What was promised before the start goes on: whether it was done, the filler knows.
    warm.resume(promises.fills.values().filter(|it| !it.done).map(|it| it.fill.clone()), now);
    let debts = Settlements::new(promises, told.fills.as_ref().is_some_and(|fills| fills.fill_started_nodes));
    let proposing =
        Proposals::new(told.version_file, told.query_class_count, nodes, terms.map_requirements.clone());
    info!(
        "fleet: {} listening at {listen}, start {incarnation}, {}",
        terms.name,
        if votes { "voter" } else { "no voter" }
    );
    let host = ControlLoop {
        name: terms.name,
        lease_seconds: terms.lease_seconds,
        voter,
        member,
        data: folder,
        peers,
        events,
        commands: commanded,
        active_config: acting,
        link_counters: links_counted,
        counters: tally,
        audit_log: recorder,
        wake: Box::new(wake),
        proposals: proposing,
        rebalancing: Rebalancing::new(
            moves.map(|moves| moves.plan_file.clone()),
            moves.map_or(1, |moves| moves.max_concurrent_acts),
            moves.map_or(DEFAULT_SETTLE_SECONDS, |moves| moves.settle_seconds),
        ),
        traffic: TrafficCounts::new(
            names,
            carried,
            counts,
            book,
            sides,
            Pcg64Mcg::seed_from_u64(chance.random()),
        ),
        settlement: debts,
        version_fills: fills,
        own_fills: warm,
        quotas: limiting,
        finished_fills: filled,
        fill_bytes_per_second: rate,
        slow_start: told.slow_start,
        started_nodes: started,
        configured_brokers: known_names,
        crashes_at: stand_ins.crashes_at,
        state: LoopState::default(),
    };
    let thread = std::thread::Builder::new().name("fleet".to_string()).spawn(move || host.run());
    let thread = thread.map_err(|e| ControlPlaneError::Thread { why: e.to_string() })?;
    Ok(ControlPlane { handle: hand, listen, thread, recording })
}

/// Some number of a name: brokers that share a seed differ by it.
fn name_hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Waits for a thread's end, but not for long.
fn join_with_timeout(thread: JoinHandle<()>) {
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
    pub fn hand(&self) -> ControlHandle {
        self.handle.clone()
    }

    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Takes its leave: what was counted is kept, and the record is whole; but a disk that does not answer is not waited
    /// for.
    pub fn stop(self) {
        let _ = self.handle.commands.send_timeout(LoopRequest::Stop, SHUTDOWN_TIMEOUT);
        join_with_timeout(self.thread);
        if let Some(recording) = self.recording {
            recording.finish();
        }
    }
}
