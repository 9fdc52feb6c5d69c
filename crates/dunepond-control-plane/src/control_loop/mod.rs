//! The control loop: the thread that owns the voter, the lease client, the data directory and the links.
//!
//! Each pass handles the messages of peers, then runs the periodic duties in a fixed order ([`ControlLoop::tick`]).

mod fills;
mod leader_search;
mod leases;
mod messages;
mod proposals;
mod publish;
mod quotas;
mod rebalancing;
mod settlements;
mod traffic_counts;
mod voter;

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, after, select};
use dunepond_consensus::{ActiveConfig, LeaseClient, Voter};
use dunepond_membership::{Counters, Event, Peers};
use tracing::error;

use crate::audit_log::AuditSender;
use crate::clock::monotonic_seconds;
use crate::config::{CrashHook, CrashPoint};
use crate::data_directory::DataDirectory;
use crate::handle::{ActivityCounters, LoopRequest};
use crate::slow_start::{SlowStartPolicy, StartedNode};
pub use fills::{AttemptResult, FillKind, FillLimits, FillScheduler, FillService, LOG_SHARE_HOLDER};
use messages::MessageState;
pub use proposals::Proposals;
use publish::Published;
pub use quotas::QuotaSharing;
pub use rebalancing::{DEFAULT_SETTLE_SECONDS, Rebalancing};
pub use settlements::Settlements;
pub use traffic_counts::TrafficCounts;
use voter::VoterState;

/// Ticks per lease: leases and elections are timed by ticks.
const TICKS_PER_LEASE: f64 = 40.0;
/// Shortest and longest time between two ticks.
const MIN_TICK_SECONDS: f64 = 0.005;
const MAX_TICK_SECONDS: f64 = 0.025;

/// All that the thread owns.
pub struct ControlLoop {
    pub(crate) name: String,
    pub(crate) lease_seconds: f64,
    /// `None` at a broker that is no voter.
    pub(crate) voter: Option<Voter>,
    /// Requests this broker's leases, and holds the configuration that came with the last one.
    pub(crate) lease_client: LeaseClient,
    pub(crate) data: DataDirectory,
    pub(crate) peers: Peers,
    /// Messages of peers, and changes of the membership.
    pub(crate) events: Receiver<Event>,
    /// Requests of the event loop.
    pub(crate) requests: Receiver<LoopRequest>,
    /// Published to the event loop, as are the counters and the link counters.
    pub(crate) active_config: Arc<ArcSwap<ActiveConfig>>,
    pub(crate) link_counters: Arc<ArcSwap<Counters>>,
    pub(crate) counters: Arc<ActivityCounters>,
    pub(crate) audit_log: Option<AuditSender>,
    /// Wakes the event loop after the active configuration has changed.
    pub(crate) wake: Box<dyn Fn() + Send>,
    pub(crate) proposals: Proposals,
    pub(crate) rebalancing: Rebalancing,
    pub(crate) traffic: TrafficCounts,
    pub(crate) settlement: Settlements,
    /// Fills of the proposed version, while this broker leads.
    pub(crate) version_fills: FillScheduler,
    /// This broker's own fills of nodes in slow start.
    pub(crate) own_fills: FillScheduler,
    pub(crate) quotas: Option<QuotaSharing>,
    /// Ends of fill attempts, from their threads.
    pub(crate) attempt_results: Receiver<AttemptResult>,
    /// Fill rate that a warm node bears, in bytes a second.
    pub(crate) fill_bytes_per_second: f64,
    pub(crate) slow_start: Option<SlowStartPolicy>,
    /// Nodes that started not long ago, from the event loop.
    pub(crate) started_nodes: Arc<ArcSwap<Vec<StartedNode>>>,
    /// Brokers that the operator's file names.
    pub(crate) configured_brokers: Vec<String>,
    /// Ends the control plane at chosen points, in crash tests.
    pub(crate) crash_hook: Option<CrashHook>,
    pub(crate) state: LoopState,
}

/// What the loop keeps between two passes.
#[derive(Default)]
pub struct LoopState {
    last_tick: f64,
    messages: MessageState,
    voter: VoterState,
    /// The leader that was last logged.
    leader: Option<String>,
    /// The revision of the configuration that is stored.
    saved_config: Option<dunepond_consensus::PersistedRevision>,
    /// Number of the last list of voters that was compared with the file's.
    compared_voters: Option<u64>,
    /// What was last published to the audit log and the event loop.
    published: Published,
    /// A crash test has ended the control plane.
    crashed: bool,
}

impl ControlLoop {
    /// Runs until a stop is requested, the links have ended or a crash test strikes.
    pub fn run(mut self) {
        self.publish(true);
        let tick = (self.lease_seconds / TICKS_PER_LEASE).clamp(MIN_TICK_SECONDS, MAX_TICK_SECONDS);
        loop {
            let wait = (self.state.last_tick + tick - monotonic_seconds()).clamp(0.0, tick);
            select! {
                recv(self.events) -> event => match event {
                    Ok(event) => self.handle_event(event),
                    Err(_) => return error!("fleet: the links have ended; this broker is cut off from now on"),
                },
                recv(self.requests) -> request => match request {
                    Ok(LoopRequest::ReloadVersion(path)) => self.proposals.reload(path),
                    Ok(LoopRequest::ReloadPlan(path)) => self.rebalancing.reload(path),
                    Ok(LoopRequest::Stop) | Err(_) => break,
                },
                recv(self.attempt_results) -> result => self.on_attempt_result(result.ok()),
                recv(after(Duration::from_secs_f64(wait))) -> _ => {}
            }
            // Waiting messages, until the next tick is due: each of them may wait for the disk.
            while monotonic_seconds() < self.state.last_tick + tick
                && let Ok(event) = self.events.try_recv()
            {
                self.handle_event(event);
            }
            if monotonic_seconds() >= self.state.last_tick + tick {
                self.tick();
            }
            if self.state.crashed {
                return self.peers.stop();
            }
        }
        self.save_traffic();
        self.peers.stop();
    }

    /// The periodic duties. The voter and the lease come first: the others go by whether this broker leads and what it may act
    /// on.
    fn tick(&mut self) {
        let now = monotonic_seconds();
        self.state.last_tick = now;
        self.tick_voter(now);
        self.lease_client.set_overloaded(self.counters.overloaded.load(Relaxed));
        self.report_demand(now);
        self.request_lease();
        self.publish(false);
        self.propose_document();
        self.apply_voter_entries();
        self.rebalance();
        self.plan_version_fills();
        self.plan_own_fills();
        self.review_settlements();
        self.plan_quotas(now);
        self.exchange_counts();
        self.drop_expired_requests(now);
    }

    /// Ends the control plane here, if a crash test says so.
    fn crash_point(&mut self, point: CrashPoint) -> bool {
        self.state.crashed |= self.crash_hook.as_ref().is_some_and(|crash_hook| crash_hook(point));
        self.state.crashed
    }
}
