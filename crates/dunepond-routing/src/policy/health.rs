//! Health: what an end tells of its node, and of the fleet.

use super::*;

impl Aside {
    pub(super) fn rest(now: f64, nearly_all: f64) -> Self {
        Self { again: now + REST * nearly_all, room: 1 }
    }
}

impl Node {
    pub(super) fn fails(&self, table_type: usize, since: f64) -> bool {
        let faults = self.samples.iter().filter(|s| s.fault && s.sent > since);
        faults.filter(|s| s.table_type == table_type).count() >= FAULTS
    }

    /// Some table type has only gone well: the one that fails keeps away by itself, the others need the node.
    pub(super) fn serves_others(&self) -> bool {
        let failed = |t: usize| self.samples.iter().any(|s| s.fault && s.table_type == t);
        self.samples.iter().any(|s| s.served && !failed(s.table_type))
    }

    pub(super) fn silent(&self, now: f64) -> f64 {
        let owed = self.outs.iter().find(|o| o.framed);
        owed.map_or(0.0, |oldest| now - oldest.at.max(self.heard))
    }
}

impl Router {
    /// What dispatches take, from the fleet's last samples; before there are any, a small part of the
    /// shortest target time.
    pub(super) fn measure(&mut self) {
        let mut sorted: Vec<f64> =
            self.fleet.iter().filter(|f| f.1 > self.since(LATELY)).map(|f| f.0).collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let usual = |q: f64| match sorted.len() < NODE_SAMPLES {
            true => 0.4 * q * self.shortest_target,
            false => sorted[(sorted.len() as f64 * q) as usize],
        };
        let median = usual(0.5).max(self.site.tick);
        if sorted.len() >= 2 * NODE_SAMPLES {
            self.ease = self.ease.min(median);
        }
        (self.median, self.nearly_all) = (median, usual(0.95).max(median));
        let zones = self.zones.iter().map(|zone| {
            let mut took: Vec<_> = zone.iter().filter(|z| z.1 > self.since(FRESH)).map(|z| z.0).collect();
            took.sort_unstable_by(f64::total_cmp);
            let usual = took.get(took.len() / 2).copied().filter(|_| took.len() >= NODE_SAMPLES / 2);
            usual.filter(|usual| *usual > SLOW * median).unwrap_or(median)
        });
        self.zone_usual = zones.collect();
    }

    pub(super) fn trial(&self, node: &Node, aside: &Aside) -> bool {
        self.now >= aside.again && node.outs.iter().filter(|o| o.at >= aside.again).count() < aside.room
    }

