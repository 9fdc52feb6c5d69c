//! The event loop's interface to the control plane. No call blocks: the event loop reads configurations that the
//! control loop publishes, updates shared atomics and snapshots that the control loop reads, and queues requests.

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

/// Response bytes that each partner's nodes sent for tenants of each other partner. The event loop adds to the
/// counters, and the control loop drains them.
pub struct CarriedBytes {
    partner_count: usize,
    /// One counter for each pair of partners, at index `carrier * partner_count + owed_by`.
    counters: Vec<AtomicU64>,
}

/// Response bytes that the nodes of one partner sent for another partner's tenants. Both partners are indexes into
/// [`crate::ControlPlaneConfig::partners`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CarriedAmount {
    /// Index of the partner whose nodes responded.
    pub carrier: usize,
    /// Index of the partner whose tenants sent the queries, and who owes the bytes.
    pub owed_by: usize,
    /// Size of the responses, in bytes.
    pub bytes: u64,
}

impl CarriedBytes {
    /// Counters for all pairs of partners, starting at zero.
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

    /// Returns the bytes that were added since the last call, for each pair of partners with a count above zero, and
    /// resets the counters.
    pub fn drain(&self) -> Vec<CarriedAmount> {
        let mut amounts = Vec::new();
        for (index, counter) in self.counters.iter().enumerate() {
            // Most counters are zero, and a load is cheaper than a swap.
            if counter.load(Relaxed) > 0 {
                let (carrier, owed_by) = (index / self.partner_count, index % self.partner_count);
                amounts.push(CarriedAmount { carrier, owed_by, bytes: counter.swap(0, Relaxed) });
            }
        }
        amounts
    }
}

/// Requests from the event loop to the control loop.
pub enum LoopRequest {
    /// Read the version file again from this path; `None` if there is no version file any more.
    ReloadVersion(Option<PathBuf>),
    /// Read the plan file again from this path; `None` if there is no plan file any more.
    ReloadPlan(Option<PathBuf>),
    /// Store the traffic counts and stop the control loop.
    Stop,
}

/// Counters for operators, incremented by the event loop and the control loop. They never decrease.
#[derive(Default)]
pub struct ActivityCounters {
    /// Queries that were rejected because the active configuration forbids them.
    pub rejected: AtomicU64,
    /// Parts of queries that were withheld just before sending, because the active configuration forbids them.
    pub withheld: AtomicU64,
    /// Answers that do not cover all keys under a single shard map.
    pub incomplete: AtomicU64,
    /// Leases that were granted to this broker.
    pub leases: AtomicU64,
    /// Total of the lease replies that this broker's lease client rejected, and of the documents and plans from this
    /// broker's files that a voter refused.
    pub refused: AtomicU64,
    /// Fill attempts that succeeded.
    pub fills: AtomicU64,
    /// Fill attempts that failed.
    pub fills_failed: AtomicU64,
    /// Settlements from the log that were applied.
    pub settled: AtomicU64,
    /// Journal writes, each of which waited for the disk.
    pub syncs: AtomicU64,
    /// Whether this broker's nodes were overloaded when the event loop last checked. Not a counter.
    pub overloaded: AtomicBool,
}

/// Increments a counter by one.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// The active configuration, cached for one thread. While the configuration does not change, reading it costs one
/// atomic load.
pub struct ActiveConfigWatch(Cache<Arc<ArcSwap<ActiveConfig>>, Arc<ActiveConfig>>);

impl ActiveConfigWatch {
    /// The current active configuration, as returned by [`ControlHandle::active_config`].
    pub fn current(&mut self) -> &Arc<ActiveConfig> {
        self.0.load()
    }
}

