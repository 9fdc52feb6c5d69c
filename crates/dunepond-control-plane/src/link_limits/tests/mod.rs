//! The limits of the links grow with the number of brokers and are never below the defaults.

use super::limits_for_count;
use dunepond_membership::Limits;

/// More memory than all links may use.
const AMPLE_BYTES: usize = 1 << 30;

#[test]
fn limits_grow_with_broker_count() {
    let (default, few, many) =
        (Limits::default(), limits_for_count(5, AMPLE_BYTES), limits_for_count(300, AMPLE_BYTES));
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

/// Any sender that reached a broker's port could make it hold 64 MiB of messages, and as much of those that wait.
#[test]
fn messages_keep_to_the_memory_for_them() {
    let memory_bytes = 2 << 20;
    let limits = limits_for_count(5, memory_bytes);
    // The limit on received bodies applies to those that wait, too.
    assert!(2 * limits.max_receive_bytes + limits.max_send_bytes <= memory_bytes);
    assert!(limits.max_body_bytes <= limits.max_receive_bytes.min(limits.max_send_bytes));
    assert_eq!(limits.max_incoming_connections, 20, "four for each broker that is named");
    let ample = limits_for_count(5, AMPLE_BYTES);
    assert_eq!((ample.max_body_bytes, ample.max_receive_bytes), (16 << 20, 64 << 20));
}
