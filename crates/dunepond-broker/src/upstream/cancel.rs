//! Withdraws attempts: without a trace where nothing was sent, by a cancellation at the node otherwise.

use std::collections::VecDeque;

use dunepond_routing::{AttemptOutcome, NodeId, QueryId};

use super::{NodeConnection, OutstandingRequest, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::frames;

impl Upstream {
    /// Gives one attempt up: never sent if it still can be kept here, taken back at the node otherwise.
    pub fn give_up(
        &mut self,
        now: f64,
        node: NodeId,
        key: (QueryId, usize, usize),
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
            // The API knows no taking back: the connection is its request.
            self.end(now, id, ConnectionEnd::FrameAborted, timers);
        } else if end == AttemptOutcome::Cancelled {
            // An attempt that has timed out is known to the node by its frame.
            connection.out.put(&frames::give_up(&out.parcel.id));
            self.write(now, id, timers);
        }
        self.back.push_back(out.back(node, end, now, None));
        self.rest(now, id, timers);
    }

    /// The queries of which something waits on this connection for its last byte to be written.
    pub fn unsent(&self, id: usize) -> Vec<QueryId> {
        let Some(connection) = self.connections.get(id) else { return Vec::new() };
        let unsent =
            connection.outstanding.iter().filter(|o| o.to.is_none_or(|to| to > connection.out.written()));
        unsent.map(|o| o.parcel.query).collect()
    }

    /// Whether some connection to a node carries an attempt, sent or not.
    pub fn has_outstanding(&self, node: NodeId, key: (QueryId, usize, usize)) -> bool {
        self.find(node, key).is_some()
    }

    /// The connection that carries an attempt, and where on it.
    fn find(&self, node: NodeId, key: (QueryId, usize, usize)) -> Option<(usize, usize)> {
        let connections = &self.nodes.get(node)?.connections;
        let at =
            |connection: &NodeConnection| connection.outstanding.iter().position(|o| o.parcel.key() == key);
        connections.iter().find_map(|id| Some((*id, at(&self.connections[*id])?)))
    }

    /// Takes back what has waited on a connection for too long. False where of some frame a part has gone out by then:
    /// its rest would arrive too late, and cannot be cut out of the stream.
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

    /// Takes back such of what waits on a connection as `which` says.
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

    /// Takes back what has not gone out whole, if it has not: once its query is answered no part of it may.
    pub fn withdraw(
        &mut self,
        now: f64,
        node: NodeId,
        key: (QueryId, usize, usize),
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
            // It cannot be cut out of the stream.
            self.end(now, id, ConnectionEnd::FrameAborted, timers);
        }
        true
    }
}
