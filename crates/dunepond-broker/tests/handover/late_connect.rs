//! Parts that wait for a connection that is established late.

use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, Node, query_request};
use serde_json::json;

use crate::harness::{ManualNode, answer_frame, start_broker, stop_when_idle, wait_until_processed};

/// Guards against a retry that is written after the window in which a node drops repeats.
#[test]
fn keyed_retry_past_window_not_sent() {
    let (manual, (late, fill)) = (ManualNode::start(), ManualNode::full());
    let keys = [
        ("/settings/services/1/semantics", json!("token")),
        ("/settings/services/1/repeatWindowMs", json!(600.0)),
        ("/settings/ceilings/connectTimeoutMs", json!(5000.0)),
    ];
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    connection.read_part();
    list.publish(vec![manual.row("s-0", "ready"), late.row("s-1", "ready")]);
    list.wait_until_read();
    connection.reset();
    late.wait_for_connect();
    let connection = late.accept_late(fill);
    assert_eq!(client.read_answer().unwrap().status, 502);
    drop(broker);
    assert!(connection.read_to_close().is_empty());
}

/// A query with this budget whose only part waits for a connection that is established late.
fn connecting_query(time: &str) -> (Broker, DiscoveryServer, ManualNode, Vec<TcpStream>, Client) {
    let (late, fill) = ManualNode::full();
    let keys = [
        ("/settings/ceilings/connectTimeoutMs", json!(5000.0)),
        ("/settings/services/1/aimMs", json!(400.0)),
    ];
    let (broker, list) = start_broker(vec![late.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0], time));
    late.wait_for_connect();
    (broker, list, late, fill, client)
}

/// The query has ended by the time that the connection is established.
#[test]
fn expired_query_not_sent_on_late_connect() {
    let (broker, _list, late, fill, mut client) = connecting_query("0.5");
    stop_when_idle(&broker);
    let asked = Instant::now();
    let connection = late.accept_late(fill);
    std::thread::sleep(Duration::from_millis(600).saturating_sub(asked.elapsed()));
    broker.signal("CONT");
    // Rejected or failed, depending on the order of events; nothing must be written.
    assert_ne!(client.read_answer().unwrap().status, 200);
    drop(broker);
    assert!(connection.read_to_close().is_empty());
}

/// No byte was written: the client may retry.
#[test]
fn connecting_part_refused_at_last_answers() {
    let (broker, _list, late, fill, mut client) = connecting_query("0.6");
    assert_eq!(client.read_answer().unwrap().status, 429);
    let connection = late.accept_late(fill);
    drop(broker);
    assert!(connection.read_to_close().is_empty());
}

/// One part was written completely and may have run.
#[test]
fn query_with_sent_part_fails_at_last_answers() {
    let (manual, (late, _fill)) = (ManualNode::start(), ManualNode::full());
    let keys =
        [("/settings/ceilings/connectTimeoutMs", json!(5000.0)), ("/settings/familyInfo/cells", json!(2))];
    let mut other = late.row("s-1", "ready");
    other["block"] = json!(1);
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready"), other], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0, 1], "0.9"));
    let mut connection = manual.accept();
    connection.read_part();
    late.wait_for_connect();
    assert_eq!(client.read_answer().unwrap().status, 502);
}

/// The connection was opened before the node's restart and established after it: its attempt is at the new process.
#[test]
fn late_connection_belongs_to_replacement_node() {
    let (late, fill) = ManualNode::full();
    let keys = [("/settings/ceilings/connectTimeoutMs", json!(5000.0))];
    let (broker, list) = start_broker(vec![late.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0], "2.8"));
    late.wait_for_connect();
    let mut line = late.row("s-0", "ready");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    let mut connection = late.accept_late(fill);
    let call = connection.read_part();
    list.publish(vec![line]);
    list.wait_until_read();
    wait_until_processed(&broker);
    connection.serve(&call);
    assert_eq!(client.read_answer().unwrap().status, 200);
}

/// Guards against ejecting a restarted node at its first error for attempts that its old process lost.
#[test]
fn part_lost_with_replaced_node_not_blamed_on_new_one() {
    let manual = ManualNode::start();
    let keys = [("/settings/ceilings/secondCopies", json!(false))];
    let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.8"));
    let mut old = manual.accept();
    old.read_part();
    let mut line = manual.row("s-0", "ready");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    list.publish(vec![line]);
    let mut connection = manual.accept();
    let again = connection.read_part();
    connection.serve(&again);
    assert_eq!(client.read_answer().unwrap().status, 200);
    client.send(&query_request("fix", "c2", &[0], "2.8"));
    let call = connection.read_part();
    connection.write(&answer_frame(&call.id, "fault"));
    assert_eq!(client.read_answer().unwrap().status, 502);
    wait_until_processed(&broker);
    assert!(!broker.log_text().contains("is ejected"), "is ejected");
}

/// A restarted node may take less: a waiting part is routed anew.
#[test]
fn connecting_part_leaves_replaced_node() {
    let (late, _fill) = ManualNode::full();
    let keys = [("/settings/ceilings/connectTimeoutMs", json!(5000.0))];
    let (broker, list) = start_broker(vec![late.row("s-0", "ready")], &keys);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[0], "2.8"));
    late.wait_for_connect();
    let (mut line, node) = (late.row("s-0", "ready"), Node::start("s-1"));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    list.publish(vec![line, node.endpoint("ready")]);
    assert_eq!(client.read_answer().unwrap().status, 200);
    assert_eq!(node.frames('A').len(), 1);
}
