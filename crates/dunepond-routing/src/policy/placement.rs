//! Placement: which replica gets a part.
//!
//! Inputs: the active replicas of a segment, our attempts in hand at each, the latencies of their last
//! attempts (seconds), and their zones. Among the fittest replicas two are sampled, and the less loaded one
//! gets the part (power of two choices). Load reports of nodes are not used: they arrive late, and may be
//! stale or wrong.

use rand::RngExt;

use super::latency::FRESH_OBJECTIVES;
use crate::state::{InFlightQuery, Node, NodeSample, PartState, Router};
use crate::{EndpointState, Idempotency, NodeId};

/// Extra load factor of a node in another zone: this multiple of the stated crossing price, or this much if
/// none is stated. Of two equally loaded replicas, the near one costs less.
const CROSSING_PRICE_FACTOR: f64 = 7.5;
const UNPRICED_CROSSING_RATIO: f64 = 0.1;

/// How fit a replica is for a part, the best first.
#[derive(Clone, Copy, PartialEq)]
enum Fitness {
    InService,
    /// Ejected, and due a probation attempt.
    Probation,
    /// Used only if no better replica is left and no attempt of the part is outstanding.
    LastResort,
    Unfit,
}

/// The replicas of a part, by their fitness.
#[derive(Default)]
struct Candidates {
    in_service: Vec<NodeId>,
    probation: Vec<NodeId>,
    last_resort: Vec<NodeId>,
    /// All active replicas, fit or not.
    replica_count: usize,
}

impl Router {
    /// The active replicas of a segment, reduced to the required node if there is one.
    pub(super) fn replicas(
        &self,
        segment: usize,
        required: Option<NodeId>,
    ) -> impl Iterator<Item = (NodeId, &Node)> {
        let groups = self.replica_groups.len();
        let count = self.deployment.replicas.min(groups);
        let ids = (0..count).flat_map(move |offset| &self.replica_groups[(segment + offset) % groups]);
        let known = ids.filter_map(|id| self.nodes[*id].as_ref().map(|node| (*id, node)));
        known.filter(move |(id, node)| {
            node.state == EndpointState::Active && required.is_none_or(|required| required == *id)
        })
    }

    /// The replica for a part, among those that have answered a probe since the given instant.
    pub(super) fn choose_replica(
        &mut self,
        query: &InFlightQuery,
        part: usize,
        answered_since: f64,
    ) -> Option<NodeId> {
        let may_hedge_probation = self.is_within_budget(query);
        let part = &query.parts[part];
        let mut candidates = self.candidates(query, part, answered_since);
        let nothing_is_out = !part.has_outstanding();
        // A hedge may go to a node on probation only if no replica is in service: otherwise both attempts of
        // a part could be lost at dead nodes while a healthy replica is never asked. A first attempt may, if
        // the retry budget allows a hedge for it.
        if nothing_is_out && may_hedge_probation || candidates.in_service.is_empty() {
            candidates.in_service.append(&mut candidates.probation);
        }
        let use_last_resort = candidates.in_service.is_empty() && nothing_is_out;
        let among = if use_last_resort { candidates.last_resort } else { candidates.in_service };
        self.less_loaded_of_two(&among, query.class, candidates.replica_count)
    }

    fn candidates(&self, query: &InFlightQuery, part: &PartState, answered_since: f64) -> Candidates {
        let mut candidates = Candidates::default();
        for (id, node) in self.replicas(part.segment, part.required_node) {
            candidates.replica_count += 1;
            if node.last_probe_at < answered_since {
                continue;
            }
            match self.fitness(query, part, id, node) {
                Fitness::InService => candidates.in_service.push(id),
                Fitness::Probation => candidates.probation.push(id),
                Fitness::LastResort => candidates.last_resort.push(id),
                Fitness::Unfit => {}
            }
        }
        candidates
    }

