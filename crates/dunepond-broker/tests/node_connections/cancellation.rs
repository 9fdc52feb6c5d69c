//! Cancelled parts that may still be running at their node.

use dunepond_testkit::stand_ins::{Client, query_request};
use rstest::rstest;
use serde_json::json;

use crate::harness::{ManualNode, answer_frame, disconnect, start_broker, wait_until_processed};

/// Guards against sending a part on a connection whose streams a cancelled part still occupies: the new part would wait unread.
#[rstest]
#[case::still_running(false)]
#[case::already_ended(true)]
fn cancelled_part_holds_slot_until_ended(#[case] ended: bool) {
    let node = ManualNode::start();
    let keys = [
        ("/settings/ceilings/streamsPerConn", json!(2)),
        ("/settings/familyInfo/partsACall", json!(2)),
        ("/settings/ceilings/secondCopies", json!(false)),
    ];
    let (broker, list) = start_broker(vec![node.row("s-0", "ready")], &keys);
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.5"));
    let mut connection = node.accept();
    let part = connection.read_part();
    disconnect([client]);
    assert_eq!(connection.read_frame(), ('B', part.id.clone()));
    if ended {
        connection.serve(&part);
    }
    wait_until_processed(&broker);
    let mut next = Client::connect(&broker);
    next.send(&query_request("find", "c2", &[1, 2], "2.5"));
    let mut on = if ended { connection } else { node.accept() };
    assert_eq!(on.read_part().id, "c2.1");
    on.write(&[answer_frame("c2.1", "hit"), answer_frame("c2.2", "hit")].concat());
    assert_eq!(next.read_response().unwrap().status, 200);
}

/// Guards against treating late responses to cancelled parts as protocol errors when more parts were cancelled than a
/// connection remembers.
#[test]
fn cancelled_parts_do_not_affect_others() {
    let node = ManualNode::start();
    let keys = [
        ("/settings/ceilings/streamsPerConn", json!(1000)),
        ("/settings/ceilings/mostHeld", json!(2000)),
        ("/settings/familyInfo/slabs", json!(800)),
        ("/settings/familyInfo/partsACall", json!(800)),
        ("/settings/ceilings/secondCopies", json!(false)),
    ];
    let (broker, list) = start_broker(vec![node.row("s-0", "ready")], &keys);
    list.wait_until_newest_version_polled();
    let mut beside = Client::connect(&broker);
    beside.send(&query_request("fix", "c1", &[0], "2.9"));
    let mut connection = node.accept();
    let part = connection.read_part();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c2", &(0..800).collect::<Vec<_>>(), "2.8"));
    assert_eq!(connection.read_part().id, "c2.0");
    disconnect([client]);
    let ends: Vec<_> = (0..800).map(|_| answer_frame(&connection.read_frame().1, "hit")).collect();
    connection.write(&ends.concat());
    connection.serve(&part);
    assert_eq!(beside.read_response().unwrap().status, 200);
}

/// If all streams of a connection are occupied by cancelled parts, it cannot be used for another attempt and is
/// closed.
#[test]
fn connection_with_only_cancelled_parts_is_closed() {
    let node = ManualNode::start();
    let (broker, list) =
        start_broker(vec![node.row("s-0", "ready")], &[("/settings/ceilings/streamsPerConn", json!(1))]);
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.5"));
    let mut connection = node.accept();
    let part = connection.read_part();
    disconnect([client]);
    assert_eq!(connection.read_frame(), ('B', part.id));
    assert!(connection.read_to_close().is_empty());
}
