//! Programs of several versions in one fleet, on the simulated network.

use super::*;
use std::collections::BTreeSet;

#[path = "../old/mod.rs"]
mod old;

const OLD: VersionRange = VersionRange::exactly(1);
const NEXT: VersionRange = VersionRange { min: 1, max: PROTOCOL_VERSION + 1 };

fn fleet(versions: &[VersionRange], key: bool) -> World {
    let mut world = World::new(versions.len(), key);
    for (number, versions) in versions.iter().enumerate() {
        world.cores[number] = core(number, 1, versions, world.cores.len(), key, 0.0);
    }
    world
}

fn core(number: usize, incarnation: u64, versions: &VersionRange, count: usize, key: bool, now: f64) -> Core {
    let mut options = options(number, incarnation, count, key);
    options.supported_versions = *versions;
    Core::new(&options, [number as u8 + 10 * incarnation as u8; 32], now).unwrap()
}

/// Stops the program at `number` and starts another in its place.
fn replace(world: &mut World, number: usize, versions: &VersionRange, key: bool) {
    let incarnation = world.cores[number].local_id().incarnation + 1;
    world.cores[number] = core(number, incarnation, versions, world.cores.len(), key, world.now);
}

/// Versions of the datagrams from one to another since the record was cleared.
fn spoken(world: &World, from: usize, to: usize) -> BTreeSet<u8> {
    world.sent.iter().filter(|sent| (sent.0, sent.1) == (from, to)).map(|sent| sent.2[0]).collect()
}

#[rstest]
fn a_rolling_upgrade_and_rollback_brings_no_peer_down(#[values(false, true)] key: bool) {
    let mut world = fleet(&[OLD; 3], key);
    world.play(3.0, none);
    assert!(world.all_alive());
    let mut versions = [OLD; 3];
    for (number, next) in
        [0, 1, 2].map(|n| (n, VersionRange::SUPPORTED)).into_iter().chain([2, 0, 1].map(|n| (n, OLD)))
    {
        world.clear_changes();
        versions[number] = next;
        replace(&mut world, number, &next, key);
        let end = world.now + 4.0;
        world.play(end, none);
        assert!(world.all_alive(), "{number}: {:?}", world.changes);
        assert!(
            !world.changes.iter().flatten().any(|change| change.starts_with("down")),
            "{:?}",
            world.changes
        );
        world.sent.clear();
        world.play(end + 3.0, none);
        for (from, to) in (0..3).flat_map(|from| (0..3).map(move |to| (from, to))).filter(|(a, b)| a != b) {
            let (spoken, common) =
                (spoken(&world, from, to), versions[from].highest_common(versions[to]).unwrap());
            assert!(spoken.contains(&common), "{from} to {to}: {spoken:?}");
            // Besides, a peer heard in an older version gets a hello now and then.
            let also = spoken.iter().all(|version| *version == common || versions[from].max > common);
            assert!(also, "{from} to {to}: {spoken:?}");
        }
        for (from, _, bytes) in world.sent.iter().filter(|sent| versions[sent.0] == OLD && !key) {
            let (header, payload) = old::read(bytes).unwrap_or_else(|| panic!("{from} wrote {bytes:?}"));
            assert_eq!(old::write(&header, payload), *bytes);
        }
    }
}

/// One message of version 1, byte by byte: the released format cannot change unnoticed.
#[test]
fn version_1_is_encoded_byte_by_byte_as_released() {
    let from = PeerId { name: "n1".into(), incarnation: 300, renewals: 2, listen_address: at(1) };
    let message_type =
        MessageType::Request { id: 5, kind: RequestKind::TransferCounts.into(), timeout_ms: 1500 };
    let header = MessageHeader { from, to: "n2".into(), issued_token: 1, echoed_token: 128, message_type };
    let bytes = encode(&Envelope::VERSION_1, &header, b"payload", &Authenticator::new(None).unwrap());
    let want: [&[u8]; 5] = [
        b"\x01\x02n1\xac\x02\x02\x00\x7f\x00\x00\x01\xd9\x36",
        b"\x02n2",
        b"\x01\x80\x01",
        b"\x01\x05\x03\xdc\x0b",
        b"payload",
    ];
    assert_eq!(bytes, want.concat());
    assert_eq!(
        old::read(&bytes).unwrap().0.about,
        old::About::Ask { id: 5, kind: old::Kind::Counts, within_ms: 1500 }
    );
}

