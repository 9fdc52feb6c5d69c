//! Old and new programs on sockets. The old one is represented by its wire format in `old`, and by brokers configured to speak version 1
//! only, which the tests of the core hold to that format.

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

fn head_and_body(stream: &mut TcpStream) -> (String, Vec<u8>) {
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

fn post(at: SocketAddr, path: &str, body: &[u8]) -> (String, Vec<u8>) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
    let (head, body) = head_and_body(&mut stream);
    (head[9..12].into(), body)
}

/// Sends a request between each two of these until it has a response.
fn all_talk(fleet: &[Option<Broker>]) {
    let there: Vec<&Broker> = fleet.iter().flatten().collect();
    let talk = |one: &Broker, other: &Broker, name: &str| {
        let (started, mut body) = (Instant::now(), None);
        while body.is_none() {
            assert!(started.elapsed() < PATIENCE, "{name} does not answer");
            let id = one.peers.request(name, RequestKind::TransferCounts, b"again".into(), 5.0).unwrap();
            while body.is_none() {
                for event in other.events.try_iter() {
                    if let Event::Request { body, responder, .. } = event {
                        other.peers.respond(responder, Ok(body));
                    }
                }
                let end = one.events.recv_timeout(std::time::Duration::from_millis(5));
                match end {
                    Ok(Event::Response { id: of, result: end, .. }) if of == id => {
                        body = end.ok();
                        break;
                    }
                    Ok(Event::PeerDown(left)) => panic!("{left} was given up"),
                    _ => {}
                }
            }
        }
        assert_eq!(body.unwrap(), b"again");
    };
    for one in &there {
        for other in there.iter().filter(|other| other.peers.local_addr() != one.peers.local_addr()) {
            let known =
                one.peers.members().into_iter().find(|peer| peer.listen_address == other.peers.local_addr());
            talk(one, other, &known.expect("a member").name);
        }
    }
}

#[test]
fn rolling_upgrade_and_rollback() {
    let bounds: Vec<_> = (0..3).map(|_| bound()).collect();
    let names = ["n1", "n2", "n3"];
    let known: Vec<(&str, SocketAddr)> =
        names.into_iter().zip(bounds.iter().map(|bound| bound.local_addr())).collect();
    let options = |number: usize, incarnation: u64, versions: VersionRange| {
        let mut options = options(names[number], incarnation, &known);
        (options.supported_versions, options.timing.suspicion_timeout_seconds) = (versions, 5.0);
        options
    };
    let mut fleet: Vec<Option<Broker>> =
        bounds.into_iter().enumerate().map(|(i, bound)| Some(run(bound, options(i, 1, OLD)))).collect();
    let others = |number: usize| (0..3).filter(move |other| *other != number);
    for (number, broker) in fleet.iter().flatten().enumerate() {
        let missing: Vec<&str> = others(number).map(|other| names[other]).collect();
        broker.all_up(&missing);
    }
    all_talk(&fleet);
    for (step, (number, speaks)) in [
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
        // It leaves gracefully: the others learn so, and of nobody else.
        fleet[number].take().unwrap().peers.stop();
        for other in others(number) {
            fleet[other].as_ref().unwrap().down(names[number]);
        }
        let back = run(bind(known[number].1).unwrap(), options(number, incarnation, speaks));
        back.all_up(&others(number).map(|other| names[other]).collect::<Vec<_>>());
        for other in others(number) {
            assert_eq!(fleet[other].as_ref().unwrap().up(names[number]), incarnation);
        }
        fleet[number] = Some(back);
        all_talk(&fleet);
    }
}

