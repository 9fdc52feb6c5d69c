//! Verifies that the answered parts of a query cover all its keys under one shard map.

use dunepond_shard_map::{AnsweredPart, KeyRange, MapFault, VerifiedMap, verify_coverage};

/// Why an answer is not complete.
#[derive(Debug, thiserror::Error)]
pub enum IncompleteAnswer {
    /// A segment of the query is not in the shard map.
    #[error("a segment of the query is not in the shard map")]
    UnknownSegment,
    /// The answered parts do not cover the query's keys.
    #[error("{0}")]
    NotCovered(#[from] MapFault),
}

/// Verifies that the answered parts cover all keys of a query, each exactly once and under one shard map.
/// `sent_under_other_map` holds the parts that were sent under another map, which gives their segments other keys; each
/// with that map's epoch. Returns the epoch of `map`, or why the answer is incomplete.
pub fn verify_answer(
    map: &VerifiedMap,
    segments: &[usize],
    is_answered: impl Fn(usize) -> bool,
    sent_under_other_map: &[(usize, u64)],
) -> Result<u64, IncompleteAnswer> {
    // Fast path without allocation: the segments of a verified map do not overlap, so distinct segments that are all
    // answered cover the query.
    let are_distinct = segments.windows(2).all(|pair| pair[0] < pair[1]);
    if are_distinct
        && sent_under_other_map.is_empty()
        && segments
            .iter()
            .enumerate()
            .all(|(part, segment)| is_answered(part) && map.contains_segment(*segment as u64))
    {
        return Ok(map.epoch());
    }
    let is_answered: Vec<bool> = (0..segments.len()).map(is_answered).collect();
    verify_by_keys(map, segments, &is_answered, sent_under_other_map)
}

/// Has the same result as `verify_answer`, but compares key ranges, which works for any list of segments.
fn verify_by_keys(
    map: &VerifiedMap,
    segments: &[usize],
    is_answered: &[bool],
    sent_under_other_map: &[(usize, u64)],
) -> Result<u64, IncompleteAnswer> {
    let keys = |segment: &usize| map.segment(*segment as u64).map(|segment| segment.keys);
    let wanted: Option<Vec<KeyRange>> = segments.iter().map(keys).collect();
    let wanted = wanted.ok_or(IncompleteAnswer::UnknownSegment)?;
    let answered = segments.iter().zip(&wanted).enumerate().filter(|(part, _)| is_answered[*part]);
    let answered = answered.map(|(part, (segment, keys))| {
        let sent_under = sent_under_other_map.iter().find(|(sent_part, _)| *sent_part == part);
        let epoch = sent_under.map_or(map.epoch(), |(_, epoch)| *epoch);
        AnsweredPart { segment: *segment as u64, keys: *keys, epoch }
    });
    let answered: Vec<_> = answered.collect();
    verify_coverage(map, &wanted, &answered)?;
    Ok(map.epoch())
}

#[cfg(test)]
mod tests;
