//! Asks and their ends, when the other side is slow, silent, half there or gone.

mod fleet;
use dunepond_membership::{
    About, Envelope, Event, Head, Id, PeerError, RefusalReason, RequestKind, Seal, bind, frame,
};
use fleet::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A server that accepts, reads a request's beginning, says `says`, and then ends the connection or holds it for ever.
fn server(says: Vec<u8>, ends: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut held: Vec<TcpStream> = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(&says);
            if !ends {
                held.push(stream);
            }
        }
    });
    at
}

fn head(length: usize) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into()
}

fn with_body(body: &[u8]) -> Vec<u8> {
    [head(body.len()), body.to_vec()].concat()
}

/// The whole answer of a broker called `name` to ask `id`.
fn answer(name: &str, id: u64) -> Vec<u8> {
    let from = Id { name: name.into(), incarnation: 1, renewed: 0, listen: "127.0.0.1:9".parse().unwrap() };
    let head = Head { from, to: "n1".into(), gives: 0, echo: 0, about: About::Answer { id } };
    with_body(&frame(&Envelope::FIRST, &head, b"yes", &Seal::new(None).unwrap()))
}

#[rstest]
#[case::of_another(answer("n7", 1), false, "Claimed")]
#[case::to_another_ask(answer("bad", 2), false, "Garbled")]
#[case::silent(vec![], false, "Late")]
#[case::half_a_head(b"HTTP/1.1 200".to_vec(), false, "Late")]
#[case::half_an_answer([head(100), b"half".to_vec()].concat(), false, "Late")]
#[case::ends_at_once(vec![], true, "Broken")]
#[case::ends_half_way([head(100), b"half".to_vec()].concat(), true, "Broken")]
#[case::no_http(b"220 mail\r\n\r\n".to_vec(), false, "Broken")]
#[case::garbage(with_body(&[1, 200, 200, 200]), false, "Garbled")]
#[case::newer(with_body(&[9, 3, 9, 0]), false, "Version")]
#[case::too_large(head(5 << 20), false, "TooLarge")]
#[case::without_length(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n".to_vec(), false, "Garbled")]
fn each_bad_answer_has_its_end_in_time(#[case] says: Vec<u8>, #[case] ends: bool, #[case] want: &str) {
    let broker = run(bound(), told("n1", 1, &[("bad", server(says, ends))]));
    let begun = Instant::now();
    let end = broker.ask("bad", b"x", 0.4).unwrap_err();
    let took = begun.elapsed().as_secs_f64();
    assert!(format!("{end:?}").starts_with(want), "{end:?}");
    assert!(took < 2.0 && (want != "Late" || took >= 0.4), "{took}");
}

#[test]
fn one_silent_peer_holds_up_no_other() {
    let fleet = fleet(2, |told| told.known_peers.push(("silent".into(), server(vec![], false))));
    for _ in 0..20 {
        fleet[0].peers.request("silent", RequestKind::Raft, vec![], 3.0).unwrap();
    }
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..20 {
                let (.., token) = fleet[1].asked();
                fleet[1].peers.respond(token, Ok(vec![]));
            }
        });
        for _ in 0..20 {
            fleet[0].ask("n2", b"", 2.0).unwrap();
        }
    });
    // All over the same few connections.
    assert!(fleet[1].peers.counters().connections_in <= 4, "{:?}", fleet[1].peers.counters());
}

#[test]
fn asks_are_bounded_and_each_that_is_taken_ends_once() {
    let silent = server(vec![], false);
    let mut told = told("n1", 1, &[("silent", silent)]);
    told.limits.max_requests = 50;
    told.limits.max_requests_per_peer = 40;
    let broker = run(bound(), told);
    let taken: Vec<u64> = (0..500)
        .filter_map(|_| broker.peers.request("silent", RequestKind::Raft, vec![], 0.5).ok())
        .collect();
    assert_eq!(taken.len(), 50);
    assert!(matches!(
        broker.peers.request("silent", RequestKind::Raft, vec![], 0.5),
        Err(PeerError::Busy { most: 50, .. })
    ));
    let (mut ended, mut late) = (Vec::new(), 0);
    while ended.len() < 50 {
        match broker.events.recv_timeout(PATIENCE).unwrap() {
            Event::Response { id, result: body, .. } => {
                ended.push(id);
                late += usize::from(matches!(body, Err(PeerError::Late { .. })));
            }
            other => panic!("{other:?}"),
        }
    }
    ended.sort_unstable();
    assert_eq!(ended, taken);
    assert_eq!(late, 40, "more are out than one peer may have");
    // All places are free again.
    assert!(matches!(broker.ask("silent", b"", 0.1), Err(PeerError::Late { .. })));
}

