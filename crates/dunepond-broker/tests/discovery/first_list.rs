//! Readiness and queries before the first endpoint list.

use std::time::Instant;

use dunepond_testkit::stand_ins::{Broker, Client, config, query_request};
use rstest::rstest;
use serde_json::{Value, json};

use crate::agent::{Agent, MAX_UPDATE_DELAY, first_node_draining, nodes};

/// A broker without a configured list is not ready until discovery sends one.
#[rstest]
#[case::no_list(Value::Null)]
#[case::no_nodes(json!({"seq": 1, "whole": true, "hosts": []}))]
fn ready_after_first_list_without_configured_one(#[case] known: Value) {
    let nodes = nodes();
    let agent = Agent::start();
    let mut config = config(agent.address(), vec![]);
    config["known"] = known;
    let broker = Broker::start(&config);
    let _silent = agent.accept_request();
    let mut client = Client::connect(&broker);
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").status, 503);
    let since = Instant::now();
    let (mut call, _) = agent.accept_request();
    call.answer(&first_node_draining(1, &nodes));
    call.read_request();
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
}

/// The system establishes connections that the broker does not accept before its first list or the timeout for it.
/// Their requests are rejected within their deadlines.
#[test]
fn query_before_first_list_rejected_in_time() {
    let nodes = nodes();
    let agent = Agent::start();
    let mut config = config(agent.address(), vec![nodes[0].endpoint("ready")]);
    config["settings"]["services"][1]["deadlineMs"] = json!(600.0);
    config["settings"]["services"][1]["aimMs"] = json!(300.0);
    let broker = Broker::start(&config);
    let (mut call, _) = agent.accept_request();
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("fix", "c1", &[0], "0.6")).status, 429);
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    assert_eq!(client.request(&query_request("fix", "c2", &[0], "0.6")).status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (0, 1));
}
