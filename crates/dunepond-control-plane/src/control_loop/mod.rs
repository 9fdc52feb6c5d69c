//! The control loop: the thread that owns the voter, the lease client, the data directory and the links.
//!
//! Each pass handles what came from peers, then runs the periodic duties in a fixed order ([`ControlLoop::run`]). What a voter
//! promises is on the disk before anybody hears of it.

mod fill_lane;
mod fill_sources;
mod fills;
mod leases;
mod own_fills;
mod proposals;
mod publish;
mod quotas;
mod rebalancing;
mod settlements;
mod traffic_counts;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, after, select};
use dunepond_consensus::{
    ActiveConfig, Command, ConsensusError, Effects, EntryOutcome, LeaseClient, Rejection, Voter,
};
use dunepond_membership::{Counters, Event, Peers, RefusalReason, RequestKind, Responder};
use tracing::{debug, error, info, warn};

use crate::audit_log::{AuditPhase, AuditSender};
use crate::clock::monotonic_seconds;
use crate::config::CrashPoints;
use crate::data_directory::DataDirectory;
use crate::explain::{Explanation, ProposedEntry};
use crate::handle::{ActivityCounters, LoopRequest, increment};
use crate::slow_start::{SlowStartPolicy, StartedNode};
pub use fill_lane::{FillEnded, FillLane, Lane};
pub use fills::LOG_SHARE_HOLDER;
pub use proposals::Proposals;
pub use quotas::QuotaSharing;
pub use rebalancing::{DEFAULT_SETTLE_SECONDS, Rebalancing};
pub use settlements::Settlements;
pub use traffic_counts::TrafficCounts;

/// Ticks per lease: leases and elections are timed by ticks.
const TICKS_PER_LEASE: f64 = 40.0;
/// Shortest and longest time between two ticks, in seconds.
const TICK: (f64, f64) = (0.005, 0.025);
/// A data directory that cannot be written is tried again after this time. Meanwhile the voter is silent: it must not rely
/// on what is not on the disk.
const STORAGE_RETRY_SECONDS: f64 = 0.5;
/// A message between voters that takes longer is of no use any more.
const CONSENSUS_TIMEOUT_SECONDS: f64 = 1.0;

/// What a request of this broker was for.
enum SentRequest {
    Consensus,
    PushedLease,
    Lease { voter: String },
    Proposal { voter: String },
    Plan { voter: String },
    Counts,
    SettlementEntries,
}

/// A peer's request that has not been responded to.
struct UnansweredRequest {
    token: Responder,
    until: f64,
}

pub struct ControlLoop {
    pub(crate) name: String,
    pub(crate) lease_seconds: f64,
    pub(crate) voter: Option<Voter>,
    pub(crate) member: LeaseClient,
    pub(crate) data: DataDirectory,
    pub(crate) peers: Peers,
    pub(crate) events: Receiver<Event>,
    pub(crate) commands: Receiver<LoopRequest>,
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
    /// Fills of the proposed version, while this broker leads; and this broker's own fills of cold holders.
    pub(crate) version_fills: FillLane,
    pub(crate) own_fills: FillLane,
    pub(crate) quotas: Option<QuotaSharing>,
    pub(crate) finished_fills: Receiver<FillEnded>,
    /// Bytes a second that a warm node bears, as the file has it; how a cold one is spared, and which were started.
    pub(crate) fill_bytes_per_second: f64,
    pub(crate) slow_start: Option<SlowStartPolicy>,
    pub(crate) started_nodes: Arc<ArcSwap<Vec<StartedNode>>>,
    /// Brokers that the file names.
    pub(crate) configured_brokers: Vec<String>,
    /// Stands in for the end of the process at the point named.
    pub(crate) crashes_at: Option<CrashPoints>,
    pub(crate) state: LoopState,
}

/// What is under way.
#[derive(Default)]
pub struct LoopState {
    sent_requests: HashMap<u64, SentRequest>,
    /// By broker and the id of its request.
    unanswered: HashMap<(String, u64), UnansweredRequest>,
    last_tick: f64,
    /// Who leads, as the log has it.
    leader: Option<String>,
    /// The folder failed: the voter is silent until then, and until it could be written whole.
    storage_failed_until: Option<f64>,
    /// The versions (in force, proposed) that the folder has.
    saved_config: Option<dunepond_consensus::PersistedRevision>,
    /// The list of voters of which the log has said that the file differs from it.
    reported_voters: Option<u64>,
    /// The last refusal that was told.
    last_refusal: Option<Explanation>,
    /// What was last published to the audit log and the event loop.
    published: Published,
    crashed: bool,
}

