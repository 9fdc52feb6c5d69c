//! Limits on clients, connections, file descriptors and queries in flight.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, NodeBehavior, config, query_request};
use rstest::rstest;
use serde_json::json;

use super::nodes;

#[test]
fn bound_on_queries_in_flight_is_enforced() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (broker, _list) = Broker::start_with_config_value(&nodes, "/settings/ceilings/mostHeld", json!(4));
    let mut first = Client::connect(&broker);
    first.send(&query_request("find", "c1", &[0, 1, 2], "2.0"));
    nodes[0].wait_for_frames('A', 3);
    let rejected = Client::connect(&broker).request(&query_request("find", "c2", &[0], "2.0"));
    assert!(rejected.status == 503 && rejected.header.contains("Retry-After: 2.000"), "{rejected:?}");
    drop(first);
    nodes[0].wait_for_frames('B', 3);
    nodes[0].set_behavior(NodeBehavior::Serve);
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c3", &[0], "2.0")).status, 200);
}

#[test]
fn clients_beyond_the_bound_are_served_in_turn() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::start_with_config_value(&nodes, "/limits/sockets", json!(56));
    let mut clients = Vec::new();
    for i in 0..40 {
        let mut client = Client::connect(&broker);
        assert_eq!(client.request(&query_request("find", &format!("c{i}"), &[0], "5.0")).status, 200);
        clients.push(client);
    }
}

/// The maximum number of clients has just connected, and no further client waits to be accepted.
#[test]
fn no_eviction_without_a_waiting_client() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::start_with_config_value(&nodes, "/limits/sockets", json!(48));
    let mut clients: Vec<_> = (0..18).map(|_| Client::connect(&broker)).collect();
    std::thread::sleep(Duration::from_millis(50));
    for (i, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.request(&query_request("find", &format!("c{i}"), &[0], "2.0")).status, 200);
    }
}

/// Guards against eviction of a client whose next request arrived together with the previous one.
#[test]
fn waiting_client_is_not_evicted() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::SlowForShard(1));
    let (broker, _list) = Broker::start_with_config_value(&nodes, "/limits/sockets", json!(48));
    let mut first = Client::connect(&broker);
    first.send(&(query_request("find", "c1", &[0], "2.0") + &query_request("find", "c2", &[1], "2.0")));
    assert_eq!(first.read_response().unwrap().status, 200);
    let ready = |_| {
        let mut other = Client::connect(&broker);
        assert_eq!(other.request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
        other
    };
    let _others: Vec<_> = (0..20).map(ready).collect();
    assert_eq!(first.read_response().unwrap().status, 200);
}

/// Guards against silent clients that use up all connections.
#[rstest]
#[case::silent("", "", 64)]
#[case::partial_request(
    "POST /find HTTP/1.1\r\nX-Call-Id: c0\r\nContent-Length: 9\r\n\r\nhalf",
    "HTTP/1.1 408 ",
    1024
)]
fn silent_clients_time_out_and_block_no_others(
    #[case] sent: &str,
    #[case] expected: &str,
    #[case] sockets: usize,
) {
    let nodes = nodes(1);
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let mut config = config(list.address, vec![nodes[0].endpoint("ready")]);
    config["limits"] = json!({"memory_mb": 4, "sockets": sockets});
    let broker = Broker::start(&config);
    let start = Instant::now();
    let mut idlers: Vec<_> = (0..100).map(|_| Client::connect(&broker)).collect();
    // Writing may fail, as some clients are evicted at once.
    idlers.iter_mut().for_each(|idler| drop(idler.stream.write_all(sent.as_bytes())));
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    let mut last = String::new();
    let _ = idlers.pop().unwrap().stream.read_to_string(&mut last);
    assert!(last.starts_with(expected), "{last}");
    idlers.iter_mut().for_each(|idler| drop(idler.stream.read_to_end(&mut Vec::new())));
    assert!(start.elapsed() < Duration::from_secs(8));
}

/// A client sends one request and then keeps its connection open without another one.
#[test]
fn idle_client_is_closed() {
    let (broker, _list) = Broker::start_with_nodes(&nodes(1));
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

/// Guards against idle connections that use up the allowed number of client connections.
#[test]
fn idle_clients_beyond_their_share_are_closed() {
    let (broker, _list) = Broker::start_with_config_value(&nodes(1), "/limits/sockets", json!(88));
    let start = Instant::now();
    let send_query = |i| {
        let mut client = Client::connect(&broker);
        assert_eq!(client.request(&query_request("find", &format!("c{i}"), &[0], "2.0")).status, 200);
        client
    };
    let mut clients: Vec<_> = (0..40).map(send_query).collect();
    assert_eq!(clients[39].request(&query_request("find", "last", &[0], "2.0")).status, 200);
    assert!(clients[..28].iter_mut().all(|client| client.stream.read(&mut [0]).unwrap() == 0));
    assert!(start.elapsed() < Duration::from_secs(3));
}

#[test]
fn nodes_beyond_the_connection_bound_are_used_in_turn() {
    let nodes = nodes(20);
    let (broker, _list) = Broker::start_with_config_value(&nodes, "/limits/sockets", json!(48));
    let mut client = Client::connect(&broker);
    for i in 0..40 {
        let answer = client.request(&query_request("find", &format!("c{i}"), &[0, 1, 2, 3], "2.0"));
        assert_eq!((answer.status, &answer.body["finished"]), (200, &json!(true)));
    }
    assert!(nodes.iter().filter(|n| n.connection_count() > 0).count() > 12);
}

/// Without a free descriptor accepting fails: it must pause without a crash or a busy loop, and resume once one is free.
#[test]
fn exhausted_descriptors_pause_accepting() {
    let nodes = nodes(1);
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let broker =
        Broker::start_with_descriptor_limit(16, &config(list.address, vec![nodes[0].endpoint("ready")]));
    let mut first = Client::connect(&broker);
    assert_eq!(first.request(&query_request("find", "c1", &[0], "5.0")).status, 200);
    let mut excess: Vec<_> = (0..30).map(|_| Client::connect(&broker)).collect();
    assert_eq!(first.request(&query_request("find", "c2", &[0], "5.0")).status, 200);
    let mut last = excess.pop().unwrap();
    drop(excess);
    assert_eq!(last.request(&query_request("find", "c3", &[0], "5.0")).status, 200);
}

/// Guards against unread responses that accumulate in memory.
#[test]
fn client_that_reads_no_responses_is_not_read_further() {
    let (broker, _list) = Broker::start_with_nodes(&nodes(1));
    let mut not_reading = Client::connect(&broker);
    not_reading.stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let ready = "GET /ready HTTP/1.1\r\n\r\n".repeat(1000);
    // The sockets' buffers hold a few MiB; the broker must have stopped reading long before all requests are sent.
    let sent = (0..5000).take_while(|_| not_reading.stream.write_all(ready.as_bytes()).is_ok()).count();
    assert!(sent < 5000, "the broker read all requests");
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c1", &[0], "2.0")).status, 200);
}
