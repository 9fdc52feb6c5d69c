//! Bytes that come between the last look at a client's connection and the close behind it. The loop is turned by hand:
//! a readiness that it has told of waits, as one does that came in the same turn as the close.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use dunepond::buffers::Pool;
use dunepond::clients::{Came, Clients, listen};
use dunepond::clock::Alarms;
use dunepond::turn::{Ready, Turn};
use dunepond_lab::store::{Client, scan, settings};
use dunepond_settings::{Fields, bounds};
use rstest::rstest;

struct Door {
    turns: EventLoop<'static, Turn>,
    clients: Clients,
    alarms: Alarms,
    address: SocketAddr,
    now: f64,
}

impl Door {
    fn with(most: usize) -> Self {
        let turns = EventLoop::try_new().unwrap();
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let settings = settings();
        let bounds = Rc::new(bounds(&Fields::of("settings", &settings).unwrap()).unwrap());
        let clients = Clients::new(turns.handle(), &Pool::default(), bounds, most, 64, listener).unwrap();
        Self { turns, clients, alarms: Alarms::default(), address, now: 100.0 }
    }

    /// Waits for what the loop tells of this client, and leaves it waiting.
    fn told_of(&mut self, id: usize) {
        let (mut turn, start) = (Turn::default(), Instant::now());
        while !turn.ready.iter().any(|ready| matches!(ready, Ready::Client(of, true) if *of == id)) {
            self.turns.dispatch(Duration::from_millis(100), &mut turn).unwrap();
            assert!(start.elapsed() < Duration::from_secs(5), "nothing is told of it");
        }
    }

    fn enters(&mut self) -> (Client, usize) {
        let client = Client::dial(self.address);
        let mut turn = Turn::default();
        self.turns.dispatch(Duration::from_secs(5), &mut turn).unwrap();
        self.clients.accept(self.now, false, &mut self.alarms);
        (client, self.clients.again.pop().unwrap())
    }

    fn asks(&mut self, client: &mut Client, id: usize) {
        client.send(&scan("find", "c1", &[1], "2.0"));
        self.told_of(id);
        self.clients.ready(self.now, id, true, &mut self.alarms);
        assert!(self.gets_scan(id));
    }

    /// Its turn to be read brings a scan.
    fn gets_scan(&mut self, id: usize) -> bool {
        matches!(self.clients.next(self.now, id, &mut self.alarms), Came::Scan(_))
    }

    fn answered(&mut self, client: &mut Client, id: usize) {
        self.clients.reply(self.now, id, 200, "{}", 0.0, &mut self.alarms);
        assert_eq!(client.answer().unwrap().status, 200);
        self.clients.again.clear();
    }

    fn rests(&mut self) -> (Client, usize) {
        let (mut client, id) = self.enters();
        self.asks(&mut client, id);
        self.answered(&mut client, id);
        self.now += 0.01;
        (client, id)
    }

    /// What it sends is there and told of, and not read yet.
    fn sends(&mut self, client: &mut Client, id: usize, bytes: &str) {
        client.send(bytes);
        self.told_of(id);
    }

    fn slow(&mut self, id: usize) {
        self.now += 4.0;
        assert_eq!(self.clients.slow(self.now, id, &mut self.alarms), None);
    }

    /// Looks at the clients that are to be read until one brings a scan.
    fn settles(&mut self) -> Vec<usize> {
        let mut scans = Vec::new();
        while let Some(id) = self.clients.again.pop() {
            if self.gets_scan(id) {
                scans.push(id);
            }
        }
        scans
    }
}

fn request() -> String {
    scan("find", "c2", &[1], "2.0")
}

#[test]
fn a_request_in_the_instant_of_the_close_at_rest_is_taken() {
    let mut door = Door::with(64);
    let (mut client, id) = door.rests();
    door.sends(&mut client, id, &request());
    door.slow(id);
    assert_eq!(door.settles(), [id]);
    door.answered(&mut client, id);
}

#[test]
fn a_first_request_in_the_instant_in_which_its_time_is_up_is_taken() {
    let mut door = Door::with(64);
    let (mut client, id) = door.enters();
    door.sends(&mut client, id, &request());
    door.slow(id);
    assert_eq!(door.settles(), [id]);
    door.answered(&mut client, id);
}

