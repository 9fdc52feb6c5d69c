//! The event loop's side of the control plane, a thread that hosts consensus, membership and quotas. Absent if the operator's file names
//! no fleet.

pub mod fence;
mod gate;
mod quotas;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use calloop::channel::{self, channel};
use dunepond_config::Bad;
use dunepond_config::operator::{self, Known};
use dunepond_consensus::{ActiveConfig, SegmentOwner};
use dunepond_control_plane::{
    ControlPlaneConfig, ControlPlaneError, LinkRate, QuotaConfig, SlowStartPolicy, StartedNode,
    monotonic_seconds,
};
use dunepond_routing::{
    Deployment, Endpoint, EndpointState, NodeId, Query, QuotaDemand, QuotaShares, RetryBudget, Rules,
    SlowStart,
};
use dunepond_shard_map::Node;
use tracing::info;

pub use gate::{CheckedConfig, FreshWriter, Gate, QueryStart, StaleCheck, proved};

use quotas::Quotas;

use crate::iteration::{EventLoopHandle, Iteration, LoopEvent};
use crate::upstream::EndpointInfo;

/// Window of the agreed retry budget if the deployment has none, in seconds.
const DEFAULT_RETRY_WINDOW_SECONDS: f64 = 10.0;

/// A row of the endpoint list, before the active configuration is applied.
type EndpointRow = (Endpoint, EndpointInfo);

/// The event loop's side of the control plane's thread.
pub struct ControlPlane {
    /// Checks against the active configuration.
    pub gate: Rc<Gate>,
    fleet: Option<dunepond_control_plane::ControlPlane>,
    told: operator::Fleet,
    endpoints: HashMap<NodeId, EndpointRow>,
    nodes: HashMap<String, NodeId>,
    zones: HashMap<NodeId, String>,
    /// Indices of the partners.
    partner_by_zone: HashMap<String, usize>,
    partner_by_tenant: Vec<Option<usize>>,
    by_node: Vec<Option<usize>>,
    /// Seconds of slow start after a node's start.
    warm_after: f64,
    /// The deployment's rules; agreed rules only tighten them.
    own: Rules,
    /// The configuration that was applied last, and whether its lease was valid.
    last_applied: Option<(Arc<ActiveConfig>, bool)>,
    applied_rules: Rules,
    /// Fleet-wide quotas, if the operator's file asks for them.
    sharing: Option<Quotas>,
}

/// What changed with the active configuration, for the router.
#[derive(Default)]
pub struct Changes {
    /// The rules, where they changed.
    pub rules: Option<Rules>,
    /// Endpoints whose state changed.
    pub endpoints: Vec<EndpointRow>,
}

fn bad(e: &ControlPlaneError) -> Bad {
    Bad(format!("fleet: {e} ({})", e.help()))
}

