//! Who is there, on real sockets.

mod fleet;
use dunepond_membership::{Event, PeerError, PeerState};
use fleet::*;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

#[test]
fn three_find_each_other_and_one_answers() {
    let fleet = fleet(3, |_| {});
    for (broker, others) in fleet.iter().zip([["n2", "n3"], ["n1", "n3"], ["n1", "n2"]]) {
        broker.all_came(&others);
    }
    let echo = std::thread::scope(|scope| {
        scope.spawn(|| {
            let (from, _, body, token) = fleet[1].asked();
            assert_eq!(from, "n1");
            fleet[1].peers.respond(token, Ok(body));
        });
        fleet[0].ask("n2", b"hello", 5.0)
    });
    assert_eq!(echo.unwrap(), b"hello");
}

#[test]
fn who_crashes_is_given_up_and_its_next_life_wins() {
    let mut fleet = fleet(3, |_| {});
    fleet[0].all_came(&["n2", "n3"]);
    let known: Vec<(&str, SocketAddr)> =
        ["n1", "n2", "n3"].into_iter().zip(fleet.iter().map(|broker| broker.peers.local_addr())).collect();
    // Stopped as nobody would who has the time to say so.
    let crashed = fleet.pop().unwrap();
    let at = crashed.peers.local_addr();
    crashed.peers.stop();
    fleet[0].left("n3");
    let back = run(dunepond_membership::bind(at).unwrap(), told("n3", 2, &known));
    assert_eq!(fleet[0].came("n3"), 2);
    back.all_came(&["n1", "n2"]);
    let standing = fleet[0].peers.members().into_iter().find(|peer| peer.name == "n3").unwrap();
    assert_eq!((standing.incarnation, standing.state), (2, PeerState::Alive));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, token) = back.asked();
            back.peers.respond(token, Ok(body));
        });
        // What the asker kept open to the earlier life may break once; the way is then opened anew.
        let again = (0..5).find_map(|_| fleet[0].ask("n3", b"again", 2.0).ok());
        assert_eq!(again.unwrap(), b"again");
    });
}

#[test]
fn a_follower_whom_no_file_names_is_heard_of_by_all() {
    let fleet = fleet(2, |_| {});
    let known = [("n1", fleet[0].peers.local_addr())];
    let follower = run(bound(), told("f1", 1, &known));
    follower.all_came(&["n1", "n2"]);
    fleet[0].came("f1");
    fleet[1].came("f1");
}

#[test]
fn one_name_at_two_places_is_believed_where_the_file_says() {
    let fleet = fleet(2, |_| {});
    fleet[0].came("n2");
    let known = [("n1", fleet[0].peers.local_addr())];
    let double = run(bound(), told("n2", 9, &known));
    let fault = double.ask("n1", b"", 2.0);
    assert!(matches!(fault, Err(PeerError::Refused { .. })), "{fault:?}");
    fleet[0].wait("the claim to be counted twice", |peers| peers.counters().claimed > 1);
    let n2 = &fleet[0].peers.members()[0];
    assert_eq!((n2.incarnation, n2.listen_address), (1, fleet[1].peers.local_addr()));
    assert!(double.peers.members().iter().all(|peer| peer.state != PeerState::Alive));
}

/// Passes everything on between whoever comes and `to`, from addresses of its own; datagrams only until `crowded`.
fn relay(to: SocketAddr, crowded: Arc<AtomicBool>) -> SocketAddr {
    let (tcp, udp) = loop {
        let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
        if let Ok(udp) = UdpSocket::bind(tcp.local_addr().unwrap()) {
            break (tcp, udp);
        }
    };
    let at = tcp.local_addr().unwrap();
    std::thread::spawn(move || {
        let out = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut bytes = [0; 2000];
        while let Ok(size) = udp.recv(&mut bytes) {
            if !crowded.load(Relaxed) {
                let _ = out.send_to(&bytes[..size], to);
            }
        }
    });
    std::thread::spawn(move || {
        for near in tcp.incoming() {
            let (Ok(near), Ok(far)) = (near, TcpStream::connect(to)) else { continue };
            for (mut from, mut into) in [(near.try_clone().unwrap(), far.try_clone().unwrap()), (far, near)] {
                std::thread::spawn(move || std::io::copy(&mut from, &mut into));
            }
        }
    });
    at
}

