use super::{NodeBackoffs, RequestFailure};

#[test]
fn backoff_doubles_and_ends_with_probe() {
    let (mut backoffs, mut now) = (NodeBackoffs::default(), 0.0);
    assert!(backoffs.is_available(now, 3));
    for (request, seconds) in [(1, 0.5), (2, 1.0), (3, 2.0)] {
        backoffs.on_sent(3, request);
        backoffs.on_failure(now, 3, request, RequestFailure::Timeout);
        assert!(!backoffs.is_available(now + seconds - 0.01, 3) && backoffs.is_available(now + seconds, 3));
        now += seconds;
    }
    backoffs.on_sent(3, 4);
    assert!(!backoffs.is_available(now, 3));
    backoffs.on_response(3);
    assert!(backoffs.is_available(now, 3));
}

#[test]
fn concurrent_failures_count_once() {
    let mut backoffs = NodeBackoffs::default();
    (1..9).for_each(|request| backoffs.on_failure(0.0, 3, request, RequestFailure::Timeout));
    assert!(backoffs.is_available(0.5, 3));
}

#[test]
fn removed_node_has_no_backoff() {
    let mut backoffs = NodeBackoffs::default();
    backoffs.on_failure(0.0, 3, 1, RequestFailure::Unsupported);
    assert!(!backoffs.is_available(3.9, 3) && backoffs.count(3.9) == 1);
    backoffs.on_failure(1.0, 3, 2, RequestFailure::NodeGone);
    assert!(backoffs.is_available(1.0, 3));
}
