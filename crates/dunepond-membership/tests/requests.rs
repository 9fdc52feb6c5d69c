//! Requests and their outcomes when the peer is slow, silent, unreachable or sends invalid responses.

mod fleet;
use dunepond_membership::{
    Authenticator, Envelope, Event, MessageHeader, MessageType, PeerError, PeerId, RefusalReason,
    RequestKind, bind, encode,
};
use fleet::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Starts a server that reads the start of a request, writes `response`, and then closes the connection or keeps it
/// open. Returns its address.
fn fake_server(response: Vec<u8>, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open_streams: Vec<TcpStream> = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(&response);
            if !closes {
                open_streams.push(stream);
            }
        }
    });
    address
}

/// Returns the head of an HTTP response whose body has `length` bytes.
fn head(length: usize) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into()
}

/// Returns a complete HTTP response with this body.
fn with_body(body: &[u8]) -> Vec<u8> {
    [head(body.len()), body.to_vec()].concat()
}

/// Returns the complete HTTP response of a broker named `name` to request `id`.
fn response(name: &str, id: u64) -> Vec<u8> {
    let from = PeerId {
        name: name.into(),
        incarnation: 1,
        renewals: 0,
        listen_address: "127.0.0.1:9".parse().unwrap(),
    };
    let header = MessageHeader {
        from,
        to: "n1".into(),
        issued_token: 0,
        echoed_token: 0,
        message_type: MessageType::Response { id },
    };
    with_body(&encode(&Envelope::VERSION_1, &header, b"yes", &Authenticator::new(None).unwrap()))
}

#[rstest]
#[case::other_sender(response("n7", 1), false, "UnverifiedSender")]
#[case::other_request(response("bad", 2), false, "Malformed")]
#[case::silent(vec![], false, "Timeout")]
#[case::partial_head(b"HTTP/1.1 200".to_vec(), false, "Timeout")]
#[case::partial_response([head(100), b"half".to_vec()].concat(), false, "Timeout")]
#[case::closes_at_once(vec![], true, "ConnectionLost")]
#[case::closes_during_body([head(100), b"half".to_vec()].concat(), true, "ConnectionLost")]
#[case::not_http(b"220 mail\r\n\r\n".to_vec(), false, "ConnectionLost")]
#[case::malformed(with_body(&[1, 200, 200, 200]), false, "Malformed")]
#[case::newer_version(with_body(&[9, 3, 9, 0]), false, "UnsupportedVersion")]
#[case::too_large(head(5 << 20), false, "TooLarge")]
#[case::without_length(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n".to_vec(), false, "Malformed")]
fn invalid_response_ends_request_in_time(
    #[case] response: Vec<u8>,
    #[case] closes: bool,
    #[case] expected_error: &str,
) {
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("bad", fake_server(response, closes))]));
    let started = Instant::now();
    let error = broker.call("bad", b"x", 0.4).unwrap_err();
    let elapsed = started.elapsed().as_secs_f64();
    assert!(format!("{error:?}").starts_with(expected_error), "{error:?}");
    assert!(elapsed < 2.0 && (expected_error != "Timeout" || elapsed >= 0.4), "{elapsed}");
}

#[test]
fn silent_peer_does_not_delay_others() {
    let fleet = fleet(2, |options| options.known_peers.push(("silent".into(), fake_server(vec![], false))));
    for _ in 0..20 {
        fleet[0].peers.request("silent", RequestKind::Raft, vec![], 3.0).unwrap();
    }
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..20 {
                let (.., responder) = fleet[1].next_request();
                fleet[1].peers.respond(responder, Ok(vec![]));
            }
        });
        for _ in 0..20 {
            fleet[0].call("n2", b"", 2.0).unwrap();
        }
    });
    // All 20 requests used the same few connections.
    assert!(fleet[1].peers.counters().connections_in <= 4, "{:?}", fleet[1].peers.counters());
}

#[test]
fn concurrent_requests_are_limited() {
    let silent = fake_server(vec![], false);
    let mut options = options("n1", 1, &[("silent", silent)]);
    options.limits.max_requests = 50;
    options.limits.max_requests_per_peer = 40;
    let broker = start_broker(bind_free_port(), options);
    let accepted: Vec<u64> = (0..500)
        .filter_map(|_| broker.peers.request("silent", RequestKind::Raft, vec![], 0.5).ok())
        .collect();
    assert_eq!(accepted.len(), 50);
    assert!(matches!(
        broker.peers.request("silent", RequestKind::Raft, vec![], 0.5),
        Err(PeerError::Busy { limit: 50, .. })
    ));
    let (mut completed, mut timed_out) = (Vec::new(), 0);
    while completed.len() < 50 {
        match broker.events.recv_timeout(TEST_TIMEOUT).unwrap() {
            Event::Response { id, result, .. } => {
                completed.push(id);
                timed_out += usize::from(matches!(result, Err(PeerError::Timeout { .. })));
            }
            other => panic!("{other:?}"),
        }
    }
    completed.sort_unstable();
    assert_eq!(completed, accepted);
    assert_eq!(timed_out, 40, "only as many requests as the limit for one peer may be sent");
    // Requests that timed out no longer count towards the limit for one peer.
    assert!(matches!(broker.call("silent", b"", 0.1), Err(PeerError::Timeout { .. })));
}

