mod last_response;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use socket2::{Domain, Protocol, Socket, Type};

use super::accept::{LISTEN_BACKLOG, MAX_ACCEPTS_PER_ITERATION};
use super::closing::MAX_EVICTION_READS;
use super::*;
use crate::clock::{TimerEvent, Timers};
use crate::iteration::Iteration;
use crate::tests::{LoopParts, MAX_WAIT, NOW, host_settings};

/// Number of requests that a client sends at once.
const REQUESTS: usize = 10 * MAX_REQUESTS_PER_TURN;
/// More connections than a backlog holds.
const MAX_CONNECTIONS: usize = 2_048;
/// Number of clients that have sent half a request.
const SENDING_CLIENTS: usize = 64;
const FLOODING_THREADS: usize = 4;
/// Longest time that connections are opened for, if the broker accepts them without an end.
const MAX_FLOOD: Duration = Duration::from_secs(2);
/// Number of connections that each thread of a flood keeps open.
const OPEN_CONNECTIONS: usize = 1_024;

/// The client connections of a broker that answers each query at once.
struct Fixture {
    downstream: Downstream,
    timers: Timers,
    unfinished_turns: UnfinishedTurns,
    address: SocketAddr,
    _poller: EventLoop<'static, Iteration>,
}

impl Fixture {
    fn new() -> Self {
        Self::with_max_connections(8)
    }

    fn with_max_connections(max_connections: usize) -> Self {
        let LoopParts { poller, pools, timers, unfinished_turns } = LoopParts::new();
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let mut downstream = Downstream::new(
            poller.handle(),
            &pools.clients,
            Rc::new(host_settings()),
            max_connections,
            listener,
            &unfinished_turns,
        )
        .unwrap();
        downstream.has_endpoints = true;
        Self { downstream, timers, unfinished_turns, address, _poller: poller }
    }

    /// Connects a client that sends `bytes`; returns the client and the index of its connection.
    fn connect(&mut self, bytes: &[u8]) -> (TcpStream, usize) {
        let mut client = TcpStream::connect(self.address).unwrap();
        client.set_read_timeout(Some(MAX_WAIT)).unwrap();
        client.write_all(bytes).unwrap();
        self.downstream.accept(NOW, Port::Queries, &mut self.timers);
        let id = self.downstream.connections.iter().map(|(id, _)| id).max().unwrap();
        (client, id)
    }

    /// Handles a readiness event of a client and all that results from it, as the event loop does; returns how many
    /// requests were parsed.
    fn take_turn(&mut self, id: usize) -> usize {
        self.downstream.on_ready(NOW, id, true, &mut self.timers);
        self.downstream.clients_to_read.push(id);
        while let Some(id) = self.downstream.clients_to_read.pop() {
            if let ClientEvent::Query(_) = self.downstream.next_event(NOW, id, &mut self.timers) {
                self.downstream.reply(NOW, id, 429, "", 0.0, &mut self.timers);
            }
        }
        self.downstream.connections[id].requests_in_turn
    }
}

/// Opens connections until `is_over`, but for [`MAX_FLOOD`] at most, without waiting for the broker to accept them. They
/// end by a reset, so that their ports are free again at once.
fn open_connections(address: SocketAddr, is_over: &AtomicBool) {
    let (began_at, mut open) = (Instant::now(), VecDeque::new());
    while !is_over.load(Ordering::SeqCst) && began_at.elapsed() < MAX_FLOOD {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP)).unwrap();
        socket.set_nonblocking(true).unwrap();
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        // The connection is still being established, or no port is free for the moment.
        let _ = socket.connect(&address.into());
        open.push_back(socket);
        if open.len() > OPEN_CONNECTIONS {
            open.pop_front();
        }
    }
}

