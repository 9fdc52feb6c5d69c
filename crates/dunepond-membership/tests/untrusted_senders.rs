//! Messages of senders that are not verified: counted, refused with a reason, and without effect.

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

/// Sends `bytes` as they are, and returns what came back until the connection was closed or idle.
fn raw(at: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut answer = Vec::new();
    if stream.write_all(bytes).is_ok() {
        let _ = stream.read_to_end(&mut answer);
    }
    answer
}

/// Status and typed refusal, if any, of a request.
fn post(at: SocketAddr, path: &str, body: &[u8]) -> (u16, Option<RefusalReason>) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let answer = raw(at, &[head.as_bytes(), body].concat());
    let status = String::from_utf8_lossy(&answer[9..12]).parse().unwrap();
    let body = answer.windows(4).position(|four| four == b"\r\n\r\n").unwrap() + 4;
    let Message { payload, .. } =
        decode(&answer[body..], &Authenticator::new(None).unwrap(), "it", VersionRange::SUPPORTED).unwrap();
    (status, postcard::from_bytes(payload).ok())
}

fn ask(name: &str, incarnation: u64, listen: SocketAddr, to: &str) -> Vec<u8> {
    let from = PeerId { name: name.into(), incarnation, renewals: 0, listen_address: listen };
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 500 };
    encode(
        &Envelope::VERSION_1,
        &MessageHeader { from, to: to.into(), issued_token: 0, echoed_token: 0, message_type },
        b"x",
        &Authenticator::new(None).unwrap(),
    )
}

/// Two brokers that have each other's address tokens.
fn pair() -> Vec<Broker> {
    let fleet = fleet(2, |options| {
        (options.timing.first_request_timeout_seconds, options.timing.suspicion_timeout_seconds) = (0.3, 3.0)
    });
    fleet[0].up("n2");
    fleet[1].up("n1");
    // The first datagram that answers one of ours echoes our token.
    fleet.iter().for_each(|broker| broker.wait("some datagrams", |peers| peers.counters().datagrams_in >= 8));
    fleet
}

/// The caller received nothing, and the other broker still gets its response.
fn untouched(fleet: &[Broker]) {
    let came: Vec<Event> = fleet[0].events.try_iter().collect();
    let wrong = |event: &Event| matches!(event, Event::Request { .. } | Event::PeerDown(_));
    assert!(!came.iter().any(wrong), "{came:?}, {:?}", fleet[0].peers.counters());
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
fn bad_connections_are_closed(#[case] bytes: Vec<u8>) {
    let fleet = pair();
    let started = Instant::now();
    raw(fleet[0].peers.local_addr(), &bytes);
    assert!(started.elapsed() < Duration::from_secs(3));
    untouched(&fleet);
}

#[test]
fn rejected_request_gets_reason() {
    let fleet = pair();
    let (at, n2) = (fleet[0].peers.local_addr(), fleet[1].peers.local_addr());
    let elsewhere = "127.0.0.1:9".parse().unwrap();
    let good = ask("n2", 1, n2, "n1");
    let newer: Vec<u8> = [&[PROTOCOL_VERSION + 1; 3], &good[1..]].concat();
    let claimed = |name: &str| Some(RefusalReason::UnverifiedSender { name: name.into() });
    let garbled = Some(RefusalReason::Malformed);
    let cases = [
        ("another path", "/shell", good.clone(), 400, garbled.clone()),
        ("another kind than the path's", "/lease", good.clone(), 400, garbled.clone()),
        ("garbage", "/raft", vec![PROTOCOL_VERSION, 255, 255, 255, 255], 400, garbled.clone()),
        ("nothing", "/raft", vec![], 400, garbled.clone()),
        (
            "newer",
            "/raft",
            newer,
            426,
            Some(RefusalReason::UnsupportedVersion {
                stated: VersionRange::exactly(PROTOCOL_VERSION + 1),
                supported: VersionRange::SUPPORTED,
            }),
        ),
        ("our own name", "/raft", ask("n1", 1, at, "n1"), 403, claimed("n1")),
        ("another's name", "/raft", ask("n2", 1, elsewhere, "n1"), 403, claimed("n2")),
        ("another's name and address", "/raft", good, 403, claimed("n2")),
        ("its next life", "/raft", ask("n2", u64::MAX, n2, "n1"), 403, claimed("n2")),
        (
            "its last life",
            "/raft",
            ask("n2", 0, n2, "n1"),
            409,
            Some(RefusalReason::StaleIncarnation { name: "n2".into(), known: 1 }),
        ),
        ("no name", "/raft", ask("", 1, elsewhere, "n1"), 400, garbled),
    ];
    for (what, path, body, status, why) in cases {
        assert_eq!(post(at, path, &body), (status, why), "{what}");
    }
    let long = format!("POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", 5 << 20);
    assert!(raw(at, long.as_bytes()).starts_with(b"HTTP/1.1 413"));
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
    untouched(&fleet);
}

/// Hundreds of times what a socket buffers; by count, so that the load on the machine decides nothing.
#[test]
fn foreign_datagrams_change_nothing() {
    let fleet = pair();
    let at = fleet[0].peers.local_addr();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let claim = ask("n2", 9, fleet[1].peers.local_addr(), "n1");
    let newer = [PROTOCOL_VERSION + 1; 300];
    for _ in 0..4 {
        for bytes in [&claim[..], &newer, &[], &[PROTOCOL_VERSION], &[7; 3000]].iter().cycle().take(20_000) {
            let _ = socket.send_to(bytes, at);
        }
        untouched(&fleet);
    }
    // The socket is drained by now, and buffers all of this.
    for bytes in [&claim[..], &newer, &[PROTOCOL_VERSION]] {
        socket.send_to(bytes, at).unwrap();
    }
    fleet[0].wait("each kind", |peers| {
        let counters = peers.counters();
        counters.unverified_sender > 0 && counters.unsupported_version > 0 && counters.malformed > 0
    });
    // Unknown senders get no answer.
    socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(socket.recv(&mut [0; 2000]).is_err());
    untouched(&fleet);
}

#[test]
fn silent_connections_exclude_no_peer() {
    let fleet = fleet(2, |options| options.limits.max_incoming_connections = 8);
    fleet[1].up("n1");
    let at = fleet[0].peers.local_addr();
    let idle: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(at).unwrap()).collect();
    fleet[0].wait("the crowd", |peers| peers.counters().connections_in >= 100);
    untouched(&fleet);
    assert!(fleet[0].peers.counters().connections_refused >= 92);
    drop(idle);
}