#[derive(Default)]
struct Published {
    phase: Option<AuditPhase>,
    versions: Vec<u64>,
    in_force: u64,
    proposed: Option<(u64, String)>,
}

impl ControlLoop {
    pub fn run(mut self) {
        self.publish(true);
        let tick = (self.lease_seconds / TICKS_PER_LEASE).clamp(TICK.0, TICK.1);
        loop {
            let wait =
                Duration::from_secs_f64((self.state.last_tick + tick - monotonic_seconds()).clamp(0.0, tick));
            select! {
                recv(self.events) -> event => match event {
                    Ok(event) => self.handle_event(event),
                    Err(_) => return error!("fleet: the links have ended; this broker is cut off from now on"),
                },
                recv(self.commands) -> command => match command {
                    Ok(LoopRequest::ReloadVersion(path)) => self.proposals.reload(path),
                    Ok(LoopRequest::ReloadPlan(path)) => self.rebalancing.reload(path),
                    Ok(LoopRequest::Stop) | Err(_) => break,
                },
                recv(self.finished_fills) -> done => self.on_fill_ended(done.ok()),
                recv(after(wait)) -> _ => {}
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

    fn tick(&mut self) {
        let now = monotonic_seconds();
        self.state.last_tick = now;
        self.retry_storage(now);
        if self.state.storage_failed_until.is_none()
            && let Some(voter) = &mut self.voter
        {
            let orders = voter.tick(now);
            self.execute(orders);
        }
        self.member.set_overloaded(self.counters.overloaded.load(Relaxed));
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
        // Dropped without a response: the peer has sent a new request by now.
        self.state.unanswered.retain(|_, waiting| now < waiting.until);
    }

    /// After a failed write the whole journal is rewritten; only then does the voter send messages again.
    fn retry_storage(&mut self, now: f64) {
        if self.state.storage_failed_until.is_some_and(|until| now >= until)
            && let Some(voter) = &self.voter
        {
            match self.data.rewrite_journal(voter.checkpoint().encode()) {
                Ok(()) => {
                    info!("fleet: the folder can be written again");
                    self.state.storage_failed_until = None;
                }
                Err(e) => {
                    debug!("fleet: folder: {e}");
                    self.state.storage_failed_until = Some(now + STORAGE_RETRY_SECONDS);
                }
            }
        }
    }

    /// Carries out the voter's effects: writes to the disk first, and only then sends to others.
    fn execute(&mut self, orders: Effects) {
        if !orders.write_batch.is_empty() {
            increment(&self.counters.syncs);
            let mut saved = self.data.append_to_journal(&orders.write_batch.encode());
            if saved.is_ok()
                && self.data.journal_is_long()
                && let Some(voter) = &self.voter
            {
                saved = self.data.rewrite_journal(voter.checkpoint().encode());
            }
            if let Err(e) = saved {
                error!("fleet: folder: {e}; this voter is silent until it can be written: look at the disk");
                self.state.storage_failed_until = Some(monotonic_seconds() + STORAGE_RETRY_SECONDS);
                return;
            }
        }
        for line in orders.log_lines {
            info!("fleet: {line}");
        }
        for outcome in orders.outcomes {
            self.explain_outcome(&outcome);
            match outcome.result {
                Ok(change) => debug!("fleet: entry {}: {change:?}", outcome.index),
                Err(why) => info!("fleet: entry {} is left out: {why} ({})", outcome.index, why.help()),
            }
        }
        for (to, bytes) in orders.messages {
            self.send_request(
                &to,
                RequestKind::Raft,
                bytes,
                CONSENSUS_TIMEOUT_SECONDS,
                SentRequest::Consensus,
            );
        }
        for (broker, told) in orders.replies {
            self.send_lease_reply(broker, told);
        }
    }

    fn send_request(
        &mut self,
        to: &str,
        kind: RequestKind,
        body: Vec<u8>,
        within: f64,
        what: SentRequest,
    ) -> bool {
        match self.peers.request(to, kind, body, within) {
            Ok(id) => {
                self.state.sent_requests.insert(id, what);
                true
            }
            Err(e) => {
                debug!("fleet: {e}");
                false
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Request { from, kind, body, responder: token } => {
                self.handle_request(from, kind, &body, token)
            }
            Event::Response { id, to, result: body } => {
                let Some(what) = self.state.sent_requests.remove(&id) else { return };
                if let Err(e) = &body {
                    debug!("fleet: {e}");
                }
                match what {
                    SentRequest::Consensus | SentRequest::PushedLease | SentRequest::SettlementEntries => {}
                    SentRequest::Lease { voter } => self.on_lease_reply(&voter, body.ok()),
                    SentRequest::Proposal { voter } => self.on_proposal_reply(&voter, body.ok()),
                    SentRequest::Plan { voter } => self.on_offer_reply(&voter, body.ok()),
                    SentRequest::Counts => {
                        if let Ok(body) = body {
                            self.merge_counts(&to, &body);
                        }
                    }
                }
            }
            Event::PeerUp(peer) => info!("fleet: {} is there, at {}", peer.name, peer.listen_address),
            Event::PeerSuspected(name) => info!("fleet: {name} gives no sign"),
            Event::PeerDown(name) => info!("fleet: {name} has gone"),
        }
    }

    fn handle_request(&mut self, from: String, kind: RequestKind, body: &[u8], token: Responder) {
        match kind {
            RequestKind::Raft => {
                self.peers.respond(token, Ok(Vec::new()));
                self.handle_consensus_message(&from, body);
            }
            RequestKind::Lease => self.handle_lease_request(from, body, token),
            RequestKind::State => {
                self.peers.respond(token, Ok(Vec::new()));
                self.on_pushed_reply(&from, body);
            }
            RequestKind::Propose => self.handle_proposal(&from, body, token),
            RequestKind::RebalancePlan => self.handle_offer(&from, body, token),
            RequestKind::TransferCounts => {
                self.merge_counts(&from, body);
                // Counts must be stored before they are sent.
                let counts = self.save_traffic().then(|| self.traffic.message_to(&from).ok()).flatten();
                self.peers.respond(token, counts.ok_or(RefusalReason::Busy));
            }
            RequestKind::Fill => self.handle_entries(&from, body, token),
            // The links answer these themselves.
            RequestKind::LivenessCheck => drop(token),
        }
    }

    fn handle_consensus_message(&mut self, from: &str, bytes: &[u8]) {
        if self.state.storage_failed_until.is_some() {
            return;
        }
        let Some(voter) = &mut self.voter else { return };
        match voter.receive(monotonic_seconds(), from, bytes) {
            Ok(orders) => self.execute(orders),
            Err(e @ ConsensusError::MalformedMessage(_)) => debug!("fleet: {e} ({})", e.help()),
            Err(e) => warn!("fleet: {e} ({})", e.help()),
        }
    }

    /// The process ends here, if a test says so.
    fn crash_point(&mut self, at: &str) -> bool {
        self.state.crashed |= self.crashes_at.as_ref().is_some_and(|dies| dies(at));
        self.state.crashed
    }

    /// Puts an entry into the log, where this voter leads.
    fn enter(&mut self, entry: Command) -> Result<(), Rejection> {
        let by = self.name.clone();
        self.enter_on_behalf_of(&by, entry)
    }

    /// The same on behalf of `by`.
    fn enter_on_behalf_of(&mut self, by: &str, entry: Command) -> Result<(), Rejection> {
        let silent = self.state.storage_failed_until.is_some();
        let Some(voter) = self.voter.as_mut().filter(|_| !silent) else {
            return Err(Rejection::NotLeader(None));
        };
        let offer = ProposedEntry::of(&entry, by);
        match voter.propose(monotonic_seconds(), entry) {
            Ok(orders) => self.execute(orders),
            Err(why) => {
                self.explain_refusal(&offer, &why);
                return Err(why);
            }
        }
        Ok(())
    }

    /// Logs the explanation of a committed entry.
    fn explain_outcome(&self, outcome: &EntryOutcome) {
        let Some(state) = self.voter.as_ref().map(Voter::state) else { return };
        let why = match &outcome.result {
            Ok(change) => Explanation::for_change(outcome.index, change, state),
            Err(why) => Some(Explanation::for_refusal(&ProposedEntry::logged(outcome.index), why, state)),
        };
        why.iter().for_each(Explanation::log);
    }

    /// A refusal that repeats with the same reason is logged once.
    fn explain_refusal(&mut self, offer: &ProposedEntry, why: &Rejection) {
        let routine = matches!(
            why,
            Rejection::NotLeader(_) | Rejection::AlreadySettled(_) | Rejection::FillNotNeeded { .. }
        );
        let Some(state) = self.voter.as_ref().map(Voter::state).filter(|_| !routine) else { return };
        let why = Explanation::for_refusal(offer, why, state);
        if self.state.last_refusal.as_ref() != Some(&why) {
            why.log();
            self.state.last_refusal = Some(why);
        }
    }
}
