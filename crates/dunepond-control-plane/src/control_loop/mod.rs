//! The control loop: the thread that owns the voter, the lease client, the data directory and the links.
//!
//! Each iteration waits for an event, handles the queued messages from peers, and, if a tick is due, runs the periodic
//! tasks in a fixed order ([`ControlLoop::tick`]).

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

/// Number of ticks per lease. Leases and elections are timed by ticks, so shorter leases need shorter ticks.
const TICKS_PER_LEASE: f64 = 40.0;
/// Minimum time between two ticks.
const MIN_TICK_SECONDS: f64 = 0.005;
/// Maximum time between two ticks.
const MAX_TICK_SECONDS: f64 = 0.025;

/// The state of the control plane's thread.
pub struct ControlLoop {
    /// Name of this broker.
    pub(crate) name: String,
    /// Duration of a lease.
    pub(crate) lease_seconds: f64,
    /// This broker's voter; `None` if the broker is not a voter.
    pub(crate) voter: Option<Voter>,
    /// Requests this broker's leases, and stores the configuration that came with the latest lease.
    pub(crate) lease_client: LeaseClient,
    pub(crate) data: DataDirectory,
    pub(crate) peers: Peers,
    /// Messages from peers, and changes of the membership.
    pub(crate) events: Receiver<Event>,
    /// Requests from the event loop.
    pub(crate) requests: Receiver<LoopRequest>,
    /// The active configuration, published to the event loop.
    pub(crate) active_config: Arc<ArcSwap<ActiveConfig>>,
    /// Counters of the links to other brokers, published to the event loop.
    pub(crate) link_counters: Arc<ArcSwap<Counters>>,
    /// Counters for operators, shared with the event loop.
    pub(crate) counters: Arc<ActivityCounters>,
    pub(crate) audit_log: Option<AuditSender>,
    /// Wakes the event loop after the active configuration has changed.
    pub(crate) wake: Box<dyn Fn() + Send>,
    pub(crate) proposals: Proposals,
    pub(crate) rebalancing: Rebalancing,
    pub(crate) traffic: TrafficCounts,
    pub(crate) settlement: Settlements,
    /// Schedules the fills that the proposed configuration version requires, while this broker leads.
    pub(crate) version_fills: FillScheduler,
    /// Schedules this broker's own fills of nodes in slow start.
    pub(crate) own_fills: FillScheduler,
    pub(crate) quotas: Option<QuotaSharing>,
    /// Results of fill attempts, sent by their threads.
    pub(crate) attempt_results: Receiver<AttemptResult>,
    /// Maximum rate of one fill of a warm node, in bytes per second.
    pub(crate) fill_bytes_per_second: f64,
    pub(crate) slow_start: Option<SlowStartPolicy>,
    /// Recently started nodes, set by the event loop.
    pub(crate) started_nodes: Arc<ArcSwap<Vec<StartedNode>>>,
    /// Names of the brokers in the operator's file.
    pub(crate) configured_brokers: Vec<String>,
    /// Simulates crashes of the control plane in tests.
    pub(crate) crash_hook: Option<CrashHook>,
    pub(crate) state: LoopState,
}

/// State that the control loop keeps between two iterations.
#[derive(Default)]
pub struct LoopState {
    /// When the last tick ran.
    last_tick: f64,
    messages: MessageState,
    voter: VoterState,
    /// The leader that was logged last.
    leader: Option<String>,
    /// Revision of the configuration that was stored last.
    saved_config: Option<dunepond_consensus::PersistedRevision>,
    /// Number of the list of voters that was last compared with the operator's file.
    compared_voters: Option<u64>,
    /// State that was last published to the event loop and the audit log.
    published: Published,
    /// Whether a test has simulated a crash, so that the control plane must end.
    crashed: bool,
}

impl ControlLoop {
    /// Runs until a stop is requested, the links to other brokers end, or a test simulates a crash.
    pub fn run(mut self) {
        self.publish(true);
        let tick = (self.lease_seconds / TICKS_PER_LEASE).clamp(MIN_TICK_SECONDS, MAX_TICK_SECONDS);
        loop {
            let wait = (self.state.last_tick + tick - monotonic_seconds()).clamp(0.0, tick);
            select! {
                recv(self.events) -> event => match event {
                    Ok(event) => self.handle_event(event),
                    Err(_) => {
                        return error!(
                            "fleet: the links to other brokers have ended; this broker is disconnected from now on"
                        );
                    }
                },
                recv(self.requests) -> request => match request {
                    Ok(LoopRequest::ReloadVersion(path)) => self.proposals.reload(path),
                    Ok(LoopRequest::ReloadPlan(path)) => self.rebalancing.reload(path),
                    Ok(LoopRequest::Stop) | Err(_) => break,
                },
                recv(self.attempt_results) -> result => self.on_attempt_result(result.ok()),
                recv(after(Duration::from_secs_f64(wait))) -> _ => {}
            }
            // Handles queued messages only until the next tick is due, as the handling of each message may wait for the
            // disk and would delay the tick.
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

    /// Runs the periodic tasks. The voter and the lease come first, as the other tasks depend on whether this broker
    /// leads and on its active configuration.
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

    /// Asks the crash hook whether to simulate a crash at this point. Returns true if the control plane must end.
    fn reach_crash_point(&mut self, point: CrashPoint) -> bool {
        self.state.crashed |= self.crash_hook.as_ref().is_some_and(|should_crash| should_crash(point));
        self.state.crashed
    }
}
