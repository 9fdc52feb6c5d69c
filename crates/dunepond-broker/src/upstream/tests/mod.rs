use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

use calloop::EventLoop;
use rstest::rstest;

use super::*;
use crate::clock::Timers;
use crate::frames::encode_frame;
use crate::iteration::Iteration;
use crate::tests::{LoopParts, MAX_TURN_BYTES, MAX_WAIT, NOW, host_settings, peer_listener};

const NODE: NodeId = 0;
/// Number of attempts at a time; their answers are several times as long as what is read in a turn.
const ATTEMPTS: usize = 8;
const ANSWER_BYTES: usize = 60_000;

/// The connections of a broker to one node, which the test plays.
struct Fixture {
    /// The present time, in Unix seconds.
    now: f64,
    upstream: Upstream,
    timers: Timers,
    unfinished_turns: UnfinishedTurns,
    listener: TcpListener,
    _poller: EventLoop<'static, Iteration>,
}

impl Fixture {
    fn new() -> Self {
        let LoopParts { poller, pools, mut timers, unfinished_turns } = LoopParts::new();
        let listener = peer_listener();
        let mut upstream =
            Upstream::new(poller.handle(), &pools, Rc::new(host_settings()), 8, &unfinished_turns);
        let endpoint = EndpointInfo {
            name: "s-0".to_string(),
            address: Some(listener.local_addr().unwrap()),
            replica_group: 0,
            started_at: 0.0,
            state: EndpointState::Active,
        };
        upstream.update_endpoint(NOW, NODE, endpoint, &mut timers);
        Self { now: NOW, upstream, timers, unfinished_turns, listener, _poller: poller }
    }

    /// The node is queried through the search API.
    fn with_search_api() -> Self {
        let mut fixture = Self::new();
        fixture.upstream.set_search_api_nodes(vec!["127.0.0.1/32".parse().unwrap()], vec![false]);
        fixture
    }

    /// Dispatches attempts whose ids begin with `query`.
    fn dispatch(&mut self, query: QueryId, count: usize) {
        for part in 0..count {
            let request = AttemptRequest {
                query,
                part,
                attempt: 0,
                id: attempt_id(query, part).into(),
                segment: part,
                query_class: 0,
                deadline: self.now + 2.0,
                send_by: self.now + 2.0,
                payload: Payload::Inline("q".into()),
                body_reader: None,
                query_start: None,
            };
            self.upstream.dispatch(NODE, request);
        }
        self.upstream.flush(self.now, &mut self.timers);
    }

    /// Establishes a connection with these attempts outstanding; returns its index and the node's side.
    fn connect(&mut self, query: QueryId, attempts: usize) -> (usize, TcpStream) {
        self.dispatch(query, attempts);
        let (node_side, _) = self.listener.accept().expect("no new connection");
        let id = *self.upstream.nodes[NODE].connections.last().unwrap();
        self.upstream.on_ready(self.now, id, false, &mut self.timers);
        assert!(self.upstream.connections[id].connected);
        (id, node_side)
    }

    /// Gives a connection a turn; returns how many bytes were read in it.
    fn take_turn(&mut self, id: usize) -> u64 {
        let before = self.upstream.pools.read_bytes();
        self.upstream.on_ready(self.now, id, true, &mut self.timers);
        self.upstream.pools.read_bytes() - before
    }

    /// Gives the unfinished connections turns until everything that the node sends has been read.
    fn finish_turns(&mut self, id: usize, expected_ends: usize) {
        let started_at = Instant::now();
        while self.upstream.completed.len() < expected_ends || !self.unfinished_turns.is_empty() {
            assert!(started_at.elapsed() < MAX_WAIT, "{} ends", self.upstream.completed.len());
            self.unfinished_turns.take_events().for_each(drop);
            assert!(self.take_turn(id) <= MAX_TURN_BYTES);
        }
    }
}

fn attempt_id(query: QueryId, part: usize) -> String {
    format!("c{query}.{part}")
}

/// A node's report that an attempt was served.
fn answer(query: QueryId, part: usize) -> Vec<u8> {
    encode_frame(
        b'E',
        format!("{} hit 1 -\n{}", attempt_id(query, part), "v".repeat(ANSWER_BYTES)).as_bytes(),
    )
}

/// Sends the answers to all attempts at once; they fit into the buffers of the two sockets.
fn send_answers(mut node_side: &TcpStream) {
    node_side.set_write_timeout(Some(MAX_WAIT)).unwrap();
    let answers: Vec<u8> = (0..ATTEMPTS).flat_map(|part| answer(1, part)).collect();
    node_side.write_all(&answers).unwrap();
}

