//! Startup while an old process still uses the port, and readiness requests behind a full accept queue.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Child;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Client, DiscoveryServer, Node, config, launch};
use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::agent::{broker_with_watch, nodes};

/// Starts a broker whose port is still in use, and waits until it logs an error for the port; returns its discovery
/// server, its process, its configuration file and its further log lines.
fn broker_awaiting_port(
    address: SocketAddr,
    nodes: &[Node; 2],
) -> (DiscoveryServer, Child, PathBuf, impl Iterator<Item = String>) {
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let mut config = config(list.address, vec![nodes[0].endpoint("ready")]);
    config["listen"] = json!(address.to_string());
    let (mut child, file) = launch(&config);
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("GW_LISTEN")), "the log does not name GW_LISTEN");
    (list, child, file, lines)
}

/// The old process may still be shutting down when the new one starts.
#[test]
fn waits_for_port_held_by_old_process() {
    let nodes = nodes();
    let holder = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = holder.local_addr().unwrap();
    let (_list, mut child, file, mut lines) = broker_awaiting_port(address, &nodes);
    drop(holder);
    assert!(lines.any(|line| line.contains("listening on")));
    assert_eq!(Client::connect_to(address).request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(file).unwrap();
}

/// Longest time until a readiness request is answered after a restart or a stall.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(6);

/// Starts a thread that sends a readiness request on a connection that is established once the accept queue has room;
/// the thread returns the status of the response.
fn send_to_full_queue(address: SocketAddr) -> std::thread::JoinHandle<u16> {
    let readiness =
        std::thread::spawn(move || Client::connect_to(address).request("GET /ready HTTP/1.1\r\n\r\n").status);
    let remote = format!("{:08X}:{:04X} 02", u32::from_le_bytes([127, 0, 0, 1]), address.port());
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&remote) {
        std::thread::yield_now();
    }
    readiness
}

/// Opens idle connections until the accept queue is full, and returns them.
fn fill_accept_queue(address: SocketAddr) -> Vec<TcpStream> {
    let open = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
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
    let _idle = fill_accept_queue(broker.address);
    let readiness = send_to_full_queue(broker.address);
    broker.signal("CONT");
    let since = Instant::now();
    assert_eq!(readiness.join().unwrap(), 200);
    assert!(since.elapsed() < MAX_STARTUP_TIME, "{:?}", since.elapsed());
}

#[test]
fn ready_in_time_behind_old_process_accept_queue() {
    let nodes = nodes();
    let holder = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    holder.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    holder.listen(8).unwrap();
    let address = holder.local_addr().unwrap().as_socket().unwrap();
    let (_list, mut child, file, mut lines) = broker_awaiting_port(address, &nodes);
    let _idle = fill_accept_queue(address);
    let readiness = send_to_full_queue(address);
    let since = Instant::now();
    drop(holder);
    assert!(lines.any(|line| line.contains("listening on")));
    assert_eq!(readiness.join().unwrap(), 200);
    assert!(since.elapsed() < MAX_STARTUP_TIME, "{:?}", since.elapsed());
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(file).unwrap();
}

#[test]
fn port_never_freed_fails_startup() {
    let holder = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config("127.0.0.1:1".parse().unwrap(), vec![]);
    config["listen"] = json!(holder.local_addr().unwrap().to_string());
    let (mut child, file) = launch(&config);
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(!child.wait().unwrap().success());
    std::fs::remove_file(file).unwrap();
    assert!(log.lines().last().is_some_and(|line| line.contains("GW_LISTEN")), "{log}");
}
