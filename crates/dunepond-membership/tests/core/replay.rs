//! Replay protection: a link that delivers what it recorded long ago.

use super::*;

/// Delivers the recorded datagrams to n0 again, in order, from their source addresses.
fn again(world: &mut World, recorded: &[(usize, Vec<u8>)]) -> Vec<PeerError> {
    let mut errors = Vec::new();
    for (from, bytes) in recorded {
        let now = world.now;
        let actions = world.cores[0].on_datagram(now, at(*from), bytes);
        errors.extend(actions.error.clone());
        world.carry(0, actions, &none);
    }
    errors
}

/// n2 has been down for long and is forgotten; n0 is the same incarnation, or was restarted since.
#[rstest]
fn a_replayed_datagram_has_no_effect(
    #[values(false, true)] key: bool,
    #[values(false, true)] restarted: bool,
) {
    let mut world = World::new(3, key);
    world.play(5.0, none);
    assert!(world.all_alive());
    let to_n0 = |sent: &&(usize, usize, Vec<u8>)| sent.1 == 0;
    let recorded: Vec<(usize, Vec<u8>)> =
        world.sent.iter().filter(to_n0).map(|sent| (sent.0, sent.2.clone())).collect();
    assert!(recorded.iter().filter(|one| one.0 == 2).count() > 3);
    world.stopped[2] = true;
    // Members that are down are remembered for two minutes.
    world.play(160.0, none);
    assert!(!world.cores[0].members().iter().any(|peer| peer.name == "n2"), "{:?}", world.cores[0].members());
    if restarted {
        world.cores[0] = Core::new(&options(0, 2, 3, key), [77; 32], world.now).unwrap();
    }
    world.clear_changes();
    let errors = again(&mut world, &recorded);
    assert_eq!(errors.len(), recorded.len(), "{errors:?}");
    world.play(161.0, none);
    let about_n2 = |change: &&String| change.contains("n2");
    assert_eq!(world.changes[0].iter().find(about_n2), None, "{:?}", world.changes[0]);
    world.play(170.0, none);
    let here: Vec<String> = world.cores[0].members().into_iter().map(|peer| peer.name).collect();
    assert_eq!(here, ["n1"], "{:?}", world.changes);
}

#[rstest]
fn a_replayed_request_has_no_effect(#[values(false, true)] key: bool) {
    let mut world = World::new(2, key);
    world.play(3.0, none);
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 100 };
    let header = world.cores[1].header_for("n0", message_type);
    let authenticator = Authenticator::new(key.then_some(KEY)).unwrap();
    let bytes = world.cores[1].encode(PROTOCOL_VERSION, &header, b"take this");
    let heard = |core: &mut Core, now: f64| {
        let Message { envelope: said, header, .. } =
            decode(&bytes, &authenticator, "it", VersionRange::SUPPORTED).unwrap();
        core.authenticate_request(now, &said, &header, at(1))
    };
    assert_eq!(heard(&mut world.cores[0], 3.0), Ok(()));
    for after in [3.0, 3600.0] {
        let old = heard(&mut world.cores[0], after);
        assert!(matches!(old, Err(PeerError::Replayed { .. })), "{old:?}");
    }
    // The next incarnation of the receiver does not know the sequence numbers, but has another token.
    let mut next = Core::new(&options(0, 2, 2, key), [77; 32], 3600.0).unwrap();
    let old = heard(&mut next, 3600.0);
    assert!(
        matches!(old, Err(PeerError::InvalidToken { .. } | PeerError::UnverifiedSender { .. })),
        "{old:?}"
    );
}

/// A sender without the token gets a hello, sends again, and is accepted within the same tick: no probe is lost.
#[rstest]
fn a_sender_without_the_token_is_accepted_one_round_trip_later(#[values(false, true)] key: bool) {
    let mut cores =
        [0, 1].map(|number| Core::new(&options(number, 1, 2, key), [number as u8; 32], 0.0).unwrap());
    let mut sent = cores[0].tick(0.1).datagrams;
    for turn in 1..=3 {
        assert!(cores[1].members().is_empty());
        let [(to, bytes)] = &sent[..] else { panic!("{turn}: {sent:?}") };
        let taker = usize::from(to.port()) - 7000;
        sent = cores[taker].on_datagram(0.1, at(1 - taker), bytes).datagrams;
    }
    assert_eq!(cores[1].members()[0].name, "n0");
}

/// A request that others overtook is no replay; one far behind counts as a replay.
#[test]
fn reordered_requests_are_each_accepted_once() {
    let mut world = World::new(2, true);
    world.play(3.0, none);
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 100 };
    let header = world.cores[1].header_for("n0", message_type);
    let mut heard = |sequence: u64, now: f64| {
        let said = Envelope { version: PROTOCOL_VERSION, supported: VersionRange::SUPPORTED, sequence };
        world.cores[0].authenticate_request(now, &said, &header, at(1)).is_ok()
    };
    assert_eq!(
        [5, 3, 5, 4, 3, 900, 2, 2].map(|sequence| heard(sequence, 3.0)),
        [true, true, false, true, false, true, true, false]
    );
    assert_eq!([5000, 4000, 3000].map(|sequence| heard(sequence, 5.0)), [true, true, false]);
}
