//! Sources that a fill avoids as long as there is another: those from which an attempt has failed, and those that
//! discovery lists as draining or removed. Without this a fill asks the same dead source until its version is withdrawn.

use std::collections::{BTreeMap, BTreeSet};

/// By a fill's id.
#[derive(Default)]
pub struct AvoidedSources(BTreeMap<String, BTreeSet<String>>);

impl AvoidedSources {
    pub fn note_failure(&mut self, id: &str, source: &str) {
        self.0.entry(id.to_string()).or_default().insert(source.to_string());
    }

    /// Only these fills are still wanted.
    pub fn retain(&mut self, wanted: impl Fn(&str) -> bool) {
        self.0.retain(|id, _| wanted(id));
    }

    /// The sources (node and partner) that are left to try. If all that stay have failed, all that stay; if none stays, the
    /// same among those that leave.
    pub fn usable(
        &self,
        id: &str,
        sources: Vec<(String, String)>,
        leaves: impl Fn(&str) -> bool,
    ) -> Vec<(String, String)> {
        let (stay, leave): (Vec<_>, Vec<_>) = sources.into_iter().partition(|(node, _)| !leaves(node));
        let all = if stay.is_empty() { leave } else { stay };
        let Some(failed) = self.0.get(id) else { return all };
        let untried: Vec<_> = all.iter().filter(|(node, _)| !failed.contains(node)).cloned().collect();
        if untried.is_empty() { all } else { untried }
    }
}

#[cfg(test)]
mod tests;
