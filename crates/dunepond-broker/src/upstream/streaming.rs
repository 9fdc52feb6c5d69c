//! Frames of streamed bodies: continued as the bodies arrive, aborted where a body is lost.

use std::collections::HashMap;

use super::{NodeConnection, OutstandingRequest, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;

impl Upstream {
    /// More of some body is available: continues the frames that waited for it.
    pub fn resume_bodies(&mut self, now: f64, timers: &mut Timers) {
        for id in std::mem::take(&mut self.awaiting_body) {
            self.write(now, id, timers);
            self.close_or_keep_idle(now, id, timers);
        }
    }

    /// Closes connections that consume nothing of a pass-through body for `slowest` seconds while the other readers wait;
    /// true while any body passes through.
    pub fn close_slow_consumers(&mut self, now: f64, slowest: f64, timers: &mut Timers) -> bool {
        let mut pass_through = HashMap::new();
        for (id, connection) in &self.connections {
            let Some(reader) = connection.output.next_body().filter(|r| r.body.is_pass_through()) else {
                continue;
            };
            let place = reader.offset();
            let before = self.body_progress.get(&id).filter(|before| before.0 == place);
            // A reader that waits for more of the body from the client delays no other reader.
            let holds_up = reader.body.is_full();
            let since = before.filter(|_| holds_up).map_or(now, |before| before.1);
            pass_through.insert(id, (place, since));
        }
        let late: Vec<_> =
            pass_through.iter().filter(|(_, p)| now - p.1 >= slowest).map(|(id, _)| *id).collect();
        self.body_progress = pass_through;
        for id in late {
            self.body_progress.remove(&id);
            self.close(now, id, ConnectionEnd::SlowConsumer, timers);
        }
        !self.body_progress.is_empty()
    }

    /// Closes the connections that carry an attempt whose body is lost.
    pub fn abort_lost_bodies(&mut self, now: f64, timers: &mut Timers) {
        let lost = |l: &NodeConnection| {
            let framed = l.output.next_body().is_some_and(|r| r.body.loss().is_some());
            let waits = |o: &OutstandingRequest| {
                o.frame_end.is_none() && o.request.payload.body().is_some_and(|b| b.loss().is_some())
            };
            framed || l.outstanding.iter().any(waits)
        };
        let part_ids: Vec<_> = self.connections.iter().filter(|(_, l)| lost(l)).map(|(id, _)| id).collect();
        part_ids.into_iter().for_each(|id| self.close(now, id, ConnectionEnd::BodyLost, timers));
    }
}
