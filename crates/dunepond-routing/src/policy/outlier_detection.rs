//! Outlier detection: what the outcome of an attempt says about its node, when a node is ejected, and how an
//! ejected node returns to service.
//!
//! Inputs: outcomes and latencies (seconds) of a node's last attempts, and how long an answer has been due. A
//! node that is silent or fails its attempts is ejected. After its ejection time it gets one probation
//! attempt, then twice as many after each success, until it is back in service.

use super::latency::SLOW_RATIO;
use crate::state::{Ejection, Node, NodeSample, OutstandingAttempt, Router, SampleOutcome, keep_last};
use crate::{AttemptEnded, AttemptOutcome, NodeId, Transport};

/// Number of samples of the last attempts that are kept for each node.
const NODE_SAMPLE_COUNT: usize = 8;
/// A node counts as silent if a response has been due for longer than this multiple of the 95th percentile
/// latency.
pub(super) const SILENCE_P95_RATIO: f64 = 2.0;
/// Number of faults among a node's samples at which the node is ejected. It is more than one, so a single
/// error does not eject a node.
const MIN_FAULT_COUNT: usize = 2;
/// A cancelled or timed out attempt counts as overtaken if at least this many attempts that were sent after it
/// have ended before it.
const MIN_OVERTAKEN_COUNT: usize = 2;
/// Ejection time before the first probation attempt, as a multiple of the 95th percentile latency.
pub(super) const EJECTION_P95_RATIO: f64 = 3.0;
/// Largest number of probation attempts that may be outstanding at a node. When successes raise the node's
/// limit above this number, the node returns to service.
const MAX_PROBATION_ATTEMPTS: usize = 8;

/// The reason for an ejection.
#[derive(Clone, Copy)]
enum EjectionCause {
    /// A response has been due for too long.
    Silent,
    /// Too many of the last attempts failed.
    Failing,
}

impl Ejection {
    /// Returns an ejection that begins now and allows one probation attempt after the ejection time.
    pub(super) fn starting_at(now: f64, p95: f64) -> Self {
        Self { probation_at: now + EJECTION_P95_RATIO * p95, probation_limit: 1 }
    }
}

impl Node {
    /// Returns whether the node has failed several attempts of this query class sent after the given instant.
    pub(super) fn fails_class(&self, class: usize, since: f64) -> bool {
        let is_class_fault =
            |sample: &&NodeSample| sample.is_fault() && sample.sent_at > since && sample.class == class;
        self.samples.iter().filter(is_class_fault).count() >= MIN_FAULT_COUNT
    }

    /// Returns whether the samples of some query class contain a success and no fault. The node then stays in
    /// service, and only the failing classes avoid it.
    fn serves_some_class(&self) -> bool {
        let has_failed =
            |class: usize| self.samples.iter().any(|sample| sample.is_fault() && sample.class == class);
        self.samples.iter().any(|sample| sample.is_served() && !has_failed(sample.class))
    }

    /// Returns the seconds for which an answer has been due: the time since the oldest attempt whose frame
    /// has been sent completely, or since the node's last response if that is later; 0 if no such attempt is
    /// outstanding.
    pub(super) fn silence(&self, now: f64) -> f64 {
        match self.outstanding.iter().find(|attempt| attempt.frame_sent) {
            Some(oldest) => now - oldest.sent_at.max(self.last_response_at),
            None => 0.0,
        }
    }

    /// Returns the number of attempts at this node that were sent after the given one and have ended before it.
    fn overtaken_count(&self, attempt: &OutstandingAttempt) -> usize {
        self.samples.iter().filter(|sample| sample.sent_at > attempt.sent_at).count()
    }
}

impl Router {
    /// Updates the state of the node and of the fleet with the outcome of an attempt.
    pub(super) fn update_node_health(&mut self, transport: &mut dyn Transport, ended: &AttemptEnded) {
        let (id, now) = (ended.node, self.now);
        let Some(node) = self.node_mut(id) else { return };
        let Some(position) = node.outstanding_position(ended.id()) else { return };
        let attempt = node.outstanding.remove(position);
        node.last_used_at = now;
        match ended.outcome {
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => {
                self.on_unanswered(transport, id, &attempt)
            }
            AttemptOutcome::Rejected => self.on_rejected_as_full(id, &attempt),
            AttemptOutcome::NotSent => {}
            AttemptOutcome::ConnectionLost if self.is_idle_reset(&attempt) => {
                self.record_idle_reset(&attempt)
            }
            AttemptOutcome::ConnectionLost | AttemptOutcome::ConnectFailed => {
                self.on_connection_fault(transport, id, &attempt)
            }
            AttemptOutcome::Served => self.on_response(transport, id, &attempt, SampleOutcome::Served),
            AttemptOutcome::Error => self.on_response(transport, id, &attempt, SampleOutcome::Fault),
        }
    }