impl ControlPlane {
    /// Starts the control plane's thread under this broker's name.
    pub fn start(
        told: &operator::Fleet,
        name: &str,
        site: &Deployment,
        customers: &[String],
        stand_ins: dunepond_control_plane::TestDoubles,
        handle: &EventLoopHandle,
    ) -> Result<Self, Bad> {
        let longest = site.query_classes.iter().map(|t| t.timeout).fold(0.0, f64::max);
        let known = told.voters.iter().chain(&told.peers).map(|Known { name, at }| (name.clone(), *at));
        let partner = |p: &operator::Partner| dunepond_control_plane::Partner {
            name: p.name.clone(),
            brokers: p.brokers.clone(),
            metered: p.metered,
        };
        let link_rate = |link: &operator::Link| LinkRate {
            from: link.from.clone(),
            to: link.to.clone(),
            bytes_per_second: link.bytes,
        };
        let sharing = told.limits.as_ref().map(|limits| Quotas::new(limits, site, customers));
        let sharing = sharing.transpose()?;
        let start = ControlPlaneConfig {
            terms: told.terms(name, longest),
            listen_address: told.listen,
            data_directory: told.folder.clone(),
            known_brokers: known.collect(),
            key_file: told.key.clone(),
            version_file: told.version.clone(),
            audit_log_file: told.record.clone(),
            partners: told.partners.iter().map(partner).collect(),
            link_rates: told.links.iter().map(link_rate).collect(),
            fills: told.fills.as_ref().map(|fills| dunepond_control_plane::FillConfig {
                fill_service: fills.at,
                segment_bytes: fills.segment,
                bytes_per_second: fills.rate,
                max_concurrent_fills: fills.at_once,
                fill_started_nodes: fills.warm,
            }),
            slow_start: Some(warming(&site.slow_start)),
            quotas: sharing.as_ref().map(|sharing| QuotaConfig {
                shared: sharing.bounds().clone(),
                plan_interval_seconds: sharing.every(),
            }),
            rebalancing: told.moves.as_ref().map(|moves| dunepond_control_plane::RebalanceConfig {
                plan_file: moves.plan.clone(),
                max_concurrent_acts: moves.at_once,
                settle_seconds: moves.settle,
                default_link_rate: moves.link_bytes,
            }),
            query_class_count: site.query_classes.len(),
            seed: site.seed,
        };
        let (sender, woken) = channel();
        let inserted = handle.insert_source(woken, |event, _, turn: &mut Iteration| {
            if let channel::Event::Msg(()) = event {
                turn.ready.push_back(LoopEvent::ControlPlaneChanged);
            }
        });
        inserted.map_err(|e| Bad(format!("fleet: {}", e.error)))?;
        // A send fails only once the event loop has ended.
        let wake = move || {
            let _ = sender.send(());
        };
        let fleet = dunepond_control_plane::start(start, stand_ins, wake);
        let fleet = fleet.map_err(|e| bad(&e))?;
        let partners = told.partners.iter().enumerate();
        let zones = partners.clone().flat_map(|(at, p)| p.zones.iter().map(move |zone| (zone.clone(), at)));
        let of_customer = |name: &String| told.partners.iter().position(|p| p.customers.contains(name));
        let repeats = site.query_classes.iter().map(|t| t.idempotency).collect();
        Ok(Self {
            gate: Rc::new(Gate::new(fleet.handle(), repeats)),
            fleet: Some(fleet),
            told: told.clone(),
            endpoints: HashMap::new(),
            nodes: HashMap::new(),
            zones: HashMap::new(),
            partner_by_zone: zones.collect(),
            partner_by_tenant: customers.iter().map(of_customer).collect(),
            by_node: Vec::new(),
            warm_after: site.slow_start.duration,
            own: Rules::of(site),
            last_applied: None,
            applied_rules: Rules::of(site),
            sharing,
        })
    }

    /// Reports whether the nodes are overloaded, with the next lease request.
    pub fn press(&self, pressed: bool) {
        self.gate.hand.set_overloaded(pressed);
    }

    /// What the active configuration changed since the last call. Called before each event: a process that stalled must not act on
    /// a configuration whose lease has expired meanwhile.
    pub fn changed(&mut self) -> Option<Changes> {
        let gate = &self.gate;
        if self.last_applied.as_ref().is_some_and(|(acting, live)| {
            gate.is_current(acting) && acting.lease_valid(monotonic_seconds()) == *live
        }) {
            return None;
        }
        let acting = gate.acting();
        let now = monotonic_seconds();
        let live = acting.lease_valid(now);
        let rules = acting.rules(now).map_or_else(|| self.own.clone(), |rules| strictest(&self.own, rules));
        let mut changed = Changes::default();
        if rules != self.applied_rules {
            self.applied_rules = rules.clone();
            changed.rules = Some(rules);
        }
        // The first call comes before any list.
        let before = self.last_applied.replace((acting.clone(), live)).map(|(before, _)| before);
        if let Some(before) = before {
            let moved = |row: &&EndpointRow| {
                row.1.standing != EndpointState::Removed
                    && before.is_excluded(&row.1.host) != acting.is_excluded(&row.1.host)
            };
            let endpoints: Vec<EndpointRow> = self.endpoints.values().filter(moved).cloned().collect();
            changed.endpoints = endpoints.into_iter().map(|row| self.seen(row)).collect();
        }
        Some(changed)
    }

    /// This broker's shares of the fleet-wide quotas, if they changed since the last call.
    pub fn changed_limits(&mut self) -> Option<QuotaShares> {
        self.sharing.as_mut()?.look(&self.gate, monotonic_seconds())
    }

