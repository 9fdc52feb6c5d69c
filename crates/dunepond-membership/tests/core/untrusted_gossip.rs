//! Gossip and datagrams that must not be trusted, and the addresses to which datagrams are sent.

use dunepond_membership::{
    Authenticator, Core, Envelope, Message, MessageHeader, MessageType, PROTOCOL_VERSION, PeerError, PeerId,
    RefusalReason, VersionRange, decode, encode,
};
use proptest::prelude::*;
use std::collections::VecDeque;

use crate::network::{SimulatedNetwork, address, deliver_from_n2, name, no_loss, options};

#[test]
fn gossip_cannot_replace_verified_incarnation() {
    let mut network = SimulatedNetwork::new(3, false);
    network.run_until(3.0, no_loss);
    network.clear_changes();
    let later = PeerId { incarnation: u64::MAX, ..network.cores[1].local_id().clone() };
    let down = foca::Member::new(later, 0, foca::State::Down);
    let actions = deliver_from_n2(&mut network, foca::Message::Gossip, &[down]);
    network.deliver(0, actions, &no_loss);
    network.run_until(10.0, no_loss);
    assert!(network.changes.iter().flatten().next().is_none(), "{:?}", network.changes);
}

#[test]
fn gossip_cannot_direct_datagrams_to_unknown_addresses() {
    let mut network = SimulatedNetwork::new(3, false);
    network.run_until(3.0, no_loss);
    let target = PeerId {
        name: "far".into(),
        incarnation: 1,
        renewals: 0,
        listen_address: "192.0.2.1:53".parse().unwrap(),
    };
    let actions = deliver_from_n2(&mut network, foca::Message::PingReq { target, probe_number: 1 }, &[]);
    assert!(
        actions.error.is_none() && actions.datagrams.iter().all(|(to, _)| to.ip().is_loopback()),
        "{actions:?}"
    );
}

#[test]
fn datagrams_go_to_configured_relay() {
    let (mut first, mut second) = (options(0, 1, 2, true), options(1, 1, 2, true));
    first.known_peers = vec![("n1".into(), address(50))];
    second.known_peers = vec![("n0".into(), address(51))];
    let mut first = Core::new(&first, [0; 32], 0.0).unwrap();
    let mut second = Core::new(&second, [1; 32], 0.0).unwrap();
    for round in 0..300 {
        let now = f64::from(round) / 100.0;
        let (first_actions, second_actions) = (first.tick(now), second.tick(now));
        let mut queue = VecDeque::from([(true, first_actions.datagrams), (false, second_actions.datagrams)]);
        while let Some((from_first, sent)) = queue.pop_front() {
            for (to, bytes) in sent {
                assert_eq!(to, if from_first { address(50) } else { address(51) });
                let (receiver, relay) =
                    if from_first { (&mut second, address(60)) } else { (&mut first, address(61)) };
                queue.push_back((!from_first, receiver.on_datagram(now, relay, &bytes).datagrams));
            }
        }
    }
    assert_eq!(first.members()[0].listen_address, address(1));
    assert_eq!(first.address("n1"), Some(address(50)));
}

#[test]
fn newer_version_is_refused_in_fewer_bytes() {
    let mut core = Core::new(&options(0, 1, 3, true), [0; 32], 0.0).unwrap();
    let newer = [PROTOCOL_VERSION + 1; 200];
    let newer_range = VersionRange::exactly(PROTOCOL_VERSION + 1);
    let actions = core.on_datagram(0.1, address(1), &newer);
    assert!(
        matches!(actions.error, Some(PeerError::UnsupportedVersion { stated, supported: VersionRange::SUPPORTED, .. }) if stated == newer_range)
    );
    let (to, bytes) = &actions.datagrams[0];
    assert!(*to == address(1) && bytes.len() <= newer.len());
    let Message { header, payload, .. } =
        decode(bytes, core.authenticator(), "n0", VersionRange::SUPPORTED).unwrap();
    assert_eq!(header.to, "n1");
    assert_eq!(
        postcard::from_bytes::<RefusalReason>(payload).unwrap(),
        RefusalReason::UnsupportedVersion { stated: newer_range, supported: VersionRange::SUPPORTED }
    );
    // No refusal is sent for datagrams from unknown addresses, or for datagrams that are shorter than the refusal.
    // Refusals are rate-limited.
    assert!(core.on_datagram(0.1, address(9), &newer).datagrams.is_empty());
    assert!(core.on_datagram(0.1, address(1), &newer[..20]).datagrams.is_empty());
    let sent: usize = (0..100).map(|_| core.on_datagram(0.2, address(1), &newer).datagrams.len()).sum();
    assert!(sent < 10, "{sent}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::default() })]

    /// With a key, truncated, corrupted or random bytes are rejected without a panic, and add no member.
    #[test]
    fn unauthenticated_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..1500), flip in any::<(usize, u8)>(), sender in 0..4usize) {
        let mut core = Core::new(&options(0, 1, 3, true), [0; 32], 0.0).unwrap();
        let mut second = Core::new(&options(1, 1, 3, true), [1; 32], 0.0).unwrap();
        let (_, mut datagram) = second.tick(0.1).datagrams.into_iter().find(|(to, _)| *to == address(0)).unwrap();
        let position = flip.0 % datagram.len();
        datagram[position] ^= flip.1.max(1);
        for bytes in [&bytes, &datagram, &datagram[..position].to_vec()] {
            let actions = core.on_datagram(0.1, address(sender), bytes);
            prop_assert!(actions.error.is_some() && actions.changes.is_empty());
        }
        prop_assert!(core.members().is_empty());
    }

    /// Without a key, a malformed payload from a configured address is rejected.
    #[test]
    fn malformed_payload_changes_nothing(payload in proptest::collection::vec(any::<u8>(), 0..1300), sender in 1..3usize) {
        let mut core = Core::new(&options(0, 1, 3, false), [0; 32], 0.0).unwrap();
        let from = PeerId { name: name(sender), incarnation: 1, renewals: 0, listen_address: address(sender) };
        let header = MessageHeader { from, to: name(0), issued_token: 1, echoed_token: 1, message_type: MessageType::Gossip };
        let actions = core.on_datagram(0.1, address(sender), &encode(&Envelope::VERSION_1, &header, &payload, &Authenticator::new(None).unwrap()));
        prop_assert!(actions.error.is_some(), "{:?}", actions);
    }
}
