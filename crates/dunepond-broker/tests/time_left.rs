//! A request's time budget counts from its arrival. Guards against attempts that may run for longer than the client
//! waits, after the request waited behind another request, during a stall of the process or in the backlog.

use std::thread::sleep;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{
    Broker, Client, DiscoveryServer, Node, NodeBehavior, config, query_request, set_timeouts,
};
use rstest::rstest;

/// How much the time limit in an attempt's frame may exceed the client's remaining time, in milliseconds.
const SLACK_MS: f64 = 150.0;
/// Tolerance for delays of the stand-ins themselves on a busy machine, in milliseconds.
const STAND_INS_MS: f64 = 50.0;

/// Returns when a node received the part whose id has this prefix, and the time limit in its frame in milliseconds.
fn time_limit(nodes: &[Node], id: &str) -> Option<(Instant, f64)> {
    let at_node = |node: &Node| {
        let at = node.part_arrivals().into_iter().find(|(_, part)| part.starts_with(id))?.0;
        let frame = node.frames_of_type('A').into_iter().find(|frame| frame.starts_with(id))?;
        let wait = frame.split([' ', '\n']).find_map(|word| word.strip_prefix("d=")?.parse().ok())?;
        Some((at, wait))
    };
    nodes.iter().find_map(at_node)
}

/// Asserts that the time limit in the part's frame, if it was sent, does not exceed its client's remaining time budget.
fn assert_within(nodes: &[Node], id: &str, sent: Instant, budget_ms: f64) {
    if let Some((at, wait)) = time_limit(nodes, id) {
        let left = budget_ms - 1000.0 * at.duration_since(sent).as_secs_f64();
        assert!(wait <= left + SLACK_MS + STAND_INS_MS, "{id}: d={wait}, {left:.0} ms left");
    }
}

/// Two requests are sent at once; no node answers the first one until its time budget is spent.
#[test]
fn pipelined_request_has_its_remaining_time() {
    let nodes = [Node::start("s-0"), Node::start("s-1")];
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let (broker, _list) = Broker::start_with_config(&nodes, |config| set_timeouts(config, 1000.0));
    let mut client = Client::connect(&broker);
    let sent = Instant::now();
    client.send(&["c1", "c2"].map(|id| query_request("fix", id, &[1], "1.0")).concat());
    while time_limit(&nodes, "c1.").is_none() {
        sleep(Duration::from_millis(5));
    }
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Serve));
    assert_eq!(client.read_response().unwrap().status, 502);
    assert!(client.read_response().is_some());
    assert_within(&nodes, "c2.", sent, 1000.0);
}

/// A request arrives while the process is stopped, on an accepted connection or on one in the backlog.
#[rstest]
fn request_during_a_stall_has_its_remaining_time(#[values(true, false)] accepted: bool) {
    let nodes = [Node::start("s-0")];
    let (broker, _list) = Broker::start_with_config(&nodes, |config| set_timeouts(config, 1500.0));
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("find", "c1", &[1], "1.0")).status, 200);
    broker.signal("STOP");
    if !accepted {
        client = Client::connect(&broker);
    }
    let sent = Instant::now();
    client.send(&query_request("find", "c2", &[1], "1.0"));
    sleep(Duration::from_millis(600));
    broker.signal("CONT");
    assert!(client.read_response().is_some());
    assert_within(&nodes, "c2.", sent, 1000.0);
}

/// A request waits in the backlog, as no connection is accepted before the first endpoint list or the timeout for it.
#[test]
fn request_before_the_first_list_has_its_remaining_time() {
    let nodes = [Node::start("s-0")];
    let lines = vec![nodes[0].endpoint("ready")];
    let list = DiscoveryServer::start(lines.clone());
    list.stop_replying();
    let broker = Broker::start(&config(list.address, lines));
    let mut client = Client::connect(&broker);
    let sent = Instant::now();
    client.send(&query_request("find", "c1", &[1], "2.0"));
    assert!(client.read_response().is_some());
    assert_within(&nodes, "c1.", sent, 2000.0);
}
