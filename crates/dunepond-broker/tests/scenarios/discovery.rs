//! Endpoint lists with nodes that are added, removed, draining or moved, and discovery agents that stop responding or restart.

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, Node, config, query_request};
use rstest::rstest;
use serde_json::json;

use super::nodes;

/// Guards against tables that grow without bound when nodes are replaced by nodes with new names.
#[test]
fn removed_nodes_free_their_indices() {
    let nodes = nodes(9);
    let (broker, list) = Broker::start_with_nodes(&nodes[..2]);
    let mut client = Client::connect(&broker);
    for i in 0..8 {
        list.publish(vec![nodes[i].endpoint("ready"), nodes[i + 1].endpoint("ready")]);
        list.wait_until_newest_version_polled();
        for j in 0..4 {
            let answer = client.request(&query_request("find", &format!("c{i}-{j}"), &[0, 1], "2.0"));
            assert_eq!((answer.status, &answer.body["finished"]), (200, &json!(true)));
        }
    }
    let log = broker.log_text();
    assert!(log.contains("node 2 is ") && !log.contains("node 3 is "));
    // Each node has only connections whose opening was logged; on a slow machine a late attempt can open one more.
    let opened = |node: &Node| log.matches(&format!("node {}: opening", node.name)).count();
    assert!(nodes.iter().all(|n| n.connection_count() <= opened(n)));
    (0..7).for_each(|i| nodes[i].wait_for_closed_connections(nodes[i].connection_count()));
}

#[test]
fn last_list_is_used_while_discovery_is_silent() {
    let nodes = nodes(2);
    let list = DiscoveryServer::start(vec![]);
    list.stop_replying();
    let broker = Broker::start(&config(list.address, vec![nodes[0].endpoint("ready")]));
    let mut client = Client::connect(&broker);
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    list.publish(vec![nodes[1].endpoint("ready")]);
    list.wait_until_newest_version_polled();
    assert_eq!(client.request(&query_request("find", "c2", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (1, 1));
}

#[test]
fn draining_node_gets_nothing_new() {
    let nodes = nodes(2);
    let (broker, list) = Broker::start_with_nodes(&nodes);
    list.wait_until_newest_version_polled();
    let invalid_row = json!({"host": "s-9", "dial": "nowhere", "block": 0, "health": "ready"});
    list.publish(vec![invalid_row, nodes[0].endpoint("draining"), nodes[1].endpoint("ready")]);
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    for i in 0..5 {
        assert_eq!(client.request(&query_request("find", &format!("c{i}"), &[0, 1], "2.0")).status, 200);
    }
    assert_eq!(nodes[0].frames_of_type('A').len(), 0);
}

#[test]
fn broker_without_a_list_is_not_ready() {
    let list = DiscoveryServer::start(vec![]);
    let broker = Broker::start(&config(list.address, vec![]));
    let mut client = Client::connect(&broker);
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").status, 503);
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 429);
}

#[test]
fn restarted_discovery_agent_is_followed() {
    let nodes = nodes(2);
    let (broker, list) = Broker::start_with_nodes(&nodes[..1]);
    for _ in 0..3 {
        list.publish(vec![nodes[0].endpoint("ready")]);
        list.wait_until_newest_version_polled();
    }
    list.restart(vec![nodes[1].endpoint("ready")]);
    list.wait_until_newest_version_polled();
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (0, 1));
}

/// Guards against polling in a busy loop when the agent answers each watch at once.
#[rstest]
fn immediate_discovery_responses_do_not_cause_a_busy_loop(#[values(false, true)] closes: bool) {
    let nodes = nodes(2);
    let (broker, list) = Broker::start_with_nodes(&nodes[..1]);
    let request_rate = list.measure_immediate_poll_rate(closes);
    assert!((1.0..30.0).contains(&request_rate), "{request_rate}");
    list.publish(vec![nodes[1].endpoint("ready")]);
    list.wait_until_newest_version_polled();
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (0, 1));
}

#[test]
fn moved_node_is_used_at_its_new_address() {
    let nodes = nodes(2);
    let (broker, list) = Broker::start_with_nodes(&nodes[..1]);
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    let mut line = nodes[0].endpoint("ready");
    line["dial"] = json!(nodes[1].address.to_string());
    list.publish(vec![line]);
    list.wait_until_newest_version_polled();
    assert_eq!(client.request(&query_request("find", "c2", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (1, 1));
    nodes[0].wait_for_closed_connections(1);
}
