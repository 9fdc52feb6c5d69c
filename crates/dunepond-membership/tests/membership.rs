//! Joining, leaving and failure detection, on real sockets.

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
        broker.wait_for_all_up(&others);
    }
    let response = std::thread::scope(|scope| {
        scope.spawn(|| {
            let (from, _, body, responder) = fleet[1].next_request();
            assert_eq!(from, "n1");
            fleet[1].peers.respond(responder, Ok(body));
        });
        fleet[0].call("n2", b"hello", 5.0)
    });
    assert_eq!(response.unwrap(), b"hello");
}

#[test]
fn stopped_peer_goes_down_and_rejoins() {
    let mut fleet = fleet(3, |_| {});
    fleet[0].wait_for_all_up(&["n2", "n3"]);
    let known_peers: Vec<(&str, SocketAddr)> =
        ["n1", "n2", "n3"].into_iter().zip(fleet.iter().map(|broker| broker.peers.local_addr())).collect();
    let stopped = fleet.pop().unwrap();
    let address = stopped.peers.local_addr();
    // A broker that is stopped notifies the other members that it leaves.
    stopped.peers.stop();
    fleet[0].wait_for_down("n3");
    let restarted = start_broker(dunepond_membership::bind(address).unwrap(), options("n3", 2, &known_peers));
    assert_eq!(fleet[0].wait_for_up("n3"), 2);
    restarted.wait_for_all_up(&["n1", "n2"]);
    let n3 = fleet[0].peers.members().into_iter().find(|peer| peer.name == "n3").unwrap();
    assert_eq!((n3.incarnation, n3.state), (2, PeerState::Alive));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., body, responder) = restarted.next_request();
            restarted.peers.respond(responder, Ok(body));
        });
        // The first request may fail on a pooled connection to the earlier incarnation of n3; the next request then
        // opens a new connection.
        let response = (0..5).find_map(|_| fleet[0].call("n3", b"again", 2.0).ok());
        assert_eq!(response.unwrap(), b"again");
    });
}

#[test]
fn unconfigured_broker_joins() {
    let fleet = fleet(2, |_| {});
    let known_peers = [("n1", fleet[0].peers.local_addr())];
    let unconfigured = start_broker(bind_free_port(), options("f1", 1, &known_peers));
    unconfigured.wait_for_all_up(&["n1", "n2"]);
    fleet[0].wait_for_up("f1");
    fleet[1].wait_for_up("f1");
}

#[test]
fn duplicate_name_from_other_address_is_refused() {
    let fleet = fleet(2, |_| {});
    fleet[0].wait_for_up("n2");
    let known_peers = [("n1", fleet[0].peers.local_addr())];
    let duplicate = start_broker(bind_free_port(), options("n2", 9, &known_peers));
    let error = duplicate.call("n1", b"", 2.0);
    assert!(matches!(error, Err(PeerError::Refused { .. })), "{error:?}");
    fleet[0]
        .wait_until("two messages from an unverified sender", |peers| peers.counters().unverified_sender > 1);
    let n2 = &fleet[0].peers.members()[0];
    assert_eq!((n2.incarnation, n2.listen_address), (1, fleet[1].peers.local_addr()));
    assert!(duplicate.peers.members().iter().all(|peer| peer.state != PeerState::Alive));
}

/// Starts a relay that forwards connections and datagrams to `to` from its own sockets, and drops datagrams while
/// `drops_datagrams` is set. Returns the address of the relay.
fn relay(to: SocketAddr, drops_datagrams: Arc<AtomicBool>) -> SocketAddr {
    let (tcp, udp) = loop {
        let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
        if let Ok(udp) = UdpSocket::bind(tcp.local_addr().unwrap()) {
            break (tcp, udp);
        }
    };
    let address = tcp.local_addr().unwrap();
    std::thread::spawn(move || {
        let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut bytes = [0; 2000];
        while let Ok(size) = udp.recv(&mut bytes) {
            if !drops_datagrams.load(Relaxed) {
                let _ = sender.send_to(&bytes[..size], to);
            }
        }
    });
    std::thread::spawn(move || {
        for client in tcp.incoming() {
            let (Ok(client), Ok(server)) = (client, TcpStream::connect(to)) else { continue };
            let directions = [(client.try_clone().unwrap(), server.try_clone().unwrap()), (server, client)];
            for (mut source, mut destination) in directions {
                std::thread::spawn(move || std::io::copy(&mut source, &mut destination));
            }
        }
    });
    address
}