#[rstest]
fn a_newer_program_and_ours_use_the_highest_common_version(#[values(false, true)] key: bool) {
    let mut world = fleet(&[NEXT, VersionRange::SUPPORTED, OLD], key);
    world.play(5.0, none);
    assert!(world.all_alive(), "{:?}", world.changes);
    world.sent.clear();
    world.play(9.0, none);
    assert_eq!(spoken(&world, 0, 1), BTreeSet::from([PROTOCOL_VERSION]));
    assert_eq!(spoken(&world, 1, 0), BTreeSet::from([PROTOCOL_VERSION]));
    assert_eq!(spoken(&world, 2, 0), BTreeSet::from([1]));
}

#[test]
fn without_a_common_version_neither_is_accepted_and_both_have_help() {
    let later = VersionRange { min: 2, max: PROTOCOL_VERSION + 1 };
    let mut world = fleet(&[OLD, later], false);
    world.play(10.0, none);
    assert!(world.cores.iter().all(|core| core.members().is_empty()), "{:?}", world.changes);
    for (from, to, theirs, ours) in [(0, 1, OLD, later), (1, 0, later, OLD)] {
        let (.., bytes) = world.sent.iter().find(|sent| sent.0 == from).unwrap().clone();
        let error = world.cores[to].on_datagram(world.now, at(from), &bytes).error.unwrap();
        let named = matches!(&error, PeerError::UnsupportedVersion { theirs: a, ours: b, .. } if (*a, *b) == (theirs, ours));
        assert!(named, "{error:?}");
        let said = error.to_string();
        assert!(said.contains(&format!("version {theirs};")) && said.ends_with(&ours.to_string()), "{said}");
        assert!(error.help().contains("between them"), "{}", error.help());
        assert_eq!(error.refusal("n"), Some(RefusalReason::UnsupportedVersion { theirs, ours }));
    }
}

/// One refuses a message, the other the refusal, and so on: each is shorter than the last.
#[test]
fn refusals_of_refusals_die_out() {
    let mut world = fleet(&[VersionRange::exactly(2), VersionRange::exactly(3)], false);
    let (mut taker, mut bytes) = (1, world.cores[0].tick(0.1).datagrams[0].1.clone());
    let refused = (0..8).take_while(|_| {
        match world.cores[taker].on_datagram(0.2, at(1 - taker), &bytes).datagrams.pop() {
            Some((_, refusal)) => {
                (taker, bytes) = (1 - taker, refusal);
                true
            }
            None => false,
        }
    });
    assert!((1..4).contains(&refused.count()));
}

/// Each assumed the other to be an older program, which can happen when a datagram crosses a restart.
#[test]
fn two_that_assumed_version_1_of_each_other_recover() {
    let mut world = fleet(&[VersionRange::SUPPORTED; 2], false);
    for (number, other) in [(0, "n1"), (1, "n0")] {
        assert!(world.cores[number].on_version_refused(other, OLD));
    }
    world.cores.iter_mut().for_each(|core| drop(core.tick(0.0)));
    world.play(5.0, none);
    assert_eq!(spoken(&world, 0, 1), BTreeSet::from([1]));
    world.play(15.0, none);
    world.sent.clear();
    world.play(18.0, none);
    assert_eq!(spoken(&world, 0, 1), BTreeSet::from([PROTOCOL_VERSION]));
    assert_eq!(spoken(&world, 1, 0), BTreeSet::from([PROTOCOL_VERSION]));
}
