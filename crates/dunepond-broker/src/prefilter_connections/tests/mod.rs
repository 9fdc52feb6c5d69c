use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::time::Instant;

use calloop::EventLoop;

use super::*;
use crate::iteration::Iteration;
use crate::tests::{LoopParts, MAX_TURN_BYTES, MAX_WAIT, NOW, host_settings, peer_listener};

const NODE: NodeId = 0;
/// Number of requests; their answers are several times as long as what is read in a turn.
const REQUESTS: u64 = 8;
/// Number of segments in an answer, which makes it about as long as a frame may be.
const SEGMENTS: usize = 5_000;

/// A node's answer to a prefilter request.
fn answer(request: u64) -> Vec<u8> {
    let lines: String = (0..SEGMENTS).map(|segment| format!("{segment} may 1\n")).collect();
    frames::encode_frame(b'Q', format!("{request}\n{lines}").as_bytes())
}

/// The connections of a broker to one node, which the test plays.
struct Fixture {
    connections: PrefilterConnections,
    pools: Pools,
    timers: Timers,
    unfinished_turns: UnfinishedTurns,
    listener: TcpListener,
    _poller: EventLoop<'static, Iteration>,
}

impl Fixture {
    fn new() -> Self {
        let LoopParts { poller, pools, timers, unfinished_turns } = LoopParts::new();
        let listener = peer_listener();
        let settings = Rc::new(host_settings());
        let connections = PrefilterConnections::new(poller.handle(), &pools, settings, 1, &unfinished_turns);
        Self { connections, pools, timers, unfinished_turns, listener, _poller: poller }
    }

    /// Sends requests with these numbers.
    fn send(&mut self, requests: Range<u64>) {
        let address = self.listener.local_addr().unwrap();
        for request in requests {
            self.connections.send(NOW, NODE, address, request, b"P", &mut self.timers);
        }
    }

    /// Sends requests on a new connection; returns its index and the node's side.
    fn connect(&mut self, requests: Range<u64>) -> (usize, TcpStream) {
        self.send(requests);
        let (node_side, _) = self.listener.accept().expect("no new connection");
        node_side.set_write_timeout(Some(MAX_WAIT)).unwrap();
        (self.connections.by_node[&NODE], node_side)
    }
}

/// Guards against a node that sends faster than it is read: its turn would not end, and nobody else would be served.
#[test]
fn turn_of_a_connection_ends_before_all_is_read() {
    let mut fixture = Fixture::new();
    let (id, mut node) = fixture.connect(0..REQUESTS);
    let answers: Vec<u8> = (0..REQUESTS).flat_map(answer).collect();
    node.write_all(&answers).unwrap();
    let started_at = Instant::now();
    let mut turns = 0;
    while fixture.connections.responses.len() < REQUESTS as usize {
        assert!(started_at.elapsed() < MAX_WAIT, "{} answers", fixture.connections.responses.len());
        turns += 1;
        let before = fixture.pools.read_bytes();
        fixture.connections.on_ready(NOW, id, true, &mut fixture.timers);
        assert!(fixture.pools.read_bytes() - before <= MAX_TURN_BYTES);
        let has_all = fixture.connections.responses.len() == REQUESTS as usize;
        assert!(has_all || fixture.unfinished_turns.take_events().count() == 1, "after {turns} turns");
    }
    assert!(turns > 1 && fixture.connections.responses.iter().all(|(_, answers)| answers.is_ok()));
}

/// Guards against an unrequested partial frame: the next answer would be read as its remainder.
#[test]
fn connection_with_an_unrequested_partial_frame_is_closed() {
    let mut fixture = Fixture::new();
    let (id, mut node) = fixture.connect(0..1);
    let frame = answer(0);
    node.write_all(&frame).unwrap();
    let started_at = Instant::now();
    while fixture.connections.responses.is_empty() {
        assert!(started_at.elapsed() < MAX_WAIT);
        fixture.connections.on_ready(NOW, id, true, &mut fixture.timers);
    }
    node.write_all(&frame[..frame.len() / 2]).unwrap();
    while fixture.unfinished_turns.take_events().count() > 0 || fixture.connections.connections.contains(id) {
        assert!(started_at.elapsed() < MAX_WAIT, "the connection is not closed");
        fixture.connections.on_ready(NOW, id, true, &mut fixture.timers);
    }
    fixture.connect(1..2);
}

#[test]
fn answer_to_an_unknown_request_closes_the_connection() {
    let mut fixture = Fixture::new();
    let (id, mut node) = fixture.connect(0..1);
    node.write_all(&answer(7)).unwrap();
    let started_at = Instant::now();
    while fixture.connections.connections.contains(id) {
        assert!(started_at.elapsed() < MAX_WAIT, "the connection is not closed");
        fixture.connections.on_ready(NOW, id, true, &mut fixture.timers);
    }
    assert!(matches!(fixture.connections.responses.pop_front(), Some((0, Err(_)))));
    assert_eq!(fixture.connections.malformed_messages, 1);
}
