//! Bytes that come between the last look at a client's connection and the close behind it. The loop is turned by hand:
//! a readiness that it has told of waits, as one does that came in the same turn as the close.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use dunepond_broker::buffers::Pool;
use dunepond_broker::clock::{TimerEvent, Timers};
use dunepond_broker::downstream::{ClientEvent, Downstream, listen};
use dunepond_broker::iteration::{Iteration, LoopEvent};
use dunepond_config::{Fields, bounds};
use dunepond_testkit::store::{Client, scan, settings};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

struct Door {
    turns: EventLoop<'static, Iteration>,
    clients: Downstream,
    timers: Timers,
    address: SocketAddr,
    now: f64,
}

impl Door {
    fn with(most: usize) -> Self {
        Self::with_settings(most, settings())
    }

    fn with_timeouts(ms: f64) -> Self {
        let mut settings = settings();
        for service in settings["services"].as_array_mut().unwrap() {
            (service["deadlineMs"], service["aimMs"]) = (json!(ms), json!(0.6 * ms));
        }
        Self::with_settings(64, settings)
    }

    fn with_settings(most: usize, settings: Value) -> Self {
        let turns = EventLoop::try_new().unwrap();
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let bounds = Rc::new(bounds(&Fields::of("settings", &settings).unwrap()).unwrap());
        let clients = Downstream::new(turns.handle(), &Pool::default(), bounds, most, 64, listener).unwrap();
        Self { turns, clients, timers: Timers::default(), address, now: 100.0 }
    }

    /// Waits for what the loop tells of this client, and leaves it waiting.
    fn told_of(&mut self, id: usize) {
        let (mut turn, start) = (Iteration::default(), Instant::now());
        while !turn.ready.iter().any(|ready| matches!(ready, LoopEvent::ClientReady(of, true) if *of == id)) {
            self.turns.dispatch(Duration::from_millis(100), &mut turn).unwrap();
            assert!(start.elapsed() < Duration::from_secs(5), "nothing is told of it");
        }
    }

    fn enters(&mut self) -> (Client, usize) {
        let client = Client::dial(self.address);
        let mut turn = Iteration::default();
        self.turns.dispatch(Duration::from_secs(5), &mut turn).unwrap();
        self.clients.accept(self.now, false, &mut self.timers);
        (client, self.clients.again.pop().unwrap())
    }

    /// The same for a client whose system takes next to nothing in before it is read.
    fn enters_narrowly(&mut self) -> (Client, usize) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.address.into()).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let mut turn = Iteration::default();
        self.turns.dispatch(Duration::from_secs(5), &mut turn).unwrap();
        self.clients.accept(self.now, false, &mut self.timers);
        (Client::on(socket.into()), self.clients.again.pop().unwrap())
    }

    fn start_request_timer(&mut self, client: &mut Client, id: usize) {
        client.send(&scan("find", "c1", &[1], "2.0"));
        self.told_of(id);
        self.clients.ready(self.now, id, true, &mut self.timers);
        assert!(self.gets_scan(id));
    }

    /// Its turn to be read brings a scan.
    fn gets_scan(&mut self, id: usize) -> bool {
        matches!(self.clients.next(self.now, id, &mut self.timers), ClientEvent::Query(_))
    }

    fn answered(&mut self, client: &mut Client, id: usize) {
        self.clients.reply(self.now, id, 200, "{}", 0.0, &mut self.timers);
        assert_eq!(client.answer().unwrap().status, 200);
        self.clients.again.clear();
    }

    fn rests(&mut self) -> (Client, usize) {
        let (mut client, id) = self.enters();
        self.start_request_timer(&mut client, id);
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
        assert_eq!(self.clients.slow(self.now, id, &mut self.timers), None);
    }

    /// Looks at the clients that are to be read until one brings a scan.
    fn settles(&mut self) -> Vec<usize> {
        let mut queries = Vec::new();
        while let Some(id) = self.clients.again.pop() {
            if self.gets_scan(id) {
                queries.push(id);
            }
        }
        queries
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
    door.clients.ready(door.now, id, true, &mut door.timers);
    assert!(!door.gets_scan(id));
    door.sends(&mut client, id, rest);
    let time = door.clients.read_before_timeout(id);
    assert_eq!(door.settles(), [id]);
    assert!(!door.clients.is_still_timed_out(id, time));
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
    door.clients.ready(door.now, id, true, &mut door.timers);
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
    door.clients.ready(door.now, id, true, &mut door.timers);
    assert!(!door.gets_scan(id));
    assert_eq!(door.clients.count(), 1);
    client.stream.write_all(b"x").unwrap();
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    drop(client);
    door.told_of(id);
    door.clients.ready(door.now, id, true, &mut door.timers);
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
    door.start_request_timer(&mut third, last);
    door.clients.reply(door.now, last, 200, "{}", 0.0, &mut door.timers);
    assert_eq!(door.settles(), [id]);
    door.answered(&mut longest, id);
}

