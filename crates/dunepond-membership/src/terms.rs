//! What nothing could work with.

use crate::error::PeerError;
use crate::wire::LONGEST_HEAD;
use crate::words::{Limits, Timing};

/// Bounds and times with which nothing could work are refused at the start, each by its name.
pub(crate) fn check(bounds: &Limits, pace: &Timing) -> Result<(), PeerError> {
    let wrong = |which, value| Err(PeerError::Bound { which, value });
    for (which, value) in [
        ("body", bounds.max_body_bytes),
        ("asks", bounds.max_requests),
        ("asks_each", bounds.max_requests_per_peer),
        ("connections", bounds.max_connections_per_peer),
        ("incoming", bounds.max_incoming_connections),
        ("asked", bounds.max_pending_requests),
        ("asked_each", bounds.max_pending_requests_per_peer),
        ("events", bounds.max_queued_events),
        ("members", bounds.max_members),
    ] {
        if value == 0 {
            return wrong(which, 0.0);
        }
    }
    if bounds.max_datagram_bytes <= 2 * LONGEST_HEAD || bounds.max_datagram_bytes > 65_000 {
        return wrong("datagram", bounds.max_datagram_bytes as f64);
    }
    if bounds.max_receive_bytes < bounds.max_body_bytes {
        return wrong("bytes_in", bounds.max_receive_bytes as f64);
    }
    if bounds.max_send_bytes < bounds.max_body_bytes {
        return wrong("bytes_out", bounds.max_send_bytes as f64);
    }
    for (which, value) in [
        ("probe", pace.probe_interval_seconds),
        ("rtt", pace.probe_timeout_seconds),
        ("suspect", pace.suspicion_timeout_seconds),
        ("announce", pace.announce_interval_seconds),
        ("still", pace.stall_threshold_seconds),
        ("connect", pace.connect_timeout_seconds),
        ("rest_first", pace.initial_backoff_seconds),
        ("rest_most", pace.max_backoff_seconds),
        ("unproven", pace.first_request_timeout_seconds),
        ("idle", pace.idle_timeout_seconds),
        ("step", pace.transfer_timeout_seconds),
        ("within_most", pace.max_request_timeout_seconds),
    ] {
        if !(value > 0.0 && value < 1e6) {
            return wrong(which, value);
        }
    }
    if pace.probe_timeout_seconds >= pace.probe_interval_seconds {
        return wrong("rtt", pace.probe_timeout_seconds);
    }
    if pace.initial_backoff_seconds > pace.max_backoff_seconds {
        return wrong("rest_first", pace.initial_backoff_seconds);
    }
    Ok(())
}
