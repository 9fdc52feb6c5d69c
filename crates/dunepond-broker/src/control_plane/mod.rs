//! The event loop's side of the control plane, which runs consensus, membership and quotas on a thread of its own.
//! There is no control plane if the operator's file has no fleet section.

mod completeness;
mod endpoints;
pub mod fence;
mod gate;
mod quotas;
mod rules;
mod startup;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use dunepond_config::operator;
use dunepond_consensus::{ActiveConfig, SegmentOwner};
use dunepond_control_plane::{ControlPlane, monotonic_seconds};
use dunepond_routing::{EndpointState, NodeId, Query, QuotaDemand, QuotaShares, Rules};
use tracing::info;

pub use completeness::verify_answer;
pub use gate::{CheckedConfig, FreshWriter, Gate, PartTarget, QueryStart, StaleCheck};
pub use startup::check;

use crate::endpoint::EndpointRow;
use quotas::Quotas;
use rules::strictest_rules;

/// Window of the retry budget in seconds if the deployment has no retry budget and the fleet has agreed on one.
const DEFAULT_RETRY_WINDOW_SECONDS: f64 = 10.0;

/// The event loop's side of the control plane's thread.
pub struct ControlPlaneClient {
    /// Checks attempts against the active configuration.
    pub gate: Rc<Gate>,
    /// The control plane's thread; `None` once it has been stopped.
    thread: Option<ControlPlane>,
    config: operator::FleetConfig,
    /// The endpoint list as discovery reports it.
    endpoints: HashMap<NodeId, EndpointRow>,
    node_by_name: HashMap<String, NodeId>,
    zone_by_node: HashMap<NodeId, String>,
    /// Index of the partner that each zone belongs to.
    partner_by_zone: HashMap<String, usize>,
    /// Index of the partner that each tenant belongs to, if any.
    partner_by_tenant: Vec<Option<usize>>,
    /// Index of the partner that each node belongs to, if any.
    partner_by_node: Vec<Option<usize>>,
    /// Duration of slow start after a node's start, in seconds.
    slow_start_seconds: f64,
    /// The deployment's routing rules. Those that the fleet has agreed on can only tighten them.
    deployment_rules: Rules,
    /// The configuration that was applied last.
    last_applied: Option<AppliedConfig>,
    /// The routing rules that were applied last.
    applied_rules: Rules,
    /// The fleet-wide quotas; `None` if the operator's file has none.
    quotas: Option<Quotas>,
}

/// A configuration that has been applied.
struct AppliedConfig {
    config: Arc<ActiveConfig>,
    /// Whether this broker's lease was valid when the configuration was applied.
    lease_was_valid: bool,
}

/// What a change of the active configuration means for the router.
#[derive(Default)]
pub struct Changes {
    /// The new routing rules; `None` if they did not change.
    pub rules: Option<Rules>,
    /// The rows of the endpoint list whose state changed.
    pub endpoints: Vec<EndpointRow>,
}

/// A non-idempotent query with a part whose segment has no owner.
pub struct NoOwner {
    /// The active configuration at the query's start.
    pub query_start: Rc<QueryStart>,
    /// After how many seconds the query may be sent again.
    pub retry_after: f64,
    /// Why the segment has no owner.
    pub reason: &'static str,
}

impl ControlPlaneClient {
    /// Sets whether the nodes are overloaded, which the next lease request reports.
    pub fn set_overloaded(&self, overloaded: bool) {
        self.gate.control.set_overloaded(overloaded);
    }

    /// Returns what has changed for the router because of the active configuration since the last call; `None` if
    /// neither the configuration nor the validity of its lease has changed. Called before each event, so that a
    /// process that stalled does not act on a configuration whose lease has expired meanwhile.
    pub fn poll_changes(&mut self) -> Option<Changes> {
        if self.last_applied.as_ref().is_some_and(|applied| self.is_unchanged(applied)) {
            return None;
        }
        let config = self.gate.active_config();
        let now = monotonic_seconds();
        let lease_was_valid = config.lease_valid(now);
        let rules = config.rules(now).map_or_else(
            || self.deployment_rules.clone(),
            |rules| strictest_rules(&self.deployment_rules, rules),
        );
        let mut changes = Changes::default();
        if rules != self.applied_rules {
            self.applied_rules = rules.clone();
            changes.rules = Some(rules);
        }
        let applied = AppliedConfig { config: config.clone(), lease_was_valid };
        // The first call comes before the first endpoint list is received, so it has no endpoints to report.
        if let Some(previous) = self.last_applied.replace(applied) {
            changes.endpoints = self.endpoints_changed_since(&previous.config, &config);
        }
        Some(changes)
    }

    /// Returns whether a configuration is still active and the validity of its lease is the same as when it was
    /// applied.
    fn is_unchanged(&self, applied: &AppliedConfig) -> bool {
        self.gate.is_current(&applied.config)
            && applied.config.lease_valid(monotonic_seconds()) == applied.lease_was_valid
    }