/// Guards against a node that sends faster than it is read: its turn would not end, and nobody else would be served.
#[test]
fn turn_of_a_connection_ends_before_all_is_read() {
    let mut fixture = Fixture::new();
    let (id, node_side) = fixture.connect(1, ATTEMPTS);
    send_answers(&node_side);
    assert!(fixture.take_turn(id) <= MAX_TURN_BYTES);
    fixture.finish_turns(id, ATTEMPTS);
    assert!(fixture.upstream.completed.iter().all(|completed| completed.value.is_some()));
}

/// An idle connection on which more arrives than is read in a turn gets no attempt; it is kept, and used again once
/// everything is read.
#[test]
fn unfinished_connection_gets_no_attempt() {
    let mut fixture = Fixture::new();
    let (id, node_side) = fixture.connect(1, ATTEMPTS);
    send_answers(&node_side);
    fixture.finish_turns(id, ATTEMPTS);
    // Second copies, which are ignored.
    send_answers(&node_side);
    let (other, _other_side) = fixture.connect(2, 1);
    assert_ne!(other, id);
    fixture.finish_turns(id, ATTEMPTS);
    fixture.upstream.close(NOW, other, ConnectionEnd::IdleClosed, &mut fixture.timers);
    fixture.dispatch(3, 1);
    assert_eq!(fixture.upstream.connections[id].outstanding.len(), 1);
}

/// Answers that arrived before a write failed are used, however many turns it takes to read them, before the connection
/// is closed.
#[test]
fn connection_is_closed_after_the_answers_before_a_failed_write() {
    let mut fixture = Fixture::new();
    let (id, node_side) = fixture.connect(1, ATTEMPTS);
    send_answers(&node_side);
    fixture.upstream.receive_before_close(NOW, id, ConnectionEnd::Reset, &mut fixture.timers);
    fixture.finish_turns(id, ATTEMPTS);
    assert!(fixture.upstream.completed.iter().all(|completed| completed.value.is_some()));
    assert!(!fixture.upstream.connections.contains(id));
}

/// A complete response of the search API.
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Guards against a node that sends a second copy of a response in pieces: the copy would be taken for the response to the next request
/// on the connection.
#[rstest]
#[case::part_of_the_head("HTTP/1.1 200")]
#[case::head("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")]
#[case::head_and_part_of_the_body("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")]
#[case::head_of_a_chunked_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")]
#[case::head_of_a_response_without_length("HTTP/1.1 200 OK\r\n\r\n")]
#[case::interim_response("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::blank_line("\r\n")]
#[case::response(RESPONSE)]
fn connection_with_an_unrequested_response_gets_no_attempt(
    #[case] unrequested: &str,
    #[values(true, false)] is_read_before_the_attempt: bool,
) {
    let mut fixture = Fixture::with_search_api();
    let (id, mut node_side) = fixture.connect(1, 1);
    node_side.write_all(RESPONSE.as_bytes()).unwrap();
    fixture.finish_turns(id, 1);
    node_side.write_all(unrequested.as_bytes()).unwrap();
    if is_read_before_the_attempt {
        fixture.take_turn(id);
        assert!(!fixture.upstream.connections.contains(id));
        assert_eq!(fixture.upstream.malformed_messages, 1);
    }
    fixture.now += SEARCH_API_REUSE_DELAY_SECONDS;
    fixture.dispatch(2, 1);
    assert!(fixture.listener.accept().is_ok(), "no new connection");
}

/// Guards against a request that crosses an unrequested response on the way: the response would be taken for the one to the request.
#[rstest]
#[case::right_behind_the_response(0.0, true)]
#[case::before_the_delay_is_over(0.99 * SEARCH_API_REUSE_DELAY_SECONDS, true)]
#[case::after_the_delay(SEARCH_API_REUSE_DELAY_SECONDS, false)]
fn connection_is_not_reused_right_behind_a_response(
    #[case] later: f64,
    #[case] expects_new_connection: bool,
) {
    let mut fixture = Fixture::with_search_api();
    let (id, mut node_side) = fixture.connect(1, 1);
    node_side.write_all(RESPONSE.as_bytes()).unwrap();
    fixture.finish_turns(id, 1);
    fixture.now += later;
    fixture.dispatch(2, 1);
    assert_eq!(fixture.listener.accept().is_ok(), expects_new_connection);
}

