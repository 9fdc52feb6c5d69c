//! Admission: whether a query is rejected on arrival.
//!
//! Inputs: the expected wait of a query's parts (seconds), its latency objective and deadline, its value per
//! unit of work, its tenant's quota, and the share of recent queries that missed their objective. Under
//! overload a late answer has little value and delays all others, while a rejection on arrival costs nothing.
//! Load is shed in this order: first traffic beyond a tenant's quota, audits (for which no client waits), and
//! queries that would be late, then the queries with the lowest value per unit of work.

use rand::RngExt;

use super::StageResult;
use super::latency::RECENT_OBJECTIVES;
use super::outlier_detection::{EJECTION_P95_RATIO, SILENCE_P95_RATIO};
use crate::state::{InFlightQuery, Node, ObjectiveResult, PartState, Router, keep_last};
use crate::{Query, QueryClass, Transport};

/// Ratio of expected wait to useful time (see [`Router::useful_seconds`]) at which load shedding starts.
pub(super) const SHED_START_RATIO: f64 = 0.25;
/// Ratio of expected wait to useful time (see [`Router::useful_seconds`]) at which every query is shed.
const SHED_ALL_RATIO: f64 = 0.65;
/// Weight, in the overload level, of the share of recent queries that missed their latency objective.
const MISSED_WEIGHT: f64 = 0.5;
/// Number of recent queries from which the share that missed their latency objective is computed.
const OBJECTIVE_SAMPLE_COUNT: usize = 16;
/// Number of assumed on-time queries that are added to the recent ones when the share that missed their
/// latency objective is computed. This prior is needed because a few samples are not significant.
const ON_TIME_PRIOR_COUNT: f64 = 4.0;
/// Number of recent queries among which a new query is ranked by value density.
const VALUE_SAMPLE_COUNT: usize = 64;
/// Wait of a query with two steps, as a multiple of the wait of its first step: the second step waits again,
/// mostly for lighter parts.
const TWO_STEP_WAIT_RATIO: f64 = 1.5;
/// Expected service time of a part, as a multiple of the baseline latency (the lowest median latency so far).
const SERVICE_BASELINE_RATIO: f64 = 1.5;

impl Router {
    /// Decides on arrival, and only then, whether a query is served or rejected.
    pub(super) fn admit(&mut self, transport: &mut dyn Transport, query: &mut InFlightQuery) -> StageResult {
        if query.admission_checked {
            return StageResult::Continue;
        }
        query.admission_checked = true;
        if query.exceeds_shutdown {
            // Another broker can serve the query at once, so no Retry-After is stated.
            transport.reject_retriable(query.id, 0.0);
            return StageResult::Done;
        }
        let class = self.class(query);
        let steps = if class.second_step { TWO_STEP_WAIT_RATIO } else { 1.0 };
        let wait = steps * self.expected_wait(query);
        let served_at = self.expected_served_at(wait);
        let is_late = served_at > query.objective_at;
        let has_no_value = is_late && class.late_value_ratio <= 0.0;
        // The answer would come too late or have no value. Serving the query would only take capacity from
        // other queries, and would do so again for each retry by a client with a short timeout.
        if served_at > query.deadline_at || has_no_value {
            return self.end_unserved(transport, query);
        }
        let horizon = self.useful_seconds(query, class, is_late);
        let value_rank = self.rank_value(query, is_late);
        let level = self.overload_level(wait / horizon);
        let chance: f64 = self.rng.random();
        let is_within_quota = self.is_within_quota(query.tenant);
        let is_shed_first = !is_within_quota || query.audit || is_late;
        if level > 0.0 && (is_shed_first || 0.5 * (value_rank + chance) < level) {
            return self.end_unserved(transport, query);
        }
        if is_within_quota && let Some(times) = self.admission.within_quota.get_mut(query.tenant) {
            times.push_back(self.now);
        }
        StageResult::Continue
    }