#[test]
fn at_the_cap_who_has_just_asked_does_not_make_room() {
    let mut door = Door::with(8);
    let (mut longest, id) = door.rests();
    let (mut next, _) = door.rests();
    let mut held: Vec<_> = (0..6).map(|_| door.enters()).collect();
    held.iter_mut().for_each(|(client, id)| door.start_request_timer(client, *id));
    door.sends(&mut longest, id, &request());
    let _one_more = door.enters();
    assert_eq!(next.stream.read(&mut [0]).unwrap(), 0);
    assert_eq!(door.settles(), [id]);
    door.answered(&mut longest, id);
}

/// Nobody waits for longer than the longest query timeout, and half a second past its time an answer is lost.
#[rstest]
fn an_answer_may_be_taken_for_as_long_as_its_client_may_wait(
    #[values(300.0, 60_000.0)] timeout: f64,
    #[values(false, true)] responded_in_body: bool,
) {
    let mut door = Door::with_timeouts(timeout);
    let (mut client, id) = door.enters();
    if responded_in_body {
        // Answered before its body has come: it looks for its answer once that is sent.
        door.clients.raw = true;
        let head = "POST /nowhere HTTP/1.1\r\nX-Buckets: 1=1.0\r\nContent-Length: 9000000\r\n\r\n";
        door.sends(&mut client, id, head);
        door.clients.ready(door.now, id, true, &mut door.timers);
        assert!(!door.gets_scan(id));
    } else {
        door.start_request_timer(&mut client, id);
        // More than the system takes at once.
        door.clients.reply(door.now, id, 200, &"x".repeat(16 << 20), 0.0, &mut door.timers);
    }
    let mut is_up = |after: f64| {
        let due = std::iter::from_fn(|| door.timers.pop_due(door.now + 0.001 * timeout + after));
        due.filter(|due| *due == TimerEvent::ClientTimeout(id)).count() > 0
    };
    // Whoever may still send its body has at least as long as a request may take.
    assert_eq!((is_up(0.49), is_up(if responded_in_body { 2.0 } else { 0.51 })), (false, true));
}

/// The rest of an answer is in the system's queue, and goes with the connection if that is closed over what crosses it.
#[rstest]
fn who_takes_the_last_answer_slowly_gets_all_of_it_whatever_it_sends_meanwhile(
    #[values(false, true)] takes: bool,
) {
    let mut door = Door::with(64);
    let (mut client, id) = door.enters_narrowly();
    door.start_request_timer(&mut client, id);
    door.clients.close_after_responses();
    let answer = "x".repeat(500_000);
    door.clients.reply(door.now, id, 200, &format!("\"{answer}\""), 0.0, &mut door.timers);
    // All is written: it is only the client's end that is awaited.
    let times = [1.1, 2.2, 3.3].map(|after| {
        door.clients.slow(door.now + after, id, &mut door.timers);
        client.stream.write_all(b"x").unwrap();
        door.clients.count()
    });
    assert_eq!(times, [1; 3]);
    if takes {
        assert_eq!(client.answer().unwrap().body, json!(answer));
    }
    // Once it is taken, or nobody has any use for it, the connection goes.
    door.clients.slow(door.now + 3.6, id, &mut door.timers);
    assert_eq!(door.clients.count(), 0);
}

/// On the way to the end.
#[rstest]
fn a_request_in_the_instant_of_a_step_to_the_end_is_taken(#[values(false, true)] rests: bool) {
    let mut door = Door::with(64);
    let (mut client, id) = if rests { door.rests() } else { door.enters() };
    let (mut silent, _) = if rests { door.rests() } else { door.enters() };
    door.clients.close_after_responses();
    door.sends(&mut client, id, &request());
    match rests {
        true => door.clients.close_resting(door.now, &mut door.timers),
        false => door.clients.close_without_request(door.now, &mut door.timers),
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
    door.start_request_timer(&mut client, id);
    door.clients.close_after_responses();
    door.sends(&mut client, id, &request());
    door.clients.reply(door.now, id, 200, "{}", 0.0, &mut door.timers);
    assert!(!client.answer().unwrap().head.contains("Connection: close"));
    assert_eq!(door.settles(), [id]);
    door.clients.reply(door.now, id, 200, "{}", 0.0, &mut door.timers);
    assert!(client.answer().unwrap().head.contains("Connection: close"));
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}
