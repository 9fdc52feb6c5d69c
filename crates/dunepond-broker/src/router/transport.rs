//! Carries out the orders of the router (`Transport`): attempts, cancellations, responses and rejections.

use dunepond_prefilter::PruningBasis;
use dunepond_routing::{AttemptId, AttemptOutcome, NodeId, QueryId, Transport};
use dunepond_search_api::ApiError;
use serde_json::json;
use tracing::{debug, error, info};

use super::RouterHost;
use super::coordination::Coordination;
use crate::body::{BodyReader, Payload};
use crate::clock::TimerEvent;
use crate::upstream::AttemptRequest;

impl Transport for RouterHost {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId) {
        let Some(active) = self.queries.get_mut(&query) else { return };
        let shot = active.attempts[part].len();
        active.attempts[part].push(node);
        active.outstanding += 1;
        let (id, text, until) = (active.part_ids[part].clone(), active.payload.clone(), active.expires_at);
        let seg = active.segments[part];
        let reader = text.body().map(BodyReader::new);
        if let (Some(body), Some(bodies)) = (active.body, &mut self.body_store) {
            bodies.mark_used(self.now, body);
        }
        let gone = matches!(text, Payload::Released);
        let table_type = active.query_class;
        let began = active.coordination.as_ref().map(Coordination::began);
        let send_by = until.min(active.may_run_since[part] + self.retry_windows[table_type]);
        let attempt = AttemptRequest {
            query,
            part,
            attempt: shot,
            id,
            segment: seg,
            query_class: table_type,
            deadline: until,
            send_by,
            payload: text,
            body_reader: reader,
            query_start: began,
        };
        let late = active.is_finished || gone || shot >= self.max_attempts || send_by <= self.now;
        let late =
            late || active.client.is_some_and(|client| self.downstream.is_disconnected(self.now, client));
        if !late && !self.may_send(node, &attempt) {
            return self
                .upstream
                .completed
                .push_back(attempt.completed_unsent(node, AttemptOutcome::NotSent));
        }
        let holds = self.upstream.is_replica(node, seg, self.replica_groups, self.replicas);
        if !late && !holds {
            error!("node {}: no replica of segment {seg}", self.upstream.name(node));
        }
        if late || !holds {
            return self
                .upstream
                .completed
                .push_back(attempt.completed_unsent(node, AttemptOutcome::NotSent));
        }
        debug!("query {}: part {part} sent to {}", self.queries[&query].request_id, self.upstream.name(node));
        self.upstream.dispatch(node, attempt);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.upstream.close_idle(self.now, node, &mut self.timers);
    }

    fn cancel_attempt(&mut self, query: QueryId, part: usize, shot: usize) {
        let node = self.queries.get(&query).and_then(|s| s.attempts.get(part)?.get(shot).copied());
        if let Some(node) = node {
            self.upstream.cancel(
                self.now,
                node,
                AttemptId { query, part, index: shot },
                AttemptOutcome::Cancelled,
                &mut self.timers,
            );
        }
    }

    /// Never called: the frames have no probe, and the deployment is read with `may_probe` off.
    fn probe(&mut self, _: NodeId) {}

    fn answer(&mut self, query: QueryId, complete: bool) {
        let complete = self.is_provably_complete(query, complete);
        if let Some(active) = self.queries.get_mut(&query)
            && let Some(api) = &mut active.search
        {
            let segs: Vec<_> =
                active.segments.iter().zip(&active.values).map(|(s, v)| (*s, v.is_some())).collect();
            let left_out: Vec<_> = active.pruned.iter().map(|left| left.segment).collect();
            let outcome = api.response(self.now, complete, &segs, &left_out);
            if self.conclude(query).is_some() {
                self.finish_search(query, outcome, 0.0);
                self.mark_served(query, complete);
            }
            return;
        }
        let Some(active) = self.queries.get(&query) else { return };
        let found = active.segments.iter().zip(&active.values);
        let found: Vec<_> =
            found.filter_map(|(seg, value)| Some(json!({"bucket": seg, "item": value.as_ref()?}))).collect();
        let mut body = json!({"finished": complete, "found": found});
        if !active.pruned.is_empty() {
            let left_out = active.pruned.iter().map(|left| {
                let name = |node: NodeId| self.upstream.name(node);
                let words = match left.basis {
                    PruningBasis::TwoReplicas(a, b) => [name(a), name(b)],
                    PruningBasis::OwnSearch(a) => [name(a), "our own search"],
                };
                json!({"bucket": left.segment, "words": words})
            });
            body["left_out"] = left_out.collect();
        }
        let body = body.to_string();
        self.reply(query, 200, &body, 0.0);
        self.mark_served(query, complete);
    }

    fn reject_retriable(&mut self, query: QueryId, wait: f64) {
        if self.queries.get(&query).is_some_and(|active| active.search.is_some()) {
            if self.conclude(query).is_some() {
                self.audit_answer(query, 429, false);
                self.finish_search(
                    query,
                    Err(ApiError::rejected("too much is asked for at this moment")),
                    wait,
                );
            }
            return;
        }
        self.reply(query, 429, "", wait);
    }

    fn fail_unknown_outcome(&mut self, query: QueryId) {
        // The router counts every attempt without an outcome as sent; one that still waits in a queue here has not left.
        if self.nothing_was_sent(query) {
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