fn query(number: usize) -> String {
    let body = "{\"buckets\":[{\"bucket\":0,\"part\":1.0}],\"body\":\"q\"}";
    format!(
        "POST /find HTTP/1.1\r\nX-Call-Id: c{number}\r\nX-Call-Class: find\r\nX-Budget: 1.0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against a client that sends faster than it is answered: its turn would not end, and nobody else would be
/// served.
#[rstest::rstest]
#[case::queries(query)]
#[case::readiness_checks(|_| "GET /ready HTTP/1.1\r\n\r\n".to_string())]
fn turn_of_a_client_ends_before_all_requests_are_answered(#[case] request: fn(usize) -> String) {
    let mut fixture = Fixture::new();
    let requests: String = (0..REQUESTS).map(request).collect();
    let (mut client, id) = fixture.connect(requests.as_bytes());
    let started_at = Instant::now();
    let mut parsed = 0;
    while parsed < REQUESTS {
        assert!(started_at.elapsed() < MAX_WAIT, "{parsed} requests");
        let in_turn = fixture.take_turn(id);
        assert!(in_turn <= MAX_REQUESTS_PER_TURN, "{in_turn} requests in a turn");
        parsed += in_turn;
        assert!(parsed == REQUESTS || fixture.unfinished_turns.take_events().count() == 1, "after {parsed}");
    }
    let mut answers = String::new();
    let mut bytes = [0; 4096];
    while answers.matches("HTTP/1.1 ").count() < REQUESTS {
        let count = client.read(&mut bytes).unwrap();
        answers.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
    }
}

/// A request that waits for the client's next turn is answered before the client is timed out.
#[test]
fn timeout_gives_another_turn_first() {
    let mut fixture = Fixture::new();
    let requests: String = (0..MAX_REQUESTS_PER_TURN + 1).map(query).collect();
    let (_client, id) = fixture.connect(requests.as_bytes());
    assert_eq!(fixture.take_turn(id), MAX_REQUESTS_PER_TURN);
    assert!(fixture.downstream.connections[id].has_unparsed());
    let timer = fixture.downstream.read_before_timeout(id);
    while let Some(id) = fixture.downstream.clients_to_read.pop() {
        if let ClientEvent::Query(_) = fixture.downstream.next_event(NOW, id, &mut fixture.timers) {
            fixture.downstream.reply(NOW, id, 429, "", 0.0, &mut fixture.timers);
        }
    }
    assert!(!fixture.downstream.connections[id].has_unparsed());
    assert!(!fixture.downstream.is_still_timed_out(id, timer));
}

/// Guards against clients that open connections faster than they are accepted: a shutdown would not get past its listeners.
#[test]
fn closing_the_listeners_accepts_no_more_than_their_backlog() {
    let mut fixture = Fixture::with_max_connections(MAX_CONNECTIONS);
    let is_over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..FLOODING_THREADS)
        .map(|_| {
            let (address, is_over) = (fixture.address, is_over.clone());
            thread::spawn(move || open_connections(address, &is_over))
        })
        .collect();
    // The backlog is full when the listeners are closed.
    thread::sleep(Duration::from_millis(100));
    assert!(fixture.downstream.close_listeners(NOW, &mut fixture.timers));
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    assert!(fixture.downstream.count() <= LISTEN_BACKLOG + MAX_ACCEPTS_PER_ITERATION);
}

/// A full broker that looked for a connection to evict read all of them for each one that came, and answered nobody meanwhile.
#[test]
fn looking_for_a_connection_to_evict_reads_few() {
    let mut fixture = Fixture::with_max_connections(SENDING_CLIENTS + 1);
    let half = query(0);
    let half = &half.as_bytes()[..half.len() / 2];
    let _clients: Vec<_> = (0..SENDING_CLIENTS).map(|_| fixture.connect(half)).collect();
    while fixture.unfinished_turns.pop().is_some() {}
    // The last connection fills the broker, which then looks for one to evict for the next.
    let _last = fixture.connect(half);
    let read = fixture.unfinished_turns.len() - 1;
    assert!((1..=MAX_EVICTION_READS).contains(&read), "{read} connections were read");
}

/// Each connection that closed while accepting was paused set a timer, and each timer looked for connections to evict.
#[test]
fn pause_in_accepting_ends_once_however_many_connections_close() {
    let mut fixture = Fixture::with_max_connections(SENDING_CLIENTS);
    let clients: Vec<_> = (0..SENDING_CLIENTS).map(|_| fixture.connect(b"GET /").1).collect();
    fixture.downstream.delay_accepting(NOW, NOW + 1.0, &mut fixture.timers);
    for id in clients {
        fixture.downstream.close(id, ConnectionEnd::Closed, &mut fixture.timers);
    }
    let pass = fixture.timers.begin_pass(NOW + 2.0);
    let resumed = std::iter::from_fn(|| fixture.timers.pop_due(pass));
    assert_eq!(resumed.filter(|event| matches!(event, TimerEvent::ResumeAccept)).count(), 1);
}
