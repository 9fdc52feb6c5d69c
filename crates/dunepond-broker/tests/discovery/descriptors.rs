//! Connections to the discovery agent and to nodes while idle clients occupy all file descriptors.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, Node, config, query_request};

use crate::agent::{Agent, Call, assert_only_second_node_serves, first_node_draining, full_list, nodes};

/// The broker's limit of file descriptors.
const DESCRIPTORS: usize = 40;
/// Number of idle clients, more than the broker has descriptors.
const IDLE_CLIENTS: usize = 300;

/// Starts a broker whose descriptors are all used by idle clients, although its configuration allows more; returns it
/// with its agent, its discovery call, a connected client and the idle clients.
fn broker_without_descriptors(nodes: &[Node; 2]) -> (Broker, Agent, Call, Client, Vec<TcpStream>) {
    let agent = Agent::start();
    let known = vec![nodes[0].endpoint("ready")];
    let broker = Broker::start_with_descriptor_limit(DESCRIPTORS, &config(agent.address(), known));
    let (mut call, _) = agent.accept_request();
    call.answer(&full_list(1, vec![nodes[0].endpoint("ready")]));
    call.read_request();
    let first = Client::connect(&broker);
    let idle_clients = (0..IDLE_CLIENTS).map(|_| TcpStream::connect(broker.address).unwrap()).collect();
    let folder = format!("/proc/{}/fd", broker.pid());
    while std::fs::read_dir(&folder).unwrap().count() < DESCRIPTORS {
        std::thread::yield_now();
    }
    (broker, agent, call, first, idle_clients)
}

/// The discovery connection breaks while idle clients use all descriptors and more clients wait in the backlog.
#[test]
fn discovery_call_frees_descriptor() {
    let nodes = nodes();
    let (broker, agent, call, first, idle_clients) = broker_without_descriptors(&nodes);
    let since = Instant::now();
    drop(call);
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    drop((first, idle_clients));
    assert_only_second_node_serves(&broker, &nodes);
}

#[test]
fn node_connection_frees_descriptor() {
    let nodes = nodes();
    let (_broker, _agent, _call, mut first, _idle_clients) = broker_without_descriptors(&nodes);
    assert_eq!(first.request(&query_request("fix", "c1", &[0], "2.0")).status, 200);
    assert_eq!(nodes[0].frames_of_type('A').len(), 1);
}