/// Starts two brokers with a key that communicate through relays only. Returns the brokers, and the flag that makes the
/// relays drop all datagrams.
fn brokers_behind_relays(
    suspicion_timeout_seconds: f64,
    drops_datagrams: bool,
) -> (Broker, Broker, Arc<AtomicBool>) {
    let drops_datagrams = Arc::new(AtomicBool::new(drops_datagrams));
    let sockets = [bind_free_port(), bind_free_port()];
    let relays = [
        relay(sockets[0].local_addr(), drops_datagrams.clone()),
        relay(sockets[1].local_addr(), drops_datagrams.clone()),
    ];
    let [first, second] = sockets;
    let options_with_key = |name, other, relay| {
        let mut options = options(name, 1, &[(other, relay)]);
        options.key = Some("behind the relays".into());
        options.timing.suspicion_timeout_seconds = suspicion_timeout_seconds;
        options
    };
    let n1 = start_broker(first, options_with_key("n1", "n2", relays[1]));
    let n2 = start_broker(second, options_with_key("n2", "n1", relays[0]));
    if !drops_datagrams.load(Relaxed) {
        n1.wait_for_up("n2");
        n2.wait_for_up("n1");
    }
    (n1, n2, drops_datagrams)
}

#[test]
fn key_verifies_senders_behind_relays() {
    let (n1, n2, _) = brokers_behind_relays(0.8, false);
    assert_eq!(n1.peers.members()[0].listen_address, n2.peers.local_addr());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., responder) = n2.next_request();
            n2.peers.respond(responder, Ok(b"through".into()));
        });
        assert_eq!(n1.call("n2", b"", 5.0).unwrap(), b"through");
    });
}

/// With a key, the refusal of a request contains the receiver's address token, with which the request is retried. In
/// this test no datagram can deliver the token, since the relays drop all datagrams.
#[test]
fn refusal_carries_address_token_with_key() {
    let (n1, n2, _) = brokers_behind_relays(0.8, true);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (.., responder) = n2.next_request();
            n2.peers.respond(responder, Ok(b"through".into()));
        });
        assert_eq!(n1.call("n2", b"", 10.0).unwrap(), b"through");
    });
    assert_eq!(n2.peers.counters().invalid_token, 1);
}

/// In the worst case of a flood no datagram arrives: both brokers suspect each other, send liveness checks over
/// connections, and must not declare each other down.
#[test]
fn liveness_checks_keep_peer_up() {
    let (n1, n2, drops_datagrams) = brokers_behind_relays(3.0, false);
    drops_datagrams.store(true, Relaxed);
    for broker in [&n1, &n2] {
        for _ in 0..2 {
            broker.wait_for_event("a suspicion and its refutation", |event| match event {
                Event::PeerDown(name) => panic!("{name} was declared down: {:?}", broker.peers.counters()),
                Event::PeerSuspected(_) => Some(()),
                _ => None,
            });
        }
    }
    let passed = n1.peers.counters().liveness_checks_passed + n2.peers.counters().liveness_checks_passed;
    assert!(passed >= 2, "{passed}");
}

#[test]
fn brokers_without_common_key_do_not_join() {
    let sockets = [bind_free_port(), bind_free_port(), bind_free_port()];
    let known_peers: Vec<(&str, SocketAddr)> =
        ["n1", "n2", "n3"].into_iter().zip(sockets.iter().map(|sockets| sockets.local_addr())).collect();
    let keys = [Some("the key of the fleet"), Some("another fleet's key"), None];
    let fleet: Vec<Broker> = sockets
        .into_iter()
        .zip(keys)
        .enumerate()
        .map(|(number, (sockets, key))| {
            let mut options = options(known_peers[number].0, 1, &known_peers);
            options.key = key.map(str::to_owned);
            start_broker(sockets, options)
        })
        .collect();
    let error = fleet[1].call("n1", b"", 2.0);
    assert!(matches!(error, Err(PeerError::AuthenticationFailed { .. })), "{error:?}");
    fleet[0].wait_until("messages with wrong authentication codes", |peers| {
        peers.counters().authentication_failed > 2
    });
    assert!(fleet.iter().all(|broker| broker.peers.members().is_empty()));
    assert!(
        !fleet[0].events.try_iter().any(|event| matches!(event, Event::Request { .. } | Event::PeerUp(_)))
    );
}
