//! Brokers of different protocol versions on real sockets. Brokers of version 1 are represented by the wire format in
//! `old`, and by brokers that are configured to support version 1 only; the tests in `tests/core` check that such
//! brokers send messages in that format.

mod fleet;
mod old;
use dunepond_membership::{
    Authenticator, Envelope, Event, KindCode, Message, MessageHeader, MessageType, PROTOCOL_VERSION,
    PeerError, PeerId, RefusalReason, RequestKind, VersionRange,
};
use dunepond_membership::{bind, decode, encode};
use fleet::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

const OLD: VersionRange = VersionRange::exactly(1);

/// Reads one HTTP request or response, and returns its head in lower case and its body.
fn read_http(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) > 0 {
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = head.split_once("content-length: ").map_or(0, |(_, rest)| {
        rest.split_once("\r\n").and_then(|(length, _)| length.parse().ok()).unwrap_or(0)
    });
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    (head, body)
}

/// Sends a request, and returns the HTTP status and the body of the response.
fn post(address: SocketAddr, path: &str, body: &[u8]) -> (String, Vec<u8>) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
    let (head, body) = read_http(&mut stream);
    (head[9..12].into(), body)
}

/// Sends requests from each running broker to each other running broker, until each has responded to each other one.
fn assert_all_respond(fleet: &[Option<Broker>]) {
    let running: Vec<&Broker> = fleet.iter().flatten().collect();
    let assert_responds = |sender: &Broker, receiver: &Broker, name: &str| {
        let (started, mut response) = (Instant::now(), None);
        while response.is_none() {
            assert!(started.elapsed() < TEST_TIMEOUT, "{name} does not respond");
            let id = sender.peers.request(name, RequestKind::TransferCounts, b"again".into(), 5.0).unwrap();
            while response.is_none() {
                for event in receiver.events.try_iter() {
                    if let Event::Request { body, responder, .. } = event {
                        receiver.peers.respond(responder, Ok(body));
                    }
                }
                let event = sender.events.recv_timeout(std::time::Duration::from_millis(5));
                match event {
                    Ok(Event::Response { id: completed, result, .. }) if completed == id => {
                        response = result.ok();
                        break;
                    }
                    Ok(Event::PeerDown(peer)) => panic!("{peer} was declared down"),
                    _ => {}
                }
            }
        }
        assert_eq!(response.unwrap(), b"again");
    };
    for sender in &running {
        for receiver in
            running.iter().filter(|receiver| receiver.peers.local_addr() != sender.peers.local_addr())
        {
            let address = receiver.peers.local_addr();
            let member = sender.peers.members().into_iter().find(|peer| peer.listen_address == address);
            assert_responds(sender, receiver, &member.expect("the receiver is a member").name);
        }
    }
}

#[test]
fn rolling_upgrade_and_rollback() {
    let sockets: Vec<_> = (0..3).map(|_| bind_free_port()).collect();
    let names = ["n1", "n2", "n3"];
    let known_peers: Vec<(&str, SocketAddr)> =
        names.into_iter().zip(sockets.iter().map(|sockets| sockets.local_addr())).collect();
    let options = |number: usize, incarnation: u64, versions: VersionRange| {
        let mut options = options(names[number], incarnation, &known_peers);
        (options.supported_versions, options.timing.suspicion_timeout_seconds) = (versions, 5.0);
        options
    };
    let mut fleet: Vec<Option<Broker>> = sockets
        .into_iter()
        .enumerate()
        .map(|(number, sockets)| Some(start_broker(sockets, options(number, 1, OLD))))
        .collect();
    let others = |number: usize| (0..3).filter(move |other| *other != number);
    for (number, broker) in fleet.iter().flatten().enumerate() {
        let other_names: Vec<&str> = others(number).map(|other| names[other]).collect();
        broker.wait_for_all_up(&other_names);
    }
    assert_all_respond(&fleet);
    for (step, (number, versions)) in [
        (0, VersionRange::SUPPORTED),
        (1, VersionRange::SUPPORTED),
        (2, VersionRange::SUPPORTED),
        (1, OLD),
        (0, OLD),
        (2, OLD),
    ]
    .into_iter()
    .enumerate()
    {
        let incarnation = step as u64 + 2;
        // The broker leaves gracefully. The other brokers must report it down, and must not report any other broker
        // down while they exchange requests.
        fleet[number].take().unwrap().peers.stop();
        for other in others(number) {
            fleet[other].as_ref().unwrap().wait_for_down(names[number]);
        }
        let restarted =
            start_broker(bind(known_peers[number].1).unwrap(), options(number, incarnation, versions));
        restarted.wait_for_all_up(&others(number).map(|other| names[other]).collect::<Vec<_>>());
        for other in others(number) {
            assert_eq!(fleet[other].as_ref().unwrap().wait_for_up(names[number]), incarnation);
        }
        fleet[number] = Some(restarted);
        assert_all_respond(&fleet);
    }
}

