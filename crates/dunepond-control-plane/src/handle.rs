//! The control plane as the broker's event loop sees it. No call blocks: the event loop reads snapshots and increments
//! atomics, which the control loop's thread reads in turn.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use arc_swap::{ArcSwap, Cache};
use crossbeam_channel::Sender;
use dunepond_consensus::{ActiveConfig, ConfigPhase};
use dunepond_membership::Counters;
use dunepond_shard_map::Node;

use crate::audit_log::{AuditEvent, AuditPhase, AuditSender};
use crate::clock::monotonic_seconds;
use crate::slow_start::StartedNode;

/// Bytes that each partner's nodes answered for each other's tenants. The event loop adds, the control loop drains.
pub struct CarriedBytes {
    partner_count: usize,
    /// One counter for each pair: those of the first carrier first.
    counters: Vec<AtomicU64>,
}

/// What the nodes of one partner answered for another's tenants. Partners are indexes into the configured list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CarriedAmount {
    /// Whose nodes answered.
    pub carrier: usize,
    /// Whose tenants asked.
    pub owed_by: usize,
    /// Bytes of the answers.
    pub bytes: u64,
}

impl CarriedBytes {
    /// All counters at zero.
    pub fn new(partner_count: usize) -> Self {
        Self {
            partner_count,
            counters: (0..partner_count * partner_count).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    fn add(&self, carrier: usize, owed_by: usize, bytes: u64) {
        if owed_by < self.partner_count
            && let Some(counter) = self.counters.get(carrier * self.partner_count + owed_by)
        {
            counter.fetch_add(bytes, Relaxed);
        }
    }

    /// What was added since the last call, of the pairs that carried anything.
    pub fn drain(&self) -> Vec<CarriedAmount> {
        let mut amounts = Vec::new();
        for (index, counter) in self.counters.iter().enumerate() {
            // Most pairs carry nothing, and a read is cheaper than a swap.
            if counter.load(Relaxed) > 0 {
                let (carrier, owed_by) = (index / self.partner_count, index % self.partner_count);
                amounts.push(CarriedAmount { carrier, owed_by, bytes: counter.swap(0, Relaxed) });
            }
        }
        amounts
    }
}

/// Requests of the event loop to the control loop.
pub enum LoopRequest {
    /// Read the version file again, from this path.
    ReloadVersion(Option<PathBuf>),
    /// Read the plan file again, from this path.
    ReloadPlan(Option<PathBuf>),
    /// Store the traffic counts and end.
    Stop,
}

/// Counters for operators, raised by both threads; they never decrease.
#[derive(Default)]
pub struct ActivityCounters {
    /// Queries that were rejected because of the agreed configuration.
    pub rejected: AtomicU64,
    /// Parts that were withheld just before they would have been sent.
    pub withheld: AtomicU64,
    /// Answers that do not cover all keys under one map.
    pub incomplete: AtomicU64,
    /// Leases that this broker got.
    pub leases: AtomicU64,
    /// Replies that were not adopted, and documents and plans that were refused.
    pub refused: AtomicU64,
    /// Attempts that filled a node.
    pub fills: AtomicU64,
    /// Attempts that failed.
    pub fills_failed: AtomicU64,
    /// Settlements that were applied.
    pub settled: AtomicU64,
    /// Writes that waited for the disk.
    pub syncs: AtomicU64,
    /// Whether the nodes were overloaded when the event loop last looked.
    pub overloaded: AtomicBool,
}

/// Adds one.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// The active configuration, cached for one thread: a look costs one atomic read while nothing has changed.
pub struct ActiveConfigWatch(Cache<Arc<ArcSwap<ActiveConfig>>, Arc<ActiveConfig>>);

impl ActiveConfigWatch {
    /// The same as [`ControlHandle::active_config`] returns at this moment.
    pub fn current(&mut self) -> &Arc<ActiveConfig> {
        self.0.load()
    }
}

/// The event loop's access to the control plane; cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    pub(crate) active_config: Arc<ArcSwap<ActiveConfig>>,
    pub(crate) carried_bytes: Arc<CarriedBytes>,
    pub(crate) audit_log: Option<AuditSender>,
    pub(crate) requests: Sender<LoopRequest>,
    pub(crate) listed_nodes: Arc<ArcSwap<Vec<Node>>>,
    pub(crate) started_nodes: Arc<ArcSwap<Vec<StartedNode>>>,
    pub(crate) counters: Arc<ActivityCounters>,
    /// Units that this broker would use, by shared quota.
    pub(crate) demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
    /// Counters of the links, about one second old at most.
    pub(crate) link_counters: Arc<ArcSwap<Counters>>,
}

impl ControlHandle {
    /// What this broker may act on at this moment.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.active_config.load_full()
    }

    /// The same, for a thread that reads it often.
    pub fn watch(&self) -> ActiveConfigWatch {
        ActiveConfigWatch(Cache::new(self.active_config.clone()))
    }

