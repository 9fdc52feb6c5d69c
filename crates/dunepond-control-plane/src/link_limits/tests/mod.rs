//! Limits of the links by the number of brokers: each has room, and none of the defaults is lowered.

use super::limits_for_count;
use dunepond_membership::Limits;

#[test]
fn limits_grow_with_the_brokers() {
    let (default, few, many) = (Limits::default(), limits_for_count(5), limits_for_count(300));
    assert_eq!(
        (few.max_incoming_connections, few.max_pending_requests, few.max_requests),
        (default.max_incoming_connections, default.max_pending_requests, default.max_requests)
    );
    assert_eq!((few.max_queued_events, few.max_members), (default.max_queued_events, default.max_members));
    assert_eq!(
        (many.max_incoming_connections, many.max_pending_requests, many.max_requests, many.max_queued_events),
        (1200, 1200, 1200, 2400)
    );
}
