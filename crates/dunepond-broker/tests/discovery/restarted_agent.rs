//! A discovery agent that restarts or is replaced: the broker follows its list although its versions are lower.

use std::net::TcpListener;
use std::time::Instant;

use dunepond_testkit::stand_ins::config;

use crate::agent::{
    Agent, MAX_UPDATE_DELAY, assert_only_second_node_serves, broker_with_watch, first_node_draining,
    full_list, nodes,
};

/// The agent is down for some calls; its versions then restart from 1.
#[test]
fn restarted_agent_is_followed_from_first_version() {
    let nodes = nodes();
    let (broker, agent, call) = broker_with_watch(41, &nodes);
    let address = agent.address();
    drop((agent, call));
    while broker.log_text().matches("refused").count() < 4 {
        std::thread::yield_now();
    }
    let since = Instant::now();
    let agent = Agent(TcpListener::bind(address).unwrap());
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
    call.answer(&first_node_draining(1, &nodes));
    assert!(call.read_request().contains("index=1&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// The old watch stays open without a response; the list with the lower version is the newer one.
#[test]
fn restarted_agent_with_lower_versions_is_followed() {
    let nodes = nodes();
    let (broker, agent, _silent) = broker_with_watch(41, &nodes);
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    call.answer(&first_node_draining(1, &nodes));
    assert!(call.read_request().contains("index=1&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// Guards against attributing the old agent's response to the new agent: after a stall, the response and the reload are handled
/// together.
#[test]
fn old_agent_answer_holds_until_new_agent_answers() {
    let nodes = nodes();
    let (broker, _old, mut call) = broker_with_watch(41, &nodes);
    broker.signal("STOP");
    let stat = format!("/proc/{}/stat", broker.pid());
    while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
        std::thread::yield_now();
    }
    call.answer(&full_list(42, vec![nodes[0].endpoint("ready"), nodes[1].endpoint("ready")]));
    let new = Agent::start();
    broker.reload_config(&config(new.address(), vec![]));
    broker.signal("CONT");
    let (mut new_call, path) = new.accept_request();
    assert_eq!(path, "/v1/endpoints");
    new_call.answer(&first_node_draining(1, &nodes));
    assert!(new_call.read_request().contains("index=1&"));
    call.wait_closed();
    assert_only_second_node_serves(&broker, &nodes);
}