#[test]
fn old_program_gets_responses_in_its_version() {
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("n2", "127.0.0.1:9".parse().unwrap())]));
    let (address, n2) = (broker.peers.local_addr(), "127.0.0.1:9".parse().unwrap());
    let (status, response) = std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, responder) = broker.next_request();
            broker.peers.respond(responder, Ok(body));
        });
        post(address, "/counts", &old::ask("n2", n2, "n1", old::Kind::Counts, b"mine"))
    });
    let (header, payload) = old::read(&response).unwrap();
    assert_eq!((&status[..], header.about, payload), ("200", old::About::Answer { id: 7 }, &b"mine"[..]));
    // Refusals that are sent to a broker of version 1 only have reasons that exist in version 1.
    let refusal = |bytes: &[u8]| {
        let (status, response) = post(address, "/counts", bytes);
        let (_, payload) = old::read(&response).unwrap();
        (status, postcard::from_bytes::<old::Refused>(payload).unwrap())
    };
    let wrong_kind = old::ask("n2", n2, "n1", old::Kind::Fill, b"");
    assert_eq!(refusal(&wrong_kind), ("400".into(), old::Refused::Garbled));
    let wrong_recipient = old::ask("n2", n2, "n7", old::Kind::Counts, b"");
    assert_eq!(refusal(&wrong_recipient), ("421".into(), old::Refused::NotMe { name: "n1".into() }));
}

/// A newer broker sends a kind of request that its receiver does not know, in a protocol version that both support.
#[test]
fn unknown_kind_is_refused() {
    let n2 = "127.0.0.1:9".parse().unwrap();
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("n2", n2)]));
    let from = PeerId { name: "n2".into(), incarnation: 1, renewals: 0, listen_address: n2 };
    let message_type = MessageType::Request { id: 3, kind: KindCode(99), timeout_ms: 500 };
    let header = MessageHeader { from, to: "n1".into(), issued_token: 0, echoed_token: 0, message_type };
    let authenticator = Authenticator::new(None).unwrap();
    let newer =
        Envelope { version: PROTOCOL_VERSION, supported: VersionRange { min: 1, max: 200 }, sequence: 0 };
    let request = |envelope: &Envelope| {
        let (status, response) =
            post(broker.peers.local_addr(), "/later", &encode(envelope, &header, b"", &authenticator));
        let Message { envelope, payload, .. } =
            decode(&response, &authenticator, "n1", VersionRange::SUPPORTED).unwrap();
        (status, envelope.version, postcard::from_bytes::<RefusalReason>(payload).unwrap())
    };
    assert_eq!(request(&newer), ("501".into(), PROTOCOL_VERSION, RefusalReason::UnknownKind { kind: 99 }));
    assert_eq!(request(&Envelope::VERSION_1), ("400".into(), 1, RefusalReason::Malformed));
    // A request whose path is not that of its kind is malformed, since no broker sends such a request.
    let (status, _) = post(broker.peers.local_addr(), "/raft", &encode(&newer, &header, b"", &authenticator));
    assert_eq!(status, "400");
}

/// A broker of version 1 that has not sent any message yet refuses the first request, which is retried in version 1.
#[test]
fn request_is_retried_in_version_of_old_program() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                loop {
                    let (_, body) = read_http(&mut stream);
                    let Some(version) = body.first() else { return };
                    let from = old::Id { name: "n2".into(), incarnation: 1, renewed: 0, listen: address };
                    let (status, to, about, payload) = match old::read(&body) {
                        Some((header, payload)) => {
                            let old::About::Ask { id, .. } = header.about else { return };
                            ("200 OK", header.from.name, old::About::Answer { id }, payload.to_vec())
                        }
                        None => {
                            let reason = old::Refused::Version { theirs: *version, ours: 1 };
                            let payload = postcard::to_stdvec(&reason).unwrap();
                            ("426 Upgrade", String::new(), old::About::Refused { id: 0 }, payload)
                        }
                    };
                    let response = old::write(&old::Head { from, to, gives: 0, echo: 0, about }, &payload);
                    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", response.len());
                    stream.write_all(&[head.as_bytes(), &response].concat()).unwrap();
                }
            });
        }
    });
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("n2", address)]));
    assert_eq!(broker.call("n2", b"hello", 10.0).unwrap(), b"hello");
    // A request of a kind that version 1 does not have is not sent to n2, and its outcome is an error.
    let id = broker.peers.request("n2", RequestKind::LivenessCheck, vec![], 10.0).unwrap();
    let result = broker.wait_for_response(id);
    assert!(
        matches!(result, Err(PeerError::UnsupportedKind { path: "/sign", version: 1, .. })),
        "{result:?}"
    );
}
