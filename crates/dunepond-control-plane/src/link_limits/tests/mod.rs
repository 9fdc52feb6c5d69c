//! Limits of the links by the number of brokers.

use super::bounds_for;
use dunepond_membership::Limits;

#[test]
fn each_broker_named_has_places_and_none_are_taken_away() {
    let (usual, few, many) = (Limits::default(), bounds_for(5), bounds_for(300));
    assert_eq!(
        (few.max_incoming_connections, few.max_pending_requests, few.max_requests),
        (usual.max_incoming_connections, usual.max_pending_requests, usual.max_requests)
    );
    assert_eq!((few.max_queued_events, few.max_members), (usual.max_queued_events, usual.max_members));
    assert_eq!(
        (many.max_incoming_connections, many.max_pending_requests, many.max_requests, many.max_queued_events),
        (1200, 1200, 1200, 2400)
    );
}
