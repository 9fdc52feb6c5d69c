//! Cold: what a node that has just started is spared.

use super::*;

impl Node {
    /// What part of its capacity a node that started lately has at least.
    pub(super) fn warmth(&self, site: &Deployment, now: f64) -> f64 {
        let aged = ((now - self.started) / site.slow_start.duration).clamp(0.0, 1.0);
        site.slow_start.initial_capacity_ratio + (1.0 - site.slow_start.initial_capacity_ratio) * aged
    }
}

impl Router {
    /// Counted with each word of the list, not at wakes alone: what came back before the first of them would
    /// be taken for what one node does.
    pub(super) fn count_warm(&mut self) {
        let listed = self.nodes.iter().flatten().filter(|n| n.standing == EndpointState::Active);
        self.warm = listed.filter(|n| n.warmth(&self.site, self.now) >= 1.0).count().max(1);
    }

    /// What a warm node completes for us each second, at this moment: as of the last wake it would stay what
    /// it was in the last rush. Counted over a whole span at least, or since our start, new brokers would
    /// send new nodes next to nothing while the old ones are full.
    pub(crate) fn completes(&self) -> f64 {
        let since = self.fleet.front().map_or(0.0, |f| f.1);
        self.fleet.iter().map(|f| f.2).sum::<f64>() / (self.now - since).max(self.site.tick)
    }

    /// A token of ours is left for a cold node; all brokers together may be one part ahead of theirs.
    pub(super) fn has_cold_room(&self, node: &Node, held: &Held) -> bool {
        let warmth = node.warmth(&self.site, self.now);
        if warmth >= 1.0 || self.now - self.owes < self.site.slow_start.window + self.site.tick {
            return warmth >= 1.0;
        }
        self.tokens(node, held) + self.limits.slow_start.map_or(1.0 / self.site.broker_count, |_| 0.0) >= 1.0
    }

    /// A cold node's bucket is filled by what a warm one completes for us meanwhile, counted over all that
    /// are listed and warm, as those that we met often are no fair sample. Completions are counted and no
    /// rate is taken: so the tokens of all brokers add up to what a warm node did, however unequal and young
    /// they are. In quiet times that is too little to go by: a warm node takes at least one part after the
    /// other, and their times are shared evenly.
    ///
    /// What is not spent is kept up to one, to our part of what a fall allows over the rule, or to half of
    /// our part of a span: all brokers may spend it at the same moment, and a scan of many parts asks for
    /// several. The first token is begun by chance: where less than one part is ours, it says how many send.
    pub(super) fn tokens(&self, node: &Node, held: &Held) -> f64 {
        let Tokens { left, done, at } = node.tokens;
        let (past, brokers, cold) = (self.now - at, self.site.broker_count, &self.site.slow_start);
        let served = (self.done - done).max(past / (self.median * brokers));
        let (rate, served) = self.limits.slow_start.map_or((self.completes(), served), |r| (r, r * past));
        let multiple = held.rules.slow_start_multiple.min(self.rules.slow_start_multiple);
        let bears = multiple * node.warmth(&self.site, self.now - 0.5 * past);
        let part = bears * cold.window * rate;
        let most = (2.0 * (part / brokers).sqrt()).max(0.5 * part);
        (left + bears * served).min(most.max(1.0))
    }
}