    pub(super) fn health(&mut self, host: &mut dyn Transport, ended: &AttemptEnded) {
        let (median, nearly_all) = (self.median, self.nearly_all);
        let Some(node) = self.nodes.get_mut(ended.node).and_then(Option::as_mut) else { return };
        let sent = |o: &Out| (o.scan, o.part, o.shot) == (ended.query, ended.part, ended.attempt);
        let Some(out) = node.outs.iter().position(sent).map(|at| node.outs.remove(at)) else { return };
        let (now, took, served) = (self.now, self.now - out.at, ended.outcome == AttemptOutcome::Served);
        let (table_type, sent) = (out.table_type, out.at);
        node.used = now;
        let again = node.samples.back().is_some_and(|s| s.fault && s.at == now);
        let mut withdrawn = false;
        match ended.outcome {
            // A frame that was still on its way tells nothing of the node.
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut if !out.framed => return,
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => {
                // Some nodes answer a part of what they take and swallow the rest, so that they are never
                // silent for long. What later ones overtook, and nobody answered for so long, is lost.
                let overtaken = node.samples.iter().filter(|s| s.sent > out.at).count() >= OVERTAKEN;
                withdrawn = !overtaken || took < SILENT * nearly_all;
                if withdrawn {
                    // A trial that a copy overtook has shown nothing: the next waits its time as after
                    // silence, or a node that hangs would get one each time that a copy is back.
                    if let Some(aside) = node.aside.as_mut().filter(|aside| out.at >= aside.again) {
                        *aside = Aside::rest(now, nearly_all);
                    }
                    // Whether the node still works on it is told nowhere.
                    node.ghosts.push(out.at + median);
                    if took <= SLOW * median {
                        return;
                    }
                }
            }
            // It answers at once and looks idle; asked again it would eat the part's dispatches. Who meets it
            // seldom comes back when that is long over: that its queue is full is kept as a sample.
            AttemptOutcome::Rejected => {
                (node.refused, node.heard) = (now, now);
                let full =
                    Sample { table_type, sent, took: nearly_all, at: now, served: false, fault: false };
                return keep_last(&mut node.samples, full, NODE_SAMPLES);
            }
            AttemptOutcome::NotSent => return,
            // Broken at once on a connection that lay idle: that is no fault of the node, which has not even
            // seen it. A crash breaks what is out at any time.
            AttemptOutcome::ConnectionLost if out.idle > median && took < PROMPT * self.site.tick => {
                return keep_last(&mut self.reaped, (now, out.idle, true), NODE_SAMPLES);
            }
            // What one connection takes with it is one fault, however many parts were out on it.
            AttemptOutcome::ConnectionLost | AttemptOutcome::ConnectFailed if again => return,
            AttemptOutcome::Served | AttemptOutcome::Error => node.heard = now,
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost => {}
        }
        let warmth = node.warmth(&self.site, self.now);
        let took = took * warmth;
        // A cold node speaks for no other: it may be quicker than the least it must be, and what seemed
        // usual then would widen the room of all cold nodes.
        if served && warmth >= 1.0 {
            keep_last(&mut self.fleet, (took, self.now, 1.0 / self.warm as f64), FLEET_SAMPLES);
            self.done += 1.0 / self.warm as f64;
        }
        let sample = Sample { table_type, sent, took, at: now, served, fault: !served && !withdrawn };
        keep_last(&mut node.samples, sample, NODE_SAMPLES);
        keep_last(&mut self.zones[node.zone], (took, self.now), 2 * NODE_SAMPLES);
        if withdrawn {
            return;
        }
        if served && self.reaped.iter().any(|r| out.idle > 0.5 * r.1) {
            keep_last(&mut self.reaped, (now, out.idle, false), NODE_SAMPLES);
        }
        if let Some(aside) = &mut node.aside {
            if served && took <= SLOW * median {
                aside.room *= 2;
                if aside.room > TRICKLE_END {
                    node.aside = None;
                    node.samples.clear();
                    host.log(&format!("node {} is back in service", ended.node));
                }
            } else {
                *aside = Aside::rest(self.now, nearly_all);
            }
        }
        self.measure();
        self.judge(host, ended.node);
    }

    /// Sets a node aside by its symptoms.
    pub(super) fn judge(&mut self, host: &mut dyn Transport, id: NodeId) {
        let (now, silence) = (self.now, SILENT * self.nearly_all);
        let Some(node) = self.nodes[id].as_mut() else { return };
        node.ghosts.retain(|until| *until > now);
        if let Some(aside) = &mut node.aside {
            if node.outs.iter().any(|o| o.framed && o.at >= aside.again && now - o.at > silence) {
                *aside = Aside::rest(now, self.nearly_all);
                host.close_idle_connections(id);
            }
            return;
        }
        let silent = node.silent(now) * node.warmth(&self.site, now) > silence;
        let faults = node.samples.iter().filter(|s| s.fault).count() >= FAULTS && !node.serves_others();
        if !silent && !faults {
            return;
        }
        let why = if silent { "it is silent" } else { "it fails what it is given" };
        node.aside = Some(Aside::rest(now, self.nearly_all));
        // It may be only a connection that fell silent: a trial on that would tell nothing of the node.
        host.close_idle_connections(id);
        for out in &node.outs {
            self.scans.get_mut(&out.scan).into_iter().for_each(|held| held.due = now);
        }
        host.log(&format!("node {id} is set aside: {why}"));
    }

    pub(super) fn returned(&mut self, host: &mut dyn Transport, ended: &AttemptEnded) {
        let Some(held) = self.scans.get_mut(&ended.query) else { return };
        let piece = &mut held.pieces[ended.part];
        piece.shots[ended.attempt].end = Some(ended.outcome);
        if ended.outcome == AttemptOutcome::Served && !piece.done {
            piece.done = true;
            piece.cancel(host, &self.site, ended.query, ended.part);
        }
        self.pass(host, ended.query);
    }
}
