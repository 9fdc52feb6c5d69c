//! Continues writing the frames of streamed bodies as more of the bodies arrives, and closes connections whose body is
//! lost or which consume a body too slowly.

use std::collections::HashMap;

use super::{BodyProgress, Upstream};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;

impl Upstream {
    /// Continues writing the frames that waited for more of a streamed body.
    pub fn resume_bodies(&mut self, now: f64, timers: &mut Timers) {
        for id in std::mem::take(&mut self.awaiting_body) {
            self.write(now, id, timers);
            self.close_or_keep_idle(now, id, timers);
        }
    }

    /// Closes connections that consume nothing of a pass-through body for `io_timeout` seconds while other readers
    /// wait. Returns whether any connection still writes a pass-through body.
    pub fn close_slow_consumers(&mut self, now: f64, io_timeout: f64, timers: &mut Timers) -> bool {
        let mut pass_through = HashMap::new();
        for (id, connection) in &self.connections {
            let Some(reader) = connection.output.next_body().filter(|r| r.body.is_pass_through()) else {
                continue;
            };
            let offset = reader.offset();
            let previous = self.body_progress.get(&id).filter(|previous| previous.offset == offset);
            // While the body is not full, more of it can be received, so that this reader delays no other reader.
            let delays_others = reader.body.is_full();
            let since = previous.filter(|_| delays_others).map_or(now, |previous| previous.since);
            pass_through.insert(id, BodyProgress { offset, since });
        }
        let is_overdue = |progress: &BodyProgress| now - progress.since >= io_timeout;
        let overdue: Vec<_> =
            pass_through.iter().filter(|(_, progress)| is_overdue(progress)).map(|(id, _)| *id).collect();
        self.body_progress = pass_through;
        for id in overdue {
            self.body_progress.remove(&id);
            self.close(now, id, ConnectionEnd::SlowConsumer, timers);
        }
        !self.body_progress.is_empty()
    }

    /// Closes the connections that have an outstanding attempt whose body is lost.
    pub fn abort_lost_bodies(&mut self, now: f64, timers: &mut Timers) {
        let connections = self.connections.iter().filter(|(_, connection)| connection.has_lost_body());
        let ids: Vec<_> = connections.map(|(id, _)| id).collect();
        for id in ids {
            self.close(now, id, ConnectionEnd::BodyLost, timers);
        }
    }
}
