//! Cancelled parts that a node may still be working on.

use dunepond_testkit::stand_ins::{Client, query_request};
use rstest::rstest;
use serde_json::json;

use crate::harness::{ManualNode, answer_frame, disconnect, start_broker, wait_until_processed};

/// Guards against sending to a node that is still busy with a cancelled part, where the new part would wait unread.
#[rstest]
#[case::still_running(false)]
#[case::already_ended(true)]
fn cancelled_part_holds_slot_until_ended(#[case] ended: bool) {
    let manual = ManualNode::start();
    let keys = [
        ("/settings/ceilings/streamsPerConn", json!(2)),
        ("/settings/familyInfo/partsACall", json!(2)),
        ("/settings/ceilings/secondCopies", json!(false)),
    ];
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    let call = connection.read_part();
    disconnect([client]);
    assert_eq!(connection.read_frame(), ('B', call.id.clone()));
    if ended {
        connection.serve(&call);
    }
    wait_until_processed(&broker);
    let mut next = Client::connect(&broker);
    next.send(&query_request("find", "c2", &[1, 2], "2.5"));
    let mut on = if ended { connection } else { manual.accept() };
    assert_eq!(on.read_part().id, "c2.1");
    on.write(&[answer_frame("c2.1", "hit"), answer_frame("c2.2", "hit")].concat());
    assert_eq!(next.read_answer().unwrap().status, 200);
}

/// Guards against taking late answers of cancelled parts for protocol errors, if there are more than a connection remembers.
#[test]
fn cancelled_parts_do_not_affect_others() {
    let manual = ManualNode::start();
    let keys = [
        ("/settings/ceilings/streamsPerConn", json!(1000)),
        ("/settings/ceilings/mostHeld", json!(2000)),
        ("/settings/familyInfo/slabs", json!(800)),
        ("/settings/familyInfo/partsACall", json!(800)),
        ("/settings/ceilings/secondCopies", json!(false)),
    ];
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut beside = Client::connect(&broker);
    beside.send(&query_request("fix", "c1", &[0], "2.9"));
    let mut connection = manual.accept();
    let call = connection.read_part();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c2", &(0..800).collect::<Vec<_>>(), "2.8"));
    assert_eq!(connection.read_part().id, "c2.0");
    disconnect([client]);
    let ends: Vec<_> = (0..800).map(|_| answer_frame(&connection.read_frame().1, "hit")).collect();
    connection.write(&ends.concat());
    connection.serve(&call);
    assert_eq!(beside.read_answer().unwrap().status, 200);
}

/// A connection whose streams are all taken by cancelled parts is of no more use.
#[test]
fn connection_with_only_cancelled_parts_is_closed() {
    let manual = ManualNode::start();
    let (broker, list) =
        start_broker(vec![manual.row("s-0", "ready")], &[("/settings/ceilings/streamsPerConn", json!(1))]);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    let call = connection.read_part();
    disconnect([client]);
    assert_eq!(connection.read_frame(), ('B', call.id));
    assert!(connection.read_to_close().is_empty());
}
