//! Which segments a search goes to: all of them, or those that its routing values hash to, as the API states it.

/// Murmur3, 32 bits, seed 0.
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

/// The hash of a routing value: over its UTF-16 units, the low byte first.
pub fn hash(routing: &str) -> i32 {
    let bytes: Vec<u8> = routing.encode_utf16().flat_map(u16::to_le_bytes).collect();
    murmur3(&bytes) as i32
}

/// The segment, of so many, that a routing value leads to.
pub fn segment(routing: &str, segments: usize) -> usize {
    i64::from(hash(routing)).rem_euclid(segments.max(1) as i64) as usize
}

/// Segments of a search, each once, in their order.
pub fn segments(routing: &[String], segments: usize) -> Vec<usize> {
    if routing.is_empty() {
        return (0..segments).collect();
    }
    let mut found: Vec<_> = routing.iter().map(|value| segment(value, segments)).collect();
    found.sort_unstable();
    found.dedup();
    found
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// Values that the API's public tests give for its hash.
    #[rstest]
    #[case("hell", 0x5a0c_b7c3)]
    #[case("hello", 0xd7c3_1989)]
    #[case("hello w", 0x22ab_2984)]
    #[case("hello wo", 0xdf0c_a123)]
    #[case("hello wor", 0xe774_4d61)]
    #[case("The quick brown fox jumps over the lazy dog", 0xe07d_b09c)]
    #[case("The quick brown fox jumps over the lazy cog", 0x4e63_d2ad)]
    fn the_hash_is_the_apis(#[case] routing: &str, #[case] expected: u32) {
        assert_eq!(hash(routing) as u32, expected);
    }

    #[test]
    fn a_negative_hash_leads_to_a_segment_too_and_none_to_all() {
        assert!(hash("hello") < 0);
        assert!((0..1000).all(|i| segment(&format!("r{i}"), 7) < 7));
        assert_eq!(segments(&[], 3), [0, 1, 2]);
        let values: Vec<_> = (0..50).map(|i| format!("r{i}")).collect();
        assert_eq!(segments(&values, 3), [0, 1, 2]);
        assert_eq!(segments(&values[..1], 1000).len(), 1);
    }
}
