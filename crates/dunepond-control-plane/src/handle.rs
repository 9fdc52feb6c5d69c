//! The control plane as the broker's event loop sees it. No call blocks: the loop reads snapshots and bumps atomics, and the
//! control loop's thread takes them from there.

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

/// Bytes that each partner's nodes answered for each other's tenants. The event loop adds, the control loop takes.
pub struct CarriedBytes {
    partners: usize,
    bytes: Vec<AtomicU64>,
}

impl CarriedBytes {
    pub fn new(partners: usize) -> Self {
        Self { partners, bytes: (0..partners * partners).map(|_| AtomicU64::new(0)).collect() }
    }

    fn add(&self, carrier: usize, owed_by: usize, bytes: u64) {
        if owed_by < self.partners
            && let Some(cell) = self.bytes.get(carrier * self.partners + owed_by)
        {
            cell.fetch_add(bytes, Relaxed);
        }
    }

    /// What came since it was asked last: carrier, who owes it, bytes.
    pub fn take(&self) -> Vec<(usize, usize, u64)> {
        let taken = self.bytes.iter().enumerate().map(|(at, cell)| {
            let bytes = if cell.load(Relaxed) == 0 { 0 } else { cell.swap(0, Relaxed) };
            (at / self.partners, at % self.partners, bytes)
        });
        taken.filter(|(_, _, bytes)| *bytes > 0).collect()
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
    pub rejected: AtomicU64,
    pub withheld: AtomicU64,
    pub incomplete: AtomicU64,
    pub leases: AtomicU64,
    pub refused: AtomicU64,
    pub fills: AtomicU64,
    pub fills_failed: AtomicU64,
    pub settled: AtomicU64,
    pub syncs: AtomicU64,
    /// Whether the nodes were overloaded when the event loop last looked.
    pub overloaded: AtomicBool,
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// The active configuration, cached for one thread: a look costs one atomic read while nothing has changed.
pub struct ActiveConfigWatch(Cache<Arc<ArcSwap<ActiveConfig>>, Arc<ActiveConfig>>);

impl ActiveConfigWatch {
    /// As of now; the same as [`ControlHandle::active_config`] gives it.
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
    pub(crate) commands: Sender<LoopRequest>,
    pub(crate) listed_nodes: Arc<ArcSwap<Vec<Node>>>,
    pub(crate) started_nodes: Arc<ArcSwap<Vec<StartedNode>>>,
    pub(crate) counters: Arc<ActivityCounters>,
    /// Units that this broker would use of each bound that the fleet shares.
    pub(crate) demand: Arc<ArcSwap<BTreeMap<String, u32>>>,
    /// What the links counted, a second ago at most.
    pub(crate) link_counters: Arc<ArcSwap<Counters>>,
}

impl ControlHandle {
    /// What this broker may act on, for whoever asks it at the moment of the act.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.active_config.load_full()
    }

    /// The same for one thread that asks often.
    pub fn watch(&self) -> ActiveConfigWatch {
        ActiveConfigWatch(Cache::new(self.active_config.clone()))
    }

    /// So many bytes of an answer came from a holder of one partner, for a customer of another; by their places among
    /// the partners.
    pub fn record_carried(&self, carrier: usize, owed_by: usize, bytes: u64) {
        self.carried_bytes.add(carrier, owed_by, bytes);
    }

    /// Whether there is an audit log.
    pub fn is_audited(&self) -> bool {
        self.audit_log.is_some()
    }

    /// Records an event; it is built only where there is an audit log.
    pub fn audit(&self, act: impl FnOnce() -> AuditEvent) {
        if let Some(recorder) = &self.audit_log {
            recorder.record(act());
        }
    }

    /// Records an event of this moment on the monotonic clock.
    pub fn audit_at(&self, at: f64, act: impl FnOnce() -> AuditEvent) {
        if let Some(recorder) = &self.audit_log {
            recorder.record_at(at, act());
        }
    }

    /// The nodes as discovery lists them now: a version that is read later is judged by them.
    pub fn set_listed_nodes(&self, nodes: Vec<Node>) {
        self.listed_nodes.store(Arc::new(nodes));
    }

    /// The nodes that started not long ago, as discovery lists them now.
    pub fn set_started_nodes(&self, nodes: Vec<StartedNode>) {
        self.started_nodes.store(Arc::new(nodes));
    }

    /// What this broker would use of bounds that the fleet shares, in units of the whole: told with the next lease.
    pub fn set_demand(&self, needs: BTreeMap<String, u32>) {
        self.demand.store(Arc::new(needs));
    }

    /// Reads the version file again, from this path.
    pub fn reload_version(&self, version: Option<PathBuf>) {
        // Full only if as many are waiting already.
        let _ = self.commands.try_send(LoopRequest::ReloadVersion(version));
    }

    /// Reads the plan file again, from this path.
    pub fn reload_plan(&self, plan: Option<PathBuf>) {
        let _ = self.commands.try_send(LoopRequest::ReloadPlan(plan));
    }

    /// Whether this broker's nodes are overloaded now: plans of moves pause where many brokers say so.
    pub fn set_overloaded(&self, pressed: bool) {
        self.counters.overloaded.store(pressed, Relaxed);
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

    /// A line for the counters.
    pub fn summary(&self) -> String {
        let tally = &self.counters;
        let now = monotonic_seconds();
        let (phase, numbers) = audit_phase(&self.active_config(), now);
        let counted = [
            ("leases", &tally.leases),
            ("refused", &tally.refused),
            ("throttled", &tally.rejected),
            ("held back", &tally.withheld),
            ("not whole", &tally.incomplete),
            ("fills", &tally.fills),
            ("fills failed", &tally.fills_failed),
            ("settled", &tally.settled),
            ("syncs", &tally.syncs),
        ];
        let counted = counted.map(|(name, counter)| format!("{name} {}", counter.load(Relaxed)));
        let links = self.link_counters.load().list();
        let links = links.into_iter().filter(|(_, count)| *count > 0);
        let links: Vec<_> = links.map(|(name, count)| format!("{name} {count}")).collect();
        format!("{phase} {numbers:?}; {}; links: {}", counted.join(", "), links.join(", "))
    }
}

/// The phase at `now` (seconds on the monotonic clock) as the audit log names it, and the versions that apply in it. With
/// a lease and no version yet it is `Active` without versions.
pub fn audit_phase(acting: &ActiveConfig, now: f64) -> (AuditPhase, Vec<u64>) {
    match acting.phase(now) {
        ConfigPhase::Unconfigured if now < acting.lease_expires_at() => (AuditPhase::Active, Vec::new()),
        ConfigPhase::Unconfigured => (AuditPhase::Unconfigured, Vec::new()),
        ConfigPhase::Active(number) => (AuditPhase::Active, vec![number]),
        ConfigPhase::Joint(0, new) => (AuditPhase::Joint, vec![new]),
        ConfigPhase::Joint(old, new) => (AuditPhase::Joint, vec![old, new]),
        ConfigPhase::LeaseExpired(number) => {
            let known = (number > 0).then_some(number).into_iter().chain(acting.proposed_number());
            (AuditPhase::LeaseExpired, known.collect())
        }
    }
}

#[cfg(test)]
mod tests;
