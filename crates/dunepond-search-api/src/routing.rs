//! Selects the segments of a search: all of them, or those that its routing values hash to. The hash is the one that
//! the API documents: the 32-bit MurmurHash3 with seed 0, applied to the value in UTF-16, little-endian.

/// The 32-bit variant of MurmurHash3 with seed 0.
fn murmur3(bytes: &[u8]) -> u32 {
    const C1: u32 = 0xcc9e_2d51;
    const C2: u32 = 0x1b87_3593;
    let mix = |k: u32| k.wrapping_mul(C1).rotate_left(15).wrapping_mul(C2);
    let mut hash = 0u32;
    let mut chunks = bytes.chunks_exact(4);
    for chunk in chunks.by_ref() {
        let k = chunk.iter().rev().fold(0u32, |k, byte| k << 8 | u32::from(*byte));
        hash = (hash ^ mix(k)).rotate_left(13).wrapping_mul(5).wrapping_add(0xe654_6b64);
    }
    let rest = chunks.remainder();
    if !rest.is_empty() {
        hash ^= mix(rest.iter().rev().fold(0u32, |k, byte| k << 8 | u32::from(*byte)));
    }
    hash ^= bytes.len() as u32;
    hash = (hash ^ hash >> 16).wrapping_mul(0x85eb_ca6b);
    hash = (hash ^ hash >> 13).wrapping_mul(0xc2b2_ae35);
    hash ^ hash >> 16
}

/// Hashes a routing value, encoded as UTF-16 in little-endian order.
pub fn routing_hash(routing: &str) -> i32 {
    let bytes: Vec<u8> = routing.encode_utf16().flat_map(u16::to_le_bytes).collect();
    murmur3(&bytes) as i32
}

/// Returns the index of the segment that a routing value selects.
pub fn segment_of(routing: &str, segment_count: usize) -> usize {
    i64::from(routing_hash(routing)).rem_euclid(segment_count.max(1) as i64) as usize
}

/// Returns the indices of the segments of a search in ascending order: those that its routing values select, or all
/// segments if there are no routing values.
pub fn segments_of(routing: &[String], segment_count: usize) -> Vec<usize> {
    if routing.is_empty() {
        return (0..segment_count).collect();
    }
    let mut segments: Vec<_> = routing.iter().map(|value| segment_of(value, segment_count)).collect();
    segments.sort_unstable();
    segments.dedup();
    segments
}

#[cfg(test)]
mod tests;