    /// Returns the instant up to which an answer has its full value. If the query is a client's retry, the
    /// class's timeout minus the time that the client still waits has already passed, and is subtracted from
    /// the latency objective. It is subtracted only if the client waits for less time than with the tenant's
    /// last query of this class that was not a retry, because some clients state short timeouts from the
    /// start.
    pub(super) fn objective_at(&mut self, query: &Query) -> f64 {
        let class = &self.deployment.query_classes[query.class];
        let index = query.class + query.tenant * self.deployment.query_classes.len();
        let first_tries = &mut self.admission.first_try_seconds;
        first_tries.resize(first_tries.len().max(index + 1), 0.0);
        if !query.is_retry {
            first_tries[index] = query.expires_in;
        }
        let is_shortened = query.is_retry && query.expires_in < first_tries[index] - self.deployment.tick;
        let spent = if is_shortened { class.timeout - query.expires_in } else { 0.0 };
        self.now + (class.latency_objective - spent).max(0.0)
    }

    /// Returns a query's useful time in seconds, during which an answer keeps its value: the time left until
    /// the latency objective or, if the query will be late anyway, the length of the objective. The useful
    /// time ends at the query's deadline at the latest.
    fn useful_seconds(&self, query: &InFlightQuery, class: &QueryClass, is_late: bool) -> f64 {
        let useful = if is_late { class.latency_objective } else { query.objective_at - self.now };
        useful.min(query.deadline_at - self.now)
    }

    /// Returns the rank of the query's value density (value per unit of work) among recent queries, itself
    /// included: from 0 for the lowest to 1 for the highest.
    fn rank_value(&mut self, query: &InFlightQuery, is_late: bool) -> f64 {
        let class = self.class(query);
        let parts_needed = query.parts.len() as f64 * self.complete_share(query);
        let work = if self.deployment.weight_by_work { 1.0 } else { parts_needed };
        let late_ratio = if is_late { class.late_value_ratio } else { 1.0 };
        let density = class.priority_weight * late_ratio / work;
        keep_last(&mut self.admission.value_densities, density, VALUE_SAMPLE_COUNT);
        let densities = &self.admission.value_densities;
        let rank_weight = |other: &f64| 0.5 * (f64::from(*other < density) + f64::from(*other <= density));
        densities.iter().map(rank_weight).sum::<f64>() / densities.len() as f64
    }

    /// Returns the overload level, given the ratio of a query's expected wait to its useful time. A level of
    /// 0 or less sheds nothing, a level of 1 or more sheds everything.
    fn overload_level(&self, wait_ratio: f64) -> f64 {
        (wait_ratio - SHED_START_RATIO) / (SHED_ALL_RATIO - SHED_START_RATIO)
            + MISSED_WEIGHT * self.missed_share()
    }

    /// Returns the expected wait (seconds) until enough parts for an answer can be served. Computed from the
    /// query's own parts, because some replicas may be overloaded while the fleet as a whole is not.
    pub(super) fn expected_wait(&self, query: &InFlightQuery) -> f64 {
        let wait_and_weight = |part: &PartState| (self.part_wait(part), part.weight);
        let mut waits: Vec<(f64, f64)> = query.step().iter().map(wait_and_weight).collect();
        waits.sort_by(|a, b| a.0.total_cmp(&b.0));
        let minimum = self.minimum_weight(query);
        let mut covered = 0.0;
        for (wait, weight) in waits {
            covered += weight;
            if covered >= minimum {
                return wait;
            }
        }
        0.0
    }

    /// Returns the shortest expected wait (seconds) at a part's replicas; `f64::MAX` if each of them is full
    /// or may not be sent an attempt. A query that needs such a part is rejected, because its other parts
    /// would only waste capacity. The overload level does not rise, so queries of other segments are not
    /// affected.
    pub(super) fn part_wait(&self, part: &PartState) -> f64 {
        let replicas = self.replicas(part.segment, part.required_node);
        replicas.map(|(_, node)| self.node_wait(node)).min_by(f64::total_cmp).unwrap_or(f64::MAX)
    }

    /// Returns the expected wait (seconds) at a node; `f64::MAX` if it is full or may not be sent an attempt.
    fn node_wait(&self, node: &Node) -> f64 {
        if self.is_full(node) {
            return f64::MAX;
        }
        let Some(ejection) = &node.ejection else { return self.queue_wait(node, self.recent_excess(node)) };
        // The last response is so recent that the node may only have paused for a moment: the query can wait
        // for the first probation attempt.
        let pause = (2.0 * SILENCE_P95_RATIO + EJECTION_P95_RATIO) * self.latency.p95;
        if self.now - node.last_response_at < pause {
            (ejection.probation_at - self.now).max(0.0)
        } else if self.is_due_probation(node, ejection) {
            // Samples from before the ejection do not predict the latency of the probation attempt.
            self.queue_wait(node, 0.0)
        } else {
            f64::MAX
        }
    }