#[test]
fn who_is_not_there_is_left_alone_and_found_again() {
    let place = bound();
    let at = place.at();
    drop(place);
    let broker = run(bound(), told("n1", 1, &[("n2", at)]));
    assert!(matches!(broker.ask("n2", b"", 2.0), Err(PeerError::Unreachable { .. })));
    let begun = Instant::now();
    let (mut rests, mut tries) = (0, 0);
    // So many rests come in a quarter of a second on a machine that has nothing else to do.
    while rests < 50 || begun.elapsed() < Duration::from_secs(1) {
        assert!(begun.elapsed() < PATIENCE, "{rests} rests, {tries} tries");
        match broker.ask("n2", b"", 2.0).unwrap_err() {
            PeerError::Resting { wait, .. } => {
                assert!(wait <= 1.0);
                rests += 1;
            }
            PeerError::Unreachable { .. } => tries += 1,
            other => panic!("{other:?}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // Rests double from at least 25 ms up to at least half a second.
    assert!(tries >= 1 && tries <= 6 + 2 * begun.elapsed().as_secs(), "{rests} rests, {tries} tries");
    let there = run(bind(at).unwrap(), told("n2", 1, &[("n1", broker.peers.local_addr())]));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., token) = there.asked();
            there.peers.respond(token, Ok(vec![]));
        });
        let begun = Instant::now();
        while broker.ask("n2", b"", 2.0).is_err() {
            assert!(begun.elapsed() < PATIENCE);
            std::thread::sleep(Duration::from_millis(5));
        }
    });
}

#[test]
fn what_is_too_large_is_refused_on_either_side() {
    let fleet = fleet(2, |_| {});
    let whole = vec![7; 4 << 20];
    assert!(matches!(
        fleet[0].peers.request("n2", RequestKind::State, vec![0; (4 << 20) + 1], 1.0),
        Err(PeerError::TooLarge { .. })
    ));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, token) = fleet[1].asked();
            fleet[1].peers.respond(token, Ok(body));
            let (.., token) = fleet[1].asked();
            fleet[1].peers.respond(token, Ok(vec![0; (4 << 20) + 1]));
        });
        assert_eq!(fleet[0].ask("n2", &whole, 10.0).unwrap(), whole);
        let end = fleet[0].ask("n2", b"", 10.0);
        assert!(
            matches!(end, Err(PeerError::Refused { why: RefusalReason::TooLarge { .. }, .. })),
            "{end:?}"
        );
    });
}

#[test]
fn an_ask_without_an_answer_is_told_why() {
    let fleet = fleet(2, |_| {});
    let known = [("n3", fleet[1].peers.local_addr())];
    let misled = run(bound(), told("n0", 1, &known));
    let end = misled.ask("n3", b"", 2.0);
    assert!(
        matches!(&end, Err(PeerError::Refused { why: RefusalReason::NotMe { name }, .. }) if name == "n2"),
        "{end:?}"
    );
    std::thread::scope(|scope| {
        scope.spawn(|| {
            drop(fleet[1].asked());
            let (.., token) = fleet[1].asked();
            fleet[1].peers.respond(token, Err(RefusalReason::Declined("no such version".into())));
        });
        let end = fleet[0].ask("n2", b"", 2.0);
        assert!(matches!(end, Err(PeerError::Refused { why: RefusalReason::Dropped, .. })), "{end:?}");
        let end = fleet[0].ask("n2", b"", 2.0);
        assert!(matches!(end, Err(PeerError::Refused { why: RefusalReason::Declined(_), .. })), "{end:?}");
    });
    assert!(matches!(fleet[0].ask("nobody", b"", 2.0), Err(PeerError::Unknown { .. })));
}

