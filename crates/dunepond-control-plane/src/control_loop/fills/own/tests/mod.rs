//! The assignment of nodes to responsible brokers.

use super::rendezvous_hash;

#[test]
fn nodes_are_distributed_evenly_over_brokers() {
    let mut counts = [0; 5];
    for node in 0..1000 {
        let hash = |broker: &usize| rendezvous_hash(&format!("s-{node}"), &format!("n{broker}"));
        counts[(0..5).min_by_key(hash).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| (150..250).contains(count)), "{counts:?}");
}