/// Guards against a part that counts as served without a value: a search response is JSON, which is UTF-8, and the bytes that are not
/// may stand in a string that the parser passes over.
#[rstest]
#[case::search(false, b"{\"timed_out\":false,\"x\":\"\xff\",\"hits\":{\"total\":{\"value\":0,\"relation\":\"eq\"},\"hits\":[]}}")]
#[case::update(true, b"{\"timed_out\":false,\"x\":\"\xff\",\"updated\":1,\"failures\":[]}")]
fn response_that_is_not_utf8_fails_the_attempt(#[case] is_update: bool, #[case] body: &[u8]) {
    let text = String::from_utf8(body.iter().map(|byte| if *byte == 0xff { b'x' } else { *byte }).collect())
        .unwrap();
    for (body, expected) in [(body, AttemptOutcome::Error), (text.as_bytes(), AttemptOutcome::Served)] {
        let mut fixture = Fixture::with_search_api();
        fixture.upstream.set_search_api_nodes(vec!["127.0.0.1/32".parse().unwrap()], vec![is_update]);
        let (id, mut node_side) = fixture.connect(1, 1);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        node_side.write_all(&[head.as_bytes(), body].concat()).unwrap();
        fixture.finish_turns(id, 1);
        let completed = &fixture.upstream.completed[0];
        assert_eq!(
            (completed.ended.outcome, completed.value.is_some()),
            (expected, expected == AttemptOutcome::Served)
        );
    }
}

/// Guards against an interim response that ends its attempt: the attempt would fail although it runs, and the response that
/// follows would be taken for the one to the next request.
#[rstest]
#[case::one("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::with_headers("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 5\r\n\r\n")]
#[case::two("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")]
fn interim_response_does_not_end_the_attempt(
    #[case] interim: &str,
    #[values(true, false)] is_read_before_the_response: bool,
) {
    let mut fixture = Fixture::with_search_api();
    fixture.upstream.set_search_api_nodes(vec!["127.0.0.1/32".parse().unwrap()], vec![true]);
    let (id, mut node_side) = fixture.connect(1, 1);
    node_side.write_all(interim.as_bytes()).unwrap();
    if is_read_before_the_response {
        fixture.take_turn(id);
        assert_eq!(fixture.upstream.completed.len(), 0);
    }
    let body = "{\"timed_out\":false,\"updated\":1,\"failures\":[]}";
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    node_side.write_all(response.as_bytes()).unwrap();
    fixture.finish_turns(id, 1);
    assert_eq!(fixture.upstream.completed[0].ended.outcome, AttemptOutcome::Served);
}

/// Guards against interim responses without an end, and against a change to a protocol that the broker did not ask for.
#[rstest]
#[case::without_end("HTTP/1.1 100 Continue\r\n\r\n", 4_000)]
#[case::switched_protocol("HTTP/1.1 101 Switching Protocols\r\n\r\n", 1)]
fn interim_responses_are_bounded(#[case] interim: &str, #[case] count: usize) {
    let mut fixture = Fixture::with_search_api();
    let (id, mut node_side) = fixture.connect(1, 1);
    node_side.write_all(interim.repeat(count).as_bytes()).unwrap();
    fixture.finish_turns(id, 1);
    assert_eq!(fixture.upstream.completed[0].ended.outcome, AttemptOutcome::ConnectionLost);
    assert!(!fixture.upstream.connections.contains(id));
}

/// Guards against a node that repeats the end of an attempt without an end: it would be read for ever and never count as failing.
#[test]
fn node_may_repeat_each_end_once() {
    let mut fixture = Fixture::new();
    let (id, mut node_side) = fixture.connect(1, 2);
    node_side.write_all(&[answer(1, 0), answer(1, 1)].concat()).unwrap();
    fixture.finish_turns(id, 2);
    let repeat = encode_frame(b'E', format!("{} hit 1 -\n", attempt_id(1, 0)).as_bytes());
    node_side.write_all(&repeat.repeat(2)).unwrap();
    fixture.take_turn(id);
    assert!(fixture.upstream.connections.contains(id));
    node_side.write_all(&repeat).unwrap();
    fixture.take_turn(id);
    assert!(!fixture.upstream.connections.contains(id));
    assert_eq!(fixture.upstream.completed.len(), 2);
}

/// Guards against bytes that would be taken for the start of the next response.
#[rstest]
#[case::next_response(RESPONSE)]
#[case::one_byte("x")]
fn bytes_behind_a_response_lose_the_attempt(#[case] surplus: &str) {
    let mut fixture = Fixture::with_search_api();
    let (id, mut node_side) = fixture.connect(1, 1);
    node_side.write_all(format!("{RESPONSE}{surplus}").as_bytes()).unwrap();
    fixture.finish_turns(id, 1);
    assert_eq!(fixture.upstream.completed[0].ended.outcome, AttemptOutcome::ConnectionLost);
    assert!(!fixture.upstream.connections.contains(id));
}