    /// Records an attempt that was cancelled or timed out. An attempt that was overtaken by later ones and
    /// unanswered for long counts as a fault: a node that answers some attempts and drops others is never
    /// silent for long, so it would not be ejected otherwise.
    fn on_unanswered(&mut self, transport: &mut dyn Transport, id: NodeId, attempt: &OutstandingAttempt) {
        // Before the frame has been sent completely, the node cannot have answered.
        if !attempt.frame_sent {
            return;
        }
        let Some(node) = &self.nodes[id] else { return };
        let is_overtaken = node.overtaken_count(attempt) >= MIN_OVERTAKEN_COUNT;
        if is_overtaken && self.now - attempt.sent_at >= SILENCE_P95_RATIO * self.latency.p95 {
            self.record_outcome(transport, id, attempt, SampleOutcome::Fault);
        } else {
            self.on_abandoned(id, attempt);
        }
    }

    /// Records an attempt that was abandoned while the node may still be working on it.
    fn on_abandoned(&mut self, id: NodeId, attempt: &OutstandingAttempt) {
        let (now, median, p95) = (self.now, self.latency.median, self.latency.p95);
        let Some(node) = self.node_mut(id) else { return };
        // A probation attempt that was cancelled because a hedge was answered first is inconclusive. The
        // ejection time starts again, as it does after silence; otherwise a hung node would get another
        // probation attempt with each such hedge.
        if let Some(ejection) = &mut node.ejection
            && attempt.sent_at >= ejection.probation_at
        {
            *ejection = Ejection::starting_at(now, p95);
        }
        node.abandoned_until.push(attempt.sent_at + median);
        if now - attempt.sent_at > SLOW_RATIO * median {
            self.record_sample(id, attempt, SampleOutcome::Inconclusive);
        }
    }

    /// Records a rejection as full, after which the node counts as full for a median latency (see
    /// [`Router::is_full`]). Such a node answers fast and has no outstanding attempts, so a choice by load
    /// alone would send it every attempt. The rejection is also kept as a slow sample, for brokers that send to
    /// the node less often than once per median latency.
    fn on_rejected_as_full(&mut self, id: NodeId, attempt: &OutstandingAttempt) {
        let (now, latency) = (self.now, self.latency.p95);
        let Some(node) = self.node_mut(id) else { return };
        node.last_full_at = now;
        node.last_response_at = now;
        let sample = NodeSample {
            class: attempt.class,
            sent_at: attempt.sent_at,
            latency,
            at: now,
            outcome: SampleOutcome::Inconclusive,
        };
        keep_last(&mut node.samples, sample, NODE_SAMPLE_COUNT);
    }

    /// Records a broken or failed connection. All attempts that are lost at the same instant count as one fault.
    fn on_connection_fault(
        &mut self,
        transport: &mut dyn Transport,
        id: NodeId,
        attempt: &OutstandingAttempt,
    ) {
        let Some(node) = &self.nodes[id] else { return };
        let is_already_counted =
            node.samples.back().is_some_and(|last| last.is_fault() && last.at == self.now);
        if !is_already_counted {
            self.record_outcome(transport, id, attempt, SampleOutcome::Fault);
        }
    }

    /// Records that the node has responded to an attempt, with a result or an error.
    fn on_response(
        &mut self,
        transport: &mut dyn Transport,
        id: NodeId,
        attempt: &OutstandingAttempt,
        outcome: SampleOutcome,
    ) {
        let now = self.now;
        let Some(node) = self.node_mut(id) else { return };
        node.last_response_at = now;
        self.record_outcome(transport, id, attempt, outcome);
    }

    /// Records a sample of the node, advances its probation, and ejects it if it has become an outlier.
    fn record_outcome(
        &mut self,
        transport: &mut dyn Transport,
        id: NodeId,
        attempt: &OutstandingAttempt,
        outcome: SampleOutcome,
    ) {
        let Some(latency) = self.record_sample(id, attempt, outcome) else { return };
        let is_served = outcome == SampleOutcome::Served;
        if is_served {
            self.record_idle_success(attempt);
        }
        let is_success = is_served && latency <= SLOW_RATIO * self.latency.median;
        self.advance_probation(transport, id, is_success);
        self.measure_latency();
        self.detect_outlier(transport, id);
    }

