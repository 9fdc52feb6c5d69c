//! Rules: a scan is held to the stricter of what it began with and what holds now.

use super::*;

impl Router {
    /// Other rules from now on. A budget's window longer than any before it reaches back to what was not
    /// kept: all is taken to be spent then.
    pub fn set_rules(&mut self, rules: &Rules) {
        self.rules = Arc::new(rules.clone());
        let window = rules.retry_budget.as_ref().map_or(0.0, |b| b.window);
        if window > self.window {
            (self.window, self.owes) = (window, self.now);
        }
    }

    /// The greater of what was and what is; all there is where neither says.
    pub(super) fn share(&self, held: &Held, list: impl Fn(&Rules) -> &Vec<f64>) -> f64 {
        let of = |rules| list(rules).get(held.table_type).copied().unwrap_or(1.0);
        of(&held.rules).max(of(&self.rules))
    }

    pub(super) fn dispatch_cap(&self, held: &Held) -> usize {
        if held.audit { 1 } else { held.rules.max_attempts.min(self.rules.max_attempts) }
    }

    /// Both budgets allow one more.
    pub(super) fn in_budget(&self, held: &Held) -> bool {
        let same = Arc::ptr_eq(&held.rules, &self.rules);
        self.allows(&self.rules) && (same || self.allows(&held.rules))
    }
}
