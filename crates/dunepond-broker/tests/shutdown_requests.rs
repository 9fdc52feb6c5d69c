//! After SIGTERM, each request on a connection that is still open gets a complete response.

use std::thread::sleep;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, Node, NodeBehavior, query_request};
use rstest::rstest;
use serde_json::json;

/// A broker that has received SIGTERM. The tests' steps are tenths of a second apart, as tolerance for a busy machine.
struct ShuttingDown {
    /// When SIGTERM was sent.
    signalled_at: Instant,
    broker: Broker,
    _list: DiscoveryServer,
    nodes: Vec<Node>,
}

impl ShuttingDown {
    fn start(before_signal: impl FnOnce(&Broker)) -> Self {
        let nodes = vec![Node::start("s-0")];
        let (broker, list) = Broker::start_with_nodes(&nodes);
        before_signal(&broker);
        broker.signal("TERM");
        Self { signalled_at: Instant::now(), broker, _list: list, nodes }
    }

    /// Sleeps until this many seconds after SIGTERM.
    fn wait_until(&self, seconds: f64) {
        sleep(Duration::from_secs_f64(seconds).saturating_sub(self.signalled_at.elapsed()));
    }

    /// Stops the process between these two times, in seconds after SIGTERM, to simulate an overloaded machine. Runs
    /// `meanwhile` while the process is stopped.
    fn stop_while(&self, from: f64, to: f64, meanwhile: impl FnOnce()) {
        self.wait_until(from);
        self.broker.signal("STOP");
        meanwhile();
        self.wait_until(to);
        self.broker.signal("CONT");
    }

    /// Closes the client and asserts that the broker exits with code 0 before the kill.
    fn assert_exits_in_time(mut self, client: Client) {
        drop(client);
        assert_eq!(self.broker.exit_code(), Some(0));
        assert!(
            self.signalled_at.elapsed() < Duration::from_secs_f64(3.7),
            "{:?}",
            self.signalled_at.elapsed()
        );
    }
}

/// Sends a query; returns whether it was served.
fn is_served(client: &mut Client, id: &str) -> bool {
    client.try_request(&query_request("find", id, &[1], "2.0")).is_some_and(|answer| answer.status == 200)
}

/// The listener stays open for a while after SIGTERM, and a new connection may send its first request later.
#[rstest]
#[case::before_first_stage(0.35, 0.55)]
#[case::before_listener_closes(0.55, 0.8)]
fn new_connection_may_send_request(#[case] connect_time: f64, #[case] request_time: f64) {
    let broker = ShuttingDown::start(|_| {});
    broker.wait_until(connect_time);
    let mut client = Client::connect(&broker.broker);
    broker.wait_until(request_time);
    assert!(is_served(&mut client, "c1"));
    assert!(client.read_response().is_none());
    broker.assert_exits_in_time(client);
}

#[test]
fn silent_connection_closed_before_kill() {
    let broker = ShuttingDown::start(|_| {});
    broker.wait_until(0.55);
    let client = Client::connect(&broker.broker);
    let mut stream = client.stream.try_clone().unwrap();
    assert_eq!(std::io::Read::read(&mut stream, &mut [0]).unwrap(), 0);
    assert!(
        broker.signalled_at.elapsed() < Duration::from_secs_f64(1.6),
        "{:?}",
        broker.signalled_at.elapsed()
    );
    broker.assert_exits_in_time(client);
}

#[test]
fn idle_connection_served_until_listener_closes() {
    let mut client = None;
    let broker = ShuttingDown::start(|broker| {
        let idle = client.insert(Client::connect(broker));
        assert!(is_served(idle, "c1"));
    });
    let mut client = client.unwrap();
    broker.wait_until(0.55);
    let answer = client.request(&query_request("find", "c2", &[1], "2.0"));
    assert_eq!((answer.status, answer.header.contains("Connection: close")), (200, true));
    assert!(client.read_response().is_none());
    broker.assert_exits_in_time(client);
}

/// A request arrives during a stall of the process, on a connection that was accepted before the stall or on one that
/// is accepted only after it.
#[rstest]
fn requests_received_during_stall_are_answered(#[values(false, true)] accepted: bool) {
    let mut client = None;
    let broker = ShuttingDown::start(|broker| {
        let first = client.insert(Client::connect(broker));
        assert!(is_served(first, "c1"));
    });
    let mut client = client.unwrap();
    broker.stop_while(0.3, 0.9, || {
        if !accepted {
            client = Client::connect(&broker.broker);
        }
        client.send(&query_request("find", "c2", &[1], "2.0"));
    });
    assert_eq!(client.read_response().unwrap().status, 200);
    broker.assert_exits_in_time(client);
}

#[test]
fn partial_request_answered_once_complete() {
    let broker = ShuttingDown::start(|_| {});
    broker.wait_until(0.3);
    let mut client = Client::connect(&broker.broker);
    let request = query_request("find", "c1", &[1], "2.0");
    let (half, rest) = request.split_at(request.len() - 20);
    client.send(half);
    broker.wait_until(0.9);
    client.send(rest);
    assert_eq!(client.read_response().unwrap().status, 200);
    broker.assert_exits_in_time(client);
}

/// Guards against a reset of connections in the accept queue when the listener closes.
#[test]
fn backlog_accepted_once_room_is_free() {
    let nodes = vec![Node::start("s-0")];
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (broker, list) = Broker::start_with_config_value(&nodes, "/limits/sockets", json!(48));
    let mut waiting_clients: Vec<_> = (0..18).map(|_| Client::connect(&broker)).collect();
    waiting_clients
        .iter_mut()
        .enumerate()
        .for_each(|(i, c)| c.send(&query_request("find", &format!("h{i}"), &[1], "1.5")));
    nodes[0].wait_for_frames('A', 1);
    broker.signal("TERM");
    let broker = ShuttingDown { signalled_at: Instant::now(), broker, _list: list, nodes };
    broker.wait_until(0.3);
    let mut client = Client::connect(&broker.broker);
    client.send(&query_request("find", "c1", &[1], "1.5"));
    broker.wait_until(0.8);
    broker.nodes[0].set_behavior(NodeBehavior::Serve);
    assert!(client.read_response().is_some());
    assert!(waiting_clients.iter_mut().all(|client| client.read_response().is_some()));
    drop(waiting_clients);
    broker.assert_exits_in_time(client);
}

/// The request's deadline is later than the time by which the broker must have exited.
#[test]
fn late_request_answered_before_kill() {
    let broker = ShuttingDown::start(|_| {});
    broker.nodes[0].set_behavior(NodeBehavior::Hang);
    broker.wait_until(0.5);
    let mut client = Client::connect(&broker.broker);
    broker.wait_until(0.85);
    assert!(matches!(client.request(&query_request("fix", "c1", &[1], "3.0")).status, 429 | 502));
    broker.assert_exits_in_time(client);
}
