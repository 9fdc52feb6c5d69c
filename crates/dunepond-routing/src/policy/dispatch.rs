//! Dispatch: sends each part of a query once, all parts together, after probing the replicas if necessary.
//!
//! Inputs: the parts without an attempt, the replica that placement chooses for each, and the idle time of
//! its connections (seconds).

use std::mem;

use super::StageResult;
use crate::state::{Attempt, InFlightQuery, OutstandingAttempt, Probing, Router};
use crate::{AttemptId, NodeId, Transport};

impl Router {
    /// Sends the parts of the present step that have no attempt yet. A part without an eligible replica stays
    /// unsent until the query's request stages run again.
    pub(super) fn dispatch_unsent(
        &mut self,
        transport: &mut dyn Transport,
        query: &mut InFlightQuery,
    ) -> StageResult {
        if query.awaits_prefilter {
            return StageResult::Wait;
        }
        if self.should_probe(query) {
            self.probe_replicas(transport, query);
        }
        if matches!(query.probing, Probing::Probed { .. }) && !self.awaits_probes(query) {
            query.probing = Probing::Finished;
            if self.has_too_few_free_replicas(query) {
                return self.end_unserved(transport, query);
            }
        }
        let answered_since = match query.probing {
            Probing::Probed { at } => at,
            Probing::NotProbed | Probing::Finished => f64::MIN,
        };
        for part in query.step_start..query.parts.len() {
            let state = &query.parts[part];
            if state.is_pruned() || !state.attempts.is_empty() || query.body_unavailable {
                continue;
            }
            if let Some(node) = self.choose_replica(query, part, answered_since) {
                self.send_attempt(transport, query, part, node);
            }
        }
        // The body of a single-shot query is available on arrival only: a part that has no replica now can
        // never be sent, and the query may have to end.
        if query.single_shot && !mem::replace(&mut query.body_unavailable, true) {
            return self.answer_or_end(transport, query);
        }
        StageResult::Continue
    }

    /// Sends one attempt of a part. If idle connections to the node have probably been reset, they are closed
    /// first, so that the attempt uses a new one.
    pub(super) fn send_attempt(
        &mut self,
        transport: &mut dyn Transport,
        query: &mut InFlightQuery,
        part: usize,
        id: NodeId,
    ) {
        let mut idle_seconds = self.idle_seconds(id);
        if self.is_likely_reset(idle_seconds) {
            transport.close_idle_connections(id);
            idle_seconds = 0.0;
        }
        transport.send_attempt(query.id, part, id);
        let (now, index) = (self.now, query.parts[part].attempts.len());
        query.parts[part].attempts.push(Attempt { node: id, sent_at: now, outcome: None });
        self.take_slow_start_token(query, id);
        let Some(node) = self.nodes[id].as_mut() else { return };
        node.last_used_at = now;
        node.outstanding.push(OutstandingAttempt {
            id: AttemptId { query: query.id, part, index },
            class: query.class,
            sent_at: now,
            idle_seconds,
            frame_sent: !query.streamed,
        });
    }

    /// Returns the seconds since the last traffic with a node; 0 while an attempt is outstanding there.
    fn idle_seconds(&self, id: NodeId) -> f64 {
        match &self.nodes[id] {
            Some(node) if node.outstanding.is_empty() => self.now - node.last_used_at,
            _ => 0.0,
        }
    }
}
