//! Shutdown, configuration reload and restart of the process.

use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, NodeBehavior, config, query_request};
use serde_json::json;

use super::nodes;

#[test]
fn sigterm_drains_and_exits_with_0() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, _list) = Broker::start_with_nodes(&nodes);
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[2], "1.6"));
    nodes[0].wait_for_frames('A', 1);
    broker.signal("TERM");
    let mut other = Client::connect(&broker);
    let until = Instant::now() + Duration::from_secs(5);
    while other.request("GET /ready HTTP/1.1\r\n\r\n").status != 503 {
        assert!(Instant::now() < until, "the broker is still ready after SIGTERM");
    }
    nodes[0].set_behavior(NodeBehavior::Serve);
    assert_eq!(other.request(&query_request("find", "c2", &[1], "2.0")).status, 200);
    // Idle connections and the listener are closed; queries in flight still get their responses.
    assert!(other.read_response().is_none());
    assert_eq!(client.read_response().unwrap().status, 502);
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// The reload switches to the file's discovery address, although the environment still has the old one. Before that,
/// an invalid configuration file must not change anything.
#[test]
fn sighup_reloads_and_switches_discovery() {
    let nodes = nodes(2);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, old) = Broker::start_with_nodes(&nodes[..1]);
    old.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[2], "2.5"));
    nodes[0].wait_for_frames('A', 1);
    let mut bad = config(old.address, vec![]);
    bad["settings"]["services"][0]["semantics"] = json!("maybe");
    broker.reload_config(&bad);
    std::fs::write(&broker.config_file, "{").unwrap();
    broker.signal("HUP");
    let new = DiscoveryServer::start(vec![nodes[0].endpoint("draining"), nodes[1].endpoint("ready")]);
    broker.reload_config(&config(new.address, vec![]));
    new.wait_until_newest_version_polled();
    let mut other = Client::connect(&broker);
    assert_eq!(other.request(&query_request("fix", "c2", &[2], "2.0")).status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (1, 1));
    // The query in flight is still answered, and SIGTERM right after a reload works as usual.
    assert_eq!(client.read_response().unwrap().status, 502);
    broker.reload_config(&config(old.address, vec![]));
    broker.signal("TERM");
    assert_eq!(broker.exit_code(), Some(0));
}

#[test]
fn killed_broker_restarts_at_its_address() {
    let nodes = nodes(1);
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let mut config = config(list.address, vec![nodes[0].endpoint("ready")]);
    let first = Broker::start(&config);
    config["listen"] = json!(first.address.to_string());
    let mut client = Client::connect(&first);
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    drop(first);
    assert!(client.read_response().is_none());
    let again = Broker::start(&config);
    assert_eq!(Client::connect(&again).request(&query_request("find", "c2", &[0], "2.0")).status, 200);
}