    /// Returns the rows of the nodes that only one of the two configurations excludes.
    fn endpoints_changed_since(&self, before: &ActiveConfig, now: &ActiveConfig) -> Vec<EndpointRow> {
        let has_changed = |row: &&EndpointRow| {
            let host = &row.info.name;
            row.info.state != EndpointState::Removed && before.is_excluded(host) != now.is_excluded(host)
        };
        let changed = self.endpoints.values().filter(has_changed);
        changed.map(|row| self.apply_exclusion(row.clone())).collect()
    }

    /// Returns this broker's shares of the fleet-wide quotas if they have changed since the last call.
    pub fn poll_quota_shares(&mut self) -> Option<QuotaShares> {
        self.quotas.as_mut()?.poll_shares(&self.gate, monotonic_seconds())
    }

    /// Counts a query towards the demand for its tenant's quota.
    pub fn record_arrival(&mut self, tenant: usize) {
        if let Some(quotas) = &mut self.quotas {
            quotas.record_arrival(tenant);
        }
    }

    /// Reports the demand for the fleet-wide quotas, unless the last report was made less than a sample interval ago.
    /// `demand` is called with the number of seconds that the report covers.
    pub fn record_demand(&mut self, demand: impl FnOnce(f64) -> QuotaDemand) {
        if let Some(quotas) = &mut self.quotas {
            quotas.record_sample(&self.gate, monotonic_seconds(), demand);
        }
    }

    /// Assigns each part of a non-idempotent query to the owner of its segment. Returns the active configuration at the
    /// query's start, or fails if a segment has no owner; the query then has to be rejected.
    pub fn assign_owners(&self, query: &mut Query) -> Result<Rc<QueryStart>, NoOwner> {
        let query_start = self.gate.begin_query();
        if !self.gate.is_non_idempotent(query.class) {
            return Ok(query_start);
        }
        for part in &mut query.parts {
            let (retry_after, reason) = match query_start.owner(part.segment) {
                SegmentOwner::AnyReplica => continue,
                SegmentOwner::Node(name) => match self.node_by_name.get(name) {
                    Some(node) => {
                        part.required_node = Some(*node);
                        continue;
                    }
                    None => (self.config.lease_seconds, "its owner is not listed"),
                },
                SegmentOwner::Unavailable(retry_after) => (retry_after, "nobody may have it for now"),
            };
            let retry_after = retry_after.min(query_start.max_retry_after());
            return Err(NoOwner { query_start, retry_after, reason });
        }
        Ok(query_start)
    }

    /// Returns the listed nodes from which each segment of the active configuration's shard map may be read; empty without a
    /// map.
    pub fn segment_replicas(&self) -> BTreeMap<usize, Vec<NodeId>> {
        let Some(AppliedConfig { config, .. }) = &self.last_applied else { return BTreeMap::new() };
        let now = monotonic_seconds();
        let Some(map) = config.map(now) else { return BTreeMap::new() };
        let listed = |names: Vec<&str>| {
            names.into_iter().filter_map(|name| self.node_by_name.get(name).copied()).collect()
        };
        let replicas =
            |segment: u64| Some((segment as usize, listed(config.readable_replicas(segment, now)?)));
        map.segments().filter_map(|segment| replicas(segment.id)).collect()
    }

    /// Counts the bytes that a node has sent for a tenant's query, for the settlement between partners.
    pub fn record_answer_bytes(&self, node: NodeId, tenant: usize, bytes: usize) {
        let debtor = self.partner_by_tenant.get(tenant).copied().flatten();
        if let (Some(creditor), Some(debtor)) = (self.partner_of(node), debtor) {
            self.gate.control.record_carried(creditor, debtor, bytes as u64);
        }
    }

    /// Applies the fleet section of a reloaded operator's file. Returns whether a setting changed that takes effect
    /// only after a restart.
    pub fn reload(&mut self, config: Option<&operator::FleetConfig>) -> bool {
        let version = config.and_then(|config| config.version_file.clone());
        self.gate.control.reload_version(version.clone());
        let plan = config.and_then(|config| config.rebalancing.as_ref()).map(|moves| moves.plan_file.clone());
        self.gate.control.reload_plan(plan);
        let is_same = config
            .is_some_and(|config| without_reloadable_paths(config) == without_reloadable_paths(&self.config));
        self.config.version_file = version;
        !is_same
    }

    /// Logs the counters of the control plane.
    pub fn report_counters(&self) {
        info!(fleet = self.gate.control.summary(), "fleet counters");
    }

    /// Stops the control plane's thread and waits for it to end.
    pub fn stop(&mut self) {
        if let Some(thread) = self.thread.take() {
            thread.stop();
        }
    }
}

/// Returns the fleet section without the paths of the version file and the plan file, the only settings that can change
/// in a running process.
fn without_reloadable_paths(config: &operator::FleetConfig) -> operator::FleetConfig {
    let mut rest = operator::FleetConfig { version_file: None, ..config.clone() };
    if let Some(moves) = &mut rest.rebalancing {
        moves.plan_file = Default::default();
    }
    rest
}