#[test]
fn the_rest_of_a_request_in_the_instant_in_which_its_time_is_up_is_taken() {
    let mut door = Door::with(64);
    let (mut client, id) = door.enters();
    let request = request();
    let (half, rest) = request.split_at(request.len() / 2);
    door.sends(&mut client, id, half);
    door.clients.ready(door.now, id, true, &mut door.alarms);
    assert!(!door.gets_scan(id));
    door.sends(&mut client, id, rest);
    let time = door.clients.hear_out(id);
    assert_eq!(door.settles(), [id]);
    assert!(!door.clients.is_still_slow(id, time));
    door.answered(&mut client, id);
}

#[test]
fn half_a_request_in_the_instant_of_the_close_at_rest_is_waited_for() {
    let mut door = Door::with(64);
    let (mut client, id) = door.rests();
    let request = request();
    let (half, rest) = request.split_at(request.len() / 2);
    door.sends(&mut client, id, half);
    door.slow(id);
    assert!(door.settles().is_empty());
    door.sends(&mut client, id, rest);
    door.clients.ready(door.now, id, true, &mut door.alarms);
    assert!(door.gets_scan(id));
    door.answered(&mut client, id);
}

/// Closed over it, the connection would be reset, and what its client has not read yet with it.
#[test]
fn a_request_that_crosses_the_close_is_not_taken_and_resets_nothing() {
    let mut door = Door::with(64);
    let (mut client, id) = door.rests();
    door.slow(id);
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    door.sends(&mut client, id, &request());
    door.clients.ready(door.now, id, true, &mut door.alarms);
    assert!(!door.gets_scan(id));
    assert_eq!(door.clients.count(), 1);
    client.stream.write_all(b"x").unwrap();
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    drop(client);
    door.told_of(id);
    door.clients.ready(door.now, id, true, &mut door.alarms);
    assert!(!door.gets_scan(id));
    assert_eq!(door.clients.count(), 0);
}

/// Every fourth of all connections may rest.
#[test]
fn a_request_in_the_instant_in_which_too_many_rest_is_taken() {
    let mut door = Door::with(8);
    let (mut longest, id) = door.rests();
    let _second = door.rests();
    door.sends(&mut longest, id, &request());
    let (mut third, last) = door.enters();
    door.asks(&mut third, last);
    door.clients.reply(door.now, last, 200, "{}", 0.0, &mut door.alarms);
    assert_eq!(door.settles(), [id]);
    door.answered(&mut longest, id);
}

#[test]
fn at_the_cap_who_has_just_asked_does_not_make_room() {
    let mut door = Door::with(8);
    let (mut longest, id) = door.rests();
    let (mut next, _) = door.rests();
    let mut held: Vec<_> = (0..6).map(|_| door.enters()).collect();
    held.iter_mut().for_each(|(client, id)| door.asks(client, *id));
    door.sends(&mut longest, id, &request());
    let _one_more = door.enters();
    assert_eq!(next.stream.read(&mut [0]).unwrap(), 0);
    assert_eq!(door.settles(), [id]);
    door.answered(&mut longest, id);
}

/// On the way to the end.
#[rstest]
fn a_request_in_the_instant_of_a_step_to_the_end_is_taken(#[values(false, true)] rests: bool) {
    let mut door = Door::with(64);
    let (mut client, id) = if rests { door.rests() } else { door.enters() };
    let (mut silent, _) = if rests { door.rests() } else { door.enters() };
    door.clients.close_with_answers();
    door.sends(&mut client, id, &request());
    match rests {
        true => door.clients.close_resting(door.now, &mut door.alarms),
        false => door.clients.close_unasked(door.now, &mut door.alarms),
    }
    assert_eq!(silent.stream.read(&mut [0]).unwrap(), 0);
    assert_eq!(door.settles(), [id]);
    door.answered(&mut client, id);
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

/// It was written to a connection that had not been closed.
#[test]
fn a_request_in_the_instant_of_the_last_answer_is_taken() {
    let mut door = Door::with(64);
    let (mut client, id) = door.enters();
    door.asks(&mut client, id);
    door.clients.close_with_answers();
    door.sends(&mut client, id, &request());
    door.clients.reply(door.now, id, 200, "{}", 0.0, &mut door.alarms);
    assert!(!client.answer().unwrap().head.contains("Connection: close"));
    assert_eq!(door.settles(), [id]);
    door.clients.reply(door.now, id, 200, "{}", 0.0, &mut door.alarms);
    assert!(client.answer().unwrap().head.contains("Connection: close"));
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}
