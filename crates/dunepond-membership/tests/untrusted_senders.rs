//! Messages of senders that are not verified are counted, are refused with a reason, and have no effect.

mod fleet;
use dunepond_membership::{
    Authenticator, Envelope, Event, Message, MessageHeader, MessageType, PROTOCOL_VERSION, PeerId,
    RefusalReason, RequestKind, VersionRange, decode, encode,
};
use fleet::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Sends `bytes` over a new connection, and returns the bytes that are received until the connection is closed or idle.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut response = Vec::new();
    if stream.write_all(bytes).is_ok() {
        let _ = stream.read_to_end(&mut response);
    }
    response
}

/// Sends a request, and returns the HTTP status of the response and the refusal, if there is one.
fn post(address: SocketAddr, path: &str, body: &[u8]) -> (u16, Option<RefusalReason>) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let response = send_raw(address, &[head.as_bytes(), body].concat());
    let status = String::from_utf8_lossy(&response[9..12]).parse().unwrap();
    let body_start = response.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    let Message { payload, .. } =
        decode(&response[body_start..], &Authenticator::new(None).unwrap(), "it", VersionRange::SUPPORTED)
            .unwrap();
    (status, postcard::from_bytes(payload).ok())
}

/// Encodes a request of version 1 without address tokens, so that nothing proves that its sender receives messages at
/// the address that it states.
fn encoded_request(name: &str, incarnation: u64, listen_address: SocketAddr, to: &str) -> Vec<u8> {
    let from = PeerId { name: name.into(), incarnation, renewals: 0, listen_address };
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 500 };
    encode(
        &Envelope::VERSION_1,
        &MessageHeader { from, to: to.into(), issued_token: 0, echoed_token: 0, message_type },
        b"x",
        &Authenticator::new(None).unwrap(),
    )
}

/// Starts two brokers, and waits until each has received the other's address token.
fn start_pair() -> Vec<Broker> {
    let fleet = fleet(2, |options| {
        (options.timing.first_request_timeout_seconds, options.timing.suspicion_timeout_seconds) = (0.3, 3.0)
    });
    fleet[0].wait_for_up("n2");
    fleet[1].wait_for_up("n1");
    // A peer echoes a broker's token in its first answer to a datagram of that broker.
    fleet
        .iter()
        .for_each(|broker| broker.wait_until("8 datagrams", |peers| peers.counters().datagrams_in >= 8));
    fleet
}

/// Asserts that n1 reported neither a request nor a peer that is down, and that n2 still gets a response from n1.
fn assert_unaffected(fleet: &[Broker]) {
    let events: Vec<Event> = fleet[0].events.try_iter().collect();
    let is_unexpected = |event: &Event| matches!(event, Event::Request { .. } | Event::PeerDown(_));
    assert!(!events.iter().any(is_unexpected), "{events:?}, {:?}", fleet[0].peers.counters());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (from, .., responder) = fleet[0].next_request();
            assert_eq!(from, "n2");
            fleet[0].peers.respond(responder, Ok(b"still".into()));
        });
        assert_eq!(fleet[1].call("n1", b"", 5.0).unwrap(), b"still");
    });
}

#[rstest]
#[case::not_http(b"\x00\x01\x02\xff\r\n\r\n".to_vec())]
#[case::get(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec())]
#[case::long_head([b"POST /raft HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 100_000]].concat())]
#[case::truncated_body(b"POST /raft HTTP/1.1\r\ncontent-length: 1000\r\n\r\nabc".to_vec())]
#[case::no_length(b"POST /raft HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n".to_vec())]
#[case::silent(vec![])]
fn invalid_connections_are_closed(#[case] bytes: Vec<u8>) {
    let fleet = start_pair();
    let started = Instant::now();
    send_raw(fleet[0].peers.local_addr(), &bytes);
    assert!(started.elapsed() < Duration::from_secs(3));
    assert_unaffected(&fleet);
}

