//! Admission: what is turned away as it comes in, by how long it would wait and what it is worth.

use super::*;

impl Router {
    /// How long parts wait at a segment's best holder in service or due a trial: our oldest there or what
    /// its last ones took beyond ease. Where there is none the wait has no end: a scan sent to dead nodes
    /// would only take the others' time. That is no overload: scans of other segments do not feel it.
    pub(super) fn wait_for(&self, piece: &Piece) -> f64 {
        let pause = (2.0 * SILENT + REST) * self.nearly_all;
        let waits = self.holders(piece.seg, piece.only).map(|(_, n)| match (&n.aside, n.outs.first()) {
            _ if self.full(n) => f64::MAX,
            // Until its first trial is met with silence too, it may only have paused: there is time for that.
            (Some(a), _) if self.now - n.heard < pause => (a.again - self.now).max(0.0),
            (Some(a), _) if !self.trial(n, a) => f64::MAX,
            (_, oldest) => {
                // What it did before it was set aside says nothing of its trial.
                let lately = if n.aside.is_some() { 0.0 } else { self.usual(n, LATELY, |_| 0.0) - self.ease };
                // Of a wait that none in its zone told of for as long as itself, only a part sent tells more.
                let told = self.zones[n.zone].back().map_or(0.0, |z| z.1);
                let over = oldest.is_none() && self.now - told > lately;
                oldest.map_or(if over { 0.0 } else { lately }, |o| lately.max(self.now - o.at))
            }
        });
        waits.min_by(f64::total_cmp).unwrap_or(f64::MAX)
    }

    /// The wait ahead of a scan: of as many of its parts as it needs. Blocks differ in how much they are
    /// asked for, so that some holders may drown while the fleet is at ease.
    pub(super) fn wait_ahead(&self, held: &Held) -> f64 {
        let mut waits: Vec<_> = held.step().iter().map(|p| (self.wait_for(p), p.weight)).collect();
        waits.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut weight = 0.0;
        let enough = waits.iter().find(|w| {
            weight += w.1;
            weight >= self.least(held)
        });
        enough.map_or(0.0, |w| w.0)
    }

    /// It turned a part away so lately that it can hardly have worked off what it holds.
    pub(super) fn full(&self, node: &Node) -> bool {
        self.now - node.refused < self.median
    }

    /// Under overload the least benefit goes first: beyond a customer's share, then late, then dear.
    pub(super) fn admit(&mut self, host: &mut dyn Transport, held: &mut Held) -> Pass {
        if held.admitted {
            return Pass::On;
        }
        held.admitted = true;
        if held.outlasts {
            // Elsewhere it may be asked again at once.
            host.reject_retriable(held.id, 0.0);
            return Pass::End;
        }
        let kind = &self.site.query_classes[held.table_type];
        let steps = if kind.second_step { TWO_STEPS } else { 1.0 };
        let ahead = steps * self.wait_ahead(held);
        let likely = self.likely(ahead);
        let late = likely > held.target_at;
        // Its client will not wait for what it asks, or not for anything of worth: sent all the same it would
        // only take the nodes from the others, once for each of the many tries of such a client.
        if likely > held.ends_at || late && kind.late_value_ratio <= 0.0 {
            return self.give_up(host, held);
        }
        let useful = if late { kind.latency_objective } else { held.target_at - self.now };
        let horizon = useful.min(held.ends_at - self.now);
        let parts = held.pieces.len() as f64 * self.share(held, |r| &r.complete_at);
        let work = if self.site.weight_by_work { 1.0 } else { parts };
        let density = kind.priority_weight * if late { kind.late_value_ratio } else { 1.0 } / work;
        keep_last(&mut self.density, density, FLEET_SAMPLES);
        let below = |d: &f64| 0.5 * (f64::from(*d < density) + f64::from(*d <= density));
        let rank = self.density.iter().map(below).sum::<f64>() / self.density.len() as f64;
        let level = (ahead / horizon - PRESSED) / (CRUSHED - PRESSED) + MISSED * self.missing();
        let chance: f64 = self.rng.random();
        let inside = self.inside_share(held.customer);
        if level > 0.0 && (!inside || held.audit || late || 0.5 * (rank + chance) < level) {
            return self.give_up(host, held);
        }
        if inside && let Some(times) = self.within.get_mut(held.customer) {
            times.push_back(self.now);
        }
        Pass::On
    }

    /// At most nodes in service the oldest of ours has waited long: nothing is to go out that need not.
    pub fn is_overloaded(&self) -> bool {
        let late = PRESSED * self.shortest_target;
        let waits = |n: &Node| n.outs.first().is_some_and(|o| self.now - o.at > late);
        let serving = self.nodes.iter().flatten().filter(|n| n.aside.is_none());
        let (late, all) = serving.fold((0, 0), |(late, all), n| (late + usize::from(waits(n)), all + 1));
        2 * late > all
    }

    /// The share of our last scans that missed their target: who meets each holder seldom reckons its wait
    /// from the fleet's median, and what is admitted by that comes too late.
    pub(super) fn missing(&self) -> f64 {
        let lately = self.missed.iter().filter(|m| m.0 > self.since(LATELY));
        let (past, all) = lately.fold((0.0, FEW), |(past, all), m| (past + f64::from(m.1), all + 1.0));
        past / all
    }

    /// When it will likely be through, where so much is ahead of it.
    pub(super) fn likely(&self, ahead: f64) -> f64 {
        self.now + ahead + 1.5 * self.ease.min(self.median)
    }

    /// Our part of a customer's share, over the longest target time, is not used up yet.
    pub(super) fn inside_share(&mut self, customer: usize) -> bool {
        let (Some(quota), Some(times)) = (self.site.quotas.get(customer), self.within.get_mut(customer))
        else {
            return true;
        };
        let span = self.longest_target;
        times.drain(..times.partition_point(|t| *t < self.now - span));
        let part = self.limits.quotas.get(customer).copied().flatten();
        (times.len() as f64) < part.map_or(quota * span / self.site.broker_count, |part| quota * span * part)
    }
}