#[test]
fn a_caller_that_does_not_read_costs_asks_and_no_memory() {
    let mut fleet = fleet(3, |told| {
        if told.name == "n1" {
            told.limits.max_queued_events = 4;
        }
    });
    fleet[1].all_came(&["n1", "n3"]);
    fleet[0].wait("n2 and n3", |peers| peers.members().len() == 2);
    // n1 reads nothing. Its own asks wait for it; what others ask has no room.
    let ids: Vec<u64> =
        (0..8).map(|_| fleet[1].peers.request("n1", RequestKind::Raft, vec![], 3.0).unwrap()).collect();
    let ends = fleet[1].ends(&ids);
    let busy = ends
        .iter()
        .filter(|end| matches!(end, Err(PeerError::Refused { why: RefusalReason::Busy, .. })))
        .count();
    assert_eq!((busy, ends.len()), (6, 8), "two changes and two asks are all that has room");
    let own = fleet[0].peers.request("n2", RequestKind::Raft, vec![], 0.2).unwrap();
    let known = [("n1", fleet[0].peers.local_addr()), ("n2", fleet[1].peers.local_addr())];
    let n3 = fleet.pop().unwrap();
    let at = n3.peers.local_addr();
    n3.peers.stop();
    fleet[1].left("n3");
    let _back = run(bind(at).unwrap(), told("n3", 2, &known));
    fleet[0].wait("the new life", |peers| peers.members().iter().any(|peer| peer.incarnation == 2));
    fleet[0].wait("an overtaken change", |peers| peers.counters().coalesced > 0);
    let mut heard = Vec::new();
    while heard.len() < 6 {
        heard.push(fleet[0].events.recv_timeout(PATIENCE).unwrap());
    }
    assert!(
        heard.iter().any(|event| matches!(event, Event::PeerUp(peer) if peer.incarnation == 2)),
        "{heard:?}"
    );
    assert!(!heard.iter().any(|event| matches!(event, Event::PeerDown(_))), "{heard:?}");
    assert!(heard.iter().any(|event| matches!(event, Event::Response { id, .. } if *id == own)), "{heard:?}");
}

#[test]
fn bytes_are_bounded_wherever_they_wait() {
    let mut fleet = fleet(2, |told| {
        told.known_peers.push(("silent".into(), server(vec![], false)));
        told.limits.max_receive_bytes = 8 << 20;
        told.limits.max_send_bytes = 10 << 20;
        told.limits.max_pending_requests_per_peer = 2;
    });
    let busy = |end: &Result<Vec<u8>, PeerError>| {
        matches!(end, Err(PeerError::Refused { why: RefusalReason::Busy, .. }))
    };
    let two = fleet.pop().unwrap();
    let large = || vec![0; 3 << 20];
    // None of these ends because its time is over: the machine may be slow.
    let ask = |to: &str, body| two.peers.request(to, RequestKind::State, body, 20.0);
    let asked = |count| fleet[0].wait("what is asked", |peers| peers.counters().asked == count);
    let drop_all = || while fleet[0].events.try_recv().is_ok() {};
    // Waiting to be read by the caller.
    let ids = [ask("n1", large()).unwrap(), ask("n1", large()).unwrap()];
    asked(2);
    let third = two.ask("n1", &large(), 20.0);
    // The refusal may be lost where the other side closes over a body that it does not read.
    assert!(busy(&third) || matches!(third, Err(PeerError::Broken { .. })), "{third:?}");
    fleet[0].wait("the refusal", |peers| peers.counters().asked_busy == 1);
    drop_all();
    assert!(!two.ends(&ids).iter().any(busy));
    // In the caller's hands.
    let ids: Vec<u64> = (0..4).map(|_| ask("n1", vec![]).unwrap()).collect();
    asked(4);
    fleet[0].wait("the others' end", |peers| peers.counters().asked_busy == 3);
    drop_all();
    assert_eq!(two.ends(&ids).iter().filter(|end| busy(end)).count(), 2);
    // On their way out.
    let out: Vec<bool> = (0..4).map(|_| ask("silent", large()).is_ok()).collect();
    assert_eq!(out, [true, true, true, false]);
    // On their way in: stated, and never sent. One of the three finds no room, whichever is read last.
    let state = b"POST /raft HTTP/1.1\r\nhost: x\r\ncontent-length: 4194304\r\n\r\n";
    let streams: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(fleet[0].peers.local_addr()).unwrap()).collect();
    for mut stream in &streams {
        stream.write_all(state).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    }
    let (begun, mut status) = (Instant::now(), [0; 12]);
    while !streams.iter().any(|mut stream| stream.read_exact(&mut status).is_ok()) {
        assert!(begun.elapsed() < PATIENCE);
    }
    assert_eq!(&status, b"HTTP/1.1 503");
}

#[test]
fn stopping_waits_for_nobody() {
    let silent = server(vec![], false);
    let broker = run(bound(), told("n1", 1, &[("silent", silent)]));
    for _ in 0..20 {
        broker.peers.request("silent", RequestKind::Raft, vec![], 30.0).unwrap();
    }
    std::thread::sleep(Duration::from_millis(50));
    let begun = Instant::now();
    broker.peers.stop();
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert!(broker.events.try_iter().next().is_none() && broker.events.recv().is_err());
}