#[test]
fn rejected_request_gets_reason() {
    let fleet = start_pair();
    let (address, n2) = (fleet[0].peers.local_addr(), fleet[1].peers.local_addr());
    let other_address = "127.0.0.1:9".parse().unwrap();
    let request = encoded_request("n2", 1, n2, "n1");
    let newer: Vec<u8> = [&[PROTOCOL_VERSION + 1; 3], &request[1..]].concat();
    let unverified = |name: &str| Some(RefusalReason::UnverifiedSender { name: name.into() });
    let malformed = Some(RefusalReason::Malformed);
    let cases = [
        ("unknown path", "/shell", request.clone(), 400, malformed.clone()),
        ("path of another kind", "/lease", request.clone(), 400, malformed.clone()),
        ("undecodable body", "/raft", vec![PROTOCOL_VERSION, 255, 255, 255, 255], 400, malformed.clone()),
        ("empty body", "/raft", vec![], 400, malformed.clone()),
        (
            "newer version",
            "/raft",
            newer,
            426,
            Some(RefusalReason::UnsupportedVersion {
                stated: VersionRange::exactly(PROTOCOL_VERSION + 1),
                supported: VersionRange::SUPPORTED,
            }),
        ),
        ("name of the receiver", "/raft", encoded_request("n1", 1, address, "n1"), 403, unverified("n1")),
        ("name of a member", "/raft", encoded_request("n2", 1, other_address, "n1"), 403, unverified("n2")),
        ("name and address of a member", "/raft", request, 403, unverified("n2")),
        (
            "later incarnation of a member",
            "/raft",
            encoded_request("n2", u64::MAX, n2, "n1"),
            403,
            unverified("n2"),
        ),
        (
            "earlier incarnation of a member",
            "/raft",
            encoded_request("n2", 0, n2, "n1"),
            409,
            Some(RefusalReason::StaleIncarnation { name: "n2".into(), known: 1 }),
        ),
        ("empty name", "/raft", encoded_request("", 1, other_address, "n1"), 400, malformed),
    ];
    for (case, path, body, status, reason) in cases {
        assert_eq!(post(address, path, &body), (status, reason), "{case}");
    }
    let too_large = format!("POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", 5 << 20);
    assert!(send_raw(address, too_large.as_bytes()).starts_with(b"HTTP/1.1 413"));
    let counters = fleet[0].peers.counters();
    assert_eq!(
        (
            counters.unverified_sender,
            counters.stale_incarnation,
            counters.unsupported_version,
            counters.too_large
        ),
        (4, 1, 1, 1)
    );
    assert_unaffected(&fleet);
}

/// Guards against requests that nobody has sent: what stands behind a refusal that ends its connection is no request.
#[rstest]
#[case::not_http(b"POST /raft HTTP/7.0\r\n\r\n".to_vec(), 400)]
#[case::other_method(b"GET /raft HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(), 400)]
#[case::length_beside_encoding(
    b"POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec(),
    400
)]
#[case::bad_chunk(b"POST /raft HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(), 400)]
#[case::too_large(b"POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: 9000000\r\n\r\n".to_vec(), 413)]
#[case::unknown_version(b"POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx".to_vec(), 426)]
fn nothing_behind_a_refusal_is_a_request(#[case] refused: Vec<u8>, #[case] status: u16) {
    let fleet = start_pair();
    let hidden = b"POST /shell HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    let responses = send_raw(fleet[0].peers.local_addr(), &[&refused[..], hidden, hidden].concat());
    let text = String::from_utf8_lossy(&responses);
    let heads: Vec<_> = text.match_indices("HTTP/1.1 ").map(|(at, _)| &text[at + 9..at + 12]).collect();
    assert_eq!(heads, [status.to_string()], "{text}");
    assert_unaffected(&fleet);
}

