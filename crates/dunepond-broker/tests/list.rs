//! The endpoint list when discovery is silent, truncates responses or answers late.

mod agent;

use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, config, query_request};
use rstest::rstest;
use serde_json::json;

use agent::{
    Agent, MAX_UPDATE_DELAY, assert_only_second_node_serves, broker_with_watch, first_node_draining,
    full_list, http_response, nodes,
};

/// Guards against waiting for ever on one broken connection of a healthy agent.
#[rstest]
#[case::no_response("")]
#[case::after_half_a_head("HTTP/1.1 200 OK\r\nContent-")]
#[case::after_half_a_list("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"seq\":2,")]
fn silent_watch_gets_second_call(#[case] sent: &str) {
    let nodes = nodes();
    let (broker, agent, mut silent) = broker_with_watch(1, &nodes);
    let since = Instant::now();
    silent.say(sent);
    // The next call may be silent, too.
    let (_silent_too, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// A response without a length ends at a regular close.
#[test]
fn list_without_length_ends_at_close() {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(1, &nodes);
    call.say(&format!("HTTP/1.1 200 OK\r\n\r\n{}", first_node_draining(2, &nodes)));
    drop(call);
    let (_next, path) = agent.accept_request();
    assert!(path.starts_with("/v1/endpoints?index=2&"), "{path}");
    assert_only_second_node_serves(&broker, &nodes);
}

/// A reset does not end a response, nor does a close within the list.
#[rstest]
#[case::reset(true)]
#[case::cut_short(false)]
fn truncated_list_without_length_requested_again(#[case] reset: bool) {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(1, &nodes);
    let text = full_list(2, vec![nodes[0].endpoint("ready")]).to_string();
    call.say(&format!("HTTP/1.1 200 OK\r\n\r\n{}", if reset { &text } else { &text[..text.len() / 2] }));
    if reset {
        call.reset();
    } else {
        drop(call);
    }
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    call.answer(&first_node_draining(3, &nodes));
    assert!(call.read_request().contains("index=3&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// Guards against taking the later of two crossed responses for newer.
#[rstest]
fn first_of_crossed_answers_wins(#[values(false, true)] late_first: bool) {
    let nodes = nodes();
    let (broker, agent, mut late) = broker_with_watch(1, &nodes);
    let (mut beside, _) = agent.accept_request();
    let (first, second) = if late_first { (&mut late, &mut beside) } else { (&mut beside, &mut late) };
    first.answer(&first_node_draining(3, &nodes));
    assert!(first.read_request().contains("index=3&"));
    second.answer(&full_list(2, vec![nodes[0].endpoint("ready")]));
    second.wait_closed();
    assert_only_second_node_serves(&broker, &nodes);
}

#[test]
fn non_contiguous_changes_trigger_full_list() {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(1, &nodes);
    let since = Instant::now();
    call.answer(&json!({"seq": 0, "whole": false, "hosts": [nodes[0].endpoint("ready")]}));
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    // At once, not after the time of a watch.
    assert!(since.elapsed() < Duration::from_millis(1400), "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    call.read_request();
    assert_only_second_node_serves(&broker, &nodes);
}

/// The configured list is older than what the agent has.
#[rstest]
#[case::late(false)]
#[case::silent_on_its_first_call(true)]
fn no_service_before_first_list(#[case] silent_first: bool) {
    let nodes = nodes();
    let agent = Agent::start();
    let broker = Broker::start(&config(agent.address(), vec![nodes[0].endpoint("ready")]));
    let (mut call, _) = agent.accept_request();
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c9", &[0], "2.0"));
    std::thread::sleep(Duration::from_millis(200));
    let _silent = silent_first.then(|| std::mem::replace(&mut call, agent.accept_request().0));
    call.answer(&first_node_draining(2, &nodes));
    assert_eq!(client.read_answer().unwrap().status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 1));
}

#[test]
fn configured_list_used_when_discovery_is_silent() {
    let nodes = nodes();
    let agent = Agent::start();
    let broker = Broker::start(&config(agent.address(), vec![nodes[0].endpoint("ready")]));
    let since = Instant::now();
    let mut client = Client::connect(&broker);
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    assert!(since.elapsed() > Duration::from_millis(500), "{:?}", since.elapsed());
    assert_eq!(client.request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
}

/// SIGHUP changes the agent; both the old and, at first, the new one are silent.
#[test]
fn silent_new_agent_called_again() {
    let nodes = nodes();
    let (broker, _old, _silent) = broker_with_watch(1, &nodes);
    let new = Agent::start();
    let since = Instant::now();
    broker.reload_config(&config(new.address(), vec![]));
    // One connection is closed without a response, one stays silent.
    drop(new.accept());
    let (_silent_too, path) = new.accept_request();
    assert_eq!(path, "/v1/endpoints");
    let (mut call, _) = new.accept_request();
    call.answer(&first_node_draining(1, &nodes));
    assert!(call.read_request().contains("index=1&"));
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
    assert_only_second_node_serves(&broker, &nodes);
}

/// Two hundred nodes, and as much white space as the limit on a list allows.
#[test]
fn list_may_be_indented() {
    let nodes = nodes();
    let (broker, _agent, mut call) = broker_with_watch(1, &nodes);
    let mut lines: Vec<_> = (2..200)
        .map(|i| json!({"host": format!("s-{i}"), "dial": "127.0.0.1:1", "block": 0, "health": "draining"}))
        .collect();
    lines.extend([nodes[0].endpoint("draining"), nodes[1].endpoint("ready")]);
    let mut text = serde_json::to_string_pretty(&full_list(2, lines)).unwrap().replace('\n', "\r\n\t");
    assert!(text.len() < 65536, "{}", text.len());
    text += &" ".repeat(65536 - text.len());
    call.say(&http_response(&text));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}
