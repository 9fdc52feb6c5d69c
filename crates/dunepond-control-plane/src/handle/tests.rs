//! What the event loop sees and hands over without waiting.

use super::{ActiveConfigWatch, CarriedBytes};
use arc_swap::ArcSwap;
use arc_swap::Cache;
use dunepond_consensus::ActiveConfig;
use std::sync::Arc;

#[test]
fn a_watch_sees_what_is_new_at_once() {
    let acting = Arc::new(ArcSwap::from_pointee(ActiveConfig::unleased()));
    let mut watch = ActiveConfigWatch(Cache::new(acting.clone()));
    let before = watch.current().clone();
    assert!(Arc::ptr_eq(watch.current(), &before));
    let next = Arc::new(ActiveConfig::unleased());
    acting.store(next.clone());
    assert!(Arc::ptr_eq(watch.current(), &next));
}

#[test]
fn bytes_are_taken_once_by_carrier_and_who_owes_them() {
    let carried = CarriedBytes::new(3);
    carried.add(0, 2, 10);
    carried.add(0, 2, 5);
    carried.add(2, 1, 7);
    // A partner that is none changes nothing.
    carried.add(3, 0, 1);
    carried.add(0, 3, 1);
    assert_eq!(carried.take(), [(0, 2, 15), (2, 1, 7)]);
    assert_eq!(carried.take(), []);
    carried.add(0, 2, 1);
    assert_eq!(carried.take(), [(0, 2, 1)]);
}
