use super::*;
use std::collections::HashSet;

/// Number of starts of the brokers of a fleet.
const STARTS: usize = 1_000;
/// Number of ids that each start takes.
const IDS: usize = 100;

fn ids_of_starts(new_sequence: fn() -> Result<RequestIds, PeerError>) -> HashSet<u64> {
    let sequences: Vec<_> = (0..STARTS).map(|_| new_sequence().unwrap()).collect();
    sequences.iter().flat_map(|ids| (0..IDS).map(|_| ids.next())).collect()
}

#[test]
fn ids_of_all_starts_differ() {
    let requests = ids_of_starts(RequestIds::for_requests);
    let checks = ids_of_starts(RequestIds::for_liveness_checks);
    assert_eq!((requests.len(), checks.len()), (STARTS * IDS, STARTS * IDS));
    assert!(requests.iter().all(|id| id & LIVENESS_ID_BIT == 0));
    assert!(checks.iter().all(|id| id & LIVENESS_ID_BIT != 0));
}
