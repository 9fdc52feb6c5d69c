//! Old and new programs on sockets. The old one is stood in for by its wire format, kept in `old`, and by links that are told to speak
//! version 1 alone, which the core's stories hold to that format.

mod fleet;
mod old;
use dunepond_membership::{
    About, Code, Envelope, Event, Head, Id, PeerError, RefusalReason, RequestKind, Seal, Span, VERSION,
};
use dunepond_membership::{bind, frame, unframe};
use fleet::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

const OLD: Span = Span::only(1);

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

/// Asks each of these by each other, until it is answered.
fn all_talk(fleet: &[Option<Broker>]) {
    let there: Vec<&Broker> = fleet.iter().flatten().collect();
    let talk = |one: &Broker, other: &Broker, name: &str| {
        let (begun, mut body) = (Instant::now(), None);
        while body.is_none() {
            assert!(begun.elapsed() < PATIENCE, "{name} does not answer");
            let id = one.peers.request(name, RequestKind::TransferCounts, b"again".into(), 5.0).unwrap();
            while body.is_none() {
                for event in other.events.try_iter() {
                    if let Event::Request { body, responder: token, .. } = event {
                        other.peers.respond(token, Ok(body));
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
fn a_fleet_is_rolled_forward_and_back_and_all_talk_at_each_step() {
    let bounds: Vec<_> = (0..3).map(|_| bound()).collect();
    let names = ["n1", "n2", "n3"];
    let known: Vec<(&str, SocketAddr)> =
        names.into_iter().zip(bounds.iter().map(|bound| bound.at())).collect();
    let told = |number: usize, incarnation: u64, speaks: Span| {
        let mut told = told(names[number], incarnation, &known);
        (told.supported_versions, told.timing.suspicion_timeout_seconds) = (speaks, 5.0);
        told
    };
    let mut fleet: Vec<Option<Broker>> =
        bounds.into_iter().enumerate().map(|(i, bound)| Some(run(bound, told(i, 1, OLD)))).collect();
    let others = |number: usize| (0..3).filter(move |other| *other != number);
    for (number, broker) in fleet.iter().flatten().enumerate() {
        let missing: Vec<&str> = others(number).map(|other| names[other]).collect();
        broker.all_came(&missing);
    }
    all_talk(&fleet);
    for (step, (number, speaks)) in
        [(0, Span::OURS), (1, Span::OURS), (2, Span::OURS), (1, OLD), (0, OLD), (2, OLD)]
            .into_iter()
            .enumerate()
    {
        let incarnation = step as u64 + 2;
        // It goes as a program does that is told to: the others hear so, and of nobody else.
        fleet[number].take().unwrap().peers.stop();
        for other in others(number) {
            fleet[other].as_ref().unwrap().left(names[number]);
        }
        let back = run(bind(known[number].1).unwrap(), told(number, incarnation, speaks));
        back.all_came(&others(number).map(|other| names[other]).collect::<Vec<_>>());
        for other in others(number) {
            assert_eq!(fleet[other].as_ref().unwrap().came(names[number]), incarnation);
        }
        fleet[number] = Some(back);
        all_talk(&fleet);
    }
}

#[test]
fn an_old_program_is_answered_as_it_reads() {
    let broker = run(bound(), told("n1", 1, &[("n2", "127.0.0.1:9".parse().unwrap())]));
    let (at, n2) = (broker.peers.local_addr(), "127.0.0.1:9".parse().unwrap());
    let asked = std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, token) = broker.asked();
            broker.peers.respond(token, Ok(body));
        });
        post(at, "/counts", &old::ask("n2", n2, "n1", old::Kind::Counts, b"mine"))
    });
    let (head, load) = old::read(&asked.1).unwrap();
    assert_eq!((&asked.0[..], head.about, load), ("200", old::About::Answer { id: 7 }, &b"mine"[..]));
    // Its refusals are of the words that it knows.
    let refusal = |bytes: &[u8]| {
        let (status, answer) = post(at, "/counts", bytes);
        let (_, load) = old::read(&answer).unwrap();
        (status, postcard::from_bytes::<old::Refused>(load).unwrap())
    };
    let garbled = old::ask("n2", n2, "n1", old::Kind::Fill, b"");
    assert_eq!(refusal(&garbled), ("400".into(), old::Refused::Garbled));
    let name = old::ask("n2", n2, "n7", old::Kind::Counts, b"");
    assert_eq!(refusal(&name), ("421".into(), old::Refused::NotMe { name: "n1".into() }));
}

/// What a program asks that is newer than ours: a kind that ours does not know, in words that both know.
#[test]
fn a_kind_that_is_not_known_is_refused_by_its_name() {
    let n2 = "127.0.0.1:9".parse().unwrap();
    let broker = run(bound(), told("n1", 1, &[("n2", n2)]));
    let from = Id { name: "n2".into(), incarnation: 1, renewed: 0, listen: n2 };
    let about = About::Ask { id: 3, kind: Code(99), within_ms: 500 };
    let head = Head { from, to: "n1".into(), gives: 0, echo: 0, about };
    let seal = Seal::new(None).unwrap();
    let newer = Envelope { version: VERSION, speaks: Span { least: 1, most: 200 }, count: 0 };
    let ask = |envelope: &Envelope| {
        let (status, answer) = post(broker.peers.local_addr(), "/later", &frame(envelope, &head, b"", &seal));
        let (said, _, load) = unframe(&answer, &seal, "n1", Span::OURS).unwrap();
        (status, said.version, postcard::from_bytes::<RefusalReason>(load).unwrap())
    };
    assert_eq!(ask(&newer), ("501".into(), VERSION, RefusalReason::Kind { kind: 99 }));
    assert_eq!(ask(&Envelope::FIRST), ("400".into(), 1, RefusalReason::Malformed));
    // One whose path is not its kind's is no request of any program.
    let (status, _) = post(broker.peers.local_addr(), "/raft", &frame(&newer, &head, b"", &seal));
    assert_eq!(status, "400");
}

/// An old program that was never heard refuses the first ask, and has the same again in its own version.
#[test]
fn an_old_program_that_refuses_is_asked_again_in_its_version() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                loop {
                    let (_, body) = head_and_body(&mut stream);
                    let Some(version) = body.first() else { return };
                    let from = old::Id { name: "n2".into(), incarnation: 1, renewed: 0, listen: at };
                    let (status, to, about, load) = match old::read(&body) {
                        Some((head, load)) => {
                            let old::About::Ask { id, .. } = head.about else { return };
                            ("200 OK", head.from.name, old::About::Answer { id }, load.to_vec())
                        }
                        None => {
                            let why = old::Refused::Version { theirs: *version, ours: 1 };
                            let load = postcard::to_stdvec(&why).unwrap();
                            ("426 Upgrade", String::new(), old::About::Refused { id: 0 }, load)
                        }
                    };
                    let answer = old::write(&old::Head { from, to, gives: 0, echo: 0, about }, &load);
                    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", answer.len());
                    stream.write_all(&[head.as_bytes(), &answer].concat()).unwrap();
                }
            });
        }
    });
    let broker = run(bound(), told("n1", 1, &[("n2", at)]));
    assert_eq!(broker.ask("n2", b"hello", 10.0).unwrap(), b"hello");
    // What version 1 does not have is not asked, and that is said.
    let id = broker.peers.request("n2", RequestKind::LivenessCheck, vec![], 10.0).unwrap();
    let end = broker.end(id);
    assert!(matches!(end, Err(PeerError::Kind { path: "/sign", version: 1, .. })), "{end:?}");
}