#[test]
fn old_program_gets_responses_in_its_version() {
    let broker = run(bound(), options("n1", 1, &[("n2", "127.0.0.1:9".parse().unwrap())]));
    let (at, n2) = (broker.peers.local_addr(), "127.0.0.1:9".parse().unwrap());
    let asked = std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, responder) = broker.next_request();
            broker.peers.respond(responder, Ok(body));
        });
        post(at, "/counts", &old::ask("n2", n2, "n1", old::Kind::Counts, b"mine"))
    });
    let (head, payload) = old::read(&asked.1).unwrap();
    assert_eq!((&asked.0[..], head.about, payload), ("200", old::About::Answer { id: 7 }, &b"mine"[..]));
    // Its refusals have reasons that it knows.
    let refusal = |bytes: &[u8]| {
        let (status, answer) = post(at, "/counts", bytes);
        let (_, payload) = old::read(&answer).unwrap();
        (status, postcard::from_bytes::<old::Refused>(payload).unwrap())
    };
    let garbled = old::ask("n2", n2, "n1", old::Kind::Fill, b"");
    assert_eq!(refusal(&garbled), ("400".into(), old::Refused::Garbled));
    let name = old::ask("n2", n2, "n7", old::Kind::Counts, b"");
    assert_eq!(refusal(&name), ("421".into(), old::Refused::NotMe { name: "n1".into() }));
}

/// A newer program sends a kind of request that ours does not know, in a version that both know.
#[test]
fn unknown_kind_is_refused() {
    let n2 = "127.0.0.1:9".parse().unwrap();
    let broker = run(bound(), options("n1", 1, &[("n2", n2)]));
    let from = PeerId { name: "n2".into(), incarnation: 1, renewals: 0, listen_address: n2 };
    let message_type = MessageType::Request { id: 3, kind: KindCode(99), timeout_ms: 500 };
    let head = MessageHeader { from, to: "n1".into(), issued_token: 0, echoed_token: 0, message_type };
    let authenticator = Authenticator::new(None).unwrap();
    let newer =
        Envelope { version: PROTOCOL_VERSION, supported: VersionRange { min: 1, max: 200 }, sequence: 0 };
    let ask = |envelope: &Envelope| {
        let (status, answer) =
            post(broker.peers.local_addr(), "/later", &encode(envelope, &head, b"", &authenticator));
        let Message { envelope: said, payload, .. } =
            decode(&answer, &authenticator, "n1", VersionRange::SUPPORTED).unwrap();
        (status, said.version, postcard::from_bytes::<RefusalReason>(payload).unwrap())
    };
    assert_eq!(ask(&newer), ("501".into(), PROTOCOL_VERSION, RefusalReason::UnknownKind { kind: 99 }));
    assert_eq!(ask(&Envelope::VERSION_1), ("400".into(), 1, RefusalReason::Malformed));
    // No program sends a request whose path is not that of its kind.
    let (status, _) = post(broker.peers.local_addr(), "/raft", &encode(&newer, &head, b"", &authenticator));
    assert_eq!(status, "400");
}

/// An old program that was never heard refuses the first request, which is retried in its version.
#[test]
fn request_is_retried_in_version_of_old_program() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                loop {
                    let (_, body) = head_and_body(&mut stream);
                    let Some(version) = body.first() else { return };
                    let from = old::Id { name: "n2".into(), incarnation: 1, renewed: 0, listen: at };
                    let (status, to, about, payload) = match old::read(&body) {
                        Some((head, payload)) => {
                            let old::About::Ask { id, .. } = head.about else { return };
                            ("200 OK", head.from.name, old::About::Answer { id }, payload.to_vec())
                        }
                        None => {
                            let why = old::Refused::Version { theirs: *version, ours: 1 };
                            let payload = postcard::to_stdvec(&why).unwrap();
                            ("426 Upgrade", String::new(), old::About::Refused { id: 0 }, payload)
                        }
                    };
                    let answer = old::write(&old::Head { from, to, gives: 0, echo: 0, about }, &payload);
                    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", answer.len());
                    stream.write_all(&[head.as_bytes(), &answer].concat()).unwrap();
                }
            });
        }
    });
    let broker = run(bound(), options("n1", 1, &[("n2", at)]));
    assert_eq!(broker.call("n2", b"hello", 10.0).unwrap(), b"hello");
    // A kind that version 1 does not have is not sent, with an error that says so.
    let id = broker.peers.request("n2", RequestKind::LivenessCheck, vec![], 10.0).unwrap();
    let end = broker.response(id);
    assert!(matches!(end, Err(PeerError::UnsupportedKind { path: "/sign", version: 1, .. })), "{end:?}");
}
