//! What one process learned and spent, for the one that comes after it.

use super::*;

impl Router {
    /// What has been learned, in ages: of use to a process that comes after this one.
    pub fn learned_state(&mut self, host: &dyn Transport) -> LearnedState {
        self.hear(host);
        let ago = |at: f64| (self.now - at).max(0.0);
        let sample = |s: &Sample| s.aged(self.now);
        let listed = self.nodes.iter().enumerate().filter_map(|(id, n)| Some((id, n.as_ref()?)));
        let belief = |(node, n): (NodeId, &Node)| LearnedNode {
            node,
            ejected: n.aside.is_some(),
            samples: n.samples.iter().map(sample).collect(),
        };
        LearnedState {
            nodes: listed.map(belief).collect(),
            latency_samples: self.fleet.iter().map(|f| (f.0, ago(f.1), f.2)).collect(),
            idle_resets: self.reaped.iter().map(|r| (ago(r.0), r.1, r.2)).collect(),
            baseline_latency: Some(self.ease).filter(|ease| *ease < f64::MAX),
        }
    }

    /// What an earlier process learned, as far as it still holds. A node that was set aside is due its trial
    /// at once: that it failed was true then, and is found out now.
    pub fn restore_learned(&mut self, host: &mut dyn Transport, beliefs: &LearnedState) {
        self.hear(host);
        let now = self.now;
        for belief in &beliefs.nodes {
            let Some(node) = self.nodes.get_mut(belief.node).and_then(Option::as_mut) else { continue };
            node.samples = belief.samples.iter().map(|s| Sample::dated(s, now)).collect();
            node.aside = belief.ejected.then_some(Aside { again: now, room: 1 });
        }
        self.fleet.extend(beliefs.latency_samples.iter().map(|f| (f.0, now - f.1, f.2)));
        self.reaped.extend(beliefs.idle_resets.iter().map(|r| (now - r.0, r.1, r.2)));
        self.ease = self.ease.min(beliefs.baseline_latency.unwrap_or(f64::MAX));
        self.measure();
    }

    /// What has been spent of the budget and of cold nodes' room, and what it was measured against.
    pub fn spent_budgets(&mut self, host: &dyn Transport) -> SpentBudgets {
        self.hear(host);
        let ago = |at: &f64| (self.now - at).max(0.0);
        let cold = self.nodes.iter().enumerate().filter_map(|(id, n)| Some((id, &n.as_ref()?.sent_cold)));
        SpentBudgets {
            retries: self.again.iter().map(ago).collect(),
            admissions: self.taken.iter().map(|(at, count, _)| (ago(at), *count)).collect(),
            slow_start_sends: cold.map(|(id, at)| (id, at.iter().map(ago).collect())).collect(),
        }
    }

    /// What an earlier process spent; nothing where that is not known, and then it was all.
    pub fn restore_spent(&mut self, host: &mut dyn Transport, spent: Option<&SpentBudgets>) {
        self.hear(host);
        let Some(spent) = spent else { return self.owes = self.now };
        self.again.extend(spent.retries.iter().map(|ago| self.now - ago));
        spent.admissions.iter().for_each(|(ago, count)| self.count(self.now - ago, *count));
        for (id, times) in &spent.slow_start_sends {
            let node = self.nodes.get_mut(*id).and_then(Option::as_mut);
            for n in node.into_iter().filter(|_| !times.is_empty()) {
                n.sent_cold.extend(times.iter().map(|ago| self.now - ago));
                n.tokens.left = 0.0;
            }
        }
    }
}