    /// Counts a query in the demand for its tenant's quota.
    pub fn came(&mut self, customer: usize) {
        if let Some(sharing) = &mut self.sharing {
            sharing.came(customer);
        }
    }

    /// Reports demand for the fleet-wide quotas, from time to time.
    pub fn needs(&mut self, demand: impl FnOnce(f64) -> QuotaDemand) {
        if let Some(sharing) = &mut self.sharing {
            sharing.sample(&self.gate, monotonic_seconds(), demand);
        }
    }

    /// Applies the active configuration to a row: an excluded node drains, whatever discovery says.
    fn seen(&self, (mut listed, mut listing): EndpointRow) -> EndpointRow {
        let leaves = self.last_applied.as_ref().is_some_and(|(acting, _)| acting.is_excluded(&listing.host));
        if leaves && listing.standing == EndpointState::Active {
            info!("fleet: node {} is drained by the active configuration", listing.host);
            (listed.state, listing.standing) = (EndpointState::Draining, EndpointState::Draining);
        }
        (listed, listing)
    }

    /// Takes rows of the endpoint list and applies the active configuration to them. `zone` gives a zone's name.
    pub fn listed(
        &mut self,
        now: f64,
        whole: bool,
        endpoints: Vec<EndpointRow>,
        zone: impl Fn(usize) -> String,
    ) -> Vec<EndpointRow> {
        if whole {
            self.endpoints.clear();
        }
        for row in &endpoints {
            let (node, zone) = (row.0.node, zone(row.0.zone));
            self.nodes.insert(row.1.host.clone(), node);
            if self.by_node.len() <= node {
                self.by_node.resize(node + 1, None);
            }
            self.by_node[node] = self.partner_by_zone.get(&zone).copied();
            self.zones.insert(node, zone);
            self.endpoints.insert(node, row.clone());
        }
        let here = self.endpoints.values().filter(|row| row.1.standing != EndpointState::Removed);
        let named = here.map(|row| Node {
            name: row.1.host.clone(),
            zone: self.zones.get(&row.0.node).cloned().unwrap_or_default(),
            partner: self.partner(row.0.node).map_or(String::new(), |at| self.told.partners[at].name.clone()),
            draining: row.1.standing == EndpointState::Draining,
        });
        self.gate.hand.set_listed_nodes(named.collect());
        self.gate.hand.set_started_nodes(self.started(now));
        endpoints.into_iter().map(|row| self.seen(row)).collect()
    }

    /// Nodes in slow start. `now` is Unix time; the start of each is returned on the monotonic clock.
    fn started(&self, now: f64) -> Vec<StartedNode> {
        let here = self.endpoints.values().filter(|row| row.1.standing != EndpointState::Removed);
        let cold = here.filter(|row| row.1.started > 0.0 && now < row.1.started + self.warm_after);
        let started = cold.map(|(_, listing)| StartedNode {
            node: listing.host.clone(),
            incarnation: (listing.started * 1000.0).round() as u64,
            started_at: monotonic_seconds() - (now - listing.started),
        });
        started.collect()
    }

    /// Removes a node that nothing refers to any more.
    pub fn forget(&mut self, node: NodeId, host: &str) {
        self.nodes.remove(host);
        self.endpoints.remove(&node);
        self.zones.remove(&node);
        if let Some(partner) = self.by_node.get_mut(node) {
            *partner = None;
        }
    }

    /// The active configuration at the start of a query. Each part of a non-idempotent query is assigned to its owner; if one has
    /// none, the query is to be rejected (`Err`).
    pub fn admit(&self, query: &mut Query) -> Result<Rc<QueryStart>, (Rc<QueryStart>, f64, &'static str)> {
        let began = self.gate.begin();
        if !self.gate.once(query.class) {
            return Ok(began);
        }
        for part in &mut query.parts {
            let refused = match began.owner(part.segment) {
                SegmentOwner::AnyReplica => None,
                SegmentOwner::Node(name) => match self.nodes.get(name) {
                    Some(node) => {
                        part.required_node = Some(*node);
                        None
                    }
                    None => Some((self.told.lease, "its owner is not listed")),
                },
                SegmentOwner::Unavailable(wait) => Some((wait, "nobody may have it for now")),
            };
            if let Some((wait, why)) = refused {
                let wait = wait.min(began.longest_wait());
                return Err((began, wait, why));
            }
        }
        Ok(began)
    }

