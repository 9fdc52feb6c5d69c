//! After SIGTERM clients send on every connection that stays open: each request gets a whole answer.

use std::thread::sleep;
use std::time::{Duration, Instant};

use dunepond_testkit::store::{Broker, Client, List, Manner, Node, scan};
use rstest::rstest;
use serde_json::json;

/// Stories in tenths of a second: on a machine under load a shorter step would be no story.
struct Told {
    at: Instant,
    broker: Broker,
    _list: List,
    nodes: Vec<Node>,
}

impl Told {
    fn before(rest: impl FnOnce(&Broker)) -> Self {
        let nodes = vec![Node::start("s-0")];
        let (broker, list) = Broker::before(&nodes);
        rest(&broker);
        broker.signal("TERM");
        Self { at: Instant::now(), broker, _list: list, nodes }
    }

    fn wait_until(&self, seconds: f64) {
        sleep(Duration::from_secs_f64(seconds).saturating_sub(self.at.elapsed()));
    }

    /// Stops the process for a while, as a machine with more to do than it can.
    fn stopped(&self, from: f64, to: f64, meanwhile: impl FnOnce()) {
        self.wait_until(from);
        self.broker.signal("STOP");
        meanwhile();
        self.wait_until(to);
        self.broker.signal("CONT");
    }

    fn ends(mut self, client: Client) {
        drop(client);
        assert_eq!(self.broker.exit_code(), Some(0));
        assert!(self.at.elapsed() < Duration::from_secs_f64(3.7), "{:?}", self.at.elapsed());
    }
}

fn served(client: &mut Client, id: &str) -> bool {
    client.try_ask(&scan("find", id, &[1], "2.0")).is_some_and(|answer| answer.status == 200)
}

/// New connections come for a while after SIGTERM, and their requests later still.
#[rstest]
#[case::just_before_the_first_step(0.35, 0.55)]
#[case::just_before_the_listener_goes(0.55, 0.8)]
fn new_connection_may_send_request(#[case] connects: f64, #[case] asks: f64) {
    let told = Told::before(|_| {});
    told.wait_until(connects);
    let mut client = Client::to(&told.broker);
    told.wait_until(asks);
    assert!(served(&mut client, "c1"));
    assert!(client.answer().is_none());
    told.ends(client);
}

/// It says nothing more, and nobody waits for it.
#[test]
fn silent_connection_closed_before_kill() {
    let told = Told::before(|_| {});
    told.wait_until(0.55);
    let client = Client::to(&told.broker);
    let mut waits = client.stream.try_clone().unwrap();
    assert_eq!(std::io::Read::read(&mut waits, &mut [0]).unwrap(), 0);
    assert!(told.at.elapsed() < Duration::from_secs_f64(1.6), "{:?}", told.at.elapsed());
    told.ends(client);
}

#[test]
fn idle_connection_served_until_listener_closes() {
    let mut client = None;
    let told = Told::before(|broker| {
        let resting = client.insert(Client::to(broker));
        assert!(served(resting, "c1"));
    });
    let mut client = client.unwrap();
    told.wait_until(0.55);
    let answer = client.ask(&scan("find", "c2", &[1], "2.0"));
    assert_eq!((answer.status, answer.head.contains("Connection: close")), (200, true));
    assert!(client.answer().is_none());
    told.ends(client);
}

/// Asked while the process stood still: on an old connection, and on one that it had not accepted.
#[rstest]
fn requests_received_during_stall_are_answered(#[values(false, true)] accepted: bool) {
    let mut client = None;
    let told = Told::before(|broker| {
        let first = client.insert(Client::to(broker));
        assert!(served(first, "c1"));
    });
    let mut client = client.unwrap();
    told.stopped(0.3, 0.9, || {
        if !accepted {
            client = Client::to(&told.broker);
        }
        client.send(&scan("find", "c2", &[1], "2.0"));
    });
    assert_eq!(client.answer().unwrap().status, 200);
    told.ends(client);
}

#[test]
fn partial_request_answered_once_complete() {
    let told = Told::before(|_| {});
    told.wait_until(0.3);
    let mut client = Client::to(&told.broker);
    let request = scan("find", "c1", &[1], "2.0");
    let (half, rest) = request.split_at(request.len() - 20);
    client.send(half);
    told.wait_until(0.9);
    client.send(rest);
    assert_eq!(client.answer().unwrap().status, 200);
    told.ends(client);
}

/// It waits at the listener until one of those that are owed an answer has it: closed with it, it would be reset.
#[test]
fn backlog_accepted_once_room_is_free() {
    let nodes = vec![Node::start("s-0")];
    nodes[0].behave(Manner::Hang);
    let (broker, list) = Broker::before_with(&nodes, "/limits/sockets", json!(48));
    let mut held: Vec<_> = (0..18).map(|_| Client::to(&broker)).collect();
    held.iter_mut().enumerate().for_each(|(i, c)| c.send(&scan("find", &format!("h{i}"), &[1], "1.5")));
    nodes[0].wait_for('A', 1);
    broker.signal("TERM");
    let told = Told { at: Instant::now(), broker, _list: list, nodes };
    told.wait_until(0.3);
    let mut client = Client::to(&told.broker);
    client.send(&scan("find", "c1", &[1], "1.5"));
    told.wait_until(0.8);
    told.nodes[0].behave(Manner::Serve);
    assert!(client.answer().is_some());
    assert!(held.iter_mut().all(|client| client.answer().is_some()));
    drop(held);
    told.ends(client);
}

/// Its client would wait for longer than the process has.
#[test]
fn late_request_answered_before_kill() {
    let told = Told::before(|_| {});
    told.nodes[0].behave(Manner::Hang);
    told.wait_until(0.5);
    let mut client = Client::to(&told.broker);
    told.wait_until(0.85);
    assert!(matches!(client.ask(&scan("fix", "c1", &[1], "3.0")).status, 429 | 502));
    told.ends(client);
}
