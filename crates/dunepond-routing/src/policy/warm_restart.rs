//! Warm restart: saves and restores the statistics that a process has learned and the budgets that it has
//! spent.
//!
//! All times are ages in seconds, since each process has its own clock. If it is not known how much of a
//! budget was spent, all of it counts as spent.

use std::collections::VecDeque;

use crate::state::{CompletionSample, Ejection, IdleUse, Node, NodeSample, Router};
use crate::{LearnedState, NodeId, SlowStartRecord, SpentBudgets, Transport};

impl Router {
    /// Returns the statistics that this router has learned.
    pub fn learned_state(&mut self, transport: &dyn Transport) -> LearnedState {
        self.sync_clock(transport);
        let now = self.now;
        let baseline = self.latency.baseline;
        LearnedState {
            nodes: self.listed_nodes().map(|(id, node)| node.to_learned(id, now)).collect(),
            latency_samples: self.latency.completions.iter().map(|sample| sample.to_record(now)).collect(),
            idle_uses: self.idle_uses.iter().map(|idle_use| idle_use.to_record(now)).collect(),
            baseline_latency: (baseline < f64::MAX).then_some(baseline),
        }
    }

    /// Restores the statistics that an earlier process learned. A node that was ejected is due a probation
    /// attempt at once, because its fault may be over.
    pub fn restore_learned(&mut self, transport: &mut dyn Transport, learned: &LearnedState) {
        self.sync_clock(transport);
        let now = self.now;
        for learned_node in &learned.nodes {
            let Some(node) = self.node_mut(learned_node.node) else { continue };
            node.samples =
                learned_node.samples.iter().map(|sample| NodeSample::from_learned(sample, now)).collect();
            node.ejection =
                learned_node.ejected.then_some(Ejection { probation_at: now, probation_limit: 1 });
        }
        let completions =
            learned.latency_samples.iter().map(|record| CompletionSample::from_record(record, now));
        self.latency.completions.extend(completions);
        self.idle_uses.extend(learned.idle_uses.iter().map(|record| IdleUse::from_record(record, now)));
        if let Some(baseline) = learned.baseline_latency {
            self.latency.baseline = self.latency.baseline.min(baseline);
        }
        self.measure_latency();
    }

    /// Returns what this router has spent of its budgets: the retries, and the parts sent to nodes in slow
    /// start. Also returns the arrivals of queries and parts, because the retry budget grows with their number.
    pub fn spent_budgets(&mut self, transport: &dyn Transport) -> SpentBudgets {
        self.sync_clock(transport);
        let now = self.now;
        let ages = |times: &VecDeque<f64>| times.iter().map(|at| (now - at).max(0.0)).collect();
        let slow_start_record = |(node, state): (NodeId, &Node)| SlowStartRecord {
            node,
            sent_ago: ages(&state.slow_start_sends),
        };
        SpentBudgets {
            retries: ages(&self.retries.retries_sent),
            arrivals: self.retries.arrived.iter().map(|work| work.to_record(now)).collect(),
            slow_start_sends: self.listed_nodes().map(slow_start_record).collect(),
        }
    }

    /// Counts what an earlier process spent against the budgets of this router. `None` means that it is not
    /// known: all budgets then count as fully spent until now.
    pub fn restore_spent(&mut self, transport: &mut dyn Transport, spent: Option<&SpentBudgets>) {
        self.sync_clock(transport);
        let now = self.now;
        let Some(spent) = spent else {
            self.retries.assumed_spent_until = now;
            return;
        };
        self.retries.retries_sent.extend(spent.retries.iter().map(|ago| now - ago));
        for record in &spent.arrivals {
            self.retries.add_arrived(now - record.ago, record.count);
        }
        for record in &spent.slow_start_sends {
            let Some(node) = self.node_mut(record.node) else { continue };
            if record.sent_ago.is_empty() {
                continue;
            }
            node.slow_start_sends.extend(record.sent_ago.iter().map(|ago| now - ago));
            node.slow_start_tokens.tokens = 0.0;
        }
    }

    /// Returns all known nodes with their ids.
    fn listed_nodes(&self) -> impl Iterator<Item = (NodeId, &Node)> {
        self.nodes.iter().enumerate().filter_map(|(id, node)| Some((id, node.as_ref()?)))
    }
}