/// Two that reach each other through relays only, and what crowds all datagrams out of them.
fn behind_relays(suspect: f64, crowded: bool) -> (Broker, Broker, Arc<AtomicBool>) {
    let crowded = Arc::new(AtomicBool::new(crowded));
    let bounds = [bound(), bound()];
    let relays = [relay(bounds[0].at(), crowded.clone()), relay(bounds[1].at(), crowded.clone())];
    let [one, two] = bounds;
    let keyed = |name, other, at| {
        let mut told = told(name, 1, &[(other, at)]);
        told.key = Some("behind the relays".into());
        told.timing.suspicion_timeout_seconds = suspect;
        told
    };
    let n1 = run(one, keyed("n1", "n2", relays[1]));
    let n2 = run(two, keyed("n2", "n1", relays[0]));
    if !crowded.load(Relaxed) {
        n1.came("n2");
        n2.came("n1");
    }
    (n1, n2, crowded)
}

#[test]
fn behind_relays_the_key_speaks_and_the_way_stays() {
    let (n1, n2, _) = behind_relays(0.8, false);
    assert_eq!(n1.peers.members()[0].listen_address, n2.peers.local_addr());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., token) = n2.asked();
            n2.peers.respond(token, Ok(b"through".into()));
        });
        assert_eq!(n1.ask("n2", b"", 5.0).unwrap(), b"through");
    });
}

/// Under a key the refusal of a request brings the pass, and the request is carried once more.
#[test]
fn who_never_had_a_datagram_has_the_pass_from_a_refusal() {
    let (n1, n2, _) = behind_relays(0.8, true);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., token) = n2.asked();
            n2.peers.respond(token, Ok(b"through".into()));
        });
        assert_eq!(n1.ask("n2", b"", 10.0).unwrap(), b"through");
    });
    assert_eq!(n2.peers.counters().unproven, 1);
}

/// What a flood does at its worst: not one datagram comes through. Both suspect each other, ask over connections, and stay.
#[test]
fn who_answers_over_connections_is_not_given_up() {
    let (n1, n2, crowded) = behind_relays(3.0, false);
    crowded.store(true, Relaxed);
    for broker in [&n1, &n2] {
        for _ in 0..2 {
            broker.until("a suspicion and its end", |event| match event {
                Event::PeerDown(name) => panic!("{name} was given up: {:?}", broker.peers.counters()),
                Event::PeerSuspected(_) => Some(()),
                _ => None,
            });
        }
    }
    let asked = n1.peers.counters().signs_came + n2.peers.counters().signs_came;
    assert!(asked >= 2, "{asked}");
}

#[test]
fn without_the_key_or_with_another_nobody_is_found() {
    let bounds = [bound(), bound(), bound()];
    let known: Vec<(&str, SocketAddr)> =
        ["n1", "n2", "n3"].into_iter().zip(bounds.iter().map(|bound| bound.at())).collect();
    let keys = [Some("the key of the fleet"), Some("another fleet's key"), None];
    let fleet: Vec<Broker> = bounds
        .into_iter()
        .zip(keys)
        .enumerate()
        .map(|(number, (bound, key))| {
            let mut told = told(known[number].0, 1, &known);
            told.key = key.map(str::to_owned);
            run(bound, told)
        })
        .collect();
    let fault = fleet[1].ask("n1", b"", 2.0);
    assert!(matches!(fault, Err(PeerError::Seal { .. })), "{fault:?}");
    fleet[0].wait("bad seals", |peers| peers.counters().bad_seal > 2);
    assert!(fleet.iter().all(|broker| broker.peers.members().is_empty()));
    assert!(
        !fleet[0].events.try_iter().any(|event| matches!(event, Event::Request { .. } | Event::PeerUp(_)))
    );
}
