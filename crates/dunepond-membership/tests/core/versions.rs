//! Brokers of different protocol versions in one fleet.

use dunepond_membership::{
    Authenticator, Core, Envelope, MessageHeader, MessageType, PROTOCOL_VERSION, PeerError, PeerId,
    RefusalReason, RequestKind, VersionRange, encode,
};
use rstest::rstest;

use crate::network::{SimulatedNetwork, address, no_loss, options};
use std::collections::BTreeSet;

#[path = "../old/mod.rs"]
mod old;

const OLD: VersionRange = VersionRange::exactly(1);
const NEXT: VersionRange = VersionRange { min: 1, max: PROTOCOL_VERSION + 1 };

/// Creates a network with one core for each entry of `versions`, which is the range of versions that this core
/// supports.
fn fleet(versions: &[VersionRange], key: bool) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(versions.len(), key);
    for (number, versions) in versions.iter().enumerate() {
        network.cores[number] = new_core(number, 1, versions, network.cores.len(), key, 0.0);
    }
    network
}

fn new_core(
    number: usize,
    incarnation: u64,
    versions: &VersionRange,
    count: usize,
    key: bool,
    now: f64,
) -> Core {
    let mut options = options(number, incarnation, count, key);
    options.supported_versions = *versions;
    Core::new(&options, [number as u8 + 10 * incarnation as u8; 32], now).unwrap()
}

/// Replaces the core `number` with a later incarnation that supports `versions`.
fn replace(network: &mut SimulatedNetwork, number: usize, versions: &VersionRange, key: bool) {
    let incarnation = network.cores[number].local_id().incarnation + 1;
    network.cores[number] = new_core(number, incarnation, versions, network.cores.len(), key, network.now);
}

/// Returns the versions of the datagrams from one core to another since `sent` was last cleared.
fn versions_sent(network: &SimulatedNetwork, from: usize, to: usize) -> BTreeSet<u8> {
    network.sent.iter().filter(|sent| (sent.0, sent.1) == (from, to)).map(|sent| sent.2[0]).collect()
}

#[rstest]
fn rolling_upgrade_and_rollback(#[values(false, true)] key: bool) {
    let mut network = fleet(&[OLD; 3], key);
    network.run_until(3.0, no_loss);
    assert!(network.all_alive());
    let mut versions = [OLD; 3];
    for (number, next) in
        [0, 1, 2].map(|n| (n, VersionRange::SUPPORTED)).into_iter().chain([2, 0, 1].map(|n| (n, OLD)))
    {
        network.clear_changes();
        versions[number] = next;
        replace(&mut network, number, &next, key);
        let end = network.now + 4.0;
        network.run_until(end, no_loss);
        assert!(network.all_alive(), "{number}: {:?}", network.changes);
        assert!(
            !network.changes.iter().flatten().any(|change| change.starts_with("down")),
            "{:?}",
            network.changes
        );
        network.sent.clear();
        network.run_until(end + 3.0, no_loss);
        for (from, to) in (0..3).flat_map(|from| (0..3).map(move |to| (from, to))).filter(|(a, b)| a != b) {
            let (sent_versions, common) =
                (versions_sent(&network, from, to), versions[from].highest_common(versions[to]).unwrap());
            assert!(sent_versions.contains(&common), "{from} to {to}: {sent_versions:?}");
            // A broker also sends hellos in its own highest version to peers that have only sent messages of version 1,
            // to state which versions it supports.
            let is_common_or_hello =
                sent_versions.iter().all(|version| *version == common || versions[from].max > common);
            assert!(is_common_or_hello, "{from} to {to}: {sent_versions:?}");
        }
        for (from, _, bytes) in network.sent.iter().filter(|sent| versions[sent.0] == OLD && !key) {
            let (header, payload) = old::read(bytes).unwrap_or_else(|| panic!("{from} sent {bytes:?}"));
            assert_eq!(old::write(&header, payload), *bytes);
        }
    }
}

