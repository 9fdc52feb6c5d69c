//! Applies the active configuration of a fleet to queries: decides whether a query is rejected at once, whether an
//! attempt may be sent, and whether an answer may be marked complete.

use std::rc::Rc;

use dunepond_control_plane::AuditEvent;
use dunepond_routing::{AttemptOutcome, NodeId, Query, QueryId, Transport};
use tracing::debug;

use super::{RouterHost, may_have_run};
use crate::control_plane::{NoOwner, QueryStart, verify_answer};
use crate::upstream::AttemptRequest;

/// What the fleet's active configuration requires of one query in flight.
pub struct Coordination {
    /// The active configuration at the query's start.
    query_start: Rc<QueryStart>,
    /// Indices of the parts that were sent under a later shard map, if that map gives the part's segment other keys
    /// than the map at the query's start. Each index comes with the later map's epoch.
    moved_parts: Vec<(usize, u64)>,
    /// The state of each part of a keyed query; empty for other queries.
    keyed_parts: Vec<KeyedPart>,
}

/// The state of the attempts of one part of a keyed query.
#[derive(Clone, Default)]
struct KeyedPart {
    /// Number of attempts that have not ended.
    outstanding: usize,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
}

impl Coordination {
    /// Returns the active configuration at the query's start.
    pub fn query_start(&self) -> Rc<QueryStart> {
        self.query_start.clone()
    }

    /// Records the end of an attempt of a part.
    pub fn on_attempt_ended(&mut self, part: usize, outcome: AttemptOutcome) {
        if let Some(part) = self.keyed_parts.get_mut(part) {
            part.outstanding = part.outstanding.saturating_sub(1);
            part.may_have_run |= may_have_run(outcome);
        }
    }
}

impl RouterHost {
    /// Checks a new query against the active configuration, before the router sees it. Returns `false` if the query was
    /// rejected.
    pub fn check_active_config(&mut self, query: &mut Query) -> bool {
        let Some(control_plane) = &mut self.control_plane else { return true };
        control_plane.record_arrival(query.tenant);
        let (query_start, rejection) = match control_plane.assign_owners(query) {
            Ok(query_start) => (query_start, None),
            Err(NoOwner { query_start, retry_after, reason }) => (query_start, Some((retry_after, reason))),
        };
        let Some(active) = self.queries.get_mut(&query.id) else { return false };
        let is_keyed = control_plane.gate.is_keyed(query.class);
        let keyed_parts = vec![KeyedPart::default(); if is_keyed { active.segments.len() } else { 0 }];
        active.coordination = Some(Coordination { query_start, moved_parts: Vec::new(), keyed_parts });
        let Some((retry_after, reason)) = rejection else { return true };
        let control = &control_plane.gate.control;
        control.count_rejected();
        let event =
            || AuditEvent::Rejected { request_id: active.request_id.clone(), why: reason.to_string() };
        control.audit(event);
        debug!("query {}: rejected: {reason}", active.request_id);
        self.reject_retriable(query.id, retry_after.min(self.max_retry_after));
        self.release(query.id);
        false
    }

    /// Records an attempt for its query. Returns whether the active configuration allows sending it to the node now.
    pub(super) fn record_and_check_attempt(&mut self, node: NodeId, attempt: &AttemptRequest) -> bool {
        let Some(control_plane) = &self.control_plane else { return true };
        let (gate, name) = (&control_plane.gate, self.upstream.name(node));
        let AttemptRequest { part, segment, .. } = *attempt;
        let active = self.queries.get_mut(&attempt.query);
        let coordination = active.and_then(|active| active.coordination.as_mut());
        let mut may_send = gate.may_send(&attempt.target(name));
        if let Some(coordination) = coordination {
            if let Some(keyed) = coordination.keyed_parts.get_mut(part) {
                let is_first = keyed.outstanding == 0 && !keyed.may_have_run;
                may_send &= is_first || gate.may_retry_keyed(&coordination.query_start);
                // Counted even if the attempt is not sent, as its end is reported in both cases.
                keyed.outstanding += 1;
            }
            if may_send && let Some(epoch) = gate.moved_epoch(&coordination.query_start, segment) {
                coordination.moved_parts.push((part, epoch));
            }
        }
        if !may_send {
            gate.control.count_withheld();
            debug!("node {name}: {} is not sent: the active configuration forbids it", attempt.id);
        }
        may_send
    }

    /// Writes an answer to the audit log and returns whether it may be marked complete. If there is a shard map, an
    /// answer may be marked complete only if the answered parts cover the query under one map; pruned parts count as
    /// answered.
    pub(super) fn check_and_audit_completeness(&mut self, query: QueryId, complete: bool) -> bool {
        let (Some(control_plane), Some(active)) = (&self.control_plane, self.queries.get(&query)) else {
            return complete;
        };
        let coordination = active.coordination.as_ref();
        let map = coordination.and_then(|coordination| {
            coordination.query_start.map().map(|map| (map, &coordination.moved_parts))
        });
        let is_pruned = |segment: usize| active.pruned.iter().any(|pruned| pruned.segment == segment);
        let is_answered = |part: usize| active.values[part].is_some() || is_pruned(active.segments[part]);
        let outcome = match map.filter(|_| complete) {
            Some((map, sent_under_other_map)) => {
                verify_answer(map, &active.segments, is_answered, sent_under_other_map).map(Some)
            }
            None => Ok(None),
        };
        if let Err(reason) = &outcome {
            control_plane.gate.control.count_incomplete();
            debug!("query {}: not complete: {reason}", active.request_id);
        }
        let complete = complete && outcome.is_ok();
        let answered = active.segments.iter().enumerate().filter(|(part, _)| is_answered(*part));
        control_plane.gate.control.audit(|| AuditEvent::Answer {
            request_id: active.request_id.clone(),
            status: 200,
            complete,
            segments: answered.map(|(_, segment)| *segment as u64).collect(),
            map_epoch: outcome.ok().flatten(),
        });
        complete
    }

    /// Writes a query's final response to the audit log, for a response without results, that is, an error.
    pub(super) fn audit_answer(&self, query: QueryId, status: u16, complete: bool) {
        if let (Some(control_plane), Some(active)) = (&self.control_plane, self.queries.get(&query)) {
            control_plane.gate.control.audit(|| AuditEvent::Answer {
                request_id: active.request_id.clone(),
                status,
                complete,
                segments: Vec::new(),
                map_epoch: None,
            });
        }
    }
}
