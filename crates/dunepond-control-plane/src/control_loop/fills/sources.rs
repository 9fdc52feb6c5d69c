//! Sources that a fill avoids as long as there is another: those from which an attempt has failed, and those that
//! discovery lists as draining. Without this a fill asks the same dead source until its version is withdrawn.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_settlement::FillSource;

/// Sources from which attempts have failed, by a fill's id.
#[derive(Default)]
pub struct AvoidedSources(BTreeMap<String, BTreeSet<String>>);

impl AvoidedSources {
    /// An attempt from this source has failed.
    pub fn note_failure(&mut self, id: &str, source: &str) {
        self.0.entry(id.to_string()).or_default().insert(source.to_string());
    }

    /// Forgets the fills that are not required any more.
    pub fn retain(&mut self, is_required: impl Fn(&str) -> bool) {
        self.0.retain(|id, _| is_required(id));
    }

    /// The sources to choose from. Draining nodes are used only if all are draining, and nodes from which
    /// an attempt has failed only if it has failed from each of the rest.
    pub fn usable(
        &self,
        id: &str,
        sources: Vec<FillSource>,
        is_draining: impl Fn(&str) -> bool,
    ) -> Vec<FillSource> {
        let (draining, staying): (Vec<_>, Vec<_>) =
            sources.into_iter().partition(|source| is_draining(&source.node));
        let candidates = if staying.is_empty() { draining } else { staying };
        let Some(failed) = self.0.get(id) else { return candidates };
        let untried: Vec<_> =
            candidates.iter().filter(|source| !failed.contains(&source.node)).cloned().collect();
        if untried.is_empty() { candidates } else { untried }
    }
}

#[cfg(test)]
mod tests;
