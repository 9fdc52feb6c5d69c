//! Adds up how often each part ran on several nodes.

use std::collections::BTreeMap;

/// Returns the ids of parts that ran more than once in total. `counts` holds part ids with the numbers of runs that
/// single nodes counted.
pub fn repeated_part_ids(counts: impl IntoIterator<Item = (String, u32)>) -> Vec<String> {
    let mut totals: BTreeMap<String, u32> = BTreeMap::new();
    for (id, count) in counts {
        *totals.entry(id).or_default() += count;
    }
    totals.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}
