//! Sources that a fill avoids as long as it has other sources: those from which an attempt has failed, and those that
//! discovery lists as draining. Without this, a fill could be retried from a failed source until the configuration
//! version that requires the fill is withdrawn.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_settlement::FillSource;

/// Names of the sources from which attempts have failed, by fill id.
#[derive(Default)]
pub struct AvoidedSources(BTreeMap<String, BTreeSet<String>>);

impl AvoidedSources {
    /// Records that an attempt at the fill failed with this source.
    pub fn note_failure(&mut self, id: &str, source: &str) {
        self.0.entry(id.to_string()).or_default().insert(source.to_string());
    }

    /// Removes the entries of fills that are no longer required.
    pub fn retain(&mut self, is_required: impl Fn(&str) -> bool) {
        self.0.retain(|id, _| is_required(id));
    }

    /// The sources that the fill may use. Draining sources are used only if all are draining; of the remaining sources,
    /// those from which an attempt has failed are used only if attempts have failed from all of them.
    pub fn usable(
        &self,
        id: &str,
        sources: Vec<FillSource>,
        is_draining: impl Fn(&str) -> bool,
    ) -> Vec<FillSource> {
        let (draining, not_draining): (Vec<_>, Vec<_>) =
            sources.into_iter().partition(|source| is_draining(&source.node));
        let candidates = if not_draining.is_empty() { draining } else { not_draining };
        let Some(failed) = self.0.get(id) else { return candidates };
        let untried: Vec<_> =
            candidates.iter().filter(|source| !failed.contains(&source.node)).cloned().collect();
        if untried.is_empty() { candidates } else { untried }
    }
}

#[cfg(test)]
mod tests;