    /// Returns the seconds by which a node's recent attempts exceeded the baseline latency.
    fn recent_excess(&self, node: &Node) -> f64 {
        self.expected_latency(node, RECENT_OBJECTIVES, |_| 0.0) - self.latency.baseline
    }

    /// Returns the expected wait (seconds) at a node: the greater of the age of its oldest outstanding
    /// attempt and `excess`, the seconds by which its recent attempts exceeded the baseline latency.
    fn queue_wait(&self, node: &Node, excess: f64) -> f64 {
        if let Some(oldest) = node.outstanding.first() {
            return excess.max(self.now - oldest.sent_at);
        }
        // No attempt is outstanding here. If the last sample of the node's zone is older than `excess`, the
        // node may have no queue any more, and only a new attempt can show that.
        let last_sample_at = self.latency.zones[node.zone].back().map_or(0.0, |sample| sample.at);
        let is_outdated = self.now - last_sample_at > excess;
        if is_outdated { 0.0 } else { excess }
    }

    /// Returns whether the node rejected an attempt as full less than a median latency ago, so that its queue
    /// is probably still full.
    pub(super) fn is_full(&self, node: &Node) -> bool {
        self.now - node.last_full_at < self.latency.median
    }

    /// Returns the instant at which a query that waits for `wait` seconds is expected to be served.
    fn expected_served_at(&self, wait: f64) -> f64 {
        self.now + wait + SERVICE_BASELINE_RATIO * self.latency.baseline.min(self.latency.median)
    }

    /// Returns whether a query can still be answered after the prefilter: no part is left to send, or the
    /// remaining parts are expected to be served before the deadline.
    pub(super) fn can_still_be_served(&self, query: &InFlightQuery) -> bool {
        query.parts.iter().all(PartState::is_done)
            || self.expected_served_at(self.expected_wait(query)) <= query.deadline_at
    }

    /// Returns whether, at more than half of the nodes in service, the oldest outstanding attempt has been
    /// waiting for longer than `SHED_START_RATIO` times the shortest latency objective. While this holds,
    /// optional work must not be sent.
    pub fn is_overloaded(&self) -> bool {
        let limit = SHED_START_RATIO * self.latency.shortest_objective;
        let (mut late, mut in_service) = (0, 0);
        for node in self.nodes.iter().flatten().filter(|node| node.ejection.is_none()) {
            in_service += 1;
            if node.outstanding.first().is_some_and(|oldest| self.now - oldest.sent_at > limit) {
                late += 1;
            }
        }
        2 * late > in_service
    }

    /// Returns the share of recent queries that missed their latency objective. A broker that rarely sends to
    /// each replica has no recent samples of it and estimates its wait from the fleet's median; this share
    /// shows when such estimates are too low.
    fn missed_share(&self) -> f64 {
        let since = self.objectives_ago(RECENT_OBJECTIVES);
        let (mut missed, mut all) = (0.0, ON_TIME_PRIOR_COUNT);
        for result in self.admission.objective_results.iter().filter(|result| result.at > since) {
            missed += f64::from(result.missed);
            all += 1.0;
        }
        missed / all
    }

    /// Records whether a query that ends now missed its latency objective.
    pub(super) fn record_objective(&mut self, query: &InFlightQuery) {
        let missed = self.now > query.objective_at - self.deployment.tick;
        let result = ObjectiveResult { at: self.now, missed };
        keep_last(&mut self.admission.objective_results, result, OBJECTIVE_SAMPLE_COUNT);
    }

    /// Returns whether this broker's share of a tenant's quota allows another query. The tenant's admitted
    /// queries are counted over a window as long as the longest latency objective of all query classes.
    fn is_within_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self.deployment.quotas.get(tenant) else { return true };
        let Some(times) = self.admission.within_quota.get_mut(tenant) else { return true };
        let span = self.latency.longest_objective;
        times.drain(..times.partition_point(|at| *at < self.now - span));
        let allowed = match self.quota_shares.quotas.get(tenant).copied().flatten() {
            Some(share) => quota * span * share,
            None => quota * span / self.deployment.broker_count,
        };
        (times.len() as f64) < allowed
    }
}
