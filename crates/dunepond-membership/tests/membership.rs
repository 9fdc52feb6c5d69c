//! Joining, leaving and failing, on real sockets.

mod fleet;
use dunepond_membership::{Event, PeerError, PeerState};
use fleet::*;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

#[test]
fn three_brokers_join_and_respond() {
    let fleet = fleet(3, |_| {});
    for (broker, others) in fleet.iter().zip([["n2", "n3"], ["n1", "n3"], ["n1", "n2"]]) {
        broker.all_up(&others);
    }
    let echo = std::thread::scope(|scope| {
        scope.spawn(|| {
            let (from, _, body, responder) = fleet[1].next_request();
            assert_eq!(from, "n1");
            fleet[1].peers.respond(responder, Ok(body));
        });
        fleet[0].call("n2", b"hello", 5.0)
    });
    assert_eq!(echo.unwrap(), b"hello");
}

#[test]
fn crashed_peer_goes_down_and_rejoins() {
    let mut fleet = fleet(3, |_| {});
    fleet[0].all_up(&["n2", "n3"]);
    let known: Vec<(&str, SocketAddr)> =
        ["n1", "n2", "n3"].into_iter().zip(fleet.iter().map(|broker| broker.peers.local_addr())).collect();
    // Stopped, which the others see as leaving.
    let crashed = fleet.pop().unwrap();
    let at = crashed.peers.local_addr();
    crashed.peers.stop();
    fleet[0].down("n3");
    let back = run(dunepond_membership::bind(at).unwrap(), options("n3", 2, &known));
    assert_eq!(fleet[0].up("n3"), 2);
    back.all_up(&["n1", "n2"]);
    let standing = fleet[0].peers.members().into_iter().find(|peer| peer.name == "n3").unwrap();
    assert_eq!((standing.incarnation, standing.state), (2, PeerState::Alive));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, responder) = back.next_request();
            back.peers.respond(responder, Ok(body));
        });
        // A pooled connection to the earlier incarnation may break once; a new one is then opened.
        let again = (0..5).find_map(|_| fleet[0].call("n3", b"again", 2.0).ok());
        assert_eq!(again.unwrap(), b"again");
    });
}

#[test]
fn unconfigured_broker_joins() {
    let fleet = fleet(2, |_| {});
    let known = [("n1", fleet[0].peers.local_addr())];
    let follower = run(bound(), options("f1", 1, &known));
    follower.all_up(&["n1", "n2"]);
    fleet[0].up("f1");
    fleet[1].up("f1");
}

#[test]
fn duplicate_name_needs_configured_address() {
    let fleet = fleet(2, |_| {});
    fleet[0].up("n2");
    let known = [("n1", fleet[0].peers.local_addr())];
    let double = run(bound(), options("n2", 9, &known));
    let error = double.call("n1", b"", 2.0);
    assert!(matches!(error, Err(PeerError::Refused { .. })), "{error:?}");
    fleet[0].wait("the claim to be counted twice", |peers| peers.counters().unverified_sender > 1);
    let n2 = &fleet[0].peers.members()[0];
    assert_eq!((n2.incarnation, n2.listen_address), (1, fleet[1].peers.local_addr()));
    assert!(double.peers.members().iter().all(|peer| peer.state != PeerState::Alive));
}

/// Forwards everything between any client and `to`, from addresses of its own; datagrams only until `crowded`.
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

/// Two brokers that reach each other through relays only, and the switch that drops all datagrams.
fn behind_relays(suspect: f64, crowded: bool) -> (Broker, Broker, Arc<AtomicBool>) {
    let crowded = Arc::new(AtomicBool::new(crowded));
    let bounds = [bound(), bound()];
    let relays =
        [relay(bounds[0].local_addr(), crowded.clone()), relay(bounds[1].local_addr(), crowded.clone())];
    let [one, two] = bounds;
    let keyed = |name, other, at| {
        let mut options = options(name, 1, &[(other, at)]);
        options.key = Some("behind the relays".into());
        options.timing.suspicion_timeout_seconds = suspect;
        options
    };
    let n1 = run(one, keyed("n1", "n2", relays[1]));
    let n2 = run(two, keyed("n2", "n1", relays[0]));
    if !crowded.load(Relaxed) {
        n1.up("n2");
        n2.up("n1");
    }
    (n1, n2, crowded)
}

#[test]
fn key_verifies_senders_behind_relays() {
    let (n1, n2, _) = behind_relays(0.8, false);
    assert_eq!(n1.peers.members()[0].listen_address, n2.peers.local_addr());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., responder) = n2.next_request();
            n2.peers.respond(responder, Ok(b"through".into()));
        });
        assert_eq!(n1.call("n2", b"", 5.0).unwrap(), b"through");
    });
}

/// Under a key the refusal of a request carries the address token, and the request is retried.
#[test]
fn refusal_carries_address_token_with_key() {
    let (n1, n2, _) = behind_relays(0.8, true);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., responder) = n2.next_request();
            n2.peers.respond(responder, Ok(b"through".into()));
        });
        assert_eq!(n1.call("n2", b"", 10.0).unwrap(), b"through");
    });
    assert_eq!(n2.peers.counters().invalid_token, 1);
}

/// A flood at its worst: no datagram gets through. Both suspect each other, check over connections, and stay up.
#[test]
fn liveness_checks_keep_peer_up() {
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
    let asked = n1.peers.counters().liveness_checks_passed + n2.peers.counters().liveness_checks_passed;
    assert!(asked >= 2, "{asked}");
}

#[test]
fn brokers_without_common_key_do_not_join() {
    let bounds = [bound(), bound(), bound()];
    let known: Vec<(&str, SocketAddr)> =
        ["n1", "n2", "n3"].into_iter().zip(bounds.iter().map(|bound| bound.local_addr())).collect();
    let keys = [Some("the key of the fleet"), Some("another fleet's key"), None];
    let fleet: Vec<Broker> = bounds
        .into_iter()
        .zip(keys)
        .enumerate()
        .map(|(number, (bound, key))| {
            let mut options = options(known[number].0, 1, &known);
            options.key = key.map(str::to_owned);
            run(bound, options)
        })
        .collect();
    let error = fleet[1].call("n1", b"", 2.0);
    assert!(matches!(error, Err(PeerError::AuthenticationFailed { .. })), "{error:?}");
    fleet[0].wait("bad seals", |peers| peers.counters().authentication_failed > 2);
    assert!(fleet.iter().all(|broker| broker.peers.members().is_empty()));
    assert!(
        !fleet[0].events.try_iter().any(|event| matches!(event, Event::Request { .. } | Event::PeerUp(_)))
    );
}