/// The event loop's handle to the control plane. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    pub(crate) active_config: Arc<ArcSwap<ActiveConfig>>,
    pub(crate) carried_bytes: Arc<CarriedBytes>,
    pub(crate) audit_log: Option<AuditSender>,
    pub(crate) requests: Sender<LoopRequest>,
    pub(crate) listed_nodes: Arc<ArcSwap<Vec<Node>>>,
    pub(crate) started_nodes: Arc<ArcSwap<Vec<StartedNode>>>,
    pub(crate) counters: Arc<ActivityCounters>,
    /// This broker's demand in units, by shared quota.
    pub(crate) demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
    /// Counters of the links to other brokers, updated about once per second.
    pub(crate) link_counters: Arc<ArcSwap<Counters>>,
}

impl ControlHandle {
    /// The active configuration, which determines what this broker may currently do.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.active_config.load_full()
    }

    /// A cached view of the active configuration, for a thread that reads it often.
    pub fn watch(&self) -> ActiveConfigWatch {
        ActiveConfigWatch(Cache::new(self.active_config.clone()))
    }

    /// Counts response bytes that a node of the partner `carrier` sent for a tenant of the partner `owed_by`. Both are
    /// indexes into [`crate::ControlPlaneConfig::partners`].
    pub fn record_carried(&self, carrier: usize, owed_by: usize, bytes: u64) {
        self.carried_bytes.add(carrier, owed_by, bytes);
    }

    /// Whether an audit log is configured.
    pub fn is_audited(&self) -> bool {
        self.audit_log.is_some()
    }

    /// Records an event in the audit log. `event` is called only if an audit log is configured.
    pub fn audit(&self, event: impl FnOnce() -> AuditEvent) {
        if let Some(audit_log) = &self.audit_log {
            audit_log.record(event());
        }
    }

    /// Records in the audit log an event that occurred at `at`, in seconds on the monotonic clock. `event` is called
    /// only if an audit log is configured.
    pub fn audit_at(&self, at: f64, event: impl FnOnce() -> AuditEvent) {
        if let Some(audit_log) = &self.audit_log {
            audit_log.record_at(at, event());
        }
    }

    /// Sets the nodes that discovery currently lists. Version files that are read later are verified against them.
    pub fn set_listed_nodes(&self, nodes: Vec<Node>) {
        self.listed_nodes.store(Arc::new(nodes));
    }

    /// Sets the recently started nodes that discovery currently lists.
    pub fn set_started_nodes(&self, nodes: Vec<StartedNode>) {
        self.started_nodes.store(Arc::new(nodes));
    }

    /// Sets this broker's demand by shared quota, in units ([`dunepond_quota::TOTAL_UNITS`] are a full quota). The
    /// demand is reported with lease requests.
    pub fn set_demand(&self, demand_units: BTreeMap<String, u32>) {
        self.demand.store(Arc::new(demand_units));
    }

    /// Asks the control loop to read the version file again from this path.
    pub fn reload_version(&self, path: Option<PathBuf>) {
        // If the queue is full, this request is dropped; other reloads are already queued.
        let _ = self.requests.try_send(LoopRequest::ReloadVersion(path));
    }

    /// Asks the control loop to read the plan file again from this path.
    pub fn reload_plan(&self, path: Option<PathBuf>) {
        let _ = self.requests.try_send(LoopRequest::ReloadPlan(path));
    }

    /// Sets whether this broker's nodes are overloaded. A rebalancing plan pauses while many brokers report overload.
    pub fn set_overloaded(&self, overloaded: bool) {
        self.counters.overloaded.store(overloaded, Relaxed);
    }

    /// Counts a query that was rejected because the active configuration forbids it.
    pub fn count_rejected(&self) {
        increment(&self.counters.rejected);
    }

    /// Counts a part of a query that was withheld just before sending.
    pub fn count_withheld(&self) {
        increment(&self.counters.withheld);
    }

    /// Counts an answer that does not cover all keys under a single shard map.
    pub fn count_incomplete(&self) {
        increment(&self.counters.incomplete);
    }

    /// The current phase and all counters in one line, for operators.
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

/// The phase of the configuration at `now`, in seconds on the monotonic clock, and the numbers of the configuration
/// versions that apply in it. With a valid lease but no version yet, this is [`AuditPhase::Active`] without versions.
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
