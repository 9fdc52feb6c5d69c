//! Carries out the orders of the router (`Transport`): attempts, cancellations, responses and rejections.

use dunepond_prefilter::PruningBasis;
use dunepond_routing::{AttemptId, AttemptOutcome, NodeId, QueryId, Transport};
use dunepond_search_api::ApiError;
use serde_json::json;
use tracing::{debug, error, info};

use super::coordination::Coordination;
use super::{ActiveQuery, RouterHost};
use crate::body::{BodyReader, Payload};
use crate::clock::TimerEvent;
use crate::upstream::AttemptRequest;

impl Transport for RouterHost {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId) {
        let Some(attempt) = self.start_attempt(query, part, node) else { return };
        let is_obsolete = self.is_obsolete(&attempt);
        if !is_obsolete && !self.record_and_check_attempt(node, &attempt) {
            return self.complete_unsent(node, attempt);
        }
        let is_replica = self.upstream.is_replica(node, attempt.segment, self.replica_groups, self.replicas);
        if !is_obsolete && !is_replica {
            error!(
                "node {}: not a replica of segment {}; the attempt is not sent",
                self.upstream.name(node),
                attempt.segment
            );
        }
        if is_obsolete || !is_replica {
            return self.complete_unsent(node, attempt);
        }
        debug!("query {}: part {part} sent to {}", self.queries[&query].request_id, self.upstream.name(node));
        self.upstream.dispatch(node, attempt);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.upstream.retire_connections(self.now, node, &mut self.timers);
    }

    fn cancel_attempt(&mut self, query: QueryId, part: usize, index: usize) {
        let Some(active) = self.queries.get(&query) else { return };
        let Some(node) = active.attempts.get(part).and_then(|nodes| nodes.get(index)).copied() else {
            return;
        };
        let attempt = AttemptId { query, part, index };
        self.upstream.cancel(self.now, node, attempt, AttemptOutcome::Cancelled, &mut self.timers);
    }

    /// Never called: the frame protocol has no probe, so `may_probe` is turned off when the configuration is read.
    fn probe(&mut self, _: NodeId) {}

    fn answer(&mut self, query: QueryId, complete: bool) {
        let complete = self.check_and_audit_completeness(query, complete);
        let Some(active) = self.queries.get_mut(&query) else { return };
        if let Some(search) = &mut active.search {
            let segments = active.segments.iter().zip(&active.values);
            let segments: Vec<_> = segments.map(|(segment, value)| (*segment, value.is_some())).collect();
            let pruned: Vec<_> = active.pruned.iter().map(|pruned| pruned.segment).collect();
            let outcome = search.response(self.now, complete, &segments, &pruned);
            if self.conclude(query).is_some() {
                self.finish_search(query, outcome, 0.0);
                self.mark_completely_answered(query, complete);
            }
            return;
        }
        let body = answer_body(active, complete, |node| self.upstream.name(node));
        self.reply(query, 200, &body, 0.0);
        self.mark_completely_answered(query, complete);
    }

    fn reject_retriable(&mut self, query: QueryId, retry_after: f64) {
        if self.queries.get(&query).is_some_and(|active| active.search.is_some()) {
            if self.conclude(query).is_some() {
                self.audit_answer(query, 429, false);
                self.finish_search(
                    query,
                    Err(ApiError::rejected("too much is asked for at this moment")),
                    retry_after,
                );
            }
            return;
        }
        self.reply(query, 429, "", retry_after);
    }

    fn fail_unknown_outcome(&mut self, query: QueryId) {
        // The router counts every attempt without an outcome as sent, but an attempt whose frame still waits in the
        // broker to be written has not been sent.
        if self.try_withdraw_all(query) {
            return self.reject_retriable(query, 0.0);
        }
        if self.queries.get(&query).is_some_and(|active| active.search.is_some()) {
            if self.conclude(query).is_some() {
                self.audit_answer(query, 502, false);
                self.finish_search(query, Err(ApiError::unknown_outcome()), 0.0);
            }
            return;
        }
        self.reply(query, 502, "", 0.0);
    }

    fn finish(&mut self, query: QueryId) {
        self.release(query);
    }

    fn schedule_wake(&mut self, at: f64) {
        self.timers.schedule(at, TimerEvent::RouterWake);
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}

impl RouterHost {
    /// Records a new attempt of a part and returns the data from which the attempt's frame is encoded; `None` if the
    /// query is not in flight.
    fn start_attempt(&mut self, query: QueryId, part: usize, node: NodeId) -> Option<AttemptRequest> {
        let active = self.queries.get_mut(&query)?;
        let index = active.attempts[part].len();
        active.attempts[part].push(node);
        active.outstanding += 1;
        if let (Some(body), Some(bodies)) = (active.body, &mut self.body_store) {
            bodies.mark_used(self.now, body);
        }
        let payload = active.payload.clone();
        let retry_until = active.first_possible_run_at[part] + self.retry_windows[active.query_class];
        Some(AttemptRequest {
            query,
            part,
            attempt: index,
            id: active.part_ids[part].clone(),
            segment: active.segments[part],
            query_class: active.query_class,
            deadline: active.expires_at,
            send_by: active.expires_at.min(retry_until),
            body_reader: payload.body().map(BodyReader::new),
            payload,
            query_start: active.coordination.as_ref().map(Coordination::query_start),
        })
    }

    /// Whether the client no longer waits for an attempt, or the attempt must no longer be sent.
    fn is_obsolete(&mut self, attempt: &AttemptRequest) -> bool {
        let Some(active) = self.queries.get(&attempt.query) else { return true };
        active.is_finished
            || matches!(attempt.payload, Payload::Released)
            || attempt.attempt >= self.max_attempts
            || attempt.send_by <= self.now
            || active.client.is_some_and(|client| {
                self.downstream.check_disconnected(self.now, client)
                    || attempt.attempt > 0 && self.downstream.hides_its_end(client)
            })
    }

    /// Ends an attempt that is not sent, and queues its end for the router.
    fn complete_unsent(&mut self, node: NodeId, attempt: AttemptRequest) {
        let completed = attempt.completed_unsent(node, AttemptOutcome::NotSent);
        self.upstream.completed.push_back(completed);
    }
}

/// Returns the JSON body of a query's answer, for the broker's own port. `name` returns the name of a node.
fn answer_body<'a>(query: &ActiveQuery, complete: bool, name: impl Fn(NodeId) -> &'a str) -> String {
    let mut found = Vec::new();
    for (segment, value) in query.segments.iter().zip(&query.values) {
        if let Some(value) = value {
            found.push(json!({"bucket": segment, "item": value}));
        }
    }
    let mut body = json!({"finished": complete, "found": found});
    if !query.pruned.is_empty() {
        let pruned = query.pruned.iter().map(|pruned| {
            let basis = match pruned.basis {
                PruningBasis::TwoReplicas(first, second) => [name(first), name(second)],
                PruningBasis::OwnSearch(node) => [name(node), "our own search"],
            };
            json!({"bucket": pruned.segment, "words": basis})
        });
        body["left_out"] = pruned.collect();
    }
    body.to_string()
}
