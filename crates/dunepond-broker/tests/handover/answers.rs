//! Answers around resets and closes, duplicate and fragmented ones, and reuse of idle connections.

use std::time::Duration;

use dunepond_testkit::stand_ins::{Client, query_request};
use rstest::rstest;
use serde_json::json;

use crate::harness::{
    ManualNode, answer_frame, send_unread, serve_first_query, start_broker, stop_when_idle,
    wait_until_processed,
};

/// Request and close arrive while the broker is stopped, and are handled in one iteration.
#[rstest]
fn closed_idle_connection_not_reused(#[values(false, true)] resets: bool) {
    let manual = ManualNode::start();
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &[]);
    list.wait_until_read();
    let (mut client, mut connection) = serve_first_query(&broker, &manual);
    stop_when_idle(&broker);
    send_unread(&mut client, &query_request("fix", "c2", &[0], "2.5"));
    connection.close(resets);
    broker.signal("CONT");
    connection = manual.accept();
    let call = connection.read_part();
    connection.serve(&call);
    assert_eq!(client.read_answer().unwrap().status, 200);
}

/// The idle timeout has passed, but the request is handled first.
#[test]
fn stale_idle_connection_not_reused() {
    let manual = ManualNode::start();
    let (broker, list) =
        start_broker(vec![manual.row("s-0", "ready")], &[("/settings/ceilings/idleCloseMs", json!(400.0))]);
    list.wait_until_read();
    let (mut client, old) = serve_first_query(&broker, &manual);
    stop_when_idle(&broker);
    send_unread(&mut client, &query_request("fix", "c2", &[0], "2.5"));
    std::thread::sleep(Duration::from_millis(400));
    broker.signal("CONT");
    let mut connection = manual.accept();
    let call = connection.read_part();
    connection.serve(&call);
    assert_eq!(client.read_answer().unwrap().status, 200);
    assert!(old.read_to_close().is_empty());
}

/// A node answers and resets its connection.
#[rstest]
#[case::in_reading(false)]
#[case::in_writing_the_next_part(true)]
fn answer_before_reset_is_used(#[case] writes: bool) {
    let manual = ManualNode::start();
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &[]);
    list.wait_until_read();
    let (mut first, mut second) = (Client::connect(&broker), Client::connect(&broker));
    first.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    let call = connection.read_part();
    stop_when_idle(&broker);
    if writes {
        send_unread(&mut second, &query_request("fix", "c2", &[0], "2.5"));
    }
    connection.serve(&call);
    connection.close(true);
    broker.signal("CONT");
    assert_eq!(first.read_answer().unwrap().status, 200);
    if writes {
        // It was not sent, and there is no other node.
        assert_eq!(second.read_answer().unwrap().status, 429);
    }
}

#[test]
fn partial_answer_before_reset_is_dropped() {
    let manual = ManualNode::start();
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &[]);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    let call = connection.read_part();
    let answer = answer_frame(&call.id, "hit");
    connection.write(&answer[..answer.len() - 1]);
    connection.reset();
    assert_eq!(client.read_answer().unwrap().status, 502);
}

/// The first attempt's answer comes again after the retry was sent, and must not end the retry.
#[test]
fn duplicate_answer_ends_one_attempt() {
    let manual = ManualNode::start();
    let keys = [("/settings/ceilings/secondCopies", json!(false))];
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.8"));
    let mut connection = manual.accept();
    let call = connection.read_part();
    connection.write(&answer_frame(&call.id, "fault"));
    let mut other = manual.accept();
    let again = other.read_part();
    assert_eq!(again.id, call.id);
    connection.write(&answer_frame(&call.id, "fault"));
    wait_until_processed(&broker);
    other.serve(&again);
    assert_eq!(client.read_answer().unwrap().status, 200);
    drop(broker);
    assert!(connection.read_to_close().is_empty() && other.read_to_close().is_empty());
}

/// Each read ends within an answer, and each answer is complete in time.
#[test]
fn fragmented_answers_are_timed_individually() {
    let manual = ManualNode::start();
    let keys = [("/settings/ceilings/connectTimeoutMs", json!(1000.0))];
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0, 1, 2], "2.8"));
    let mut connection = manual.accept();
    let ends: Vec<_> = (0..3).map(|_| answer_frame(&connection.read_part().id, "hit")).collect();
    let all = ends.concat();
    let (one, half) = (ends[0].len(), ends[0].len() / 2);
    for piece in [&all[..one + half], &all[one + half..2 * one + half], &all[2 * one + half..]] {
        connection.write(piece);
        std::thread::sleep(Duration::from_millis(600));
    }
    assert_eq!(client.read_answer().unwrap().status, 200);
}
