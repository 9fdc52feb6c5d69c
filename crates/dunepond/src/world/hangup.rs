//! Clients that have gone, taken before whatever may send something on for them.

use dunepond_decide::ScanId;

use super::World;

impl World {
    /// Lets go of those that were seen to have gone.
    pub(super) fn let_go(&mut self) {
        while let Some(held) = self.desk.clients.next_hung_up(&mut self.desk.alarms) {
            held.into_iter().for_each(|scan| self.client_left(scan));
        }
    }

    pub(super) fn client_left(&mut self, held: ScanId) {
        for scan in self.desk.all_of(held) {
            self.desk.left(scan);
            self.broker.client_left(&mut self.desk, scan);
        }
    }
}
