//! What becomes of the list when discovery falls silent, breaks off or comes late: an agent led by hand.

mod agent;

use std::time::{Duration, Instant};

use dunepond_testkit::store::{Broker, Client, config, scan};
use rstest::rstest;
use serde_json::json;

use agent::{Agent, IN_TIME, answer, drained, list, nodes, only_the_second_serves, watching};

/// On its own connection it may stay silent for good, while the agent is well.
#[rstest]
#[case::wholly("")]
#[case::after_half_a_head("HTTP/1.1 200 OK\r\nContent-")]
#[case::after_half_a_list("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"seq\":2,")]
fn silent_watch_gets_second_call(#[case] said: &str) {
    let nodes = nodes();
    let (broker, agent, mut silent) = watching(1, &nodes);
    let since = Instant::now();
    silent.say(said);
    // Not even the next call need be answered.
    let (_silent_too, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    let (mut call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < IN_TIME, "{:?}", since.elapsed());
    call.answer(&drained(2, &nodes));
    assert!(call.asked().contains("index=2&"));
    only_the_second_serves(&broker, &nodes);
}

/// An answer that states no length is over where the agent closes in order.
#[test]
fn list_without_length_ends_at_close() {
    let nodes = nodes();
    let (broker, agent, mut call) = watching(1, &nodes);
    call.say(&format!("HTTP/1.1 200 OK\r\n\r\n{}", drained(2, &nodes)));
    drop(call);
    let (_next, path) = agent.asked();
    assert!(path.starts_with("/v1/endpoints?index=2&"), "{path}");
    only_the_second_serves(&broker, &nodes);
}

/// A reset is no end, whatever came before it; nor is a close after half of the list one.
#[rstest]
#[case::reset(true)]
#[case::cut_short(false)]
fn truncated_list_without_length_requested_again(#[case] reset: bool) {
    let nodes = nodes();
    let (broker, agent, mut call) = watching(1, &nodes);
    let text = list(2, vec![nodes[0].line("ready")]).to_string();
    call.say(&format!("HTTP/1.1 200 OK\r\n\r\n{}", if reset { &text } else { &text[..text.len() / 2] }));
    if reset {
        call.reset();
    } else {
        drop(call);
    }
    let (mut call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    call.answer(&drained(3, &nodes));
    assert!(call.asked().contains("index=3&"));
    only_the_second_serves(&broker, &nodes);
}

/// Its answer crosses our next call: whichever of the two comes first, the other is not taken for newer.
#[rstest]
fn first_of_crossed_answers_wins(#[values(false, true)] late_first: bool) {
    let nodes = nodes();
    let (broker, agent, mut late) = watching(1, &nodes);
    let (mut beside, _) = agent.asked();
    let (first, second) = if late_first { (&mut late, &mut beside) } else { (&mut beside, &mut late) };
    first.answer(&drained(3, &nodes));
    assert!(first.asked().contains("index=3&"));
    second.answer(&list(2, vec![nodes[0].line("ready")]));
    second.wait_closed();
    only_the_second_serves(&broker, &nodes);
}

#[test]
fn non_contiguous_changes_trigger_full_list() {
    let nodes = nodes();
    let (broker, agent, mut call) = watching(1, &nodes);
    let since = Instant::now();
    call.answer(&json!({"seq": 0, "whole": false, "hosts": [nodes[0].line("ready")]}));
    let (mut call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    // At once: no watch on them has run its time.
    assert!(since.elapsed() < Duration::from_millis(1400), "{:?}", since.elapsed());
    call.answer(&drained(2, &nodes));
    call.asked();
    only_the_second_serves(&broker, &nodes);
}

/// What its agent has counts as told from its first moment, and what it was left with is old.
#[rstest]
#[case::late(false)]
#[case::silent_on_its_first_call(true)]
fn no_service_before_first_list(#[case] silent_first: bool) {
    let nodes = nodes();
    let agent = Agent::start();
    let broker = Broker::start(&config(agent.address(), vec![nodes[0].line("ready")]));
    let (mut call, _) = agent.asked();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c9", &[0], "2.0"));
    std::thread::sleep(Duration::from_millis(200));
    let _silent = silent_first.then(|| std::mem::replace(&mut call, agent.asked().0));
    call.answer(&drained(2, &nodes));
    assert_eq!(client.answer().unwrap().status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 1));
}

/// While discovery is down there is nothing else to go by.
#[test]
fn configured_list_used_when_discovery_is_silent() {
    let nodes = nodes();
    let agent = Agent::start();
    let broker = Broker::start(&config(agent.address(), vec![nodes[0].line("ready")]));
    let since = Instant::now();
    let mut client = Client::to(&broker);
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    assert!(since.elapsed() > Duration::from_millis(500), "{:?}", since.elapsed());
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    assert!(since.elapsed() < IN_TIME, "{:?}", since.elapsed());
}

/// At SIGHUP the agent that it is told to leave is silent, and so is the new one at first.
#[test]
fn silent_new_agent_called_again() {
    let nodes = nodes();
    let (broker, _old, _silent) = watching(1, &nodes);
    let new = Agent::start();
    let since = Instant::now();
    broker.reread(&config(new.address(), vec![]));
    // One connection is closed without a word, one stays silent.
    drop(new.called());
    let (_silent_too, path) = new.asked();
    assert_eq!(path, "/v1/endpoints");
    let (mut call, _) = new.asked();
    call.answer(&drained(1, &nodes));
    assert!(call.asked().contains("index=1&"));
    assert!(since.elapsed() < IN_TIME, "{:?}", since.elapsed());
    only_the_second_serves(&broker, &nodes);
}

/// Two hundred nodes, and as much white space as their list has room for.
#[test]
fn list_may_be_indented() {
    let nodes = nodes();
    let (broker, _agent, mut call) = watching(1, &nodes);
    let mut lines: Vec<_> = (2..200)
        .map(|i| json!({"host": format!("s-{i}"), "dial": "127.0.0.1:1", "block": 0, "health": "draining"}))
        .collect();
    lines.extend([nodes[0].line("draining"), nodes[1].line("ready")]);
    let mut text = serde_json::to_string_pretty(&list(2, lines)).unwrap().replace('\n', "\r\n\t");
    assert!(text.len() < 65536, "{}", text.len());
    text += &" ".repeat(65536 - text.len());
    call.say(&answer(&text));
    assert!(call.asked().contains("index=2&"));
    only_the_second_serves(&broker, &nodes);
}
