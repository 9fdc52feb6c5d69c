//! Bytes that arrive between the last read of a client's connection and its close. The tests dispatch the event loop
//! themselves, so that a readiness event stays unhandled, as if it came in the same iteration as the close.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use dunepond_broker::buffers::{BUFFER_BYTES, Pool};
use dunepond_broker::clock::{TimerEvent, Timers};
use dunepond_broker::downstream::{ClientEvent, Downstream, listen};
use dunepond_broker::iteration::{Iteration, LoopEvent, Port};
use dunepond_broker::read_turn::{UnfinishedConnection, UnfinishedTurns};
use dunepond_config::{Fields, host_settings};
use dunepond_testkit::stand_ins::{Client, query_request, settings};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// The client side of a broker without its router; the test handles the events and sets the time.
struct Harness {
    event_loop: EventLoop<'static, Iteration>,
    clients: Downstream,
    timers: Timers,
    /// The clients that get a further turn.
    unfinished_turns: UnfinishedTurns,
    address: SocketAddr,
    /// The current time in seconds.
    now: f64,
}

impl Harness {
    /// Creates a harness with this maximum number of client connections.
    fn new(max_clients: usize) -> Self {
        Self::with_settings(max_clients, settings())
    }

    /// Creates a harness with this deadline for every query class, in milliseconds.
    fn with_timeouts(ms: f64) -> Self {
        let mut settings = settings();
        for service in settings["services"].as_array_mut().unwrap() {
            (service["deadlineMs"], service["aimMs"]) = (json!(ms), json!(0.6 * ms));
        }
        Self::with_settings(64, settings)
    }

    fn with_settings(max_clients: usize, settings: Value) -> Self {
        let event_loop = EventLoop::try_new().unwrap();
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let bounds = Rc::new(host_settings(&Fields::new("settings", &settings).unwrap()).unwrap());
        let unfinished_turns = UnfinishedTurns::default();
        let clients = Downstream::new(
            event_loop.handle(),
            &Pool::with_limit(64 * BUFFER_BYTES),
            bounds,
            max_clients,
            listener,
            &unfinished_turns,
        )
        .unwrap();
        Self { event_loop, clients, timers: Timers::default(), unfinished_turns, address, now: 100.0 }
    }

    /// Waits for the readiness event of this client, without handling it.
    fn wait_readable(&mut self, id: usize) {
        let (mut iteration, start) = (Iteration::default(), Instant::now());
        while !iteration
            .events
            .iter()
            .any(|ready| matches!(ready, LoopEvent::ClientReady(of, true) if *of == id))
        {
            self.event_loop.dispatch(Duration::from_millis(100), &mut iteration).unwrap();
            assert!(start.elapsed() < Duration::from_secs(5), "no readiness event for client {id}");
        }
    }

    /// Returns the id of the client that was accepted last; the other clients stay queued for their turns.
    fn accepted(&self) -> usize {
        let mut queued: Vec<_> = std::iter::from_fn(|| self.unfinished_turns.pop()).collect();
        let Some(LoopEvent::ClientReady(accepted, true)) = queued.pop() else {
            panic!("no client was accepted")
        };
        for event in queued {
            let LoopEvent::ClientReady(id, true) = event else { panic!("not a client") };
            self.unfinished_turns.add(UnfinishedConnection::Client(id));
        }
        accepted
    }

    /// Connects a client and accepts it; returns it with its id.
    fn connect(&mut self) -> (Client, usize) {
        let client = Client::connect_to(self.address);
        let mut iteration = Iteration::default();
        self.event_loop.dispatch(Duration::from_secs(5), &mut iteration).unwrap();
        self.clients.accept(self.now, Port::Queries, &mut self.timers);
        (client, self.accepted())
    }

