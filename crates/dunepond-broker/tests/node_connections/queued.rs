//! Parts whose frame is partly written, and parts that are queued behind a partly written frame.

use std::io::Read;
use std::time::Duration;

use dunepond_testkit::stand_ins::{Client, Node, query_request};
use serde_json::json;

use crate::harness::{BlockedNode, ManualNode, disconnect, start_broker};

/// Guards against sending a time limit that ignores the time that the part spent in the queue.
#[test]
fn queued_part_carries_remaining_budget() {
    let mut blocked = BlockedNode::start_broker("find", &[("/settings/ceilings/secondCopies", json!(false))]);
    let delay = Duration::from_millis(500);
    std::thread::sleep(delay);
    let (first, second) = (blocked.connection.read_part(), blocked.connection.read_part());
    assert!(second.time_left + delay <= first.time_left + Duration::from_millis(20), "{first:?} {second:?}");
    blocked.connection.serve(&first);
    blocked.connection.serve(&second);
    assert_eq!(
        (blocked.first.read_response().unwrap().status, blocked.second.read_response().unwrap().status),
        (200, 200)
    );
}

/// The last byte of neither frame was written, so that neither part can have run and both may be retried.
#[test]
fn partly_written_and_queued_parts_retried_after_reset() {
    let mut blocked = BlockedNode::start_broker("fix", &[]);
    let node = blocked.add_node("ready");
    blocked.connection.reset();
    assert_eq!(
        (blocked.first.read_response().unwrap().status, blocked.second.read_response().unwrap().status),
        (200, 200)
    );
    assert_eq!(node.frames_of_type('A').len(), 2);
}

/// A non-idempotent part whose frame was completely written may have run.
#[test]
fn fully_written_part_not_resent_after_reset() {
    let (manual, node) = (ManualNode::start(), Node::start("s-1"));
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &[]);
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    connection.read_part();
    list.publish(vec![manual.row("s-0", "ready"), node.endpoint("ready")]);
    list.wait_until_newest_version_polled();
    connection.reset();
    assert_eq!(client.read_response().unwrap().status, 502);
    assert_eq!(node.frames_of_type('A').len(), 0);
}

/// A draining node receives the rest of a partly written frame, and no new frame.
#[test]
fn queued_part_leaves_draining_node() {
    let mut blocked = BlockedNode::start_broker("fix", &[]);
    let node = blocked.add_node("draining");
    assert_eq!(blocked.second.read_response().unwrap().status, 200);
    assert_eq!(node.frames_of_type('A').len(), 1);
    let first = blocked.connection.read_part();
    assert_eq!(first.id, "c1.0");
    blocked.connection.serve(&first);
    assert_eq!(blocked.first.read_response().unwrap().status, 200);
    drop(blocked.broker);
    assert!(blocked.connection.read_to_close().is_empty());
}

/// Guards against closing the connection to withdraw a queued part: the partly written frame ahead of that part would
/// be lost.
#[test]
fn queued_part_of_disconnected_client_does_not_affect_frame_ahead() {
    let mut blocked = BlockedNode::start_broker("fix", &[]);
    disconnect([blocked.second]);
    let first = blocked.connection.read_part();
    blocked.connection.serve(&first);
    assert_eq!(blocked.first.read_response().unwrap().status, 200);
    drop(blocked.broker);
    assert!(blocked.connection.read_to_close().is_empty());
}

/// The last byte of neither frame was written when the broker must respond: the clients may retry.
#[test]
fn partly_written_and_queued_parts_rejected_at_deadline() {
    let mut blocked = BlockedNode::start_broker("fix", &[]);
    assert_eq!(
        (blocked.first.read_response().unwrap().status, blocked.second.read_response().unwrap().status),
        (429, 429)
    );
    let mut length = [0; 4];
    blocked.connection.0.read_exact(&mut length).unwrap();
    assert!(blocked.connection.read_to_close().len() < u32::from_be_bytes(length) as usize);
}

/// With cancellation disabled, no cancel frame is sent, but a partly written frame whose client has disconnected is
/// not completed.
#[test]
fn partly_written_part_aborted_on_client_disconnect() {
    let mut blocked = BlockedNode::start_broker("fix", &[("/settings/ceilings/cancel", json!(false))]);
    disconnect([blocked.first, blocked.second]);
    let mut length = [0; 4];
    blocked.connection.0.read_exact(&mut length).unwrap();
    assert!(blocked.connection.read_to_close().len() < u32::from_be_bytes(length) as usize);
}