#[test]
fn unreachable_peer_is_backed_off() {
    let sockets = bind_free_port();
    let address = sockets.local_addr();
    drop(sockets);
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("n2", address)]));
    assert!(matches!(broker.call("n2", b"", 2.0), Err(PeerError::Unreachable { .. })));
    let started = Instant::now();
    let (mut backed_off, mut attempts) = (0, 0);
    // The loop goes on until 50 requests have been rejected because `broker` backs off, and for at least one second. Since
    // requests are sent 5 ms apart, 50 of them take only a quarter of a second on an idle machine; there the loop lasts one
    // second.
    while backed_off < 50 || started.elapsed() < Duration::from_secs(1) {
        assert!(started.elapsed() < TEST_TIMEOUT, "{backed_off} backed_off, {attempts} attempts");
        match broker.call("n2", b"", 2.0).unwrap_err() {
            PeerError::BackingOff { wait_seconds, .. } => {
                assert!(wait_seconds <= 1.0);
                backed_off += 1;
            }
            PeerError::Unreachable { .. } => attempts += 1,
            other => panic!("{other:?}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // The delays between attempts double from at least 25 ms to at least half a second, which limits the number of
    // attempts.
    assert!(
        attempts >= 1 && attempts <= 6 + 2 * started.elapsed().as_secs(),
        "{backed_off} backed_off, {attempts} attempts"
    );
    let restarted =
        start_broker(bind(address).unwrap(), options("n2", 1, &[("n1", broker.peers.local_addr())]));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., responder) = restarted.next_request();
            restarted.peers.respond(responder, Ok(vec![]));
        });
        let started = Instant::now();
        while broker.call("n2", b"", 2.0).is_err() {
            assert!(started.elapsed() < TEST_TIMEOUT);
            std::thread::sleep(Duration::from_millis(5));
        }
    });
}

#[test]
fn oversized_bodies_are_refused() {
    let fleet = fleet(2, |_| {});
    let largest_body = vec![7; 4 << 20];
    assert!(matches!(
        fleet[0].peers.request("n2", RequestKind::LeaseReply, vec![0; (4 << 20) + 1], 1.0),
        Err(PeerError::TooLarge { .. })
    ));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, responder) = fleet[1].next_request();
            fleet[1].peers.respond(responder, Ok(body));
            let (.., responder) = fleet[1].next_request();
            fleet[1].peers.respond(responder, Ok(vec![0; (4 << 20) + 1]));
        });
        assert_eq!(fleet[0].call("n2", &largest_body, 10.0).unwrap(), largest_body);
        let result = fleet[0].call("n2", b"", 10.0);
        assert!(
            matches!(result, Err(PeerError::Refused { reason: RefusalReason::TooLarge { .. }, .. })),
            "{result:?}"
        );
    });
}

#[test]
fn request_without_response_gets_reason() {
    let fleet = fleet(2, |_| {});
    // n0 is configured with the address of n2 under the name n3.
    let known_peers = [("n3", fleet[1].peers.local_addr())];
    let misconfigured = start_broker(bind_free_port(), options("n0", 1, &known_peers));
    let result = misconfigured.call("n3", b"", 2.0);
    assert!(
        matches!(&result, Err(PeerError::Refused { reason: RefusalReason::WrongRecipient { name }, .. }) if name == "n2"),
        "{result:?}"
    );
    std::thread::scope(|scope| {
        scope.spawn(|| {
            drop(fleet[1].next_request());
            let (.., responder) = fleet[1].next_request();
            fleet[1].peers.respond(responder, Err(RefusalReason::Declined("no such version".into())));
        });
        let result = fleet[0].call("n2", b"", 2.0);
        assert!(
            matches!(result, Err(PeerError::Refused { reason: RefusalReason::NoResponse, .. })),
            "{result:?}"
        );
        let result = fleet[0].call("n2", b"", 2.0);
        assert!(
            matches!(result, Err(PeerError::Refused { reason: RefusalReason::Declined(_), .. })),
            "{result:?}"
        );
    });
    assert!(matches!(fleet[0].call("nobody", b"", 2.0), Err(PeerError::UnknownPeer { .. })));
}

