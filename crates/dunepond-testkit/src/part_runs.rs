//! Counts of how often each part ran, over several nodes.

use std::collections::BTreeMap;

/// The ids of parts that ran more than once in all, from each node's own counts.
pub fn repeated(counts: impl IntoIterator<Item = (String, u32)>) -> Vec<String> {
    let mut totals: BTreeMap<String, u32> = BTreeMap::new();
    for (id, count) in counts {
        *totals.entry(id).or_default() += count;
    }
    totals.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}
