//! A link that delivers what it recorded long ago.

use super::*;

/// All that went to n0 by datagram is delivered again, in order, from where it came.
fn again(world: &mut World, recorded: &[(usize, Vec<u8>)]) -> Vec<PeerError> {
    let mut faults = Vec::new();
    for (from, bytes) in recorded {
        let now = world.now;
        let orders = world.cores[0].on_datagram(now, at(*from), bytes);
        faults.extend(orders.fault.clone());
        world.carry(0, orders, &none);
    }
    faults
}

/// n2 died long ago, and is forgotten; n0 is the same or has been started anew since.
#[rstest]
fn a_datagram_that_comes_long_after_has_no_effect(
    #[values(false, true)] key: bool,
    #[values(false, true)] restarted: bool,
) {
    let mut world = World::new(3, key);
    world.play(5.0, none);
    assert!(world.all_here());
    let to_n0 = |sent: &&(usize, usize, Vec<u8>)| sent.1 == 0;
    let recorded: Vec<(usize, Vec<u8>)> =
        world.sent.iter().filter(to_n0).map(|sent| (sent.0, sent.2.clone())).collect();
    assert!(recorded.iter().filter(|one| one.0 == 2).count() > 3);
    world.stopped[2] = true;
    // What left is remembered for two minutes.
    world.play(160.0, none);
    assert!(!world.cores[0].members().iter().any(|peer| peer.name == "n2"), "{:?}", world.cores[0].members());
    if restarted {
        world.cores[0] = Core::new(&told(0, 2, 3, key), [77; 32], world.now).unwrap();
    }
    world.forget();
    let faults = again(&mut world, &recorded);
    assert_eq!(faults.len(), recorded.len(), "{faults:?}");
    world.play(161.0, none);
    let about_n2 = |change: &&String| change.contains("n2");
    assert_eq!(world.heard[0].iter().find(about_n2), None, "{:?}", world.heard[0]);
    world.play(170.0, none);
    let here: Vec<String> = world.cores[0].members().into_iter().map(|peer| peer.name).collect();
    assert_eq!(here, ["n1"], "{:?}", world.heard);
}

#[rstest]
fn a_request_that_comes_long_after_has_no_effect(#[values(false, true)] key: bool) {
    let mut world = World::new(2, key);
    world.play(3.0, none);
    let about = About::Ask { id: 1, kind: RequestKind::Raft.into(), within_ms: 100 };
    let head = world.cores[1].head("n0", about);
    let seal = Seal::new(key.then_some(KEY)).unwrap();
    let bytes = world.cores[1].framed(VERSION, &head, b"take this");
    let heard = |core: &mut Core, now: f64| {
        let (said, head, _) = unframe(&bytes, &seal, "it", Span::OURS).unwrap();
        core.believes(now, &said, &head, at(1))
    };
    assert_eq!(heard(&mut world.cores[0], 3.0), Ok(()));
    for after in [3.0, 3600.0] {
        let old = heard(&mut world.cores[0], after);
        assert!(matches!(old, Err(PeerError::Old { .. })), "{old:?}");
    }
    // The next life of the one asked does not know what was asked, but has another pass.
    let mut next = Core::new(&told(0, 2, 2, key), [77; 32], 3600.0).unwrap();
    let old = heard(&mut next, 3600.0);
    assert!(matches!(old, Err(PeerError::Unproven { .. } | PeerError::Claimed { .. })), "{old:?}");
}

/// Who lacks the pass is greeted, says the same again, and is believed within the same turn: no probe is lost for it.
#[rstest]
fn who_lacks_the_pass_is_heard_a_turn_later(#[values(false, true)] key: bool) {
    let mut cores =
        [0, 1].map(|number| Core::new(&told(number, 1, 2, key), [number as u8; 32], 0.0).unwrap());
    let mut sent = cores[0].tick(0.1).datagrams;
    for turn in 1..=3 {
        assert!(cores[1].members().is_empty());
        let [(to, bytes)] = &sent[..] else { panic!("{turn}: {sent:?}") };
        let taker = usize::from(to.port()) - 7000;
        sent = cores[taker].on_datagram(0.1, at(1 - taker), bytes).datagrams;
    }
    assert_eq!(cores[1].members()[0].name, "n0");
}

/// Whoever may be overtaken by others of its own is not old for that; what is far behind is.
#[test]
fn requests_that_overtake_each_other_are_each_heard_once() {
    let mut world = World::new(2, true);
    world.play(3.0, none);
    let about = About::Ask { id: 1, kind: RequestKind::Raft.into(), within_ms: 100 };
    let head = world.cores[1].head("n0", about);
    let mut heard = |count: u64, now: f64| {
        let said = Envelope { version: VERSION, speaks: Span::OURS, count };
        world.cores[0].believes(now, &said, &head, at(1)).is_ok()
    };
    assert_eq!(
        [5, 3, 5, 4, 3, 900, 2, 2].map(|count| heard(count, 3.0)),
        [true, true, false, true, false, true, true, false]
    );
    assert_eq!([5000, 4000, 3000].map(|count| heard(count, 5.0)), [true, true, false]);
}