    fn partner(&self, node: NodeId) -> Option<usize> {
        self.by_node.get(node).copied().flatten()
    }

    /// Counts bytes that a node sent for a tenant's query, for the settlement between partners.
    pub fn carried(&self, node: NodeId, customer: usize, bytes: usize) {
        let owed_by = self.partner_by_tenant.get(customer).copied().flatten();
        if let (Some(carrier), Some(owed_by)) = (self.partner(node), owed_by) {
            self.gate.hand.record_carried(carrier, owed_by, bytes as u64);
        }
    }

    /// Applies a reloaded operator's file. Returns whether it changed anything that takes effect only after a restart.
    pub fn reread(&mut self, told: Option<&operator::Fleet>) -> bool {
        let version = told.and_then(|told| told.version.clone());
        self.gate.hand.reload_version(version.clone());
        let plan = |told: &operator::Fleet| told.moves.as_ref().map(|moves| moves.plan.clone());
        self.gate.hand.reload_plan(told.and_then(plan));
        // Only the paths of version and plan can change in a running process.
        let rest = |told: &operator::Fleet| {
            let mut rest = operator::Fleet { version: None, ..told.clone() };
            rest.moves.iter_mut().for_each(|moves| moves.plan = Default::default());
            rest
        };
        let same = told.is_some_and(|told| rest(told) == rest(&self.told));
        self.told.version = version;
        !same
    }

    /// Logs the counters.
    pub fn report(&self) {
        info!(fleet = self.gate.hand.summary(), "fleet counters");
    }

    /// Stops the thread, and waits for its end.
    pub fn stop(&mut self) {
        if let Some(fleet) = self.fleet.take() {
            fleet.stop();
        }
    }
}

fn warming(cold: &SlowStart) -> SlowStartPolicy {
    let SlowStart {
        initial_capacity_ratio: from,
        duration: warm_after,
        rate_multiple: multiple,
        window: span,
    } = *cold;
    SlowStartPolicy {
        initial_share: from,
        warm_up_seconds: warm_after,
        capacity_multiple: multiple,
        window_seconds: span,
    }
}

/// The stricter of the deployment's and the agreed rules: a fleet must not widen a deployment's limits.
fn strictest(own: &Rules, agreed: &dunepond_consensus::RoutingRules) -> Rules {
    let greater = |own: &[f64], agreed: &[f64]| {
        own.iter()
            .enumerate()
            .map(|(at, share)| agreed.get(at).map_or(*share, |other| share.max(*other)))
            .collect()
    };
    let time_budget = own.retry_budget.as_ref().map_or(
        RetryBudget {
            window: DEFAULT_RETRY_WINDOW_SECONDS,
            min_retries: agreed.retry_budget_min,
            ratio: agreed.retry_budget_ratio,
        },
        |own| RetryBudget {
            window: own.window,
            min_retries: own.min_retries.min(agreed.retry_budget_min),
            ratio: own.ratio.min(agreed.retry_budget_ratio),
        },
    );
    Rules {
        minimum_share: greater(&own.minimum_share, &agreed.minimum_shares),
        complete_at: greater(&own.complete_at, &agreed.complete_at),
        retry_budget: Some(time_budget),
        max_attempts: own.max_attempts.min(agreed.max_attempts),
        hedging_enabled: own.hedging_enabled && agreed.hedging_enabled,
        slow_start_multiple: own.slow_start_multiple.min(agreed.slow_start_multiple),
        max_retry_after: own.max_retry_after.min(agreed.max_retry_after_seconds),
    }
}

/// Checks the fleet section of an operator's file against the broker's name and the deployment's query timeouts.
pub fn check(told: &operator::Fleet, name: &str, site: &Deployment) -> Result<(), Bad> {
    let longest = site.query_classes.iter().map(|t| t.timeout).fold(0.0, f64::max);
    told.terms(name, longest).check().map_err(|e| Bad(format!("fleet: {e} ({})", e.help())))
}

#[cfg(test)]
mod tests;
