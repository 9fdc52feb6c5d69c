//! Slow start: how much a node is sent while its capacity grows after a start.
//!
//! Inputs: the node's start (an instant), its stated initial capacity and warm-up time (seconds), the stated
//! multiple of its capacity and the span over which it is counted (seconds), and completions at warm nodes.
//! Each node in slow start has a token bucket, filled by what one warm node completes for this broker.
//! Completions are counted rather than turned into a rate, so that the tokens of all brokers add up to what a
//! warm node did, even if brokers are young or unequally loaded.

use rand::RngExt;

use crate::state::{InFlightQuery, Node, Router, TokenBucket};
use crate::{Deployment, EndpointState, NodeId};

/// Unspent tokens are capped at this multiple of the root of our tokens in a span (the burst that a node can
/// absorb) or this share of them, whichever is more: all brokers may spend them at the same moment.
const BURST_ROOT_RATIO: f64 = 2.0;
const BURST_SPAN_RATIO: f64 = 0.5;

impl Node {
    /// Share of its full capacity that the node has at least; 1 if it is warm.
    pub(super) fn slow_start_weight(&self, deployment: &Deployment, now: f64) -> f64 {
        let slow_start = &deployment.slow_start;
        let aged = ((now - self.started_at) / slow_start.duration).clamp(0.0, 1.0);
        slow_start.initial_capacity_ratio + (1.0 - slow_start.initial_capacity_ratio) * aged
    }
}

impl Router {
    fn is_warm(&self, node: &Node) -> bool {
        node.slow_start_weight(&self.deployment, self.now) >= 1.0
    }

    /// Counts the warm nodes. Called with each update of the list: completions before the first wake would
    /// otherwise be attributed to a single node.
    pub(super) fn count_warm_nodes(&mut self) {
        let active = self.nodes.iter().flatten().filter(|node| node.state == EndpointState::Active);
        self.latency.warm_nodes = active.filter(|node| self.is_warm(node)).count().max(1);
    }

    /// Parts that a warm node completes for this broker per second, as of now: the rate of the last wake
    /// would outlive the rush it was measured in.
    pub(super) fn completion_rate(&self) -> f64 {
        let completions = &self.latency.completions;
        let since = completions.front().map_or(0.0, |first| first.at);
        let per_node: f64 = completions.iter().map(|sample| sample.node_share).sum();
        per_node / (self.now - since).max(self.deployment.tick)
    }

    /// Whether the node is warm or a token is left for it. All brokers together may be one part ahead.
    pub(super) fn has_slow_start_budget(&self, node: &Node, query: &InFlightQuery) -> bool {
        if self.is_warm(node) {
            return true;
        }
        let span = self.deployment.slow_start.window;
        if self.now - self.retries.charged_until < span + self.deployment.tick {
            return false;
        }
        let ahead =
            if self.quota_shares.slow_start.is_some() { 0.0 } else { 1.0 / self.deployment.broker_count };
        self.slow_start_tokens(node, query) + ahead >= 1.0
    }

    /// Tokens in a node's bucket now.
    fn slow_start_tokens(&self, node: &Node, query: &InFlightQuery) -> f64 {
        let bucket = node.slow_start_tokens;
        let elapsed = self.now - bucket.at;
        let (rate, completed) = match self.quota_shares.slow_start {
            Some(rate) => (rate, rate * elapsed),
            None => (self.completion_rate(), self.completed_since(bucket, elapsed)),
        };
        let mean_weight = node.slow_start_weight(&self.deployment, self.now - 0.5 * elapsed);
        let bears = self.slow_start_multiple(query) * mean_weight;
        let per_span = bears * self.deployment.slow_start.window * rate;
        (bucket.tokens + bears * completed).min(self.max_unspent_tokens(per_span))
    }

    fn completed_since(&self, bucket: TokenBucket, elapsed: f64) -> f64 {
        let counted = self.latency.completed_per_node - bucket.completed_per_node;
        counted.max(elapsed / (self.latency.median * self.deployment.broker_count))
    }

    /// Cap on unspent tokens; at least one, or a node could never be sent anything. A query of many parts
    /// needs several at once.
    fn max_unspent_tokens(&self, per_span: f64) -> f64 {
        let burst = BURST_ROOT_RATIO * (per_span / self.deployment.broker_count).sqrt();
        burst.max(BURST_SPAN_RATIO * per_span).max(1.0)
    }

    /// Token bucket of a node when it is listed. It starts with a random fraction of a token: if less than
    /// one part is due to this broker, only some brokers send one.
    pub(super) fn initial_slow_start_tokens(&mut self, started_at: f64) -> TokenBucket {
        let is_cold = self.now - started_at < self.deployment.slow_start.duration;
        let tokens = if is_cold { self.rng.random() } else { 0.0 };
        TokenBucket { tokens, completed_per_node: self.latency.completed_per_node, at: self.now }
    }

    /// Takes the token for a part that was just sent to a node in slow start.
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