/// Compares one message of version 1 byte by byte, to guard against an unnoticed change of the released format.
#[test]
fn version_1_encoding_is_unchanged() {
    let from = PeerId { name: "n1".into(), incarnation: 300, renewals: 2, listen_address: address(1) };
    let message_type =
        MessageType::Request { id: 5, kind: RequestKind::TransferCounts.into(), timeout_ms: 1500 };
    let header = MessageHeader { from, to: "n2".into(), issued_token: 1, echoed_token: 128, message_type };
    let bytes = encode(&Envelope::VERSION_1, &header, b"payload", &Authenticator::new(None).unwrap());
    let expected: [&[u8]; 5] = [
        b"\x01\x02n1\xac\x02\x02\x00\x7f\x00\x00\x01\xd9\x36",
        b"\x02n2",
        b"\x01\x80\x01",
        b"\x01\x05\x03\xdc\x0b",
        b"payload",
    ];
    assert_eq!(bytes, expected.concat());
    assert_eq!(
        old::read(&bytes).unwrap().0.about,
        old::About::Ask { id: 5, kind: old::Kind::Counts, within_ms: 1500 }
    );
}

#[rstest]
fn highest_common_version_is_used(#[values(false, true)] key: bool) {
    let mut network = fleet(&[NEXT, VersionRange::SUPPORTED, OLD], key);
    network.run_until(5.0, no_loss);
    assert!(network.all_alive(), "{:?}", network.changes);
    network.sent.clear();
    network.run_until(9.0, no_loss);
    assert_eq!(versions_sent(&network, 0, 1), BTreeSet::from([PROTOCOL_VERSION]));
    assert_eq!(versions_sent(&network, 1, 0), BTreeSet::from([PROTOCOL_VERSION]));
    assert_eq!(versions_sent(&network, 2, 0), BTreeSet::from([1]));
}

#[test]
fn no_common_version_is_rejected_with_help() {
    let later = VersionRange { min: 2, max: PROTOCOL_VERSION + 1 };
    let mut network = fleet(&[OLD, later], false);
    network.run_until(10.0, no_loss);
    assert!(network.cores.iter().all(|core| core.members().is_empty()), "{:?}", network.changes);
    for (from, to, stated, supported) in [(0, 1, OLD, later), (1, 0, later, OLD)] {
        let (.., bytes) = network.sent.iter().find(|sent| sent.0 == from).unwrap().clone();
        let error = network.cores[to].on_datagram(network.now, address(from), &bytes).error.unwrap();
        let states_versions = matches!(&error, PeerError::UnsupportedVersion { stated: a, supported: b, .. } if (*a, *b) == (stated, supported));
        assert!(states_versions, "{error:?}");
        let text = error.to_string();
        assert!(
            text.contains(&format!("version {stated};")) && text.ends_with(&supported.to_string()),
            "{text}"
        );
        assert!(error.help().contains("between them"), "{}", error.help());
        assert_eq!(error.refusal("n"), Some(RefusalReason::UnsupportedVersion { stated, supported }));
    }
}

/// Each core refuses the other's refusals. The exchange must end, since each refusal is shorter than the message that
/// it refuses.
#[test]
fn refusals_of_refusals_end() {
    let mut network = fleet(&[VersionRange::exactly(2), VersionRange::exactly(3)], false);
    let (mut receiver, mut bytes) = (1, network.cores[0].tick(0.1).datagrams[0].1.clone());
    let refusals = (0..8).take_while(|_| {
        match network.cores[receiver].on_datagram(0.2, address(1 - receiver), &bytes).datagrams.pop() {
            Some((_, refusal)) => {
                (receiver, bytes) = (1 - receiver, refusal);
                true
            }
            None => false,
        }
    });
    assert!((1..4).contains(&refusals.count()));
}

/// Each core assumes that the other one supports only version 1, as can happen if a datagram is in flight while a
/// broker restarts. Both must return to the highest common version.
#[test]
fn mutually_assumed_version_1_recovers() {
    let mut network = fleet(&[VersionRange::SUPPORTED; 2], false);
    for (number, other) in [(0, "n1"), (1, "n0")] {
        assert!(network.cores[number].on_version_refused(other, OLD));
    }
    network.cores.iter_mut().for_each(|core| drop(core.tick(0.0)));
    network.run_until(5.0, no_loss);
    assert_eq!(versions_sent(&network, 0, 1), BTreeSet::from([1]));
    network.run_until(15.0, no_loss);
    network.sent.clear();
    network.run_until(18.0, no_loss);
    assert_eq!(versions_sent(&network, 0, 1), BTreeSet::from([PROTOCOL_VERSION]));
    assert_eq!(versions_sent(&network, 1, 0), BTreeSet::from([PROTOCOL_VERSION]));
}
