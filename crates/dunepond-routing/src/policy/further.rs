//! Further dispatches: retries of what has failed, copies of what is late, and their budget.

use super::*;

impl Router {
    /// Retries of what has failed, and second copies of what will not come in time.
    pub(super) fn further(&mut self, host: &mut dyn Transport, held: &mut Held) -> Pass {
        let kind = &self.site.query_classes[held.table_type];
        let (need, target) = (self.need(held), kind.latency_objective);
        let late = (1.25 * self.nearly_all.min(3.0 * self.median)).max(0.4 * target);
        // Where all take longer, and that is no trifle, a copy of what is late would only make more late.
        let crowded = self.median > CROWDED * self.ease.max(0.05 * target);
        let late = if crowded { f64::MAX } else { late };
        // Most nodes that seem silent have a queue: no copy goes before nearly all would have answered.
        let overdue = |b: &Router, s: &Shot| s.at + if b.aside(s.node) { b.nearly_all } else { late };
        let well = |b: &Router, p: &Piece| p.done || p.out().any(|s| b.now < overdue(b, s));
        let allowed = held.rules.hedging_enabled && self.rules.hedging_enabled;
        let copies =
            kind.idempotency == Idempotency::Idempotent && allowed && held.weight(|p| well(self, p)) < need;
        // What could not go now is tried again, the more seldom the longer it has waited.
        let later = self.now + (5.0 * self.site.tick).max((self.now - held.came) / 32.0);
        for part in held.step_from..held.pieces.len() {
            let piece = &held.pieces[part];
            let out = piece.out().count();
            if !piece.done && out < 2 {
                let overdue = piece.out().map(|s| overdue(self, s)).find(|at| *at > self.now);
                held.due = held.due.min(overdue.unwrap_or(later));
            }
            let due = out == 0 && !piece.shots.is_empty() || out == 1 && copies && !well(self, piece);
            let drowned =
                || self.wait_for(piece) > PRESSED * target && !piece.out().any(|s| self.aside(s.node));
            if !due || !self.may_go(held, piece) || !self.noted(self.in_budget(held)) || out == 1 && drowned()
            {
                continue;
            }
            if let Some(node) = self.place(held, part, f64::MIN) {
                self.again.push_back(self.now);
                self.dispatch(host, held, part, node);
            }
        }
        Pass::Keep
    }

    pub(super) fn aside(&self, node: NodeId) -> bool {
        self.nodes[node].as_ref().is_some_and(|n| n.aside.is_some())
    }

    pub(super) fn count(&mut self, at: f64, scans_and_parts: f64) {
        let before = self.taken.back().map_or(0.0, |t| t.1 + t.2);
        self.taken.push_back((at, scans_and_parts, before));
    }

    /// Counts what was taken, and forgets what no budget reaches back to.
    pub(super) fn take(&mut self, scans_and_parts: f64) {
        let since = self.now - self.window - self.site.tick;
        self.again.drain(..self.again.partition_point(|t| *t < since));
        self.count(self.now, scans_and_parts);
        self.taken.drain(..self.taken.partition_point(|t| t.0 < since));
    }

    /// Reckoned over a window a tick too long for what we made and a tick too short for what we took.
    pub(super) fn allows(&self, rules: &Rules) -> bool {
        let Some(budget) = &rules.retry_budget else { return true };
        let (long, short) =
            (self.now - budget.window - self.site.tick, self.now - budget.window + self.site.tick);
        let made = self.again.len() - self.again.partition_point(|t| *t < long);
        let since = self.taken.partition_point(|t| t.0 < short);
        let taken = self.taken.get(since).zip(self.taken.back()).map_or(0.0, |(a, z)| z.1 + z.2 - a.2);
        let free = self
            .limits
            .retries
            .map_or(budget.min_retries, |part| part * budget.min_retries * self.site.broker_count);
        self.owes < long && made as f64 + 1.0 <= free + budget.ratio * taken
    }
}
