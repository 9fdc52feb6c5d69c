use std::io::Write;
use std::net::TcpStream;

use calloop::EventLoop;

use super::*;
use crate::buffers::Pools;
use crate::iteration::Iteration;
use crate::tests::{LoopParts, MAX_TURN_BYTES, MAX_WAIT, NOW, host_settings, peer_listener};

/// Length of the white space behind the list; all of it fits into one buffer.
const LIST_PADDING_BYTES: usize = 60_000;

/// A call to a discovery agent, which the test plays.
struct Fixture {
    discovery: DiscoveryClient,
    agent: TcpStream,
    pools: Pools,
    timers: Timers,
    unfinished_turns: UnfinishedTurns,
    _poller: EventLoop<'static, Iteration>,
}

impl Fixture {
    fn new() -> Self {
        let LoopParts { poller, pools, mut timers, unfinished_turns } = LoopParts::new();
        let listener = peer_listener();
        let address = listener.local_addr().unwrap();
        let mut discovery =
            DiscoveryClient::new(poller.handle(), &pools.nodes, address, &host_settings(), &unfinished_turns);
        discovery.start_call(NOW, &mut timers);
        let (agent, _) = listener.accept().unwrap();
        Self { discovery, agent, pools, timers, unfinished_turns, _poller: poller }
    }
}

/// Sends a complete list in chunks of one byte, so that it is longer than what is read in a turn.
fn send_long_list(mut agent: &TcpStream) {
    agent.set_write_timeout(Some(MAX_WAIT)).unwrap();
    let body = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[]}}{}", " ".repeat(LIST_PADDING_BYTES));
    let chunks: String = body.chars().map(|byte| format!("1\r\n{byte}\r\n")).collect();
    let response = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    agent.write_all(response.as_bytes()).unwrap();
}

/// Guards against an agent that sends faster than it is read: its turn would not end, and nobody else would be served.
#[test]
fn turn_of_a_call_ends_before_all_is_read() {
    let mut fixture = Fixture::new();
    send_long_list(&fixture.agent);
    let mut updates = Vec::new();
    let mut turns = 0;
    while updates.is_empty() {
        turns += 1;
        let before = fixture.pools.read_bytes();
        updates = fixture.discovery.on_ready(NOW, true, &mut fixture.timers);
        assert!(fixture.pools.read_bytes() - before <= MAX_TURN_BYTES);
        let is_queued = fixture.unfinished_turns.take_events().count() == 1;
        assert!(!updates.is_empty() || is_queued, "after {turns} turns");
    }
    assert!(turns > 1);
}

#[test]
fn interim_response_does_not_end_the_call() {
    let mut fixture = Fixture::new();
    let body = "{\"seq\":1,\"whole\":true,\"hosts\":[]}";
    let length = body.len();
    let responses = format!(
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    fixture.agent.write_all(responses.as_bytes()).unwrap();
    assert_eq!(fixture.discovery.on_ready(NOW, true, &mut fixture.timers).len(), 1);
}

#[test]
fn malformed_list_is_counted() {
    let mut fixture = Fixture::new();
    fixture.agent.write_all(b"what is this\r\n\r\n").unwrap();
    assert_eq!(fixture.discovery.on_ready(NOW, true, &mut fixture.timers).len(), 0);
    assert_eq!(fixture.discovery.malformed_messages, 1);
}
