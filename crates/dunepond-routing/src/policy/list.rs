//! The list: what it says of nodes, and when it is asked for.

use super::*;

impl Router {
    pub fn update_endpoints(&mut self, host: &mut dyn Transport, complete: bool, rows: &[Endpoint]) {
        self.hear(host);
        if let Some(within) = self.site.list_poll_deadline.filter(|_| self.ask_at > f64::MIN) {
            (self.ask_at, self.refusals) = (self.now + QUIET * within, 0);
        }
        let missing = self.nodes.iter_mut().flatten().filter(|_| complete);
        missing.for_each(|node| node.standing = EndpointState::Removed);
        for row in rows {
            self.nodes.resize_with(self.nodes.len().max(row.node + 1), || None);
            self.zones.resize_with(self.zones.len().max(row.zone + 1), VecDeque::new);
            if self.nodes[row.node].is_none() {
                self.cells[row.replica_group % self.site.replica_groups].push(row.node);
            }
            let cold = self.now - row.started_at < self.site.slow_start.duration;
            let left = if cold { self.rng.random() } else { 0.0 };
            let tokens = Tokens { left, done: self.done, at: self.now };
            let node = self.nodes[row.node].get_or_insert_with(|| Node::new(row, tokens));
            node.standing = row.state;
            if row.started_at > node.started {
                // A new process under the old name: what we hold against the old one says nothing of it, nor
                // does the end of what went to that one.
                (node.started, node.tokens, node.aside) = (row.started_at, tokens, None);
                node.outs.retain(|out| out.at >= row.started_at);
                node.samples.clear();
                node.ghosts.clear();
            }
        }
        self.count_warm();
        self.arm(host);
    }

    /// Asking for the list has failed, or what was asked for has broken off.
    pub fn on_list_poll_failed(&mut self, host: &mut dyn Transport) {
        self.hear(host);
        if let Some(within) = self.site.list_poll_deadline {
            let wait = (REFUSED * 2_f64.powi(self.refusals)).min(QUIET) * within;
            self.refusals += 1;
            self.ask_at = self.now + wait * self.rng.random_range(0.5..1.0);
        }
        self.arm(host);
    }

    /// A list that comes only when it is asked for is asked at the start and whenever it is due.
    pub(super) fn ask(&mut self, host: &mut dyn Transport) {
        if let Some(within) = self.site.list_poll_deadline.filter(|_| self.now >= self.ask_at) {
            self.ask_at = self.now + QUIET * within;
            host.poll_endpoint_list();
        }
    }

    /// A node has gone and nothing of ours is out there: its index may be given to another.
    pub fn remove_node(&mut self, node: NodeId) {
        self.nodes[node] = None;
        let pieces = self.scans.values_mut().flat_map(|h| &mut h.pieces);
        pieces.filter(|p| p.only == Some(node)).for_each(|p| p.only = Some(NodeId::MAX));
        self.cells.iter_mut().for_each(|cell| cell.retain(|id| *id != node));
    }
}
