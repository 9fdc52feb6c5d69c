//! Slow start: limits the parts that a node is sent while its capacity grows after a start.
//!
//! Inputs: the node's start (an instant), its stated initial capacity and warm-up time (seconds), the stated
//! multiple of its capacity and the window over which parts are counted (seconds), and completions at warm
//! nodes. Each node in slow start has a token bucket, which is filled in proportion to the parts that one warm
//! node completes for this broker. Completions are counted rather than converted to a rate, so that the tokens
//! of all brokers add up to the completions of a warm node, even if brokers have just started or are unequally
//! loaded.

use rand::RngExt;

use crate::state::{InFlightQuery, Node, Router, TokenBucket};
use crate::{Deployment, EndpointState, NodeId};

/// Cap on the unspent tokens that this broker has for a node, as a multiple of `sqrt(N) / broker_count`,
/// where N is the number of tokens that all brokers together get for the node in a window
/// ([`SlowStart::window`](crate::SlowStart::window)). Unspent tokens are capped because all brokers may spend
/// them at the same time: `N + 2 sqrt(N) + 2` parts or more in a window overload the node. The greater of
/// this cap and that of [`BURST_WINDOW_RATIO`] applies.
const BURST_ROOT_RATIO: f64 = 2.0;
/// Cap on the unspent tokens that this broker has for a node, as a ratio of the tokens that it gets in a
/// window ([`SlowStart::window`](crate::SlowStart::window)). The greater of this cap and that of
/// [`BURST_ROOT_RATIO`] applies.
const BURST_WINDOW_RATIO: f64 = 0.5;

impl Node {
    /// Returns the lowest capacity that the node is expected to have, as a ratio of its full capacity; 1 if
    /// the node is warm (past its slow start).
    pub(super) fn slow_start_weight(&self, deployment: &Deployment, now: f64) -> f64 {
        let slow_start = &deployment.slow_start;
        let age_ratio = ((now - self.started_at) / slow_start.duration).clamp(0.0, 1.0);
        slow_start.initial_capacity_ratio + (1.0 - slow_start.initial_capacity_ratio) * age_ratio
    }
}

impl Router {
    /// Returns whether the node has its full capacity.
    fn is_warm(&self, node: &Node) -> bool {
        node.slow_start_weight(&self.deployment, self.now) >= 1.0
    }

    /// Counts the warm nodes. Called with each update of the endpoint list, not only by [`Router::on_wake`],
    /// because completions before the first call of `on_wake` would otherwise be attributed to a single node.
    pub(super) fn count_warm_nodes(&mut self) {
        let active = self.nodes.iter().flatten().filter(|node| node.state == EndpointState::Active);
        self.latency.warm_nodes = active.filter(|node| self.is_warm(node)).count().max(1);
    }

    /// Returns the parts per second that a warm node completes for this broker, computed now, because the
    /// rate at the last call of [`Router::on_wake`] could still include a burst that is over. The average is
    /// taken from the oldest kept completion on, not over a fixed window or since the broker's start: brokers
    /// that have just started would otherwise send almost nothing to nodes that have just started, while the
    /// old nodes are full.
    pub(super) fn completion_rate(&self) -> f64 {
        let completions = &self.latency.completions;
        let since = completions.front().map_or(0.0, |first| first.at);
        let per_node: f64 = completions.iter().map(|sample| sample.node_share).sum();
        per_node / (self.now - since).max(self.deployment.tick)
    }

    /// Returns whether the node is warm or a token is left for it. All brokers together may send one part more
    /// than the tokens allow, unless this broker has been given a share
    /// ([`QuotaShares::slow_start`](crate::QuotaShares::slow_start)).
    pub(super) fn has_slow_start_budget(&self, node: &Node, query: &InFlightQuery) -> bool {
        if self.is_warm(node) {
            return true;
        }
        let window = self.deployment.slow_start.window;
        if self.now - self.retries.assumed_spent_until < window + self.deployment.tick {
            return false;
        }
        let allowance =
            if self.quota_shares.slow_start.is_some() { 0.0 } else { 1.0 / self.deployment.broker_count };
        self.slow_start_tokens(node, query) + allowance >= 1.0
    }

    /// Returns the number of tokens in a node's bucket now.
    fn slow_start_tokens(&self, node: &Node, query: &InFlightQuery) -> f64 {
        let bucket = node.slow_start_tokens;
        let elapsed = self.now - bucket.at;
        let (rate, completed) = match self.quota_shares.slow_start {
            Some(rate) => (rate, rate * elapsed),
            None => (self.completion_rate(), self.completed_since(bucket, elapsed)),
        };
        let mean_weight = node.slow_start_weight(&self.deployment, self.now - 0.5 * elapsed);
        let multiple = self.slow_start_multiple(query) * mean_weight;
        let per_window = multiple * self.deployment.slow_start.window * rate;
        (bucket.tokens + multiple * completed).min(self.max_unspent_tokens(per_window))
    }

    /// Returns the number of parts that a warm node has completed for this broker since the bucket was last
    /// updated, averaged over all listed warm nodes: the nodes to which this broker often sends are not
    /// representative. Completions are counted, rather than a rate multiplied by time, so that the tokens of
    /// all brokers add up to what a warm node did, even if brokers have just started or are unequally loaded.
    /// The result is at least `elapsed` divided by the median latency and the number of brokers, because in
    /// quiet times there are too few completions: a warm node can serve at least one part per median latency,
    /// and this capacity is divided evenly among the brokers.
    fn completed_since(&self, bucket: TokenBucket, elapsed: f64) -> f64 {
        let completed = self.latency.completed_per_node - bucket.completed_per_node;
        completed.max(elapsed / (self.latency.median * self.deployment.broker_count))
    }

    /// Returns the cap on a node's unspent tokens, given this broker's tokens in a window. It is at least 1,
    /// because the node could otherwise never be sent a part. It may be more, because a query of many parts
    /// needs several tokens at once.
    fn max_unspent_tokens(&self, per_window: f64) -> f64 {
        let burst = BURST_ROOT_RATIO * (per_window / self.deployment.broker_count).sqrt();
        burst.max(BURST_WINDOW_RATIO * per_window).max(1.0)
    }

    /// Returns the initial token bucket of a node that is listed for the first time or has restarted. For a
    /// node in slow start it contains a random fraction of a token, so that if each broker's share is less
    /// than one part, only some brokers send a part at first.
    pub(super) fn initial_slow_start_tokens(&mut self, started_at: f64) -> TokenBucket {
        let is_cold = self.now - started_at < self.deployment.slow_start.duration;
        let tokens = if is_cold { self.rng.random() } else { 0.0 };
        TokenBucket { tokens, completed_per_node: self.latency.completed_per_node, at: self.now }
    }

    /// Takes a token for a part that was just sent, if the node is in slow start.
    pub(super) fn take_slow_start_token(&mut self, query: &InFlightQuery, id: NodeId) {
        let Some(node) = &self.nodes[id] else { return };
        if self.is_warm(node) {
            return;
        }
        let tokens = self.slow_start_tokens(node, query) - 1.0;
        let bucket =
            TokenBucket { tokens, completed_per_node: self.latency.completed_per_node, at: self.now };
        let (now, since) = (self.now, self.now - self.deployment.slow_start.duration);
        let Some(node) = self.node_mut(id) else { return };
        node.slow_start_tokens = bucket;
        node.slow_start_sends.push_back(now);
        node.slow_start_sends.retain(|sent_at| *sent_at >= since);
    }
}