    /// Adds a sample of an attempt to those of the node, of its zone and, if a warm node served the attempt,
    /// of the fleet. Returns the latency (seconds), multiplied by the ratio of the node's capacity to that of
    /// a warm node; `None` if the node is not known.
    fn record_sample(
        &mut self,
        id: NodeId,
        attempt: &OutstandingAttempt,
        outcome: SampleOutcome,
    ) -> Option<f64> {
        let now = self.now;
        let node = self.nodes.get_mut(id).and_then(Option::as_mut)?;
        let capacity_ratio = node.slow_start_weight(&self.deployment, now);
        let latency = (now - attempt.sent_at) * capacity_ratio;
        let sample = NodeSample { class: attempt.class, sent_at: attempt.sent_at, latency, at: now, outcome };
        keep_last(&mut node.samples, sample, NODE_SAMPLE_COUNT);
        let zone = node.zone;
        self.record_zone_latency(zone, latency);
        // A node in slow start may be faster than its stated capacity. If its samples counted for the fleet,
        // they would raise the budget of all nodes in slow start.
        if outcome == SampleOutcome::Served && capacity_ratio >= 1.0 {
            self.record_completion(latency);
        }
        Some(latency)
    }

    /// Advances the probation of an ejected node: a success doubles the number of probation attempts that may
    /// be outstanding; any other outcome starts the ejection time again.
    fn advance_probation(&mut self, transport: &mut dyn Transport, id: NodeId, is_success: bool) {
        let (now, p95) = (self.now, self.latency.p95);
        let Some(node) = self.node_mut(id) else { return };
        let Some(ejection) = &mut node.ejection else { return };
        if !is_success {
            *ejection = Ejection::starting_at(now, p95);
            return;
        }
        ejection.probation_limit *= 2;
        if ejection.probation_limit > MAX_PROBATION_ATTEMPTS {
            node.ejection = None;
            node.samples.clear();
            transport.log(&format!("node {id} is back in service"));
        }
    }

    /// Ejects a node that is silent or failing, or renews the ejection of a node that stays silent. A renewal
    /// writes no log line.
    pub(super) fn detect_outlier(&mut self, transport: &mut dyn Transport, id: NodeId) {
        let (now, p95) = (self.now, self.latency.p95);
        let Some(node) = self.nodes[id].as_mut() else { return };
        node.abandoned_until.retain(|until| *until > now);
        let Some(ejection) = &node.ejection else {
            if let Some(cause) = self.ejection_cause(id) {
                self.eject(transport, id, cause);
            }
            return;
        };
        let probation_at = ejection.probation_at;
        let is_silent = |attempt: &OutstandingAttempt| {
            attempt.frame_sent
                && attempt.sent_at >= probation_at
                && now - attempt.sent_at > SILENCE_P95_RATIO * p95
        };
        if node.outstanding.iter().any(is_silent) {
            node.ejection = Some(Ejection::starting_at(now, p95));
            transport.close_idle_connections(id);
        }
    }

    /// Returns why the node should be ejected; `None` if it should stay in service.
    fn ejection_cause(&self, id: NodeId) -> Option<EjectionCause> {
        let node = self.nodes[id].as_ref()?;
        let silence = node.silence(self.now) * node.slow_start_weight(&self.deployment, self.now);
        if silence > SILENCE_P95_RATIO * self.latency.p95 {
            return Some(EjectionCause::Silent);
        }
        let faults = node.samples.iter().filter(|sample| sample.is_fault()).count();
        (faults >= MIN_FAULT_COUNT && !node.serves_some_class()).then_some(EjectionCause::Failing)
    }

    fn eject(&mut self, transport: &mut dyn Transport, id: NodeId, cause: EjectionCause) {
        let (now, p95) = (self.now, self.latency.p95);
        let Some(node) = self.nodes[id].as_mut() else { return };
        node.ejection = Some(Ejection::starting_at(now, p95));
        // Perhaps only the connection has failed: a probation attempt on the same connection would not test
        // the node.
        transport.close_idle_connections(id);
        for attempt in &node.outstanding {
            if let Some(query) = self.queries.get_mut(&attempt.id.query) {
                query.due_at = now;
            }
        }
        let cause = match cause {
            EjectionCause::Silent => "it does not respond",
            EjectionCause::Failing => "it fails its attempts",
        };
        transport.log(&format!("node {id} is ejected: {cause}"));
    }

    /// Returns whether an ejected node may be sent another probation attempt now.
    pub(super) fn is_due_probation(&self, node: &Node, ejection: &Ejection) -> bool {
        let on_probation = |attempt: &&OutstandingAttempt| attempt.sent_at >= ejection.probation_at;
        self.now >= ejection.probation_at
            && node.outstanding.iter().filter(on_probation).count() < ejection.probation_limit
    }

    /// Returns whether a probation attempt at an ejected node is due, and the node has not been used since then for as
    /// long as an ejection lasts. Probably no idempotent part comes then that could be the probation attempt.
    pub(super) fn is_probation_unused(&self, node: &Node, ejection: &Ejection) -> bool {
        let unused_since = ejection.probation_at.max(node.last_used_at);
        self.now >= unused_since + EJECTION_P95_RATIO * self.latency.p95
            && self.is_due_probation(node, ejection)
    }

    pub(super) fn is_ejected(&self, id: NodeId) -> bool {
        self.nodes[id].as_ref().is_some_and(|node| node.ejection.is_some())
    }
}
