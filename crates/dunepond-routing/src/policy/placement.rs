//! Placement: the replica to which a part is sent.
//!
//! Inputs: the active replicas of a segment, this broker's attempts in progress at each, the latencies of their
//! last attempts (seconds), and their zones. Two of the most eligible replicas are sampled, and the part is sent
//! to the less loaded of them (power of two choices). Load reports of nodes are not used: they arrive late, and
//! may be stale or wrong.

use rand::RngExt;

use super::latency::FRESH_OBJECTIVES;
use crate::state::{InFlightQuery, Node, NodeSample, PartState, Router};
use crate::{EndpointState, Idempotency, NodeId};

/// Extra load of a node in another zone, as a multiple of the cross-zone cost that the deployment states.
const CROSS_ZONE_COST_FACTOR: f64 = 7.5;
/// Extra load of a node in another zone if the deployment states no cross-zone cost: of two equally loaded
/// replicas, the one in this broker's zone costs less.
const DEFAULT_CROSS_ZONE_LOAD: f64 = 0.1;

/// Whether a replica may be sent a part, from the best case to the worst.
#[derive(Clone, Copy, PartialEq)]
enum Eligibility {
    /// The replica is in service, does not fail the query class, and has not been sent the part yet.
    InService,
    /// The replica is ejected and due a probation attempt.
    Probation,
    /// The replica is used only if no better one is left and no attempt of the part is outstanding.
    LastResort,
    /// The replica is ejected, and its probation attempt has been due for long: a part that must not run twice may be
    /// that attempt if all replicas are ejected.
    UnusedProbation,
    /// The replica must not be sent the part.
    Ineligible,
}

/// The replicas of a part, by their eligibility.
#[derive(Default)]
struct Candidates {
    in_service: Vec<NodeId>,
    probation: Vec<NodeId>,
    last_resort: Vec<NodeId>,
    unused_probation: Vec<NodeId>,
    /// Number of active replicas, including ineligible ones.
    replica_count: usize,
}

impl Router {
    /// Returns the active replicas of a segment: those that were set for it, or else those of its replica groups. If a node is required, the other replicas are left out.
    pub(super) fn replicas(
        &self,
        segment: usize,
        required: Option<NodeId>,
    ) -> impl Iterator<Item = (NodeId, &Node)> {
        let groups = self.replica_groups.len();
        let count = self.deployment.replicas.min(groups);
        let agreed = self.segment_replicas.get(&segment);
        let grouped = (0..if agreed.is_some() { 0 } else { count })
            .flat_map(move |offset| &self.replica_groups[(segment + offset) % groups]);
        let ids = agreed.into_iter().flatten().chain(grouped);
        let known = ids.filter_map(|id| Some((*id, self.nodes.get(*id)?.as_ref()?)));
        known.filter(move |(id, node)| {
            node.state == EndpointState::Active && required.is_none_or(|required| required == *id)
        })
    }

    /// Chooses the replica for a part among those that have answered a probe since the given instant
    /// (`f64::MIN` admits all replicas); `None` if no replica may be sent the part now.
    pub(super) fn choose_replica(
        &mut self,
        query: &InFlightQuery,
        part: usize,
        answered_since: f64,
    ) -> Option<NodeId> {
        let budget_allows_hedge = self.is_within_budget(query);
        let part = &query.parts[part];
        let mut candidates = self.candidates(query, part, answered_since);
        let has_no_outstanding = !part.has_outstanding();
        // A hedge may go to a node on probation only if no replica is in service: otherwise both attempts of
        // a part could be lost at failed nodes although there is a healthy replica. A part without an
        // outstanding attempt may go to a node on probation if the retry budget allows a hedge for it.
        if has_no_outstanding && budget_allows_hedge || candidates.in_service.is_empty() {
            candidates.in_service.append(&mut candidates.probation);
        }
        let use_last_resort = candidates.in_service.is_empty() && has_no_outstanding;
        let choices = match use_last_resort {
            false => candidates.in_service,
            true if candidates.last_resort.is_empty() => candidates.unused_probation,
            true => candidates.last_resort,
        };
        self.less_loaded_of_two(&choices, query.class, candidates.replica_count)
    }

    /// Groups the replicas of a part by eligibility, and leaves out those that have not answered a probe
    /// since the given instant.
    fn candidates(&self, query: &InFlightQuery, part: &PartState, answered_since: f64) -> Candidates {
        let mut candidates = Candidates::default();
        for (id, node) in self.replicas(part.segment, part.required_node) {
            candidates.replica_count += 1;
            if node.last_probe_at < answered_since {
                continue;
            }
            match self.eligibility(query, part, id, node) {
                Eligibility::InService => candidates.in_service.push(id),
                Eligibility::Probation => candidates.probation.push(id),
                Eligibility::LastResort => candidates.last_resort.push(id),
                Eligibility::UnusedProbation => candidates.unused_probation.push(id),
                Eligibility::Ineligible => {}
            }
        }
        candidates
    }

