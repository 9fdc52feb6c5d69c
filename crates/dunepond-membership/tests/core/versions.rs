//! Programs of several versions in one fleet, on the wire of these stories.

use super::*;
use std::collections::BTreeSet;

#[path = "../old/mod.rs"]
mod old;

const OLD: Span = Span::only(1);
const NEXT: Span = Span { least: 1, most: VERSION + 1 };

fn fleet(speaks: &[Span], key: bool) -> World {
    let mut world = World::new(speaks.len(), key);
    for (number, speaks) in speaks.iter().enumerate() {
        world.cores[number] = core(number, 1, speaks, world.cores.len(), key, 0.0);
    }
    world
}

fn core(number: usize, incarnation: u64, speaks: &Span, count: usize, key: bool, now: f64) -> Core {
    let mut told = told(number, incarnation, count, key);
    told.supported_versions = *speaks;
    Core::new(&told, [number as u8 + 10 * incarnation as u8; 32], now).unwrap()
}

/// Ends the program at `number` and starts another in its place.
fn replace(world: &mut World, number: usize, speaks: &Span, key: bool) {
    let incarnation = world.cores[number].me().incarnation + 1;
    world.cores[number] = core(number, incarnation, speaks, world.cores.len(), key, world.now);
}

/// Versions of what went from one to another since it was cleared.
fn spoken(world: &World, from: usize, to: usize) -> BTreeSet<u8> {
    world.sent.iter().filter(|sent| (sent.0, sent.1) == (from, to)).map(|sent| sent.2[0]).collect()
}

#[rstest]
fn programs_are_replaced_one_by_one_and_back_and_nobody_is_given_up(#[values(false, true)] key: bool) {
    let mut world = fleet(&[OLD; 3], key);
    world.play(3.0, none);
    assert!(world.all_here());
    let mut speaks = [OLD; 3];
    for (number, next) in [0, 1, 2].map(|n| (n, Span::OURS)).into_iter().chain([2, 0, 1].map(|n| (n, OLD))) {
        world.forget();
        speaks[number] = next;
        replace(&mut world, number, &next, key);
        let end = world.now + 4.0;
        world.play(end, none);
        assert!(world.all_here(), "{number}: {:?}", world.heard);
        assert!(!world.heard.iter().flatten().any(|change| change.starts_with("left")), "{:?}", world.heard);
        world.sent.clear();
        world.play(end + 3.0, none);
        for (from, to) in (0..3).flat_map(|from| (0..3).map(move |to| (from, to))).filter(|(a, b)| a != b) {
            let (spoken, common) = (spoken(&world, from, to), speaks[from].common(speaks[to]).unwrap());
            assert!(spoken.contains(&common), "{from} to {to}: {spoken:?}");
            // Besides, whoever is older is told now and then what else is spoken.
            let also = spoken.iter().all(|version| *version == common || speaks[from].most > common);
            assert!(also, "{from} to {to}: {spoken:?}");
        }
        for (from, _, bytes) in world.sent.iter().filter(|sent| speaks[sent.0] == OLD && !key) {
            let (head, load) = old::read(bytes).unwrap_or_else(|| panic!("{from} wrote {bytes:?}"));
            assert_eq!(old::write(&head, load), *bytes);
        }
    }
}

/// One message of version 1, byte by byte: what is in use cannot be changed unseen.
#[test]
fn the_first_version_is_written_as_ever() {
    let from = Id { name: "n1".into(), incarnation: 300, renewed: 2, listen: at(1) };
    let about = About::Ask { id: 5, kind: RequestKind::TransferCounts.into(), within_ms: 1500 };
    let head = Head { from, to: "n2".into(), gives: 1, echo: 128, about };
    let bytes = frame(&Envelope::FIRST, &head, b"load", &Seal::new(None).unwrap());
    let want: [&[u8]; 5] = [
        b"\x01\x02n1\xac\x02\x02\x00\x7f\x00\x00\x01\xd9\x36",
        b"\x02n2",
        b"\x01\x80\x01",
        b"\x01\x05\x03\xdc\x0b",
        b"load",
    ];
    assert_eq!(bytes, want.concat());
    assert_eq!(
        old::read(&bytes).unwrap().0.about,
        old::About::Ask { id: 5, kind: old::Kind::Counts, within_ms: 1500 }
    );
}

#[rstest]
fn a_newer_program_and_ours_speak_what_both_know(#[values(false, true)] key: bool) {
    let mut world = fleet(&[NEXT, Span::OURS, OLD], key);
    world.play(5.0, none);
    assert!(world.all_here(), "{:?}", world.heard);
    world.sent.clear();
    world.play(9.0, none);
    assert_eq!(spoken(&world, 0, 1), BTreeSet::from([VERSION]));
    assert_eq!(spoken(&world, 1, 0), BTreeSet::from([VERSION]));
    assert_eq!(spoken(&world, 2, 0), BTreeSet::from([1]));
}

#[test]
fn with_no_version_in_common_neither_is_believed_and_both_say_what_to_do() {
    let later = Span { least: 2, most: VERSION + 1 };
    let mut world = fleet(&[OLD, later], false);
    world.play(10.0, none);
    assert!(world.cores.iter().all(|core| core.members().is_empty()), "{:?}", world.heard);
    for (from, to, theirs, ours) in [(0, 1, OLD, later), (1, 0, later, OLD)] {
        let (.., bytes) = world.sent.iter().find(|sent| sent.0 == from).unwrap().clone();
        let fault = world.cores[to].on_datagram(world.now, at(from), &bytes).fault.unwrap();
        let named =
            matches!(&fault, PeerError::Version { theirs: a, ours: b, .. } if (*a, *b) == (theirs, ours));
        assert!(named, "{fault:?}");
        let said = fault.to_string();
        assert!(said.contains(&format!("version {theirs};")) && said.ends_with(&ours.to_string()), "{said}");
        assert!(fault.help().contains("between them"), "{}", fault.help());
        assert_eq!(fault.refusal("n"), Some(RefusalReason::Versions { theirs, ours }));
    }
}

/// One refuses a message, the other the refusal, and so on: each is shorter than the last.
#[test]
fn refusals_of_refusals_die_out() {
    let mut world = fleet(&[Span::only(2), Span::only(3)], false);
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

/// Each took the other for an older program, as can be when a datagram crosses a restart.
#[test]
fn two_that_took_each_other_for_old_find_out() {
    let mut world = fleet(&[Span::OURS; 2], false);
    for (number, other) in [(0, "n1"), (1, "n0")] {
        assert!(world.cores[number].refused_version(other, OLD));
    }
    world.cores.iter_mut().for_each(|core| drop(core.tick(0.0)));
    world.play(5.0, none);
    assert_eq!(spoken(&world, 0, 1), BTreeSet::from([1]));
    world.play(15.0, none);
    world.sent.clear();
    world.play(18.0, none);
    assert_eq!(spoken(&world, 0, 1), BTreeSet::from([VERSION]));
    assert_eq!(spoken(&world, 1, 0), BTreeSet::from([VERSION]));
}
