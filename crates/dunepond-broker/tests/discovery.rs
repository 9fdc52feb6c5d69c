//! Discovery's calls broken at every moment, whole lists that leave nodes out, and a start without port or descriptors.

mod agent;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Child;
use std::time::{Duration, Instant};

use dunepond_testkit::store::{Broker, Client, List, Node, config, launch, scan};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use agent::{Agent, Call, IN_TIME, answer, calling, drained, list, nodes, only_the_second_serves, watching};

/// On a busy machine an answer may take longer than the next calls take to go out. Each of those would take just as
/// long: were it ended for them, none would ever be heard.
#[rstest]
#[case::late(0)]
#[case::in_its_head(20)]
#[case::in_its_list(120)]
fn slow_answer_accepted_beside_later_calls(#[case] at_first: usize) {
    let nodes = nodes();
    let (broker, agent, mut slow) = calling(&nodes);
    let text = answer(&drained(2, &nodes).to_string());
    slow.say(&text[..at_first]);
    let _beside: Vec<_> = (0..7).map(|_| agent.asked()).collect();
    slow.say(&text[at_first..]);
    assert!(slow.asked().contains("index=2&"));
    only_the_second_serves(&broker, &nodes);
}

/// One that drips for ever keeps no call from going out, and has to make room itself.
#[test]
fn endless_answers_are_replaced_by_new_calls() {
    let nodes = nodes();
    let (broker, agent, mut call) = calling(&nodes);
    let mut dripping = Vec::new();
    call.say("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
    for _ in 0..14 {
        dripping.push(std::mem::replace(&mut call, agent.asked().0));
        call.say("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
        dripping.iter_mut().for_each(|call| call.say(" "));
    }
    dripping[..2].iter_mut().for_each(Call::wait_closed);
    let (mut next, _) = agent.asked();
    next.answer(&drained(2, &nodes));
    assert!(next.asked().contains("index=2&"));
    only_the_second_serves(&broker, &nodes);
}

/// However often the call that follows breaks in the same way, the list is had in time.
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
#[case::spoilt("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":2;", false)]
#[case::no_list("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"seq\":2,\"whole\":true}", false)]
#[case::no_http("what is this\r\n\r\n", false)]
fn broken_calls_are_retried_in_time(#[case] said: &str, #[case] reset: bool) {
    let nodes = nodes();
    let (broker, agent, mut call) = watching(1, &nodes);
    let since = Instant::now();
    for _ in 0..4 {
        call.say(said);
        if reset {
            call.reset();
        } else {
            drop(call);
        }
        let (next, path) = agent.asked();
        assert_eq!(path, "/v1/endpoints");
        call = next;
    }
    assert!(since.elapsed() < IN_TIME, "{:?}", since.elapsed());
    call.answer(&drained(2, &nodes));
    assert!(call.asked().contains("index=2&"));
    only_the_second_serves(&broker, &nodes);
}

/// Nobody listens at its address for a while; its versions begin anew with it.
#[test]
fn restarted_agent_is_followed_from_first_version() {
    let nodes = nodes();
    let (broker, agent, call) = watching(41, &nodes);
    let address = agent.address();
    drop((agent, call));
    while broker.said().matches("refused").count() < 4 {
        std::thread::yield_now();
    }
    let since = Instant::now();
    let agent = Agent(TcpListener::bind(address).unwrap());
    let (mut call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < IN_TIME, "{:?}", since.elapsed());
    call.answer(&drained(1, &nodes));
    assert!(call.asked().contains("index=1&"));
    only_the_second_serves(&broker, &nodes);
}

/// Its old watch stays open and says nothing: a list that is older by its number is the newer one.
#[test]
fn restarted_agent_with_lower_versions_is_followed() {
    let nodes = nodes();
    let (broker, agent, _silent) = watching(41, &nodes);
    let (mut call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    call.answer(&drained(1, &nodes));
    assert!(call.asked().contains("index=1&"));
    only_the_second_serves(&broker, &nodes);
}

/// It answers as it always did, but has begun anew: changes below what is held follow nothing, whatever they say.
#[test]
fn lower_version_change_triggers_full_list() {
    let nodes = nodes();
    let (broker, agent, mut call) = watching(41, &nodes);
    call.answer(&json!({"seq": 3, "whole": false, "hosts": []}));
    let (mut call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    call.answer(&drained(3, &nodes));
    assert!(call.asked().contains("index=3&"));
    only_the_second_serves(&broker, &nodes);
}

/// What a line among changes wanted to tell is told by no watch again.
#[rstest]
#[case::word("health", json!("drain"))]
#[case::type_of("block", json!("0"))]
#[case::address("dial", json!("here"))]
fn invalid_row_in_change_triggers_full_list(#[case] key: &str, #[case] value: Value) {
    let nodes = nodes();
    let (broker, _agent, mut call) = watching(1, &nodes);
    let mut spoilt = nodes[0].line("draining");
    spoilt[key] = value;
    call.answer(&json!({"seq": 2, "whole": false, "hosts": [spoilt, nodes[1].line("ready")]}));
    assert_eq!(call.asked(), "/v1/endpoints");
    call.answer(&drained(2, &nodes));
    assert!(call.asked().contains("index=2&"));
    only_the_second_serves(&broker, &nodes);
}

/// The whole list may be spoilt for good in that line: it is asked for once more, and then lived with.
#[test]
fn full_list_with_invalid_row_requested_once_more() {
    let nodes = nodes();
    let (broker, _agent, mut call) = calling(&nodes);
    let mut spoilt = nodes[0].line("ready");
    spoilt["health"] = json!("asleep");
    let all = list(5, vec![spoilt, nodes[1].line("ready")]);
    call.answer(&all);
    assert_eq!(call.asked(), "/v1/endpoints");
    call.answer(&all);
    assert!(call.asked().contains("index=5&"));
    only_the_second_serves(&broker, &nodes);
}

/// Both are there when the broker gets to run again: the answer of the agent that it leaves is not the new one's.
#[test]
fn old_agent_answer_holds_until_new_agent_answers() {
    let nodes = nodes();
    let (broker, _old, mut call) = watching(41, &nodes);
    broker.signal("STOP");
    let stat = format!("/proc/{}/stat", broker.pid());
    while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
        std::thread::yield_now();
    }
    call.answer(&list(42, vec![nodes[0].line("ready"), nodes[1].line("ready")]));
    let new = Agent::start();
    broker.reread(&config(new.address(), vec![]));
    broker.signal("CONT");
    let (mut at_new, path) = new.asked();
    assert_eq!(path, "/v1/endpoints");
    at_new.answer(&drained(1, &nodes));
    assert!(at_new.asked().contains("index=1&"));
    call.wait_closed();
    only_the_second_serves(&broker, &nodes);
}

/// Nothing answers the attempt to connect, as when a machine has vanished: its queue is full. Gives who fills it, too.
fn vanished() -> (TcpListener, SocketAddr, Vec<SocketAddr>) {
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full.listen(0).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    // Those that came up lie in the queue after their end, too.
    let fill = (0..3).filter_map(connect).map(|stream| stream.local_addr().unwrap()).collect();
    (full.into(), address, fill)
}

/// What a whole list does not name has gone, also where its connection is only coming up: what waits for that goes
/// elsewhere, and nothing is written once it is up.
#[test]
fn connecting_parts_leave_unlisted_node() {
    let (full, address, fill) = vanished();
    let nodes = nodes();
    let mut late = nodes[0].line("ready");
    late["dial"] = json!(address.to_string());
    let list = List::start(vec![late.clone(), nodes[1].line("ready")]);
    let mut config = config(list.address, vec![late, nodes[1].line("ready")]);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    let broker = Broker::start(&config);
    let mut clients: Vec<_> = (0..6).map(|_| Client::to(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&scan("fix", &format!("c{i}"), &[i], "2.5"));
    }
    nodes[1].wait_for('A', 1);
    list.tell(vec![nodes[1].line("ready")]);
    assert!(clients.iter_mut().all(|client| client.answer().unwrap().status == 200));
    // There is room in its queue now: the connection comes up with the system's next try, after a second.
    let mut came =
        std::iter::repeat_with(|| full.accept().unwrap()).find(|(_, peer)| !fill.contains(peer)).unwrap().0;
    came.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(came.read(&mut [0; 100]).unwrap(), 0);
}

/// So many descriptors as a broker may have here, and more idle clients than that: they fill it again and again.
const DESCRIPTORS: usize = 40;
const CROWD: usize = 300;

/// A broker that may have no more descriptors than it has, although it was told that it may have far more.
fn crowded(nodes: &[Node; 2]) -> (Broker, Agent, Call, Client, Vec<TcpStream>) {
    let agent = Agent::start();
    let known = vec![nodes[0].line("ready")];
    let broker = Broker::start_with_descriptors(DESCRIPTORS, &config(agent.address(), known));
    let (mut call, _) = agent.asked();
    call.answer(&list(1, vec![nodes[0].line("ready")]));
    call.asked();
    let first = Client::to(&broker);
    let crowd = (0..CROWD).map(|_| TcpStream::connect(broker.address).unwrap()).collect();
    let folder = format!("/proc/{}/fd", broker.pid());
    while std::fs::read_dir(&folder).unwrap().count() < DESCRIPTORS {
        std::thread::yield_now();
    }
    (broker, agent, call, first, crowd)
}

/// Discovery goes down while clients that ask nothing hold all descriptors, and more of them wait to be taken in.
#[test]
fn discovery_call_frees_descriptor() {
    let nodes = nodes();
    let (broker, agent, call, first, crowd) = crowded(&nodes);
    let since = Instant::now();
    drop(call);
    let (mut call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    call.answer(&drained(2, &nodes));
    assert!(call.asked().contains("index=2&"));
    drop((first, crowd));
    only_the_second_serves(&broker, &nodes);
}

/// Nor may the nodes be out of reach for them.
#[test]
fn node_connection_frees_descriptor() {
    let nodes = nodes();
    let (_broker, _agent, _call, mut first, _crowd) = crowded(&nodes);
    assert_eq!(first.ask(&scan("fix", "c1", &[0], "2.0")).status, 200);
    assert_eq!(nodes[0].frames('A').len(), 1);
}

/// A new process whose port is still held, and what it goes on to say.
fn waits_for_its_port(
    at: SocketAddr,
    nodes: &[Node; 2],
) -> (List, Child, PathBuf, impl Iterator<Item = String>) {
    let list = List::start(vec![nodes[0].line("ready")]);
    let mut config = config(list.address, vec![nodes[0].line("ready")]);
    config["listen"] = json!(at.to_string());
    let (mut child, file) = launch(&config);
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("GW_LISTEN")), "it says what it waits for");
    (list, child, file, lines)
}

/// An old process may still be on its way to its end when the new one begins: until it is killed at the latest.
#[test]
fn waits_for_port_held_by_old_process() {
    let nodes = nodes();
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = held.local_addr().unwrap();
    let (_list, mut child, file, mut lines) = waits_for_its_port(at, &nodes);
    drop(held);
    assert!(lines.any(|line| line.contains("listening on")));
    assert_eq!(Client::dial(at).ask("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(file).unwrap();
}

/// Nine in ten restarted brokers are to be ready so soon, on the shortest of days.
const READY: Duration = Duration::from_secs(6);

/// Asks whether it is ready, on a connection that finds the queue full and comes up once there is room.
fn asks_at_a_full_queue(at: SocketAddr) -> std::thread::JoinHandle<u16> {
    let asks = std::thread::spawn(move || Client::dial(at).ask("GET /ready HTTP/1.1\r\n\r\n").status);
    let remote = format!("{:08X}:{:04X} 02", u32::from_le_bytes([127, 0, 0, 1]), at.port());
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&remote) {
        std::thread::yield_now();
    }
    asks
}

/// Connections that ask nothing, until one more does not come up.
fn fill(at: SocketAddr) -> Vec<TcpStream> {
    let open = || TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
    std::iter::from_fn(open).collect()
}

/// A queue full of connections that ask nothing is before whoever asks.
#[test]
fn ready_in_time_behind_full_accept_queue() {
    let nodes = nodes();
    let (broker, _agent, _call) = watching(1, &nodes);
    broker.signal("STOP");
    let stat = format!("/proc/{}/stat", broker.pid());
    while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
        std::thread::yield_now();
    }
    let _silent = fill(broker.address);
    let asks = asks_at_a_full_queue(broker.address);
    broker.signal("CONT");
    let since = Instant::now();
    assert_eq!(asks.join().unwrap(), 200);
    assert!(since.elapsed() < READY, "{:?}", since.elapsed());
}

/// The queue is that of the old process, which still holds the port.
#[test]
fn ready_in_time_behind_old_process_accept_queue() {
    let nodes = nodes();
    let held = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    held.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    held.listen(8).unwrap();
    let at = held.local_addr().unwrap().as_socket().unwrap();
    let (_list, mut child, file, mut lines) = waits_for_its_port(at, &nodes);
    let _silent = fill(at);
    let asks = asks_at_a_full_queue(at);
    let since = Instant::now();
    drop(held);
    assert!(lines.any(|line| line.contains("listening on")));
    assert_eq!(asks.join().unwrap(), 200);
    assert!(since.elapsed() < READY, "{:?}", since.elapsed());
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
    let mut said = String::new();
    child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    assert!(!child.wait().unwrap().success());
    std::fs::remove_file(file).unwrap();
    assert!(said.lines().last().is_some_and(|line| line.contains("GW_LISTEN")), "{said}");
}

/// Nothing known and nobody to ask: it says so, and is ready with the first list.
#[rstest]
#[case::no_list(Value::Null)]
#[case::no_nodes(json!({"seq": 1, "whole": true, "hosts": []}))]
fn ready_after_first_list_without_configured_one(#[case] known: Value) {
    let nodes = nodes();
    let agent = Agent::start();
    let mut config = config(agent.address(), vec![]);
    config["known"] = known;
    let broker = Broker::start(&config);
    let _silent = agent.asked();
    let mut client = Client::to(&broker);
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").status, 503);
    let since = Instant::now();
    let (mut call, _) = agent.asked();
    call.answer(&drained(1, &nodes));
    call.asked();
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    assert!(since.elapsed() < IN_TIME, "{:?}", since.elapsed());
}

/// Its port takes connections in from its first moment, whoever is told of it: who asks there has a time of its own, and
/// is told to come again before that is up, by an agent that stays silent or not.
#[test]
fn query_before_first_list_rejected_in_time() {
    let nodes = nodes();
    let agent = Agent::start();
    let mut config = config(agent.address(), vec![nodes[0].line("ready")]);
    config["settings"]["services"][1]["deadlineMs"] = json!(600.0);
    config["settings"]["services"][1]["aimMs"] = json!(300.0);
    let broker = Broker::start(&config);
    let (mut call, _) = agent.asked();
    let mut client = Client::to(&broker);
    assert_eq!(client.ask(&scan("fix", "c1", &[0], "0.6")).status, 429);
    call.answer(&drained(2, &nodes));
    assert!(call.asked().contains("index=2&"));
    assert_eq!(client.ask(&scan("fix", "c2", &[0], "0.6")).status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 1));
}