    fn fitness(&self, query: &InFlightQuery, part: &PartState, id: NodeId, node: &Node) -> Fitness {
        // Keyed parts are placed like non-idempotent ones.
        let is_idempotent = self.class(query).idempotency == Idempotency::Idempotent;
        let fails = node.fails_class(query.class, self.objectives_ago(FRESH_OBJECTIVES));
        let has_cap = self.has_slow_start_budget(node, query) && !self.is_full(node);
        if !has_cap || is_used_up(part, id, fails, is_idempotent) {
            return Fitness::Unfit;
        }
        let is_new = part.attempts.iter().all(|attempt| attempt.node != id);
        match &node.ejection {
            // A part that must not run twice goes only to nodes known to be healthy; unsent, it can be
            // rejected as retriable.
            _ if !is_idempotent && (fails || node.ejection.is_some()) => Fitness::Unfit,
            Some(ejection) if is_new && self.is_due_probation(node, ejection) => Fitness::Probation,
            Some(_) => Fitness::LastResort,
            None if fails || !is_new => Fitness::LastResort,
            None if is_idempotent || node.silence(self.now) < self.latency.p95 => Fitness::InService,
            None => Fitness::LastResort,
        }
    }

    fn less_loaded_of_two(&mut self, among: &[NodeId], class: usize, replica_count: usize) -> Option<NodeId> {
        let count = among.len();
        if count < 2 {
            return among.first().copied();
        }
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        let (first, second) = (among[first], among[second]);
        let first_load = self.load(first, class, replica_count);
        let second_load = self.load(second, class, replica_count);
        Some(if second_load < first_load { second } else { first })
    }

    /// Load of a node: our attempts in hand, weighted by its recent latency against the fleet's median. The
    /// slow start weight applies to attempts in hand, not to the next one: that is limited by tokens already,
    /// and with both, tokens would go unused.
    fn load(&self, id: NodeId, class: usize, replica_count: usize) -> f64 {
        let Some(node) = &self.nodes[id] else { return 0.0 };
        let fault_latency = |sample: &NodeSample| {
            if sample.class == class { self.latency.p95 } else { self.latency.median }
        };
        let latency = self.expected_latency(node, FRESH_OBJECTIVES, fault_latency);
        let slowness = (latency / self.latency.median).max(1.0);
        let in_hand = node.attempts_in_hand() / node.slow_start_weight(&self.deployment, self.now);
        self.distance_factor(node, replica_count) * (in_hand + 1.0) * slowness
    }

    /// Factor for nodes in other zones. With fewer replicas than zones, many segments have no near replica:
    /// the factor would avoid hardly any crossing and bias the choice between equals.
    fn distance_factor(&self, node: &Node, replica_count: usize) -> f64 {
        let is_near = node.zone == self.deployment.zone || replica_count < self.latency.zones.len();
        if is_near {
            return 1.0;
        }
        match self.deployment.cross_zone_cost {
            Some(price) => 1.0 + CROSSING_PRICE_FACTOR * price,
            None => 1.0 + UNPRICED_CROSSING_RATIO,
        }
    }

    /// Expected latency (seconds) of an attempt at a node: the mean of its recent samples and of one sample
    /// at its zone's median, which stands for what is not known. Faults return fast; they count with at least
    /// the latency given for them.
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
            let least = if sample.is_fault() { fault_latency(sample) } else { 0.0 };
            sum += sample.latency.max(least);
            count += 1.0;
        }
        sum / count
    }

    /// Replicas that the prefilter may query. Nodes in slow start are left out: they have no capacity to
    /// spare.
    pub fn prefilter_candidates(&self, segment: usize) -> impl Iterator<Item = NodeId> {
        let may_ask = |node: &Node| {
            node.ejection.is_none()
                && !self.is_full(node)
                && node.slow_start_weight(&self.deployment, self.now) >= 1.0
        };
        self.replicas(segment, None).filter(move |(_, node)| may_ask(node)).map(|(id, _)| id)
    }
}

/// Whether a replica must not get the part again. One that lost an answer or was full may serve the next
/// attempt; one that fails the query class will not. A part that must not run twice would end with an unknown
/// outcome.
fn is_used_up(part: &PartState, id: NodeId, fails: bool, is_idempotent: bool) -> bool {
    part.attempts
        .iter()
        .any(|attempt| attempt.node == id && (fails || !is_idempotent || attempt.is_outstanding()))
}
