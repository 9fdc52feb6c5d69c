//! Discovery calls that break at any point, nodes missing from complete lists, and startup without port or descriptors.

mod agent;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Child;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, Node, config, launch, query_request};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use agent::{
    Agent, Call, MAX_UPDATE_DELAY, assert_only_second_node_serves, broker_awaiting_list, broker_with_watch,
    first_node_draining, full_list, http_response, nodes,
};

/// Guards against ending slow calls for newer ones, which would be just as slow.
#[rstest]
#[case::late(0)]
#[case::in_its_head(20)]
#[case::in_its_list(120)]
fn slow_answer_accepted_beside_later_calls(#[case] at_first: usize) {
    let nodes = nodes();
    let (broker, agent, mut slow) = broker_awaiting_list(&nodes);
    let text = http_response(&first_node_draining(2, &nodes).to_string());
    slow.say(&text[..at_first]);
    let _beside: Vec<_> = (0..7).map(|_| agent.accept_request()).collect();
    slow.say(&text[at_first..]);
    assert!(slow.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// Guards against responses that drip for ever and take up all calls.
#[test]
fn endless_answers_are_replaced_by_new_calls() {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_awaiting_list(&nodes);
    let mut dripping = Vec::new();
    call.say("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
    for _ in 0..14 {
        dripping.push(std::mem::replace(&mut call, agent.accept_request().0));
        call.say("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
        dripping.iter_mut().for_each(|call| call.say(" "));
    }
    dripping[..2].iter_mut().for_each(Call::wait_closed);
    let (mut next, _) = agent.accept_request();
    next.answer(&first_node_draining(2, &nodes));
    assert!(next.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// The list is received in time although several calls in a row break in the same way.
#[rstest]
#[case::closed("", false)]
#[case::reset("", true)]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-", false)]
#[case::half_a_head_and_reset("HTTP/1.1 200 OK\r\nContent-", true)]
#[case::half_a_list("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":2,", false)]
#[case::half_a_list_and_reset("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":2,", true)]
#[case::half_a_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"seq\":2,", false)]
#[case::an_error("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false)]
#[case::an_empty_answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)]
#[case::invalid_json("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":2;", false)]
#[case::no_list("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"seq\":2,\"whole\":true}", false)]
#[case::no_http("what is this\r\n\r\n", false)]
fn broken_calls_are_retried_in_time(#[case] sent: &str, #[case] reset: bool) {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(1, &nodes);
    let since = Instant::now();
    for _ in 0..4 {
        call.say(sent);
        if reset {
            call.reset();
        } else {
            drop(call);
        }
        let (next, path) = agent.accept_request();
        assert_eq!(path, "/v1/endpoints");
        call = next;
    }
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// The agent is down for a while; its versions restart from 1.
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

/// The old watch stays open and silent; the list with the lower version is the newer one.
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

/// Changes of a lower version do not follow the list that is held.
#[test]
fn lower_version_change_triggers_full_list() {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(41, &nodes);
    call.answer(&json!({"seq": 3, "whole": false, "hosts": []}));
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    call.answer(&first_node_draining(3, &nodes));
    assert!(call.read_request().contains("index=3&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// A watch does not repeat the change of an invalid row.
#[rstest]
#[case::word("health", json!("drain"))]
#[case::type_of("block", json!("0"))]
#[case::address("dial", json!("here"))]
fn invalid_row_in_change_triggers_full_list(#[case] key: &str, #[case] value: Value) {
    let nodes = nodes();
    let (broker, _agent, mut call) = broker_with_watch(1, &nodes);
    let mut invalid = nodes[0].endpoint("draining");
    invalid[key] = value;
    call.answer(&json!({"seq": 2, "whole": false, "hosts": [invalid, nodes[1].endpoint("ready")]}));
    assert_eq!(call.read_request(), "/v1/endpoints");
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// The row may stay invalid: the list is requested once more and then accepted without it.
#[test]
fn full_list_with_invalid_row_requested_once_more() {
    let nodes = nodes();
    let (broker, _agent, mut call) = broker_awaiting_list(&nodes);
    let mut invalid = nodes[0].endpoint("ready");
    invalid["health"] = json!("asleep");
    let all = full_list(5, vec![invalid, nodes[1].endpoint("ready")]);
    call.answer(&all);
    assert_eq!(call.read_request(), "/v1/endpoints");
    call.answer(&all);
    assert!(call.read_request().contains("index=5&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// Guards against taking a response of the old agent for one of the new, if both are ready after a stall.
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
    let (mut at_new, path) = new.accept_request();
    assert_eq!(path, "/v1/endpoints");
    at_new.answer(&first_node_draining(1, &nodes));
    assert!(at_new.read_request().contains("index=1&"));
    call.wait_closed();
    assert_only_second_node_serves(&broker, &nodes);
}

/// A listener with a full accept queue, so that connecting hangs, and the addresses of the connections that fill it.
fn unreachable_listener() -> (TcpListener, SocketAddr, Vec<SocketAddr>) {
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full.listen(0).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    // Closed connections stay in the queue.
    let fill = (0..3).filter_map(connect).map(|stream| stream.local_addr().unwrap()).collect();
    (full.into(), address, fill)
}

/// A node that a complete list does not name is removed while its connection is being established: its parts go elsewhere, and nothing
/// is written once it is up.
#[test]
fn connecting_parts_leave_unlisted_node() {
    let (full, address, fill) = unreachable_listener();
    let nodes = nodes();
    let mut late = nodes[0].endpoint("ready");
    late["dial"] = json!(address.to_string());
    let list = DiscoveryServer::start(vec![late.clone(), nodes[1].endpoint("ready")]);
    let mut config = config(list.address, vec![late, nodes[1].endpoint("ready")]);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    let broker = Broker::start(&config);
    let mut clients: Vec<_> = (0..6).map(|_| Client::connect(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&query_request("fix", &format!("c{i}"), &[i], "2.5"));
    }
    nodes[1].wait_for_frames('A', 1);
    list.publish(vec![nodes[1].endpoint("ready")]);
    assert!(clients.iter_mut().all(|client| client.read_answer().unwrap().status == 200));
    // Once the queue has room the connection is established by the next SYN, after a second.
    let mut came =
        std::iter::repeat_with(|| full.accept().unwrap()).find(|(_, peer)| !fill.contains(peer)).unwrap().0;
    came.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(came.read(&mut [0; 100]).unwrap(), 0);
}

/// A broker's descriptors in these tests, and more idle clients than that.
const DESCRIPTORS: usize = 40;
const IDLE_CLIENTS: usize = 300;

/// A broker whose descriptors are used up by idle clients, although its configuration allows for more.
fn broker_without_descriptors(nodes: &[Node; 2]) -> (Broker, Agent, Call, Client, Vec<TcpStream>) {
    let agent = Agent::start();
    let known = vec![nodes[0].endpoint("ready")];
    let broker = Broker::start_with_descriptor_limit(DESCRIPTORS, &config(agent.address(), known));
    let (mut call, _) = agent.accept_request();
    call.answer(&full_list(1, vec![nodes[0].endpoint("ready")]));
    call.read_request();
    let first = Client::connect(&broker);
    let crowd = (0..IDLE_CLIENTS).map(|_| TcpStream::connect(broker.address).unwrap()).collect();
    let folder = format!("/proc/{}/fd", broker.pid());
    while std::fs::read_dir(&folder).unwrap().count() < DESCRIPTORS {
        std::thread::yield_now();
    }
    (broker, agent, call, first, crowd)
}

/// Discovery's connection breaks while idle clients hold all descriptors and more wait to be accepted.
#[test]
fn discovery_call_frees_descriptor() {
    let nodes = nodes();
    let (broker, agent, call, first, crowd) = broker_without_descriptors(&nodes);
    let since = Instant::now();
    drop(call);
    let (mut call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    drop((first, crowd));
    assert_only_second_node_serves(&broker, &nodes);
}

#[test]
fn node_connection_frees_descriptor() {
    let nodes = nodes();
    let (_broker, _agent, _call, mut first, _crowd) = broker_without_descriptors(&nodes);
    assert_eq!(first.request(&query_request("fix", "c1", &[0], "2.0")).status, 200);
    assert_eq!(nodes[0].frames('A').len(), 1);
}

/// A new process whose port is still held, and its further log lines.
fn broker_awaiting_port(
    at: SocketAddr,
    nodes: &[Node; 2],
) -> (DiscoveryServer, Child, PathBuf, impl Iterator<Item = String>) {
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let mut config = config(list.address, vec![nodes[0].endpoint("ready")]);
    config["listen"] = json!(at.to_string());
    let (mut child, file) = launch(&config);
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("GW_LISTEN")), "it says what it waits for");
    (list, child, file, lines)
}

/// The old process may still be shutting down.
#[test]
fn waits_for_port_held_by_old_process() {
    let nodes = nodes();
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = held.local_addr().unwrap();
    let (_list, mut child, file, mut lines) = broker_awaiting_port(at, &nodes);
    drop(held);
    assert!(lines.any(|line| line.contains("listening on")));
    assert_eq!(Client::connect_to(at).request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(file).unwrap();
}

/// Longest time until a restarted broker is ready.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(6);

/// Sends a readiness request on a connection that is established once the accept queue has room.
fn send_to_full_queue(at: SocketAddr) -> std::thread::JoinHandle<u16> {
    let readiness =
        std::thread::spawn(move || Client::connect_to(at).request("GET /ready HTTP/1.1\r\n\r\n").status);
    let remote = format!("{:08X}:{:04X} 02", u32::from_le_bytes([127, 0, 0, 1]), at.port());
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&remote) {
        std::thread::yield_now();
    }
    readiness
}

/// Idle connections until the accept queue is full.
fn fill_accept_queue(at: SocketAddr) -> Vec<TcpStream> {
    let open = || TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
    std::iter::from_fn(open).collect()
}

#[test]
fn ready_in_time_behind_full_accept_queue() {
    let nodes = nodes();
    let (broker, _agent, _call) = broker_with_watch(1, &nodes);
    broker.signal("STOP");
    let stat = format!("/proc/{}/stat", broker.pid());
    while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
        std::thread::yield_now();
    }
    let _silent = fill_accept_queue(broker.address);
    let readiness = send_to_full_queue(broker.address);
    broker.signal("CONT");
    let since = Instant::now();
    assert_eq!(readiness.join().unwrap(), 200);
    assert!(since.elapsed() < MAX_STARTUP_TIME, "{:?}", since.elapsed());
}

#[test]
fn ready_in_time_behind_old_process_accept_queue() {
    let nodes = nodes();
    let held = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    held.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    held.listen(8).unwrap();
    let at = held.local_addr().unwrap().as_socket().unwrap();
    let (_list, mut child, file, mut lines) = broker_awaiting_port(at, &nodes);
    let _silent = fill_accept_queue(at);
    let readiness = send_to_full_queue(at);
    let since = Instant::now();
    drop(held);
    assert!(lines.any(|line| line.contains("listening on")));
    assert_eq!(readiness.join().unwrap(), 200);
    assert!(since.elapsed() < MAX_STARTUP_TIME, "{:?}", since.elapsed());
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(file).unwrap();
}

#[test]
fn port_never_freed_fails_startup() {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config("127.0.0.1:1".parse().unwrap(), vec![]);
    config["listen"] = json!(held.local_addr().unwrap().to_string());
    let (mut child, file) = launch(&config);
    let mut sent = String::new();
    child.stderr.take().unwrap().read_to_string(&mut sent).unwrap();
    assert!(!child.wait().unwrap().success());
    std::fs::remove_file(file).unwrap();
    assert!(sent.lines().last().is_some_and(|line| line.contains("GW_LISTEN")), "{sent}");
}

/// Without any list readiness is refused until discovery answers.
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

/// Connections are accepted by the system before the first list; their requests are rejected within their own deadlines.
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
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 1));
}