    /// Connects and accepts a client with a receive buffer of 4 KiB; returns it with its id.
    fn connect_with_small_buffer(&mut self) -> (Client, usize) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.address.into()).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let mut iteration = Iteration::default();
        self.event_loop.dispatch(Duration::from_secs(5), &mut iteration).unwrap();
        self.clients.accept(self.now, Port::Queries, &mut self.timers);
        (Client::from_stream(socket.into()), self.accepted())
    }

    /// Sends a query from the client and reads it on the broker's side.
    fn send_query(&mut self, client: &mut Client, id: usize) {
        client.send(&query_request("find", "c1", &[1], "2.0"));
        self.wait_readable(id);
        self.clients.on_ready(self.now, id, true, &mut self.timers);
        assert!(self.reads_query(id));
    }

    /// Reads from the client; returns whether there was a complete query.
    fn reads_query(&mut self, id: usize) -> bool {
        matches!(self.clients.next_event(self.now, id, &mut self.timers), ClientEvent::Query(_))
    }

    /// Answers the client's query and checks that the client receives the response.
    fn respond(&mut self, client: &mut Client, id: usize) {
        self.clients.reply(self.now, id, 200, "{}", 0.0, &mut self.timers);
        assert_eq!(client.read_response().unwrap().status, 200);
        self.clients.clients_to_read.clear();
    }

    /// Connects a client whose connection is idle after an answered query; returns it with its id.
    fn idle_client(&mut self) -> (Client, usize) {
        let (mut client, id) = self.connect();
        self.send_query(&mut client, id);
        self.respond(&mut client, id);
        self.now += 0.01;
        (client, id)
    }

    /// Sends bytes from the client and waits for their readiness event, without reading them.
    fn send(&mut self, client: &mut Client, id: usize, bytes: &str) {
        client.send(bytes);
        self.wait_readable(id);
    }

    /// Lets the client's timeout pass and handles it.
    fn time_out(&mut self, id: usize) {
        self.now += 4.0;
        assert_eq!(self.clients.on_timeout(self.now, id, &mut self.timers), None);
    }

    /// Reads from the pending clients; returns the ids of those with a complete query.
    /// Reads the clients that are queued, at once or for a further turn; returns those with a complete query.
    fn read_pending(&mut self) -> Vec<usize> {
        let mut queries = Vec::new();
        while let Some(id) = self.next_queued() {
            if self.reads_query(id) {
                queries.push(id);
            }
        }
        queries
    }

    fn next_queued(&mut self) -> Option<usize> {
        self.clients.clients_to_read.pop().or_else(|| {
            let Some(LoopEvent::ClientReady(id, readable)) = self.unfinished_turns.pop() else { return None };
            self.clients.on_ready(self.now, id, readable, &mut self.timers);
            Some(id)
        })
    }
}

fn request() -> String {
    query_request("find", "c2", &[1], "2.0")
}

#[test]
fn request_during_idle_close_is_accepted() {
    let mut harness = Harness::new(64);
    let (mut client, id) = harness.idle_client();
    harness.send(&mut client, id, &request());
    harness.time_out(id);
    assert_eq!(harness.read_pending(), [id]);
    harness.respond(&mut client, id);
}

#[test]
fn first_request_at_its_timeout_is_accepted() {
    let mut harness = Harness::new(64);
    let (mut client, id) = harness.connect();
    harness.send(&mut client, id, &request());
    harness.time_out(id);
    assert_eq!(harness.read_pending(), [id]);
    harness.respond(&mut client, id);
}

#[test]
fn rest_of_a_request_at_its_timeout_is_accepted() {
    let mut harness = Harness::new(64);
    let (mut client, id) = harness.connect();
    let request = request();
    let (half, rest) = request.split_at(request.len() / 2);
    harness.send(&mut client, id, half);
    harness.clients.on_ready(harness.now, id, true, &mut harness.timers);
    assert!(!harness.reads_query(id));
    harness.send(&mut client, id, rest);
    let time = harness.clients.read_before_timeout(id);
    assert_eq!(harness.read_pending(), [id]);
    assert!(!harness.clients.is_still_timed_out(id, time));
    harness.respond(&mut client, id);
}

#[test]
fn partial_request_during_idle_close_is_awaited() {
    let mut harness = Harness::new(64);
    let (mut client, id) = harness.idle_client();
    let request = request();
    let (half, rest) = request.split_at(request.len() / 2);
    harness.send(&mut client, id, half);
    harness.time_out(id);
    assert!(harness.read_pending().is_empty());
    harness.send(&mut client, id, rest);
    harness.clients.on_ready(harness.now, id, true, &mut harness.timers);
    assert!(harness.reads_query(id));
    harness.respond(&mut client, id);
}

/// Guards against a reset, which would lose what the client has not read yet.
#[test]
fn request_after_the_close_is_discarded_without_reset() {
    let mut harness = Harness::new(64);
    let (mut client, id) = harness.idle_client();
    harness.time_out(id);
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    harness.send(&mut client, id, &request());
    harness.clients.on_ready(harness.now, id, true, &mut harness.timers);
    assert!(!harness.reads_query(id));
    assert_eq!(harness.clients.count(), 1);
    client.stream.write_all(b"x").unwrap();
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
    drop(client);
    harness.wait_readable(id);
    harness.clients.on_ready(harness.now, id, true, &mut harness.timers);
    assert!(!harness.reads_query(id));
    assert_eq!(harness.clients.count(), 0);
}

/// At most a quarter of all client connections may be idle: with eight, a third idle one evicts the one that is idle for longest.
#[test]
fn request_during_eviction_of_idle_is_accepted() {
    let mut harness = Harness::new(8);
    let (mut longest, id) = harness.idle_client();
    let _second = harness.idle_client();
    harness.send(&mut longest, id, &request());
    let (mut third, last) = harness.connect();
    harness.send_query(&mut third, last);
    harness.clients.reply(harness.now, last, 200, "{}", 0.0, &mut harness.timers);
    assert_eq!(harness.read_pending(), [id]);
    harness.respond(&mut longest, id);
}

