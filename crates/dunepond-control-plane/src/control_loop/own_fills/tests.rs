//! Which broker a replica falls to.

use super::rendezvous_hash;

#[test]
fn holders_fall_to_all_brokers_alike() {
    let mut held = [0; 5];
    for holder in 0..1000 {
        let of = |broker: &usize| rendezvous_hash(&format!("s-{holder}"), &format!("n{broker}"));
        held[(0..5).min_by_key(of).unwrap()] += 1;
    }
    assert!(held.iter().all(|count| (150..250).contains(count)), "{held:?}");
}
