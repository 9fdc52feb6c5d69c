//! Probing: probes a query's replicas for free capacity before its first attempts, if no samples show which of
//! them are overloaded.
//!
//! Inputs: 95th percentile and baseline latency (seconds), completions per node, queries in flight, and the
//! results of recent probes. A probe waits in the node's queue, so the node with the shortest queue answers
//! first; each part is sent to the first of its replicas that answers.

use std::collections::BTreeSet;

use super::latency::{FRESH_OBJECTIVES, RECENT_OBJECTIVES};
use crate::state::{InFlightQuery, ProbeResult, Probing, Router, keep_last};
use crate::{NodeId, Transport};

/// Replicas are unequally loaded if the 95th percentile latency exceeds this multiple of the baseline latency.
const UNEQUAL_BASELINE_RATIO: f64 = 2.5;
/// Longest wait for the answers to probes, as a multiple of the baseline latency.
const WAIT_BASELINE_RATIO: f64 = 6.0;
/// Smallest total weight of the parts with a replica that answered its probe in time, as a ratio of the
/// weight at which a step is complete. Below it the query is rejected.
const MIN_ANSWERED_RATIO: f64 = 0.75;
/// With this many queries in flight no probes are sent, because they would multiply the load of a burst.
const MAX_QUERIES_IN_FLIGHT: usize = 64;
/// Number of probe results that are kept.
const PROBE_SAMPLE_COUNT: usize = 64;
/// Number of recent probes that are needed to decide whether the share of informative ones is large enough.
const MIN_PROBE_SAMPLE_COUNT: usize = 8;
/// Probes are no longer sent if at most one in this many recent probes was informative (failed, or took
/// longer than a network round trip): the nodes answer at once, so the answers do not show their queues.
const MAX_PROBES_PER_INFORMATIVE: usize = 8;
/// A probe that is answered within this number of ticks took no more than a network round trip.
const PROMPT_TICKS: f64 = 4.0;

impl Router {
    /// Returns whether the query's replicas should be probed before its parts are sent.
    pub(super) fn should_probe(&self, query: &InFlightQuery) -> bool {
        query.probing == Probing::NotProbed && !query.single_shot && self.needs_probes()
    }

    /// Returns whether replicas are much more unequally loaded than usual, and this broker sends to each of them
    /// too rarely to tell by its own attempts which ones are overloaded.
    fn needs_probes(&self) -> bool {
        let is_unequal = self.latency.p95 > UNEQUAL_BASELINE_RATIO * self.latency.baseline;
        let expected_completions =
            self.latency.completion_rate_at_wake * RECENT_OBJECTIVES * self.latency.longest_objective;
        let is_contacted_rarely = expected_completions < 1.0;
        self.deployment.may_probe
            && is_unequal
            && is_contacted_rarely
            && self.queries.len() < MAX_QUERIES_IN_FLIGHT
            && self.probes_are_informative()
    }

    /// Returns whether enough of the recent probes showed queues at the nodes, or there are too few probes to
    /// tell.
    fn probes_are_informative(&self) -> bool {
        let since = self.objectives_ago(FRESH_OBJECTIVES);
        let recent = || self.probes.iter().filter(|probe| probe.at > since);
        let probed = recent().count();
        let informative = recent().filter(|probe| probe.is_informative).count();
        probed < MIN_PROBE_SAMPLE_COUNT || informative * MAX_PROBES_PER_INFORMATIVE > probed
    }

    /// Probes each replica that may be sent a part of the query's present step (a query runs in one or two steps),
    /// except ejected ones.
    pub(super) fn probe_replicas(&mut self, transport: &mut dyn Transport, query: &mut InFlightQuery) {
        query.probing = Probing::Probed { at: self.now };
        let replicas = query.step().iter().flat_map(|part| self.replicas(part.segment, part.required_node));
        let in_service = replicas.filter(|(_, node)| node.ejection.is_none());
        let ids: BTreeSet<NodeId> = in_service.map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| transport.probe(id));
    }

    /// Returns whether the parts of a query still wait for replicas to answer their probes.
    pub(super) fn awaits_probes(&self, query: &InFlightQuery) -> bool {
        match query.probing {
            Probing::Probed { at } => self.now - at < WAIT_BASELINE_RATIO * self.latency.baseline,
            Probing::NotProbed | Probing::Finished => false,
        }
    }

    /// Returns whether so few replicas answered their probes that the query would be late and delay others. A
    /// second step is exempt, because the work of the first step would be lost.
    pub(super) fn has_too_few_free_replicas(&self, query: &InFlightQuery) -> bool {
        let sent = query.weight_where(|part| !part.attempts.is_empty());
        !query.is_second_step && sent < MIN_ANSWERED_RATIO * self.complete_weight(query)
    }

    /// Records the result of a probe: the seconds after which it was answered, or `None` if it failed.
    pub(super) fn record_probe(&mut self, answered_after: Option<f64>) {
        let round_trip = PROMPT_TICKS * self.deployment.tick;
        let is_informative = answered_after.is_none_or(|seconds| seconds > round_trip);
        keep_last(&mut self.probes, ProbeResult { at: self.now, is_informative }, PROBE_SAMPLE_COUNT);
    }
}
