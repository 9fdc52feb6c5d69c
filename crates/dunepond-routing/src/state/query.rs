//! A query in flight, its parts and their attempts.

use std::sync::Arc;

use crate::{AttemptOutcome, NodeId, Part, Query, QueryId, Rules};

/// A query that has arrived and has not ended.
pub struct InFlightQuery {
    pub id: QueryId,
    pub class: usize,
    pub tenant: usize,
    /// Whether admission has already decided on this query; it decides only once.
    pub admission_checked: bool,
    /// Whether the query arrived during a shutdown and its client would wait beyond the last answers, so that
    /// the query is rejected.
    pub exceeds_shutdown: bool,
    /// Instant up to which an answer has its full value.
    pub objective_at: f64,
    /// Instant at which the client stops waiting, or the last answers of a shutdown if those are earlier.
    pub deadline_at: f64,
    pub arrived_at: f64,
    /// Instant at which the request stages must run even if no event occurs.
    /// [`Router::on_wake`](super::Router::on_wake) runs them for the queries for which this instant has been
    /// reached.
    pub due_at: f64,
    /// The parts of all steps so far.
    pub parts: Vec<PartState>,
    /// Index of the first part of the present step.
    pub step_start: usize,
    pub is_second_step: bool,
    pub probing: Probing,
    /// Whether the body is available only once, so that parts are sent on arrival or never.
    pub single_shot: bool,
    /// Whether the body is no longer available, so that no more attempts can be sent.
    pub body_unavailable: bool,
    /// Whether sending the frames may take long, so that the host reports when each has been sent completely.
    pub streamed: bool,
    /// Whether no part is sent before the prefilter has reported which parts are pruned.
    pub awaits_prefilter: bool,
    /// Whether the query is an audit ([`Query::audit`]), for which no client waits.
    pub audit: bool,
    /// The rules that were in force on arrival.
    pub rules: Arc<Rules>,
}

/// Whether a query's replicas have been probed before its first attempts.
#[derive(Clone, Copy, PartialEq)]
pub enum Probing {
    /// No probe has been sent for the query's present step (the first or the second).
    NotProbed,
    /// Probes have been sent.
    Probed {
        /// When the probes were sent.
        at: f64,
    },
    /// The query no longer waits for its probes.
    Finished,
}

/// A part of a query in flight, with its attempts.
pub struct PartState {
    pub segment: usize,
    /// Weight of the part, as a share of the total weight of all parts of its step (a query runs in one or two steps).
    pub weight: f64,
    /// The only node that the part may be sent to; `None` if any replica may serve it.
    pub required_node: Option<NodeId>,
    pub status: PartStatus,
    pub attempts: Vec<Attempt>,
}

/// Whether a part still needs an answer.
#[derive(Clone, Copy, PartialEq)]
pub enum PartStatus {
    /// No node has served the part yet.
    Pending,
    /// A node has served the part.
    Served,
    /// The prefilter has shown that the part's result is empty: the part is done without having been sent.
    Pruned,
}

/// An attempt of a part.
pub struct Attempt {
    pub node: NodeId,
    pub sent_at: f64,
    /// The outcome; `None` while the attempt is outstanding.
    pub outcome: Option<AttemptOutcome>,
}

impl InFlightQuery {
    /// Creates a query on arrival, before its parts are added.
    pub fn new(query: &Query, now: f64, objective_at: f64, rules: Arc<Rules>) -> Self {
        Self {
            id: query.id,
            class: query.class,
            tenant: query.tenant,
            admission_checked: false,
            exceeds_shutdown: false,
            objective_at,
            deadline_at: now + query.expires_in,
            arrived_at: now,
            due_at: f64::MAX,
            parts: Vec::new(),
            step_start: 0,
            is_second_step: false,
            probing: Probing::NotProbed,
            single_shot: !query.body_retained,
            body_unavailable: false,
            streamed: query.streamed,
            awaits_prefilter: query.awaits_prefilter,
            audit: query.audit,
            rules,
        }
    }

    /// Adds the parts of a step and scales their weights so that they sum to 1. The stated weights are rounded:
    /// those of many parts may sum to less than 1, and without scaling the query could never be complete.
    pub fn add_parts(&mut self, parts: Vec<Part>) {
        let total = parts.iter().map(|part| part.weight).sum::<f64>().max(f64::MIN_POSITIVE);
        self.parts.extend(parts.into_iter().map(|part| PartState {
            segment: part.segment,
            weight: part.weight / total,
            required_node: part.required_node,
            status: PartStatus::Pending,
            attempts: Vec::new(),
        }));
    }

    /// Returns the parts of the present step.
    pub fn step(&self) -> &[PartState] {
        &self.parts[self.step_start..]
    }

    /// Returns the total weight of the parts of the present step that match a condition.
    pub fn weight_where(&self, matches: impl Fn(&PartState) -> bool) -> f64 {
        self.step().iter().filter(|part| matches(part)).map(|part| part.weight).sum()
    }

    /// Returns all attempts of all parts, ended ones included.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.parts.iter().flat_map(|part| &part.attempts)
    }
}

impl PartState {
    pub fn is_done(&self) -> bool {
        self.status != PartStatus::Pending
    }

    pub fn is_pruned(&self) -> bool {
        self.status == PartStatus::Pruned
    }

    /// Returns the part's attempts that have not ended.
    pub fn outstanding(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.is_outstanding())
    }

    pub fn has_outstanding(&self) -> bool {
        self.outstanding().next().is_some()
    }
}

impl Attempt {
    pub fn is_outstanding(&self) -> bool {
        self.outcome.is_none()
    }
}
