//! Probing: asks a query's replicas for capacity before its first attempts, if nothing else tells which of
//! them are overloaded.
//!
//! Inputs: 95th percentile and baseline latency (seconds), completions per node, queries in flight, and the
//! results of recent probes. A probe waits in the node's queue, so that the shortest queue answers first;
//! each part goes to the first of its replicas that answers.

use std::collections::BTreeSet;

use super::latency::{FRESH_OBJECTIVES, RECENT_OBJECTIVES};
use crate::state::{InFlightQuery, ProbeResult, Probing, Router, keep_last};
use crate::{NodeId, Transport};

/// Replicas differ if the 95th percentile exceeds this multiple of the baseline latency.
const DOUBT_BASELINE_RATIO: f64 = 2.5;
/// Probes are awaited for this multiple of the baseline latency.
const WAIT_BASELINE_RATIO: f64 = 6.0;
/// Share of the needed weight whose replicas must answer in time.
const MIN_ANSWERED_RATIO: f64 = 0.75;
/// No probes with this many queries in flight: they would multiply a burst.
const MAX_QUERIES_IN_FLIGHT: usize = 64;
const PROBE_SAMPLE_COUNT: usize = 64;
/// With at least this many recent probes, of which no more than one in so many was informative, probing is
/// pointless: nodes answer at once and show no queues.
const MIN_PROBES_JUDGED: usize = 8;
const UNINFORMATIVE_ONE_IN: usize = 8;
/// An answer within this time is a bare round trip.
const PROMPT_TICKS: f64 = 4.0;

impl Router {
    pub(super) fn should_probe(&self, query: &InFlightQuery) -> bool {
        query.probing == Probing::NotProbed && !query.single_shot && self.is_in_doubt()
    }

    /// Replicas differ much more than usual, and each is met too rarely to tell them apart by our own
    /// attempts.
    fn is_in_doubt(&self) -> bool {
        let replicas_differ = self.latency.p95 > DOUBT_BASELINE_RATIO * self.latency.baseline;
        let completions_seen =
            self.latency.completion_rate_at_wake * RECENT_OBJECTIVES * self.latency.longest_objective;
        let is_met_seldom = completions_seen < 1.0;
        self.deployment.may_probe
            && replicas_differ
            && is_met_seldom
            && self.queries.len() < MAX_QUERIES_IN_FLIGHT
            && self.probes_are_informative()
    }

    fn probes_are_informative(&self) -> bool {
        let since = self.objectives_ago(FRESH_OBJECTIVES);
        let recent = || self.probes.iter().filter(|probe| probe.at > since);
        let probed = recent().count();
        let informative = recent().filter(|probe| probe.is_informative).count();
        probed < MIN_PROBES_JUDGED || informative * UNINFORMATIVE_ONE_IN > probed
    }

    /// Probes each replica in service of the parts of the present step.
    pub(super) fn probe_replicas(&mut self, transport: &mut dyn Transport, query: &mut InFlightQuery) {
        query.probing = Probing::Probed { at: self.now };
        let replicas = query.step().iter().flat_map(|part| self.replicas(part.segment, part.required_node));
        let in_service = replicas.filter(|(_, node)| node.ejection.is_none());
        let ids: BTreeSet<NodeId> = in_service.map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| transport.probe(id));
    }

    /// Whether the parts of a query still wait for a replica to answer its probe.
    pub(super) fn awaits_probes(&self, query: &InFlightQuery) -> bool {
        match query.probing {
            Probing::Probed { at } => self.now - at < WAIT_BASELINE_RATIO * self.latency.baseline,
            Probing::NotProbed | Probing::Finished => false,
        }
    }

    /// Whether so few replicas answered that the query would be late and delay others. A second step is
    /// exempt: the work of the first would be lost.
    pub(super) fn has_too_few_free_replicas(&self, query: &InFlightQuery) -> bool {
        let sent = query.weight_where(|part| !part.attempts.is_empty());
        !query.is_second_step && sent < MIN_ANSWERED_RATIO * self.complete_weight(query)
    }

    pub(super) fn record_probe(&mut self, answered_after: Option<f64>) {
        let round_trip = PROMPT_TICKS * self.deployment.tick;
        let is_informative = answered_after.is_none_or(|seconds| seconds > round_trip);
        keep_last(&mut self.probes, ProbeResult { at: self.now, is_informative }, PROBE_SAMPLE_COUNT);
    }
}