#[test]
fn unread_events_are_bounded() {
    let mut fleet = fleet(3, |options| {
        if options.name == "n1" {
            options.limits.max_queued_events = 4;
        }
    });
    fleet[1].wait_for_all_up(&["n1", "n3"]);
    fleet[0].wait_until("n2 and n3 to be members", |peers| peers.members().len() == 2);
    // n1 reads no events. If the channel of its events is full, outcomes of its own requests are queued, and requests
    // of its peers are refused.
    let ids: Vec<u64> =
        (0..8).map(|_| fleet[1].peers.request("n1", RequestKind::Raft, vec![], 3.0).unwrap()).collect();
    let results = fleet[1].wait_for_responses(&ids);
    let busy = results
        .iter()
        .filter(|result| matches!(result, Err(PeerError::Refused { reason: RefusalReason::Busy, .. })))
        .count();
    assert_eq!((busy, results.len()), (6, 8), "there is room for two membership changes and two requests");
    let own_request = fleet[0].peers.request("n2", RequestKind::Raft, vec![], 0.2).unwrap();
    let known_peers = [("n1", fleet[0].peers.local_addr()), ("n2", fleet[1].peers.local_addr())];
    let n3 = fleet.pop().unwrap();
    let address = n3.peers.local_addr();
    n3.peers.stop();
    fleet[1].wait_for_down("n3");
    let _restarted = start_broker(bind(address).unwrap(), options("n3", 2, &known_peers));
    fleet[0].wait_until("the new incarnation of n3", |peers| {
        peers.members().iter().any(|peer| peer.incarnation == 2)
    });
    fleet[0].wait_until("a coalesced change", |peers| peers.counters().coalesced > 0);
    let mut events = Vec::new();
    while events.len() < 6 {
        events.push(fleet[0].events.recv_timeout(TEST_TIMEOUT).unwrap());
    }
    assert!(
        events.iter().any(|event| matches!(event, Event::PeerUp(peer) if peer.incarnation == 2)),
        "{events:?}"
    );
    assert!(!events.iter().any(|event| matches!(event, Event::PeerDown(_))), "{events:?}");
    assert!(
        events.iter().any(|event| matches!(event, Event::Response { id, .. } if *id == own_request)),
        "{events:?}"
    );
}

#[test]
fn queued_bytes_are_limited() {
    let mut fleet = fleet(2, |options| {
        options.known_peers.push(("silent".into(), fake_server(vec![], false)));
        options.limits.max_receive_bytes = 8 << 20;
        options.limits.max_send_bytes = 10 << 20;
        options.limits.max_pending_requests_per_peer = 2;
    });
    let busy = |result: &Result<Vec<u8>, PeerError>| {
        matches!(result, Err(PeerError::Refused { reason: RefusalReason::Busy, .. }))
    };
    let n2 = fleet.pop().unwrap();
    let large = || vec![0; 3 << 20];
    // The timeout is long, so that no request times out on a slow machine.
    let request = |to: &str, body| n2.peers.request(to, RequestKind::LeaseReply, body, 20.0);
    let wait_for_requests = |count| {
        fleet[0]
            .wait_until("the requests to be received", |peers| peers.counters().requests_received == count)
    };
    let drop_events = || while fleet[0].events.try_recv().is_ok() {};
    // The first limit (`max_receive_bytes`) is on the bytes of n1's events that this test has not read.
    let ids = [request("n1", large()).unwrap(), request("n1", large()).unwrap()];
    wait_for_requests(2);
    let third = n2.call("n1", &large(), 20.0);
    // The refusal may be lost if n1 closes the connection before it has read the request's body.
    assert!(busy(&third) || matches!(third, Err(PeerError::ConnectionLost { .. })), "{third:?}");
    fleet[0].wait_until("the refusal of the third request", |peers| peers.counters().requests_shed == 1);
    drop_events();
    assert!(!n2.wait_for_responses(&ids).iter().any(busy));
    // The second limit (`max_pending_requests_per_peer`) is on the number of n2's requests to n1 that this test has not
    // answered.
    let ids: Vec<u64> = (0..4).map(|_| request("n1", vec![]).unwrap()).collect();
    wait_for_requests(4);
    fleet[0].wait_until("the refusal of the other requests", |peers| peers.counters().requests_shed == 3);
    drop_events();
    assert_eq!(n2.wait_for_responses(&ids).iter().filter(|result| busy(result)).count(), 2);
    // The third limit (`max_send_bytes`) is on the bytes of a broker's own requests in flight.
    let accepted: Vec<bool> = (0..4).map(|_| request("silent", large()).is_ok()).collect();
    assert_eq!(accepted, [true, true, true, false]);
    // The fourth limit (also `max_receive_bytes`) is on the bytes of bodies that are being received. Each request states
    // the length of its body but never sends the body, so two bodies reserve the whole limit, and the third request is
    // refused.
    let request_head = b"POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: 4194304\r\n\r\n";
    let streams: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(fleet[0].peers.local_addr()).unwrap()).collect();
    for mut stream in &streams {
        stream.write_all(request_head).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    }
    let (started, mut status) = (Instant::now(), [0; 12]);
    while !streams.iter().any(|mut stream| stream.read_exact(&mut status).is_ok()) {
        assert!(started.elapsed() < TEST_TIMEOUT);
    }
    assert_eq!(&status, b"HTTP/1.1 503");
}

#[test]
fn stop_does_not_wait_for_peers() {
    let silent = fake_server(vec![], false);
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("silent", silent)]));
    for _ in 0..20 {
        broker.peers.request("silent", RequestKind::Raft, vec![], 30.0).unwrap();
    }
    std::thread::sleep(Duration::from_millis(50));
    let started = Instant::now();
    broker.peers.stop();
    assert!(started.elapsed() < Duration::from_secs(1));
    assert!(broker.events.try_iter().next().is_none() && broker.events.recv().is_err());
}
