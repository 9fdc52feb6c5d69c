use rstest::rstest;

use super::*;

/// The expected values come from the API's public tests.
#[rstest]
#[case("hell", 0x5a0c_b7c3)]
#[case("hello", 0xd7c3_1989)]
#[case("hello w", 0x22ab_2984)]
#[case("hello wo", 0xdf0c_a123)]
#[case("hello wor", 0xe774_4d61)]
#[case("The quick brown fox jumps over the lazy dog", 0xe07d_b09c)]
#[case("The quick brown fox jumps over the lazy cog", 0x4e63_d2ad)]
fn routing_hash_matches_api(#[case] routing: &str, #[case] expected: u32) {
    assert_eq!(routing_hash(routing) as u32, expected);
}

#[test]
fn routing_values_select_segments_in_range() {
    assert!(routing_hash("hello") < 0);
    assert!((0..1000).all(|i| segment_of(&format!("r{i}"), 7) < 7));
    assert_eq!(segments_of(&[], 3), [0, 1, 2]);
    let values: Vec<_> = (0..50).map(|i| format!("r{i}")).collect();
    assert_eq!(segments_of(&values, 3), [0, 1, 2]);
    assert_eq!(segments_of(&values[..1], 1000).len(), 1);
}
