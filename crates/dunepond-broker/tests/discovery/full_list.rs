//! When the broker requests a complete list after a change, and what happens to nodes that are missing from it.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, config, query_request};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use crate::agent::{
    assert_only_second_node_serves, broker_awaiting_list, broker_with_watch, first_node_draining, full_list,
    nodes,
};

/// A change with a lower version than the broker's list cannot be applied to that list.
#[test]
fn lower_version_change_triggers_full_list() {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(41, &nodes);
    call.answer(&json!({"seq": 3, "whole": false, "hosts": []}));
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    call.answer(&first_node_draining(3, &nodes));
    assert!(call.read_request().contains("index=3&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// A watch does not repeat a change, so the state in an invalid row would stay unknown without a complete list.
#[rstest]
#[case::health("health", json!("drain"))]
#[case::block("block", json!("0"))]
#[case::address("dial", json!("here"))]
fn invalid_row_in_change_triggers_full_list(#[case] key: &str, #[case] value: Value) {
    let nodes = nodes();
    let (broker, _agent, mut call) = broker_with_watch(1, &nodes);
    let mut invalid = nodes[0].endpoint("draining");
    invalid[key] = value;
    call.answer(&json!({"seq": 2, "whole": false, "hosts": [invalid, nodes[1].endpoint("ready")]}));
    assert_eq!(call.read_request(), "/v1/endpoints");
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// The row stays invalid: the broker requests the list once more and then accepts it without the row.
#[test]
fn full_list_with_invalid_row_requested_once_more() {
    let nodes = nodes();
    let (broker, _agent, mut call) = broker_awaiting_list(&nodes);
    let mut invalid = nodes[0].endpoint("ready");
    invalid["health"] = json!("asleep");
    let all = full_list(5, vec![invalid, nodes[1].endpoint("ready")]);
    call.answer(&all);
    assert_eq!(call.read_request(), "/v1/endpoints");
    call.answer(&all);
    assert!(call.read_request().contains("index=5&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// Returns a listener whose accept queue is full, so that connecting to it hangs; its address; and the addresses of
/// the connections that fill the queue.
fn unreachable_listener() -> (TcpListener, SocketAddr, Vec<SocketAddr>) {
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full.listen(0).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    // The connections stay in the accept queue even after they are closed.
    let fill = (0..3).filter_map(connect).map(|stream| stream.local_addr().unwrap()).collect();
    (full.into(), address, fill)
}

/// While the connection to a node is being established, a complete list without that node arrives: its parts go to
/// another node, and nothing is written to the connection once it is established.
#[test]
fn connecting_parts_leave_unlisted_node() {
    let (full, address, fill) = unreachable_listener();
    let nodes = nodes();
    let mut late = nodes[0].endpoint("ready");
    late["dial"] = json!(address.to_string());
    let list = DiscoveryServer::start(vec![late.clone(), nodes[1].endpoint("ready")]);
    let mut config = config(list.address, vec![late, nodes[1].endpoint("ready")]);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    let broker = Broker::start(&config);
    let mut clients: Vec<_> = (0..6).map(|_| Client::connect(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&query_request("fix", &format!("c{i}"), &[i], "2.5"));
    }
    nodes[1].wait_for_frames('A', 1);
    list.publish(vec![nodes[1].endpoint("ready")]);
    assert!(clients.iter_mut().all(|client| client.read_response().unwrap().status == 200));
    // Once the queue has room the connection is established by the next SYN, after a second.
    let mut accepted =
        std::iter::repeat_with(|| full.accept().unwrap()).find(|(_, peer)| !fill.contains(peer)).unwrap().0;
    accepted.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(accepted.read(&mut [0; 100]).unwrap(), 0);
}
