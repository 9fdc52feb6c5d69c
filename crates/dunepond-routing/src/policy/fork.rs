//! Fork: sends each part once, after probes where holders are in doubt.

use super::*;

impl Piece {
    pub(super) fn cancel(&self, host: &mut dyn Transport, site: &Deployment, scan: QueryId, part: usize) {
        let out = self.shots.iter().enumerate().filter(|(_, s)| site.may_cancel && s.end.is_none());
        out.for_each(|(shot, _)| host.cancel_attempt(scan, part, shot));
    }
}

impl Router {
    pub(super) fn fork(&mut self, host: &mut dyn Transport, held: &mut Held) -> Pass {
        if held.waits {
            return Pass::Keep;
        }
        if held.asked.is_none() && !held.once && self.in_doubt() {
            held.asked = Some(self.now);
            let holders = held
                .step()
                .iter()
                .flat_map(|p| self.holders(p.seg, p.only))
                .filter(|(_, n)| n.aside.is_none());
            let ids: BTreeSet<NodeId> = holders.map(|h| h.0).collect();
            ids.into_iter().for_each(|id| host.probe(id));
        }
        if held.asked.is_some_and(|at| at > f64::MIN) && !self.asking(held) {
            held.asked = Some(f64::MIN);
            // Too few of its holders are free at this moment; sent all the same it would be late, and the
            // next ones too.
            if !held.second && held.weight(|p| !p.shots.is_empty()) < FREE * self.need(held) {
                return self.give_up(host, held);
            }
        }
        let since = held.asked.filter(|_| self.asking(held)).unwrap_or(f64::MIN);
        for part in held.step_from..held.pieces.len() {
            if !held.pieces[part].left
                && held.pieces[part].shots.is_empty()
                && !held.spent
                && let Some(node) = self.place(held, part, since)
            {
                self.dispatch(host, held, part, node);
            }
        }
        // It passes once, as it comes in: what found no node now never will, and that may end the scan.
        if held.once && !std::mem::replace(&mut held.spent, true) {
            return self.tally(host, held);
        }
        Pass::On
    }

    /// Holders differ far more than at ease, and we meet each too seldom to tell them apart by what we have
    /// out there. A burst is not to be multiplied by probes, and probes that nearly all nodes answer at once
    /// see no queue and tell nothing.
    pub(super) fn in_doubt(&self) -> bool {
        let differ = self.nearly_all > DOUBT * self.ease;
        let met_seldom = self.seen * LATELY * self.longest_target < 1.0;
        if !self.site.may_probe || !differ || !met_seldom || self.scans.len() >= FLEET_SAMPLES {
            return false;
        }
        let lately = self.probes.iter().filter(|p| p.0 > self.since(FRESH));
        let (asked, told) = lately.fold((0, 0), |(n, told), p| (n + 1, told + usize::from(p.1)));
        asked < NODE_SAMPLES || told * NODE_SAMPLES > asked
    }

    /// Its parts wait for the first of their holders that answers a probe.
    pub(super) fn asking(&self, held: &Held) -> bool {
        held.asked.is_some_and(|at| self.now - at < ASKED * self.ease)
    }

    pub(super) fn dispatch(&mut self, host: &mut dyn Transport, held: &mut Held, part: usize, node: NodeId) {
        let mut idle =
            self.nodes[node].as_ref().filter(|n| n.outs.is_empty()).map_or(0.0, |n| self.now - n.used);
        if self.stale(idle) {
            host.close_idle_connections(node);
            idle = 0.0;
        }
        host.send_attempt(held.id, part, node);
        let left = self.nodes[node].as_ref().map_or(0.0, |n| self.tokens(n, held) - 1.0);
        let shots = &mut held.pieces[part].shots;
        shots.push(Shot { node, at: self.now, end: None });
        if let Some(n) = &mut self.nodes[node] {
            let (scan, table_type, shot) = (held.id, held.table_type, shots.len() - 1);
            n.outs.push(Out { scan, table_type, part, shot, at: self.now, idle, framed: !held.long });
            n.used = self.now;
            if n.warmth(&self.site, self.now) < 1.0 {
                n.tokens = Tokens { left, done: self.done, at: self.now };
                n.sent_cold.push_back(self.now);
                n.sent_cold.retain(|t| *t >= self.now - self.site.slow_start.duration);
            }
        }
    }

    /// Connections left idle for so long have been found broken, two of the last eight: something on the way
    /// drops them unseen. A new one costs less than a part lost; yet some break for other causes.
    pub(super) fn stale(&self, idle: f64) -> bool {
        let broke = self.reaped.iter().filter(|r| r.2 && r.0 > self.since(2.0 * FRESH) && idle > 0.5 * r.1);
        broke.count() >= FAULTS
    }
}
