//! Withdraws attempts: locally where nothing was sent, by a cancel frame to the node otherwise.

use std::collections::VecDeque;

use dunepond_routing::{AttemptId, AttemptOutcome, NodeId, QueryId};

use super::{NodeConnection, OutstandingRequest, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::frames;

impl Upstream {
    /// Cancels one attempt: withdraws it where it is not fully sent, and cancels it at the node otherwise.
    pub fn cancel(
        &mut self,
        now: f64,
        node: NodeId,
        key: AttemptId,
        outcome: AttemptOutcome,
        timers: &mut Timers,
    ) {
        if self.withdraw(now, node, key, outcome, timers) {
            return;
        }
        let Some((id, at)) = self.find_outstanding(node, key) else { return };
        let connection = &mut self.connections[id];
        let Some(out) = connection.finish_request(at) else { return };
        connection.cancelled.push(out.request.id.clone());
        if connection.uses_search_api {
            // The search API has no cancellation: closing the connection aborts its one request.
            self.close(now, id, ConnectionEnd::FrameAborted, timers);
        } else if outcome == AttemptOutcome::Cancelled {
            // An attempt that has timed out needs no cancel frame: its own frame carries its time limit.
            connection.output.queue_bytes(&frames::encode_cancel(&out.request.id));
            self.write(now, id, timers);
        }
        self.completed.push_back(out.into_completed(node, outcome, now, None));
        self.close_or_keep_idle(now, id, timers);
    }

    /// The queries with an attempt on this connection that is not fully written.
    pub fn queries_awaiting_write(&self, id: usize) -> Vec<QueryId> {
        let Some(connection) = self.connections.get(id) else { return Vec::new() };
        let unwritten = connection.outstanding.iter().filter(|out| !out.is_written(&connection.output));
        unwritten.map(|out| out.request.query).collect()
    }

    /// Whether some connection to a node carries an attempt, written or not.
    pub fn has_outstanding(&self, node: NodeId, key: AttemptId) -> bool {
        self.find_outstanding(node, key).is_some()
    }

    /// The connection that carries an attempt, and the attempt's position among those on it.
    fn find_outstanding(&self, node: NodeId, key: AttemptId) -> Option<(usize, usize)> {
        let connections = &self.nodes.get(node)?.connections;
        let at =
            |connection: &NodeConnection| connection.outstanding.iter().position(|o| o.request.key() == key);
        connections.iter().find_map(|id| Some((*id, at(&self.connections[*id])?)))
    }

    /// Withdraws attempts whose time to be sent has passed. False where a frame of one is partly written: its rest would
    /// arrive too late, and cannot be removed from the stream.
    pub(super) fn withdraw_expired(&mut self, now: f64, id: usize) -> bool {
        let Some(connection) = self.connections.get(id) else { return true };
        let is_expired = |out: &OutstandingRequest| now >= out.request.send_by;
        let is_half_written =
            |out: &OutstandingRequest| out.frame_end.is_some() && !out.is_written(&connection.output);
        if connection.outstanding.iter().any(|out| is_expired(out) && is_half_written(out)) {
            return false;
        }
        self.withdraw_unframed(now, id, is_expired);
        true
    }

    /// Withdraws the attempts on a connection that are not framed yet and that `which` selects.
    pub(super) fn withdraw_unframed(
        &mut self,
        now: f64,
        id: usize,
        which: impl Fn(&OutstandingRequest) -> bool,
    ) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_withdrawn = |out: &OutstandingRequest| out.frame_end.is_none() && which(out);
        if connection.outstanding.iter().any(is_withdrawn) {
            let (withdrawn, outstanding): (VecDeque<OutstandingRequest>, _) =
                connection.outstanding.drain(..).partition(is_withdrawn);
            connection.outstanding = outstanding;
            let node = connection.node;
            self.completed.extend(
                withdrawn.into_iter().map(|out| out.into_completed(node, AttemptOutcome::NotSent, now, None)),
            );
        }
    }

    /// Withdraws an attempt that is not fully written; false if it is. Once its query is answered no byte of it may go out.
    pub fn withdraw(
        &mut self,
        now: f64,
        node: NodeId,
        key: AttemptId,
        outcome: AttemptOutcome,
        timers: &mut Timers,
    ) -> bool {
        let Some(node_entry) = self.nodes.get_mut(node) else { return false };
        if let Some(at) = node_entry.unassigned.iter().position(|request| request.key() == key) {
            self.completed.push_back(node_entry.unassigned.remove(at).completed_unsent(node, outcome));
            return true;
        }
        let Some((id, at)) = self.find_outstanding(node, key) else { return false };
        let connection = &mut self.connections[id];
        let is_partly_written = match connection.outstanding[at].frame_end {
            Some(to) if to <= connection.output.written_offset() => return false,
            to => to.is_some(),
        };
        let out =
            if is_partly_written { connection.finish_request(at) } else { connection.outstanding.remove(at) };
        self.completed.extend(out.map(|out| out.into_completed(node, outcome, now, None)));
        if is_partly_written {
            // A partly written frame cannot be removed from the stream.
            self.close(now, id, ConnectionEnd::FrameAborted, timers);
        }
        true
    }
}
