//! From where a fill is not to be taken: a source from which a try has failed, or that discovery says is to be left, as
//! long as there is another. Without this a fill asks the same dead source until its version is withdrawn.

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

    /// Of a need's sources, node and partner, those that are left to try. Where none is, all of those that stay, else all.
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
