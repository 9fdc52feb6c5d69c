//! Connections to nodes: batches of attempts, idle timeouts, replaced nodes and connect timeouts.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, NodeBehavior, config, query_request};
use serde_json::json;
use socket2::{Domain, Socket, Type};

use super::nodes;

#[test]
fn excess_attempts_open_another_connection() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (broker, _list) =
        Broker::start_with_config_value(&nodes, "/settings/ceilings/streamsPerConn", json!(2));
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0, 1, 2, 3, 4], "2.0"));
    nodes[0].wait_for_frames('A', 5);
    assert_eq!(nodes[0].connection_count(), 3);
}

#[test]
fn attempts_of_one_batch_share_a_frame() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (broker, _list) =
        Broker::start_with_config_value(&nodes, "/settings/familyInfo/partsACall", json!(2));
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0, 1, 2], "2.0"));
    nodes[0].wait_for_frames('A', 2);
    let parts: Vec<_> = nodes[0].frames_of_type('A').iter().map(|f| f.matches(" d=").count()).collect();
    assert_eq!(parts, [2, 1]);
}

#[test]
fn idle_connection_is_closed_before_the_node_closes_it() {
    let nodes = nodes(1);
    let (broker, _list) =
        Broker::start_with_config_value(&nodes, "/settings/ceilings/idleCloseMs", json!(100.0));
    let mut client = Client::connect(&broker);
    for count in 1..3 {
        assert_eq!(client.request(&query_request("find", &format!("c{count}"), &[0], "2.0")).status, 200);
        nodes[0].wait_for_closed_connections(count);
    }
}

/// Guards against connections that stay open without responses after a host failed and came back: they belong to its
/// old process.
#[test]
fn connections_to_a_replaced_process_are_closed() {
    let nodes = nodes(1);
    let (broker, list) = Broker::start_with_nodes(&nodes);
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    let mut line = nodes[0].endpoint("ready");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    list.publish(vec![line]);
    nodes[0].wait_for_closed_connections(1);
    assert_eq!(client.request(&query_request("find", "c2", &[0], "2.0")).status, 200);
    assert_eq!(nodes[0].connection_count(), 2);
}

/// Returns a listener that does not answer a connect, as after a host failure, because its backlog is full; and its address.
fn unreachable_listener() -> (TcpListener, SocketAddr) {
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full.listen(0).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50));
    // Established connections stay in the backlog even after their close.
    (0..3).for_each(|i| drop(connect(i)));
    (full.into(), address)
}

#[test]
fn connect_timeout_is_retriable() {
    let (_full, address) = unreachable_listener();
    let nodes = nodes(2);
    let mut unreachable = nodes[0].endpoint("ready");
    unreachable["dial"] = json!(address.to_string());
    let lines = vec![unreachable, nodes[1].endpoint("ready")];
    let list = DiscoveryServer::start(lines.clone());
    let broker = Broker::start(&config(list.address, lines));
    let mut client = Client::connect(&broker);
    for i in 0..4 {
        assert_eq!(client.request(&query_request("fix", &format!("c{i}"), &[2], "2.5")).status, 200);
    }
}

/// Guards against sending attempts to a node that has begun to drain; those that were not sent yet go to another node.
#[test]
fn attempts_awaiting_a_connection_leave_a_draining_node() {
    let (_full, address) = unreachable_listener();
    let nodes = nodes(2);
    let mut late = nodes[0].endpoint("ready");
    late["dial"] = json!(address.to_string());
    let list = DiscoveryServer::start(vec![late.clone(), nodes[1].endpoint("ready")]);
    let mut config = config(list.address, vec![late.clone(), nodes[1].endpoint("ready")]);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    let broker = Broker::start(&config);
    let mut clients: Vec<_> = (0..6).map(|_| Client::connect(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&query_request("fix", &format!("c{i}"), &[i], "2.5"));
    }
    nodes[1].wait_for_frames('A', 1);
    late["health"] = json!("draining");
    list.publish(vec![late, nodes[1].endpoint("ready")]);
    assert!(clients.iter_mut().all(|client| client.read_response().unwrap().status == 200));
}

/// Guards against sending attempts after their query's response: attempts that wait for a connection must end with
/// the query. With cancellation disabled, nothing else prevents the broker from sending them.
#[test]
fn attempts_awaiting_a_connection_end_with_their_query() {
    let (full, address) = unreachable_listener();
    let nodes = nodes(2);
    let mut late = nodes[0].endpoint("ready");
    late["dial"] = json!(address.to_string());
    let lines = vec![late, nodes[1].endpoint("ready")];
    let list = DiscoveryServer::start(lines.clone());
    let mut config = config(list.address, lines);
    config["settings"]["ceilings"]["cancel"] = json!(false);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    config["settings"]["familyInfo"]["wholeAt"] = json!([0.2, 1.0]);
    config["settings"]["familyInfo"]["leastShare"] = json!([0.2, 1.0]);
    let broker = Broker::start(&config);
    assert_eq!(
        Client::connect(&broker).request(&query_request("find", "c1", &[0, 1, 2, 3], "2.5")).status,
        200
    );
    // Makes room in the backlog: the broker's connection is established when the system retries the connect, after a second.
    let mut late = (0..9).map_while(|_| full.accept().ok()).find(|(stream, _)| {
        stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        // The connections that filled the backlog are closed and read as ended.
        !matches!(stream.peek(&mut [0]), Ok(0))
    });
    let received = late.as_mut().map(|(stream, _)| stream.read(&mut [0; 100]).unwrap_or(0));
    assert_eq!(received, Some(0));
}
