//! A query in flight, its parts and their attempts.

use std::sync::Arc;

use crate::{AttemptOutcome, NodeId, Part, Query, QueryId, Rules};

/// A query that has arrived and has not ended.
pub struct InFlightQuery {
    pub id: QueryId,
    pub class: usize,
    pub tenant: usize,
    /// Whether admission has decided, which it does once.
    pub admission_checked: bool,
    /// Whether it arrived too late in a shutdown for the time that its client waits.
    pub exceeds_shutdown: bool,
    pub objective_at: f64,
    pub deadline_at: f64,
    pub arrived_at: f64,
    /// When its stages must run although no event occurs; a wake only runs queries that are due.
    pub due_at: f64,
    pub parts: Vec<PartState>,
    /// Index of the first part of the present step.
    pub step_start: usize,
    pub is_second_step: bool,
    pub probing: Probing,
    /// Whether its body is available only once: its parts are sent on arrival or never.
    pub single_shot: bool,
    /// Whether its body is no longer available.
    pub body_consumed: bool,
    /// Whether its frames take long to send, and the end of each is reported.
    pub streamed: bool,
    /// Whether nothing is sent before the prefilter has reported which parts are pruned.
    pub awaits_prefilter: bool,
    pub audit: bool,
    /// The rules that were in force on its arrival.
    pub rules: Arc<Rules>,
}

/// Whether a query's replicas have been probed before its first attempts.
#[derive(Clone, Copy, PartialEq)]
pub enum Probing {
    NotProbed,
    Probed {
        at: f64,
    },
    /// The query has waited for its probes for long enough.
    Finished,
}

pub struct PartState {
    pub segment: usize,
    /// Share of the weight of its step.
    pub weight: f64,
    /// The only node that may be sent the part.
    pub required_node: Option<NodeId>,
    pub status: PartStatus,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, PartialEq)]
pub enum PartStatus {
    Pending,
    Done,
    /// The part is done without having been sent: its result is known to be empty.
    Pruned,
}

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
            body_consumed: false,
            streamed: query.streamed,
            awaits_prefilter: query.awaits_prefilter,
            audit: query.audit,
            rules,
        }
    }

    /// Adds the parts of a step, each with its share of the total weight. Weights are rounded: those of many
    /// parts may sum to less than 1, and without scaling the query could never be complete.
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

    /// The parts of the present step.
    pub fn step(&self) -> &[PartState] {
        &self.parts[self.step_start..]
    }

    /// Total weight of the parts of the present step that count.
    pub fn weight_where(&self, counts: impl Fn(&PartState) -> bool) -> f64 {
        self.step().iter().filter(|part| counts(part)).map(|part| part.weight).sum()
    }

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

    /// The part's attempts that have not ended.
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