    /// Returns how eligible a replica is to be sent a part.
    fn eligibility(&self, query: &InFlightQuery, part: &PartState, id: NodeId, node: &Node) -> Eligibility {
        // Parts that are idempotent by key are treated like non-idempotent ones, because a repeat is safe only
        // within its idempotency window.
        let is_idempotent = self.class(query).idempotency == Idempotency::Idempotent;
        let fails = node.fails_class(query.class, self.objectives_ago(FRESH_OBJECTIVES));
        let has_capacity = self.has_slow_start_budget(node, query) && !self.is_full(node);
        if !has_capacity || is_excluded(part, id, fails, is_idempotent) {
            return Eligibility::Ineligible;
        }
        let is_untried = part.attempts.iter().all(|attempt| attempt.node != id);
        match &node.ejection {
            // A part that must not run twice is only sent to healthy nodes; as long as it is unsent, its query
            // can be rejected as retriable. Without idempotent parts, however, an ejected node would never return.
            Some(ejection) if !is_idempotent && !fails && self.is_probation_unused(node, ejection) => {
                Eligibility::UnusedProbation
            }
            _ if !is_idempotent && (fails || node.ejection.is_some()) => Eligibility::Ineligible,
            Some(ejection) if is_untried && self.is_due_probation(node, ejection) => Eligibility::Probation,
            Some(_) => Eligibility::LastResort,
            None if fails || !is_untried => Eligibility::LastResort,
            None if is_idempotent || node.silence(self.now) < self.latency.p95 => Eligibility::InService,
            None => Eligibility::LastResort,
        }
    }

    /// Samples two of the given replicas and returns the less loaded one.
    fn less_loaded_of_two(
        &mut self,
        choices: &[NodeId],
        class: usize,
        replica_count: usize,
    ) -> Option<NodeId> {
        let count = choices.len();
        if count < 2 {
            return choices.first().copied();
        }
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        let (first, second) = (choices[first], choices[second]);
        let first_load = self.load(first, class, replica_count);
        let second_load = self.load(second, class, replica_count);
        Some(if second_load < first_load { second } else { first })
    }

    /// Returns the load of a node: this broker's attempts in progress there, weighted by the ratio of the
    /// node's recent latency to the fleet's median. At a node in slow start, each attempt in progress counts
    /// for more. The next attempt does not, because the node's slow start tokens already limit it: with both
    /// limits some tokens would stay unused.
    fn load(&self, id: NodeId, class: usize, replica_count: usize) -> f64 {
        let Some(node) = &self.nodes[id] else { return 0.0 };
        let fault_latency = |sample: &NodeSample| {
            if sample.class == class { self.latency.p95 } else { self.latency.median }
        };
        let latency = self.expected_latency(node, FRESH_OBJECTIVES, fault_latency);
        let slowness = (latency / self.latency.median).max(1.0);
        let in_progress = node.attempts_in_progress() / node.slow_start_weight(&self.deployment, self.now);
        self.zone_factor(node, replica_count) * (in_progress + 1.0) * slowness
    }

    /// Returns the load factor of a node that depends on its zone: more than 1 in another zone. With fewer
    /// replicas than zones it is always 1: many segments have no replica in this zone, so the factor would
    /// avoid hardly any cross-zone attempts and would bias the choice between equal replicas.
    fn zone_factor(&self, node: &Node, replica_count: usize) -> f64 {
        let is_exempt = node.zone == self.deployment.zone || replica_count < self.latency.zones.len();
        if is_exempt {
            return 1.0;
        }
        match self.deployment.cross_zone_cost {
            Some(cost) => 1.0 + CROSS_ZONE_COST_FACTOR * cost,
            None => 1.0 + DEFAULT_CROSS_ZONE_LOAD,
        }
    }

    /// Returns the expected latency (seconds) of an attempt at a node: the mean over the node's recent
    /// samples and one more sample at the zone's median, which serves as a prior. Recent samples are those no
    /// older than `objectives` times the longest latency objective. Faults often return fast, so each counts
    /// with at least the latency that `fault_latency` returns for it.
    pub(super) fn expected_latency(
        &self,
        node: &Node,
        objectives: f64,
        fault_latency: impl Fn(&NodeSample) -> f64,
    ) -> f64 {
        let since = self.objectives_ago(objectives);
        let mut sum = self.latency.zone_median.get(node.zone).copied().unwrap_or(self.latency.median);
        let mut count = 1.0;
        for sample in node.samples.iter().filter(|sample| sample.at > since) {
            let min_latency = if sample.is_fault() { fault_latency(sample) } else { 0.0 };
            sum += sample.latency.max(min_latency);
            count += 1.0;
        }
        sum / count
    }

    /// Returns the replicas of a segment that the prefilter may query. Nodes in slow start are excluded, because
    /// they have no spare capacity.
    pub fn prefilter_candidates(&self, segment: usize) -> impl Iterator<Item = NodeId> {
        let may_query = |node: &Node| {
            node.ejection.is_none()
                && !self.is_full(node)
                && node.slow_start_weight(&self.deployment, self.now) >= 1.0
        };
        self.replicas(segment, None).filter(move |(_, node)| may_query(node)).map(|(id, _)| id)
    }
}

/// Returns whether a replica must not be sent the part again. A replica that lost an answer or was full may serve
/// the next attempt; one that fails the query class will not. A part that must not run twice is never sent to the
/// same replica again, because its query could end with an unknown outcome.
fn is_excluded(part: &PartState, id: NodeId, fails: bool, is_idempotent: bool) -> bool {
    part.attempts
        .iter()
        .any(|attempt| attempt.node == id && (fails || !is_idempotent || attempt.is_outstanding()))
}
