//! Placement: which holder gets a part.

use super::*;

impl Router {
    pub(super) fn holders(&self, seg: usize, only: Option<NodeId>) -> impl Iterator<Item = (NodeId, &Node)> {
        let cells = self.cells.len();
        let ids = (0..self.site.replicas.min(cells)).flat_map(move |j| &self.cells[(seg + j) % cells]);
        let known = ids.filter_map(|id| self.nodes[*id].as_ref().map(|n| (*id, n)));
        known
            .filter(move |(id, n)| n.standing == EndpointState::Active && only.is_none_or(|only| only == *id))
    }

    /// The lightest of two sampled holders, among the best sort of holders there is.
    pub(super) fn place(&mut self, held: &Held, part: usize, since: f64) -> Option<NodeId> {
        let spare = self.in_budget(held);
        let piece = &held.pieces[part];
        let replayable = self.site.query_classes[held.table_type].idempotency == Idempotency::Idempotent;
        let (mut fit, mut trials, mut doubtful, mut all) = (Vec::new(), Vec::new(), Vec::new(), 0);
        for (id, node) in self.holders(piece.seg, piece.only) {
            let fails = node.fails(held.table_type, self.since(FRESH));
            all += 1;
            // A holder that lost an answer, or was full, may give the next; one that fails all such will not.
            // What must not run twice would end as unknown, one part's dispatches spent while another is out.
            let spent = |s: &Shot| s.node == id && (fails || !replayable || s.end.is_none());
            if piece.shots.iter().any(spent)
                || node.replied < since
                || !self.has_cold_room(node, held)
                || self.full(node)
            {
                continue;
            }
            let anew = piece.shots.iter().all(|s| s.node != id);
            match &node.aside {
                None if fails && !replayable => {}
                None if anew && !fails && (replayable || node.silent(self.now) < self.nearly_all) => {
                    fit.push(id)
                }
                None => doubtful.push(id),
                // What cannot be asked again waits for a holder in service; unsent it can be turned away.
                Some(_) if !replayable => {}
                Some(aside) if anew && self.trial(node, aside) => trials.push(id),
                Some(_) => doubtful.push(id),
            }
        }
        let last_resort = piece.out().next().is_none();
        // Both of a part's dispatches might be trials at dead nodes, and the sound holder never asked. And
        // whoever is tried on must have a copy, should the trial be met with silence.
        if last_resort && spare || fit.is_empty() {
            fit.append(&mut trials);
        }
        let among = if fit.is_empty() && last_resort { doubtful } else { fit };
        match among.len() {
            0 | 1 => among.first().copied(),
            n => {
                let first = self.rng.random_range(0..n);
                let second = (first + self.rng.random_range(1..n)) % n;
                let (a, b) = (among[first], among[second]);
                let load = |id| self.load(id, held.table_type, all);
                Some(if load(b) < load(a) { b } else { a })
            }
        }
    }

    /// What a node holds of ours, weighed by how much longer than the fleet its last ones took. Warmth weighs
    /// what it holds, not the next part: tokens ration that, and weighed twice they would be lost unspent.
    pub(super) fn load(&self, id: NodeId, table_type: usize, holders: usize) -> f64 {
        let Some(node) = &self.nodes[id] else { return 0.0 };
        let fault = |s: &Sample| if s.table_type == table_type { self.nearly_all } else { self.median };
        let slower = (self.usual(node, FRESH, fault) / self.median).max(1.0);
        // Where holders are fewer than zones, many segments have none near: hardly a part would be kept from
        // crossing, and ties would lose their choice for nothing.
        let near = node.zone == self.site.zone || holders < self.zones.len();
        let far =
            if near { 1.0 } else { 1.0 + self.site.cross_zone_cost.map_or(FAR, |price| FAR_A_PRICE * price) };
        far * (node.outstanding() / node.warmth(&self.site, self.now) + 1.0) * slower
    }

    /// What dispatches to this node take; a fault comes back soon, and counts for as long as it is said to.
    pub(super) fn usual(&self, node: &Node, targets: f64, fault: impl Fn(&Sample) -> f64) -> f64 {
        let fresh = node.samples.iter().filter(|s| s.at > self.since(targets));
        let zone = self.zone_usual.get(node.zone).copied().unwrap_or(self.median);
        let (took, count) = fresh.fold((zone, 1.0), |(sum, n), s| {
            (sum + s.took.max(if s.fault { fault(s) } else { 0.0 }), n + 1.0)
        });
        took / count
    }
}
