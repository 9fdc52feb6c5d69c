//! Attempts at nodes that fail, hang or send malformed frames, and cancellation of attempts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, NodeBehavior, config, query_request};
use rstest::rstest;
use serde_json::json;
use socket2::{Domain, Socket, Type};

use super::nodes;

/// A node that closes connections, sends invalid frames, hangs or rejects attempts costs an idempotent query at most
/// one more attempt.
#[rstest]
#[case(NodeBehavior::CloseMidFrame)]
#[case(NodeBehavior::ReportProtocolError)]
#[case(NodeBehavior::UnknownFrame)]
#[case(NodeBehavior::Hang)]
#[case(NodeBehavior::ReplyStatus("fault"))]
#[case(NodeBehavior::ReplyStatus("overload"))]
#[case(NodeBehavior::ReplyStatus("hm"))]
fn idempotent_query_survives_a_bad_node(#[case] behavior: NodeBehavior) {
    let nodes = nodes(2);
    nodes[0].set_behavior(behavior);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let mut client = Client::connect(&broker);
    for i in 0..4 {
        let answer = client.request(&query_request("find", &format!("c{i}"), &[0, 1, 2], "2.5"));
        assert_eq!((answer.status, &answer.body["finished"]), (200, &json!(true)));
    }
    assert!(!nodes[0].frames_of_type('A').is_empty());
}

/// Only the first connection to a healthy node is silent: guards against waiting for it without end.
#[test]
fn silent_connection_is_replaced() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::HangOnFirstConnection);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let mut client = Client::connect(&broker);
    let served = |i| {
        std::thread::sleep(Duration::from_millis(50));
        client.request(&query_request("find", &format!("c{i}"), &[2], "0.5")).status == 200
    };
    assert!((0..50).any(served));
}

/// Surplus bytes after a valid response or within it must not make the broker lose the response's value, or that of
/// the next response.
#[rstest]
#[case::duplicate_response(NodeBehavior::ServeThenRaw(b"\0\0\0\x11Ec0.2 hit 7 -\nv-q1"))]
#[case::invalid_bytes(NodeBehavior::ServeThenRaw(b"?!?!?!?!"))]
#[case::partial_frame(NodeBehavior::ServeThenRaw(b"\0\0\0\x30E"))]
#[case::invalid_load_report(NodeBehavior::ServeWithFields("hit 7 {\"load\": zz, "))]
fn surplus_bytes_do_not_spoil_a_response(#[case] behavior: NodeBehavior) {
    let nodes = nodes(1);
    nodes[0].set_behavior(behavior);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let mut client = Client::connect(&broker);
    for i in 0..3 {
        let answer = client.request(&query_request("fix", &format!("c{i}"), &[2], "2.0"));
        assert_eq!((answer.status, &answer.body["found"][0]["item"]), (200, &json!("v-q1")));
    }
}

/// The attempt may have run, and its connection can no longer be read: the attempt fails at once, with an unknown
/// outcome.
#[rstest]
#[case::another_id(NodeBehavior::ReplyRaw(b"\0\0\0\x10Ec9.2 hit 7 -\nv-q"))]
#[case::incomplete_frame(NodeBehavior::ReplyRaw(b"\0\0\0\x30Ec0.2 hit 7 -\nv-"))]
#[case::frame_length_of_three_gigabytes(NodeBehavior::ReplyRaw(b"\xb2\xd0\x5e\0Ec0.2 hit 7 -\nv-"))]
#[case::invalid_score(NodeBehavior::ServeWithFields("hit x -"))]
#[case::unknown_outcome(NodeBehavior::ServeWithFields("hitt 7 -"))]
fn malformed_response_fails_its_attempt_at_once(#[case] behavior: NodeBehavior) {
    let nodes = nodes(1);
    nodes[0].set_behavior(behavior);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let (mut client, start) = (Client::connect(&broker), Instant::now());
    assert_eq!(client.request(&query_request("fix", "c0", &[2], "2.9")).status, 502);
    assert!(start.elapsed() < Duration::from_millis(1500));
    nodes[0].set_behavior(NodeBehavior::Serve);
    assert_eq!(client.request(&query_request("fix", "c1", &[2], "2.0")).status, 200);
}

/// Once the last byte of its frame is written, an attempt may have run, unless the node rejects it. Rejecting its
/// query as retriable would be wrong.
#[rstest]
#[case(NodeBehavior::CloseMidFrame, 502)]
#[case(NodeBehavior::ReplyStatus("fault"), 502)]
#[case(NodeBehavior::ReplyStatus("overload"), 429)]
fn non_idempotent_query_is_retriable_only_if_it_never_ran(
    #[case] behavior: NodeBehavior,
    #[case] status: u16,
) {
    let nodes = nodes(1);
    nodes[0].set_behavior(behavior);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let answer = Client::connect(&broker).request(&query_request("fix", "c1", &[2], "1.0"));
    assert_eq!(answer.status, status);
    assert_eq!(answer.header.contains("Retry-After: "), status == 429);
    assert_eq!(nodes[0].frames_of_type('A').len(), 1);
}

#[test]
fn refused_connection_is_retriable() {
    let nodes = nodes(1);
    let mut gone = nodes[0].endpoint("ready");
    // The socket is bound, so that no other process gets the port, but it does not listen, so that connections are
    // refused.
    let closed = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    closed.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    gone["dial"] = json!(closed.local_addr().unwrap().as_socket().unwrap().to_string());
    let list = DiscoveryServer::start(vec![gone.clone()]);
    let broker = Broker::start(&config(list.address, vec![gone]));
    assert_eq!(Client::connect(&broker).request(&query_request("fix", "c1", &[2], "1.0")).status, 429);
}

#[test]
fn client_close_cancels_its_attempts() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[2], "2.0"));
    nodes[0].wait_for_frames('A', 1);
    drop(client);
    nodes[0].wait_for_frames('B', 1);
    assert_eq!(nodes[0].frames_of_type('B'), ["c1.2"]);
    nodes[0].set_behavior(NodeBehavior::ServeAfterStaleReply);
    let answer = Client::connect(&broker).request(&query_request("find", "c2", &[2], "2.0"));
    assert_eq!((answer.status, &answer.body["found"][0]["item"]), (200, &json!("v-q1")));
    assert_eq!(nodes[0].connection_count(), 1);
}

#[test]
fn disabled_cancellation_sends_no_cancel_frames() {
    let nodes = nodes(2);
    nodes.iter().for_each(|n| n.set_behavior(NodeBehavior::Hang));
    let (broker, _list) = Broker::start_with_config_value(&nodes, "/settings/ceilings/cancel", json!(false));
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("fix", "c1", &[0], "0.3")).status, 502);
    nodes.iter().for_each(|n| n.set_behavior(NodeBehavior::Serve));
    // Waits until the first query's time budget is over, which is shortly after its response.
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(client.request(&query_request("find", "c2", &[1, 2], "2.0")).status, 200);
    assert!(nodes.iter().all(|n| n.frames_of_type('B').is_empty()));
}
