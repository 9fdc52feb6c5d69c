//! Responses of nodes before a reset or close, duplicate and fragmented responses, and reuse of idle node connections.

use std::time::Duration;

use dunepond_testkit::stand_ins::{Client, query_request};
use rstest::rstest;
use serde_json::json;

use crate::harness::{
    ManualNode, answer_frame, send_unread, serve_first_query, start_broker, stop_when_idle,
    wait_until_processed,
};

/// A request and the close of the idle node connection arrive while the broker is stopped, and are handled in one
/// iteration.
#[rstest]
fn closed_idle_connection_not_reused(#[values(false, true)] resets: bool) {
    let node = ManualNode::start();
    let (broker, list) = start_broker(vec![node.row("s-0", "ready")], &[]);
    list.wait_until_newest_version_polled();
    let (mut client, mut connection) = serve_first_query(&broker, &node);
    stop_when_idle(&broker);
    send_unread(&mut client, &query_request("fix", "c2", &[0], "2.5"));
    connection.close(resets);
    broker.signal("CONT");
    connection = node.accept();
    let part = connection.read_part();
    connection.serve(&part);
    assert_eq!(client.read_response().unwrap().status, 200);
}

/// The idle timeout of the node connection has passed, but the broker handles a new request before it handles the
/// timeout.
#[test]
fn stale_idle_connection_not_reused() {
    let node = ManualNode::start();
    let (broker, list) =
        start_broker(vec![node.row("s-0", "ready")], &[("/settings/ceilings/idleCloseMs", json!(400.0))]);
    list.wait_until_newest_version_polled();
    let (mut client, old) = serve_first_query(&broker, &node);
    stop_when_idle(&broker);
    send_unread(&mut client, &query_request("fix", "c2", &[0], "2.5"));
    std::thread::sleep(Duration::from_millis(400));
    broker.signal("CONT");
    let mut connection = node.accept();
    let part = connection.read_part();
    connection.serve(&part);
    assert_eq!(client.read_response().unwrap().status, 200);
    assert!(old.read_to_close().is_empty());
}

/// A node sends a response and then resets its connection before the broker has read the response.
#[rstest]
#[case::reset_seen_by_read(false)]
#[case::reset_seen_by_write_of_next_part(true)]
fn answer_before_reset_is_used(#[case] sends_next: bool) {
    let node = ManualNode::start();
    let (broker, list) = start_broker(vec![node.row("s-0", "ready")], &[]);
    list.wait_until_newest_version_polled();
    let (mut first, mut second) = (Client::connect(&broker), Client::connect(&broker));
    first.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = node.accept();
    let part = connection.read_part();
    stop_when_idle(&broker);
    if sends_next {
        send_unread(&mut second, &query_request("fix", "c2", &[0], "2.5"));
    }
    connection.serve(&part);
    connection.close(true);
    broker.signal("CONT");
    assert_eq!(first.read_response().unwrap().status, 200);
    if sends_next {
        // The second part was not sent, and there is no other node.
        assert_eq!(second.read_response().unwrap().status, 429);
    }
}

#[test]
fn partial_answer_before_reset_is_dropped() {
    let node = ManualNode::start();
    let (broker, list) = start_broker(vec![node.row("s-0", "ready")], &[]);
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = node.accept();
    let part = connection.read_part();
    let answer = answer_frame(&part.id, "hit");
    connection.write(&answer[..answer.len() - 1]);
    connection.reset();
    assert_eq!(client.read_response().unwrap().status, 502);
}

/// The first attempt's response arrives a second time after the retry was sent; it must not end the retry.
#[test]
fn duplicate_answer_ends_one_attempt() {
    let node = ManualNode::start();
    let keys = [("/settings/ceilings/secondCopies", json!(false))];
    let (broker, list) = start_broker(vec![node.row("s-0", "ready")], &keys);
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.8"));
    let mut connection = node.accept();
    let part = connection.read_part();
    connection.write(&answer_frame(&part.id, "fault"));
    let mut other = node.accept();
    let again = other.read_part();
    assert_eq!(again.id, part.id);
    connection.write(&answer_frame(&part.id, "fault"));
    wait_until_processed(&broker);
    other.serve(&again);
    assert_eq!(client.read_response().unwrap().status, 200);
    drop(broker);
    assert!(connection.read_to_close().is_empty() && other.read_to_close().is_empty());
}

/// Each of the broker's reads ends within a response. The timeout must count for each response separately, as each
/// one is complete in time.
#[test]
fn fragmented_answers_are_timed_individually() {
    let node = ManualNode::start();
    let keys = [("/settings/ceilings/connectTimeoutMs", json!(1000.0))];
    let (broker, list) = start_broker(vec![node.row("s-0", "ready")], &keys);
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0, 1, 2], "2.8"));
    let mut connection = node.accept();
    let ends: Vec<_> = (0..3).map(|_| answer_frame(&connection.read_part().id, "hit")).collect();
    let all = ends.concat();
    let (one, half) = (ends[0].len(), ends[0].len() / 2);
    for piece in [&all[..one + half], &all[one + half..2 * one + half], &all[2 * one + half..]] {
        connection.write(piece);
        std::thread::sleep(Duration::from_millis(600));
    }
    assert_eq!(client.read_response().unwrap().status, 200);
}
