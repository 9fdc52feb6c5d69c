//! The limits of the links grow with the number of brokers and are never below the defaults.

use super::limits_for_count;
use dunepond_membership::Limits;

#[test]
fn limits_grow_with_broker_count() {
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
