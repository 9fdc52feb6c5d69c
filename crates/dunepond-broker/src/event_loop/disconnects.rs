//! Clients that have gone, taken before whatever may send something on for them.

use dunepond_routing::QueryId;

use super::World;
use crate::iteration::{Ready, Turn};

impl World {
    /// Hang-ups are taken before all else that a turn brings: what a node said may have come sooner, and what it would
    /// have sent again is not wanted any more.
    pub(super) fn hang_ups(&mut self, turn: &Turn) {
        let now = self.desk.now;
        for ready in &turn.ready {
            if let Ready::Client(id, true) = ready {
                self.desk.clients.look_ahead(now, *id);
            }
        }
        self.let_go();
    }

    /// Lets go of those that were seen to have gone.
    pub(super) fn let_go(&mut self) {
        while let Some(held) = self.desk.clients.next_hung_up(&mut self.desk.alarms) {
            held.into_iter().for_each(|scan| self.client_left(scan));
        }
    }

    pub(super) fn client_left(&mut self, held: QueryId) {
        for scan in self.desk.all_of(held) {
            self.desk.left(scan);
            self.broker.on_client_disconnect(&mut self.desk, scan);
        }
    }
}
