//! The endpoint list when discovery does not respond, truncates responses or responds late.

mod agent;

use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, config, query_request};
use rstest::rstest;
use serde_json::json;

use agent::{
    Agent, MAX_UPDATE_DELAY, assert_only_second_node_serves, broker_with_watch, first_node_draining,
    full_list, http_response, nodes,
};

/// Guards against waiting without end on one broken connection to a healthy agent.
#[rstest]
#[case::no_response("")]
#[case::after_half_a_head("HTTP/1.1 200 OK\r\nContent-")]
#[case::after_half_a_list("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"seq\":2,")]
fn silent_watch_gets_second_call(#[case] sent: &str) {
    let nodes = nodes();
    let (broker, agent, mut silent) = broker_with_watch(1, &nodes);
    let since = Instant::now();
    silent.write_text(sent);
    // The second call gets no response either.
    let (_silent_too, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// A response without a length ends when the agent closes the connection regularly.
#[test]
fn list_without_length_ends_at_close() {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(1, &nodes);
    call.write_text(&format!("HTTP/1.1 200 OK\r\n\r\n{}", first_node_draining(2, &nodes)));
    drop(call);
    let (_next, path) = agent.accept_request();
    assert!(path.starts_with("/v1/endpoints?index=2&"), "{path}");
    assert_only_second_node_serves(&broker, &nodes);
}

/// A response without a length is incomplete if the connection is reset, or closed within the list.
#[rstest]
#[case::reset(true)]
#[case::cut_short(false)]
fn truncated_list_without_length_requested_again(#[case] reset: bool) {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(1, &nodes);
    let text = full_list(2, vec![nodes[0].endpoint("ready")]).to_string();
    call.write_text(&format!(
        "HTTP/1.1 200 OK\r\n\r\n{}",
        if reset { &text } else { &text[..text.len() / 2] }
    ));
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

/// Two calls are open, and both are answered. Guards against regarding the response that arrives second as the newer
/// list.
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
    // The complete list is requested at once, not after a watch has timed out.
    assert!(since.elapsed() < Duration::from_millis(1400), "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    call.read_request();
    assert_only_second_node_serves(&broker, &nodes);
}

/// The configured list is older than the agent's list, and must not be used while the agent may still respond.
#[rstest]
#[case::late_response(false)]
#[case::no_response_to_the_first_call(true)]
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
    assert_eq!(client.read_response().unwrap().status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (0, 1));
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

/// A configuration reload switches to another agent; the old agent does not respond, and neither does the new one at
/// first.
#[test]
fn silent_new_agent_called_again() {
    let nodes = nodes();
    let (broker, _old, _silent) = broker_with_watch(1, &nodes);
    let new = Agent::start();
    let since = Instant::now();
    broker.reload_config(&config(new.address(), vec![]));
    // The first connection is closed without a response, the second one stays open without a response.
    drop(new.accept());
    let (_silent_too, path) = new.accept_request();
    assert_eq!(path, "/v1/endpoints");
    let (mut call, _) = new.accept_request();
    call.answer(&first_node_draining(1, &nodes));
    assert!(call.read_request().contains("index=1&"));
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
    assert_only_second_node_serves(&broker, &nodes);
}

/// A list of two hundred nodes that is padded with white space to the largest size that is allowed.
#[test]
fn list_may_be_indented() {
    let nodes = nodes();
    let (broker, _agent, mut call) = broker_with_watch(1, &nodes);
    let mut rows: Vec<_> = (2..200)
        .map(|i| json!({"host": format!("s-{i}"), "dial": "127.0.0.1:1", "block": 0, "health": "draining"}))
        .collect();
    rows.extend([nodes[0].endpoint("draining"), nodes[1].endpoint("ready")]);
    let mut text = serde_json::to_string_pretty(&full_list(2, rows)).unwrap().replace('\n', "\r\n\t");
    assert!(text.len() < 65536, "{}", text.len());
    text += &" ".repeat(65536 - text.len());
    call.write_text(&http_response(&text));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}