#[test]
fn peer_that_reads_no_response_is_disconnected() {
    let known = [("n2", "127.0.0.1:9".parse().unwrap())];
    let mut options = options("n1", 1, &known);
    options.timing.transfer_timeout_seconds = 0.3;
    let broker = run(bound(), options);
    let mut slow = TcpStream::connect(broker.peers.local_addr()).unwrap();
    let body = ask("n2", 1, known[0].1, "n1");
    let head = format!("POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    let request = [head.as_bytes(), &body].concat();
    let (mut taken, started) = (0, Instant::now());
    // Each response has the largest allowed body; none is read.
    while slow.write_all(&request).is_ok() && started.elapsed() < PATIENCE {
        if let Ok(Event::Request { responder, .. }) = broker.events.recv_timeout(Duration::from_millis(50)) {
            broker.peers.respond(responder, Ok(vec![0; 4 << 20]));
            taken += 1;
        }
    }
    assert!(
        started.elapsed() < Duration::from_secs(5) && (1..=4).contains(&taken),
        "{taken} in {:?}",
        started.elapsed()
    );
}

/// The rate itself is tested on the core, with its clock; here only that the server applies it, however slow the machine is.
#[test]
fn request_rate_is_limited() {
    let most = 5;
    let mut fleet = fleet(2, |options| options.limits.max_requests_per_second = most);
    fleet[0].up("n2");
    let asker = fleet.pop().unwrap();
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
        while fleet[0].peers.counters().rate_limited == 0 && started.elapsed() < PATIENCE {
            let ids: Vec<u64> = (0..50)
                .filter_map(|_| asker.peers.request("n1", RequestKind::State, vec![], 5.0).ok())
                .collect();
            answered += asker.responses(&ids).iter().filter(|end| end.is_ok()).count() as u64;
        }
        done.store(true, Relaxed);
        // The limit for each second that was started.
        assert!(
            answered >= 1 && answered <= u64::from(most) * (started.elapsed().as_secs() + 2),
            "{answered}"
        );
    });
    assert!(fleet[0].peers.counters().rate_limited > 0);
}
