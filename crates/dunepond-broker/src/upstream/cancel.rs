//! Withdraws attempts: locally where nothing was sent, by a cancel frame to the node otherwise.

use std::collections::VecDeque;

use dunepond_routing::{AttemptId, AttemptOutcome, NodeId, QueryId};

use super::{NodeConnection, OutstandingRequest, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::frames;

impl Upstream {
    /// Cancels one attempt: withdraws it where it is not fully sent, and cancels it at the node otherwise.
    pub fn give_up(
        &mut self,
        now: f64,
        node: NodeId,
        key: AttemptId,
        end: AttemptOutcome,
        timers: &mut Timers,
    ) {
        if self.withdraw(now, node, key, end, timers) {
            return;
        }
        let Some((id, at)) = self.find(node, key) else { return };
        let connection = &mut self.connections[id];
        let Some(out) = connection.take(at) else { return };
        connection.cancelled.push(out.parcel.id.clone());
        if connection.api {
            // The search API has no cancellation: closing the connection aborts its one request.
            self.end(now, id, ConnectionEnd::FrameAborted, timers);
        } else if end == AttemptOutcome::Cancelled {
            // An attempt that has timed out needs no cancel frame: its own frame carries its time limit.
            connection.out.put(&frames::give_up(&out.parcel.id));
            self.write(now, id, timers);
        }
        self.back.push_back(out.back(node, end, now, None));
        self.rest(now, id, timers);
    }

    /// The queries with an attempt on this connection that is not fully written.
    pub fn unsent(&self, id: usize) -> Vec<QueryId> {
        let Some(connection) = self.connections.get(id) else { return Vec::new() };
        let unwritten = connection.outstanding.iter().filter(|out| !out.is_written(&connection.out));
        unwritten.map(|out| out.parcel.query).collect()
    }

    /// Whether some connection to a node carries an attempt, written or not.
    pub fn has_outstanding(&self, node: NodeId, key: AttemptId) -> bool {
        self.find(node, key).is_some()
    }

    /// The connection that carries an attempt, and the attempt's position among those on it.
    fn find(&self, node: NodeId, key: AttemptId) -> Option<(usize, usize)> {
        let connections = &self.nodes.get(node)?.connections;
        let at =
            |connection: &NodeConnection| connection.outstanding.iter().position(|o| o.parcel.key() == key);
        connections.iter().find_map(|id| Some((*id, at(&self.connections[*id])?)))
    }

    /// Withdraws attempts whose time to be sent has passed. False where a frame of one is partly written: its rest would
    /// arrive too late, and cannot be removed from the stream.
    pub(super) fn withdraw_expired(&mut self, now: f64, id: usize) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return true };
        let written = connection.out.written();
        let lapsed = |o: &OutstandingRequest| now >= o.parcel.send_by;
        if connection.outstanding.iter().any(|o| lapsed(o) && o.to.is_some_and(|to| to > written)) {
            return false;
        }
        self.hold(now, id, lapsed);
        true
    }

    /// Withdraws the attempts on a connection that are not framed yet and that `which` selects.
    pub(super) fn hold(&mut self, now: f64, id: usize, which: impl Fn(&OutstandingRequest) -> bool) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let held = |o: &OutstandingRequest| o.to.is_none() && which(o);
        if connection.outstanding.iter().any(held) {
            let (held, outstanding): (VecDeque<OutstandingRequest>, _) =
                connection.outstanding.drain(..).partition(held);
            connection.outstanding = outstanding;
            let node = connection.node;
            self.back.extend(held.into_iter().map(|o| o.back(node, AttemptOutcome::NotSent, now, None)));
        }
    }

    /// Withdraws an attempt that is not fully written; false if it is. Once its query is answered no byte of it may go out.
    pub fn withdraw(
        &mut self,
        now: f64,
        node: NodeId,
        key: AttemptId,
        end: AttemptOutcome,
        timers: &mut Timers,
    ) -> bool {
        let Some(node_entry) = self.nodes.get_mut(node) else { return false };
        if let Some(at) = node_entry.unframed.iter().position(|p| p.key() == key) {
            self.back.push_back(node_entry.unframed.remove(at).unsent(node, end));
            return true;
        }
        let Some((id, at)) = self.find(node, key) else { return false };
        let connection = &mut self.connections[id];
        let half = match connection.outstanding[at].to {
            Some(to) if to <= connection.out.written() => return false,
            to => to.is_some(),
        };
        let out = if half { connection.take(at) } else { connection.outstanding.remove(at) };
        self.back.extend(out.map(|out| out.back(node, end, now, None)));
        if half {
            // A partly written frame cannot be removed from the stream.
            self.end(now, id, ConnectionEnd::FrameAborted, timers);
        }
        true
    }
}
