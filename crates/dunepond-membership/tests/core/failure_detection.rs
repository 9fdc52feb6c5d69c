//! Failure detection: stalls, partitions, suspicions, liveness checks and incarnations.

use dunepond_membership::{
    Authenticator, Core, Envelope, MessageHeader, MessageType, PeerError, PeerState, RequestKind, encode,
};
use rstest::rstest;

use crate::network::{KEY, SimulatedNetwork, address, name, no_loss, options};

#[rstest]
fn stalled_broker_declares_no_peer_down(#[values(false, true)] key: bool) {
    let mut network = SimulatedNetwork::new(5, key);
    network.run_until(3.0, no_loss);
    assert!(network.all_alive());
    network.clear_changes();
    network.stalled[0] = true;
    // Datagrams that are sent to n0 during the stall are lost, as if the buffer of its socket were full.
    network.run_until(11.0, |_, to| to == 0);
    assert!(network.changes[1].contains(&"down n0".into()), "{:?}", network.changes[1]);
    network.stalled[0] = false;
    network.run_until(20.0, no_loss);
    assert!(!network.changes[0].iter().any(|change| change.starts_with("down")), "{:?}", network.changes[0]);
    assert!(network.all_alive(), "{:?}", network.changes);
}

/// n0 stalls while it suspects n3, and misses the refutation, since it receives nothing during the stall. If n0 did not
/// extend the suspicion timeout by the length of the stall, it would declare n3 down.
#[rstest]
fn stall_extends_suspicion_timeouts(#[values(false, true)] key: bool) {
    let mut network = SimulatedNetwork::new(5, key);
    network.run_until(3.0, no_loss);
    network.clear_changes();
    while !network.changes[0].contains(&"suspect n3".into()) {
        let next = network.now + 0.01;
        network.run_until(next, |from, _| from == 3);
    }
    network.stalled[0] = true;
    let resumed_at = network.now + 5.0;
    network.run_until(resumed_at, |_, to| to == 0);
    network.stalled[0] = false;
    network.run_until(resumed_at + 5.0, no_loss);
    assert!(!network.changes[0].contains(&"down n3".into()), "{:?}", network.changes[0]);
    assert!(network.all_alive(), "{:?}", network.changes);
}

#[rstest]
fn one_way_partition_does_not_bring_peers_down(#[values(false, true)] key: bool) {
    let mut network = SimulatedNetwork::new(5, key);
    network.run_until(3.0, no_loss);
    network.clear_changes();
    network.run_until(30.0, |from, to| (from, to) == (0, 1));
    assert!(
        !network.changes.iter().flatten().any(|change| change.starts_with("down")),
        "{:?}",
        network.changes
    );
}

#[test]
fn suspicion_is_refuted() {
    let mut network = SimulatedNetwork::new(4, false);
    network.run_until(3.0, no_loss);
    network.clear_changes();
    network.run_until(6.0, |from, _| from == 3);
    assert!(network.changes.iter().flatten().any(|change| change == "suspect n3"));
    network.run_until(12.0, no_loss);
    assert!(
        !network.changes[..3].iter().flatten().any(|change| change == "down n3"),
        "{:?}",
        network.changes
    );
    assert!(network.all_alive());
}

/// No datagram reaches n0, because a flood fills its socket. n0 must not be declared down, since it still responds to
/// liveness checks over connections.
#[rstest]
fn flooded_peer_stays_up_by_liveness_checks(#[values(false, true)] key: bool, #[values(2, 5)] count: usize) {
    let mut network = SimulatedNetwork::new(count, key);
    network.run_until(3.0, no_loss);
    network.clear_changes();
    network.datagram_flood = true;
    network.run_until(40.0, |_, to| to == 0);
    let changes: Vec<&String> = network.changes.iter().flatten().collect();
    assert!(changes.iter().any(|change| change.starts_with("suspect")), "{changes:?}");
    assert!(!changes.iter().any(|change| change.starts_with("down")), "{changes:?}");
    // A peer that answers neither datagrams nor liveness checks over connections is declared down.
    network.stalled[0] = true;
    network.run_until(60.0, |_, to| to == 0);
    assert!(network.changes[1].contains(&"down n0".into()), "{:?}", network.changes[1]);
}

/// A liveness check changes the membership, so in a fleet without a key it must echo the address token that the
/// receiver sent to the sender's address: otherwise any process could send a liveness check in a member's name.
#[test]
fn liveness_check_requires_address_token() {
    let mut network = SimulatedNetwork::new(3, false);
    network.run_until(3.0, no_loss);
    let mut header = network.cores[1].header_for(
        "n0",
        MessageType::Request { id: 1, kind: RequestKind::LivenessCheck.into(), timeout_ms: 100 },
    );
    let body = postcard::to_stdvec(&Vec::<Vec<u8>>::new()).unwrap();
    assert!(network.cores[0].answer_liveness_check(&header, &body).is_ok());
    header.echoed_token ^= 1;
    let error = network.cores[0].answer_liveness_check(&header, &body).unwrap_err();
    assert!(matches!(error, PeerError::UnverifiedSender { .. }), "{error:?}");
}

#[rstest]
fn partition_heals(#[values(false, true)] key: bool) {
    let mut network = SimulatedNetwork::new(5, key);
    network.run_until(3.0, no_loss);
    network.run_until(15.0, |from, to| (from < 2) != (to < 2));
    assert!(network.states(0).contains(&PeerState::Down));
    network.run_until(25.0, no_loss);
    assert!(network.all_alive(), "{:?}", network.changes);
}

#[rstest]
fn later_incarnation_wins(#[values(false, true)] key: bool) {
    let mut network = SimulatedNetwork::new(3, key);
    network.run_until(3.0, no_loss);
    let earlier = network.cores[2].local_id().clone();
    network.cores[2] = Core::new(&options(2, 2, 3, key), [9; 32], network.now).unwrap();
    network.clear_changes();
    network.run_until(8.0, no_loss);
    assert!(network.changes[0].contains(&"up n2 2".into()), "{:?}", network.changes[0]);
    assert!(network.all_alive());
    let authenticator = Authenticator::new(key.then_some(KEY)).unwrap();
    let stale_header = MessageHeader {
        from: earlier,
        to: name(0),
        issued_token: 0,
        echoed_token: 0,
        message_type: MessageType::Gossip,
    };
    let error = network.cores[0]
        .on_datagram(
            network.now,
            address(2),
            &encode(&Envelope::VERSION_1, &stale_header, b"", &authenticator),
        )
        .error;
    assert!(matches!(error, Some(PeerError::StaleIncarnation { incarnation: 1, known: 2, .. })), "{error:?}");
}
