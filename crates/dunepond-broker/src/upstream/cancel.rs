//! Dispatches taken back: kept here where they have not gone out, given up at the node otherwise.

use std::collections::VecDeque;

use dunepond_routing::{AttemptOutcome, NodeId, QueryId};

use super::{Link, Out, Servers};
use crate::clock::Alarms;
use crate::connection_end::Ending;
use crate::frames;

impl Servers {
    /// Gives one dispatch up: never sent if it still can be kept here, taken back at the node otherwise.
    pub fn give_up(
        &mut self,
        now: f64,
        node: NodeId,
        key: (QueryId, usize, usize),
        end: AttemptOutcome,
        alarms: &mut Alarms,
    ) {
        if self.withdraw(now, node, key, end, alarms) {
            return;
        }
        let Some((id, at)) = self.find(node, key) else { return };
        let link = &mut self.links[id];
        let Some(out) = link.take(at) else { return };
        link.given_up.push(out.parcel.id.clone());
        if link.api {
            // The API knows no taking back: the connection is its request.
            self.end(now, id, Ending::CutShort, alarms);
        } else if end == AttemptOutcome::Cancelled {
            // A dispatch that has timed out is known to the node by its frame.
            link.out.put(&frames::give_up(&out.parcel.id));
            self.write(now, id, alarms);
        }
        self.back.push_back(out.back(node, end, now, None));
        self.rest(now, id, alarms);
    }

    /// The scans of which something waits on this connection for its last byte to be written.
    pub fn unsent(&self, id: usize) -> Vec<QueryId> {
        let Some(link) = self.links.get(id) else { return Vec::new() };
        let unsent = link.carried.iter().filter(|o| o.to.is_none_or(|to| to > link.out.written()));
        unsent.map(|o| o.parcel.scan).collect()
    }

    /// Whether some connection to a node carries a dispatch, sent or not.
    pub fn carries(&self, node: NodeId, key: (QueryId, usize, usize)) -> bool {
        self.find(node, key).is_some()
    }

    /// The connection that carries a dispatch, and where on it.
    fn find(&self, node: NodeId, key: (QueryId, usize, usize)) -> Option<(usize, usize)> {
        let links = &self.servers.get(node)?.links;
        let at = |link: &Link| link.carried.iter().position(|o| o.parcel.key() == key);
        links.iter().find_map(|id| Some((*id, at(&self.links[*id])?)))
    }

    /// Takes back what has waited on a connection for too long. False where of some frame a part has gone out by then:
    /// its rest would arrive too late, and cannot be cut out of the stream.
    pub(super) fn lapse(&mut self, now: f64, id: usize) -> bool {
        let Some(link) = self.links.get_mut(id) else { return true };
        let written = link.out.written();
        let lapsed = |o: &Out| now >= o.parcel.lapses;
        if link.carried.iter().any(|o| lapsed(o) && o.to.is_some_and(|to| to > written)) {
            return false;
        }
        self.hold(now, id, lapsed);
        true
    }

    /// Takes back such of what waits on a connection as `which` says.
    pub(super) fn hold(&mut self, now: f64, id: usize, which: impl Fn(&Out) -> bool) {
        let Some(link) = self.links.get_mut(id) else { return };
        let held = |o: &Out| o.to.is_none() && which(o);
        if link.carried.iter().any(held) {
            let (held, carried): (VecDeque<Out>, _) = link.carried.drain(..).partition(held);
            link.carried = carried;
            let node = link.node;
            self.back.extend(held.into_iter().map(|o| o.back(node, AttemptOutcome::NotSent, now, None)));
        }
    }

    /// Takes back what has not gone out whole, if it has not: once its scan is answered no part of it may.
    pub fn withdraw(
        &mut self,
        now: f64,
        node: NodeId,
        key: (QueryId, usize, usize),
        end: AttemptOutcome,
        alarms: &mut Alarms,
    ) -> bool {
        let Some(server) = self.servers.get_mut(node) else { return false };
        if let Some(at) = server.batch.iter().position(|p| p.key() == key) {
            self.back.push_back(server.batch.remove(at).unsent(node, end));
            return true;
        }
        let Some((id, at)) = self.find(node, key) else { return false };
        let link = &mut self.links[id];
        let half = match link.carried[at].to {
            Some(to) if to <= link.out.written() => return false,
            to => to.is_some(),
        };
        let out = if half { link.take(at) } else { link.carried.remove(at) };
        self.back.extend(out.map(|out| out.back(node, end, now, None)));
        if half {
            // It cannot be cut out of the stream.
            self.end(now, id, Ending::CutShort, alarms);
        }
        true
    }
}
