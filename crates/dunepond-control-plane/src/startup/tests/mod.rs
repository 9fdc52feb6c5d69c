use std::collections::HashSet;

use super::*;

const BROKERS: usize = 900;
const STARTS: u64 = 1_000;
/// An incarnation in the year 2026, in Unix milliseconds.
const FIRST_INCARNATION: u64 = 1_796_000_000_000;

/// The brokers of a fleet have the same configured seed and similar names, and may start within the same second.
#[test]
fn seeds_of_all_starts_of_a_fleet_differ() {
    let seeds: HashSet<_> = (0..BROKERS)
        .flat_map(|broker| {
            let name = format!("broker-{broker}");
            (0..STARTS).map(move |start| start_seed(7, FIRST_INCARNATION + start, &name))
        })
        .collect();
    assert_eq!(seeds.len(), BROKERS * STARTS as usize);
}