#[test]
fn client_with_a_new_request_is_not_evicted() {
    let mut harness = Harness::new(8);
    let (mut longest, id) = harness.idle_client();
    let (mut next, _) = harness.idle_client();
    let mut waiting_clients: Vec<_> = (0..6).map(|_| harness.connect()).collect();
    waiting_clients.iter_mut().for_each(|(client, id)| harness.send_query(client, *id));
    harness.send(&mut longest, id, &request());
    let _one_more = harness.connect();
    assert_eq!(next.stream.read(&mut [0]).unwrap(), 0);
    assert_eq!(harness.read_pending(), [id]);
    harness.respond(&mut longest, id);
}

/// No client waits for longer than the longest query timeout; half a second after it an unread response counts as lost.
#[rstest]
fn response_may_be_read_until_the_longest_timeout(
    #[values(300.0, 60_000.0)] timeout: f64,
    #[values(false, true)] responded_before_body_end: bool,
) {
    let mut harness = Harness::with_timeouts(timeout);
    let (mut client, id) = harness.connect();
    if responded_before_body_end {
        // The request is answered before its body has arrived: the client reads the response only after sending the
        // body.
        harness.clients.accepts_streamed = true;
        let head = "POST /nowhere HTTP/1.1\r\nX-Buckets: 1=1.0\r\nContent-Length: 9000000\r\n\r\n";
        harness.send(&mut client, id, head);
        harness.clients.on_ready(harness.now, id, true, &mut harness.timers);
        assert!(!harness.reads_query(id));
    } else {
        harness.send_query(&mut client, id);
        // 16 MiB exceed the socket's send buffer.
        harness.clients.reply(harness.now, id, 200, &"x".repeat(16 << 20), 0.0, &mut harness.timers);
    }
    let mut is_timed_out = |after: f64| {
        let pass = harness.timers.begin_pass(harness.now + 0.001 * timeout + after);
        let due = std::iter::from_fn(|| harness.timers.pop_due(pass));
        due.filter(|due| *due == TimerEvent::ClientTimeout(id)).count() > 0
    };
    // A client that may still send its body is given at least the request timeout.
    assert_eq!(
        (is_timed_out(0.49), is_timed_out(if responded_before_body_end { 2.0 } else { 0.51 })),
        (false, true)
    );
}

/// Guards against a reset, which would lose the rest of a response in the socket's send buffer.
#[rstest]
fn slow_reader_gets_the_whole_last_response(#[values(false, true)] reads: bool) {
    let mut harness = Harness::new(64);
    let (mut client, id) = harness.connect_with_small_buffer();
    harness.send_query(&mut client, id);
    harness.clients.close_after_responses();
    let answer = "x".repeat(500_000);
    harness.clients.reply(harness.now, id, 200, &format!("\"{answer}\""), 0.0, &mut harness.timers);
    // The response is written; only the client's close is awaited.
    let open_connections = [1.1, 2.2, 3.3].map(|after| {
        harness.clients.on_timeout(harness.now + after, id, &mut harness.timers);
        client.stream.write_all(b"x").unwrap();
        harness.clients.count()
    });
    assert_eq!(open_connections, [1; 3]);
    if reads {
        assert_eq!(client.read_response().unwrap().body, json!(answer));
    }
    // Once the response is read or counts as lost, the connection is closed.
    harness.clients.on_timeout(harness.now + 3.6, id, &mut harness.timers);
    assert_eq!(harness.clients.count(), 0);
}

/// A shutdown closes idle connections and connections without a request; a request that has already arrived is accepted.
#[rstest]
fn request_during_a_shutdown_stage_is_accepted(#[values(false, true)] idle: bool) {
    let mut harness = Harness::new(64);
    let (mut client, id) = if idle { harness.idle_client() } else { harness.connect() };
    let (mut silent, _) = if idle { harness.idle_client() } else { harness.connect() };
    harness.clients.close_after_responses();
    harness.send(&mut client, id, &request());
    match idle {
        true => harness.clients.close_idle(harness.now, &mut harness.timers),
        false => harness.clients.close_without_request(harness.now, &mut harness.timers),
    }
    assert_eq!(silent.stream.read(&mut [0]).unwrap(), 0);
    assert_eq!(harness.read_pending(), [id]);
    harness.respond(&mut client, id);
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

/// The next request arrives before the response to the previous one, which would have announced the close.
#[test]
fn request_during_the_last_response_is_accepted() {
    let mut harness = Harness::new(64);
    let (mut client, id) = harness.connect();
    harness.send_query(&mut client, id);
    harness.clients.close_after_responses();
    harness.send(&mut client, id, &request());
    harness.clients.reply(harness.now, id, 200, "{}", 0.0, &mut harness.timers);
    assert!(!client.read_response().unwrap().header.contains("Connection: close"));
    assert_eq!(harness.read_pending(), [id]);
    harness.clients.reply(harness.now, id, 200, "{}", 0.0, &mut harness.timers);
    assert!(client.read_response().unwrap().header.contains("Connection: close"));
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}