/// Guards against a reset, which would lose the refusal: the peer reads it only after it has sent its body.
#[test]
fn refused_peer_that_is_still_sending_gets_its_refusal() {
    let fleet = start_pair();
    let length = 9_000_000;
    let mut stream = TcpStream::connect(fleet[0].peers.local_addr()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = format!("POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..length / 100_000 {
        stream.write_all(&[0; 100_000]).expect("the connection was reset");
        std::thread::sleep(Duration::from_millis(2));
    }
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    assert!(response.starts_with(b"HTTP/1.1 413"), "{}", response.escape_ascii());
    assert_unaffected(&fleet);
}

/// Sends many times more datagrams than the buffer of a socket can store. Their number is fixed, so that the result
/// does not depend on the load of the machine.
#[test]
fn foreign_datagrams_change_nothing() {
    let fleet = start_pair();
    let address = fleet[0].peers.local_addr();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let unverified = encoded_request("n2", 9, fleet[1].peers.local_addr(), "n1");
    let newer = [PROTOCOL_VERSION + 1; 300];
    for _ in 0..4 {
        for bytes in
            [&unverified[..], &newer, &[], &[PROTOCOL_VERSION], &[7; 3000]].iter().cycle().take(20_000)
        {
            let _ = socket.send_to(bytes, address);
        }
        assert_unaffected(&fleet);
    }
    // The receiver has read all earlier datagrams by now, so the buffer of its socket has room for the three that
    // follow.
    for bytes in [&unverified[..], &newer, &[PROTOCOL_VERSION]] {
        socket.send_to(bytes, address).unwrap();
    }
    fleet[0].wait_until("a rejected datagram of each kind", |peers| {
        let counters = peers.counters();
        counters.unverified_sender > 0 && counters.unsupported_version > 0 && counters.malformed > 0
    });
    // Unknown senders of datagrams get no answer.
    socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(socket.recv(&mut [0; 2000]).is_err());
    assert_unaffected(&fleet);
}

#[test]
fn silent_connections_do_not_exclude_peers() {
    let fleet = fleet(2, |options| options.limits.max_incoming_connections = 8);
    fleet[1].wait_for_up("n1");
    let address = fleet[0].peers.local_addr();
    let idle: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(address).unwrap()).collect();
    fleet[0].wait_until("100 connections", |peers| peers.counters().connections_in >= 100);
    assert_unaffected(&fleet);
    assert!(fleet[0].peers.counters().connections_refused >= 92);
    drop(idle);
}

#[test]
fn peer_that_reads_no_response_is_disconnected() {
    let known_peers = [("n2", "127.0.0.1:9".parse().unwrap())];
    let mut options = options("n1", 1, &known_peers);
    options.timing.transfer_timeout_seconds = 0.3;
    let broker = start_broker(bind_free_port(), options);
    let mut stream = TcpStream::connect(broker.peers.local_addr()).unwrap();
    let body = encoded_request("n2", 1, known_peers[0].1, "n1");
    let head = format!("POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    let request = [head.as_bytes(), &body].concat();
    let (mut responses, started) = (0, Instant::now());
    // Each response has the largest allowed body; the peer reads none.
    while stream.write_all(&request).is_ok() && started.elapsed() < TEST_TIMEOUT {
        if let Ok(Event::Request { responder, .. }) = broker.events.recv_timeout(Duration::from_millis(50)) {
            broker.peers.respond(responder, Ok(vec![0; 4 << 20]));
            responses += 1;
        }
    }
    assert!(
        started.elapsed() < Duration::from_secs(5) && (1..=4).contains(&responses),
        "{responses} responses in {:?}",
        started.elapsed()
    );
}

/// Checks that the server applies the limit on requests per second, however slow the machine is. The tests in
/// `tests/core` check the exact number, with a simulated clock.
#[test]
fn request_rate_is_limited() {
    let max_per_second = 5;
    let mut fleet = fleet(2, |options| options.limits.max_requests_per_second = max_per_second);
    fleet[0].wait_for_up("n2");
    let n2 = fleet.pop().unwrap();
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Relaxed) {
                let event = fleet[0].events.recv_timeout(Duration::from_millis(5));
                if let Ok(Event::Request { responder, .. }) = event {
                    fleet[0].peers.respond(responder, Ok(vec![]));
                }
            }
        });
        let (started, mut answered) = (Instant::now(), 0);
        while fleet[0].peers.counters().rate_limited == 0 && started.elapsed() < TEST_TIMEOUT {
            let ids: Vec<u64> = (0..50)
                .filter_map(|_| n2.peers.request("n1", RequestKind::LeaseReply, vec![], 5.0).ok())
                .collect();
            answered += n2.wait_for_responses(&ids).iter().filter(|result| result.is_ok()).count() as u64;
        }
        done.store(true, Relaxed);
        // The limit applies to each window of one second, including the first and the last window, which the measured
        // time covers only in part.
        assert!(
            answered >= 1 && answered <= u64::from(max_per_second) * (started.elapsed().as_secs() + 2),
            "{answered}"
        );
    });
    assert!(fleet[0].peers.counters().rate_limited > 0);
}