    /// Counts bytes of an answer that a node of the partner `carrier` gave for a tenant of the partner `owed_by`. Both are
    /// indexes into [`crate::ControlPlaneConfig::partners`].
    pub fn record_carried(&self, carrier: usize, owed_by: usize, bytes: u64) {
        self.carried_bytes.add(carrier, owed_by, bytes);
    }

    /// Whether there is an audit log.
    pub fn is_audited(&self) -> bool {
        self.audit_log.is_some()
    }

    /// Records an event; it is built only where there is an audit log.
    pub fn audit(&self, event: impl FnOnce() -> AuditEvent) {
        if let Some(audit_log) = &self.audit_log {
            audit_log.record(event());
        }
    }

    /// The same for an event at `at`, in seconds on the monotonic clock.
    pub fn audit_at(&self, at: f64, event: impl FnOnce() -> AuditEvent) {
        if let Some(audit_log) = &self.audit_log {
            audit_log.record_at(at, event());
        }
    }

    /// The nodes as discovery lists them now: a version that is read later is verified against them.
    pub fn set_listed_nodes(&self, nodes: Vec<Node>) {
        self.listed_nodes.store(Arc::new(nodes));
    }

    /// The nodes that started not long ago, as discovery lists them now.
    pub fn set_started_nodes(&self, nodes: Vec<StartedNode>) {
        self.started_nodes.store(Arc::new(nodes));
    }

    /// What this broker would use of each shared quota, in units ([`dunepond_quota::TOTAL_UNITS`] are the whole). It is
    /// reported with the next lease request.
    pub fn set_demand(&self, demand_units: BTreeMap<String, u32>) {
        self.demand.store(Arc::new(demand_units));
    }

    /// Has the version file read again, from this path.
    pub fn reload_version(&self, path: Option<PathBuf>) {
        // The queue is full only if as many reloads are waiting already.
        let _ = self.requests.try_send(LoopRequest::ReloadVersion(path));
    }

    /// Has the plan file read again, from this path.
    pub fn reload_plan(&self, path: Option<PathBuf>) {
        let _ = self.requests.try_send(LoopRequest::ReloadPlan(path));
    }

    /// Whether this broker's nodes are overloaded now: a rebalancing plan pauses while many brokers report so.
    pub fn set_overloaded(&self, overloaded: bool) {
        self.counters.overloaded.store(overloaded, Relaxed);
    }

    /// Counts a query that was rejected because of the agreed configuration.
    pub fn count_rejected(&self) {
        increment(&self.counters.rejected);
    }

    /// Counts a part that was withheld just before it would have been sent.
    pub fn count_withheld(&self) {
        increment(&self.counters.withheld);
    }

    /// Counts an answer that does not cover all keys under one map.
    pub fn count_incomplete(&self) {
        increment(&self.counters.incomplete);
    }

    /// The phase, and all counters in one line for operators.
    pub fn summary(&self) -> String {
        let (phase, versions) = audit_phase(&self.active_config(), monotonic_seconds());
        let counters = &self.counters;
        let activity = [
            ("leases", &counters.leases),
            ("refused", &counters.refused),
            ("throttled", &counters.rejected),
            ("held back", &counters.withheld),
            ("not whole", &counters.incomplete),
            ("fills", &counters.fills),
            ("fills failed", &counters.fills_failed),
            ("settled", &counters.settled),
            ("syncs", &counters.syncs),
        ];
        let activity = activity.map(|(name, counter)| format!("{name} {}", counter.load(Relaxed)));
        let links = self.link_counters.load().list();
        let links = links.into_iter().filter(|(_, count)| *count > 0);
        let links: Vec<_> = links.map(|(name, count)| format!("{name} {count}")).collect();
        format!("{phase} {versions:?}; {}; links: {}", activity.join(", "), links.join(", "))
    }
}

/// The phase at `now` (seconds on the monotonic clock) as the audit log names it, and the versions that apply in it. With
/// a lease and no version yet it is `Active` without versions.
pub fn audit_phase(config: &ActiveConfig, now: f64) -> (AuditPhase, Vec<u64>) {
    match config.phase(now) {
        ConfigPhase::Unconfigured if now < config.lease_expires_at() => (AuditPhase::Active, Vec::new()),
        ConfigPhase::Unconfigured => (AuditPhase::Unconfigured, Vec::new()),
        ConfigPhase::Active(number) => (AuditPhase::Active, vec![number]),
        ConfigPhase::Joint(0, new) => (AuditPhase::Joint, vec![new]),
        ConfigPhase::Joint(old, new) => (AuditPhase::Joint, vec![old, new]),
        ConfigPhase::LeaseExpired(number) => {
            let known = (number > 0).then_some(number).into_iter().chain(config.proposed_number());
            (AuditPhase::LeaseExpired, known.collect())
        }
    }
}

#[cfg(test)]
mod tests;
