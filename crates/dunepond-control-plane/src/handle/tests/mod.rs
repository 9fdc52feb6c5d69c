//! The configuration watch and the counters of carried bytes.

use std::sync::Arc;

use arc_swap::{ArcSwap, Cache};
use dunepond_consensus::ActiveConfig;

use super::{ActiveConfigWatch, CarriedAmount, CarriedBytes};

fn amount(carrier: usize, owed_by: usize, bytes: u64) -> CarriedAmount {
    CarriedAmount { carrier, owed_by, bytes }
}

#[test]
fn watch_returns_a_newly_stored_config() {
    let active = Arc::new(ArcSwap::from_pointee(ActiveConfig::unleased()));
    let mut watch = ActiveConfigWatch(Cache::new(active.clone()));
    let before = watch.current().clone();
    assert!(Arc::ptr_eq(watch.current(), &before));
    let next = Arc::new(ActiveConfig::unleased());
    active.store(next.clone());
    assert!(Arc::ptr_eq(watch.current(), &next));
}

#[test]
fn carried_bytes_are_drained_once() {
    let carried = CarriedBytes::new(3);
    carried.add(0, 2, 10);
    carried.add(0, 2, 5);
    carried.add(2, 1, 7);
    // Indexes that are out of range are ignored.
    carried.add(3, 0, 1);
    carried.add(0, 3, 1);
    assert_eq!(carried.drain(), [amount(0, 2, 15), amount(2, 1, 7)]);
    assert_eq!(carried.drain(), []);
    carried.add(0, 2, 1);
    assert_eq!(carried.drain(), [amount(0, 2, 1)]);
}
