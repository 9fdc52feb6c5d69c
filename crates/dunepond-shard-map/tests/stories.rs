//! Each fault planted by itself into a sound map, move or scan, and named with its place and its neighbours.

mod common;

use common::*;
use dunepond_shard_map::*;
use rstest::rstest;

fn at(id: u64, from: u32, to: u32) -> Place {
    Place { id, keys: keys(from, to) }
}

/// Where each of the four segments stands.
fn spot(i: u32) -> Box<Spot> {
    let place = |i: u32| at(i.into(), i * 8, i * 8 + 8);
    Box::new(Spot { at: place(i), before: i.checked_sub(1).map(place), after: (i < 3).then(|| place(i + 1)) })
}

fn n(node: u32) -> String {
    format!("n{node}")
}

#[test]
fn a_sound_map_is_proved_in_whatever_order_it_stands() {
    let mut turned = four();
    turned.segments.reverse();
    turned.segments.iter_mut().for_each(|segment| segment.holders.reverse());
    let proof = prove(&turned);
    assert_eq!(proof.digest(), four().digest);
    assert_eq!(proof.at(key(8) - 1).id, 0);
    assert_eq!(proof.at(key(8)).id, 1);
    assert_eq!(proof.at(u64::MAX).id, 3);
    assert_eq!(proof.segment(2).unwrap().keys, keys(16, 24));
    assert_eq!(proof.map().segments.iter().map(|segment| segment.id).collect::<Vec<_>>(), [0, 1, 2, 3]);
}

type Plant = fn(&mut Segs);

#[rstest]
#[case::gap(|s: &mut Segs| s[1].keys = keys(10, 16), vec![
    Fault::Gap { keys: keys(8, 10), before: at(0, 0, 8), after: at(1, 10, 16) },
])]
#[case::start(|s: &mut Segs| s[0].keys = keys(1, 8), vec![Fault::GapAtStart { keys: keys(0, 1), after: at(0, 1, 8) }])]
#[case::end(|s: &mut Segs| s[3].keys = keys(24, 31), vec![Fault::GapAtEnd { keys: keys(31, 32), before: at(3, 24, 31) }])]
#[case::last_key(|s: &mut Segs| s[3].keys.to = Some(u64::MAX), vec![Fault::GapAtEnd {
    keys: Range { from: u64::MAX, to: None },
    before: Place { id: 3, keys: Range { from: key(24), to: Some(u64::MAX) } },
}])]
#[case::first_key(|s: &mut Segs| s[0].keys.from = 1, vec![Fault::GapAtStart {
    keys: Range { from: 0, to: Some(1) },
    after: Place { id: 0, keys: Range { from: 1, to: Some(key(8)) } },
}])]
#[case::overlap(|s: &mut Segs| s[1].keys = keys(8, 18), vec![
    Fault::Overlap { keys: keys(16, 18), first: at(1, 8, 18), second: at(2, 16, 24) },
])]
#[case::one_inside(|s: &mut Segs| s[0].keys = keys(0, 20), vec![
    Fault::Overlap { keys: keys(8, 16), first: at(0, 0, 20), second: at(1, 8, 16) },
    Fault::Overlap { keys: keys(16, 20), first: at(0, 0, 20), second: at(2, 16, 24) },
])]
#[case::past_the_end(|s: &mut Segs| s[2].keys = keys(16, 32), vec![
    Fault::Overlap { keys: keys(24, 32), first: at(2, 16, 32), second: at(3, 24, 32) },
])]
#[case::empty(|s: &mut Segs| s.push(segment(9, 12, 12, &[0, 1])), vec![Fault::EmptyRange {
    spot: Box::new(Spot { at: at(9, 12, 12), before: Some(at(1, 8, 16)), after: Some(at(2, 16, 24)) }),
}])]
#[case::inverted(|s: &mut Segs| s.push(segment(9, 12, 10, &[0, 1])), vec![Fault::InvertedRange {
    spot: Box::new(Spot { at: at(9, 12, 10), before: Some(at(1, 8, 16)), after: Some(at(2, 16, 24)) }),
}])]
#[case::doubled_id(|s: &mut Segs| s[2].id = 0, vec![Fault::DoubledId { first: at(0, 0, 8), second: at(0, 16, 24) }])]
#[case::only_empty(|s: &mut Segs| *s = vec![segment(7, 3, 3, &[0, 1])], vec![
    Fault::EmptyRange { spot: Box::new(Spot { at: at(7, 3, 3), before: None, after: None }) },
    Fault::NoSegments,
])]
#[case::none(|s: &mut Segs| s.clear(), vec![Fault::NoSegments])]
fn a_cover_that_fails_is_named(#[case] plant: Plant, #[case] expected: Vec<Fault>) {
    let mut map = four();
    plant(&mut map.segments);
    assert_eq!(check(&map.sealed(), &nodes(), &TERMS).unwrap_err(), expected);
}

#[rstest]
#[case::unknown(|s: &mut Segs| s[1].holders[1] = Holder { node: "x".into(), ..holder(2, 0.5) }, vec![
    Fault::UnknownHolder { node: "x".into(), spot: spot(1) },
    Fault::TooFewZones { zones: 1, least: 2, spot: spot(1) },
])]
#[case::doubled(|s: &mut Segs| s[3] = segment(3, 24, 32, &[3, 4, 3]), vec![
    Fault::DoubledHolder { node: n(3), spot: spot(3) },
])]
#[case::draining(|s: &mut Segs| s[0] = segment(0, 0, 8, &[0, 1, 5]), vec![
    Fault::DrainingHolder { node: n(5), spot: spot(0) },
])]
#[case::partner(|s: &mut Segs| s[0].holders[0].partner = "p9".into(), vec![
    Fault::WrongPartner { node: n(0), said: "p9".into(), is: "p0".into(), spot: spot(0) },
])]
#[case::too_few(|s: &mut Segs| s[2] = segment(2, 16, 24, &[2]), vec![
    Fault::TooFewHolders { filled: 1, least: 2, spot: spot(2) },
    Fault::TooFewZones { zones: 1, least: 2, spot: spot(2) },
])]
#[case::too_few_filled(|s: &mut Segs| s[2].holders[1].filled = false, vec![
    Fault::TooFewHolders { filled: 1, least: 2, spot: spot(2) },
    Fault::TooFewZones { zones: 1, least: 2, spot: spot(2) },
])]
#[case::doubled_is_one(|s: &mut Segs| s[2] = segment(2, 16, 24, &[2, 2]), vec![
    Fault::DoubledHolder { node: n(2), spot: spot(2) },
    Fault::TooFewHolders { filled: 1, least: 2, spot: spot(2) },
    Fault::TooFewZones { zones: 1, least: 2, spot: spot(2) },
])]
#[case::one_zone(|s: &mut Segs| s[0] = segment(0, 0, 8, &[0, 3]), vec![
    Fault::TooFewZones { zones: 1, least: 2, spot: spot(0) },
])]
#[case::owner(|s: &mut Segs| s[1].owner = n(0), vec![Fault::OwnerNoHolder { owner: n(0), spot: spot(1) }])]
#[case::owner_unfilled(|s: &mut Segs| { s[1] = segment(1, 8, 16, &[0, 1, 2]); s[1].holders[0].filled = false }, vec![
    Fault::OwnerNotFilled { owner: n(0), spot: spot(1) },
])]
#[case::shares(|s: &mut Segs| s[0].holders[0].share = 0.75, vec![Fault::SharesDoNotAddUp { sum: 1.25, spot: spot(0) }])]
#[case::no_shares(|s: &mut Segs| s[0].holders.iter_mut().for_each(|h| h.share = 0.0), vec![
    Fault::SharesDoNotAddUp { sum: 0.0, spot: spot(0) },
])]
#[case::infinite(|s: &mut Segs| s[0].holders[0].share = f64::INFINITY, vec![
    Fault::ShareOutOfRange { node: n(0), share: f64::INFINITY, spot: spot(0) },
])]
#[case::negative(|s: &mut Segs| { s[0].holders[0].share = -0.5; s[0].holders[1].share = 1.5 }, vec![
    Fault::ShareOutOfRange { node: n(0), share: -0.5, spot: spot(0) },
    Fault::ShareOutOfRange { node: n(1), share: 1.5, spot: spot(0) },
])]
fn a_segment_that_is_held_wrongly_is_named(#[case] plant: Plant, #[case] expected: Vec<Fault>) {
    let (mut map, mut nodes) = (four(), nodes());
    plant(&mut map.segments);
    nodes[5].draining = true;
    assert_eq!(check(&map.sealed(), &nodes, &TERMS).unwrap_err(), expected);
}

#[test]
fn a_share_that_is_no_number_is_named() {
    let mut map = four();
    map.segments[0].holders[1].share = f64::NAN;
    let faults = check(&map.sealed(), &nodes(), &TERMS).unwrap_err();
    assert!(
        matches!(&faults[..], [Fault::ShareOutOfRange { node, share, .. }] if node == "n1" && share.is_nan())
    );
}

#[test]
fn hash_digest_and_list_are_judged_too() {
    let mut map = four();
    map.hash = "murmur3".to_string();
    let (said, is) = (map.digest.clone(), map.digest_of());
    let list: Vec<_> = nodes().into_iter().chain(nodes().into_iter().take(1)).collect();
    let expected = vec![
        Fault::UnknownHash { hash: "murmur3".to_string(), expected: HASH.to_string() },
        Fault::Digest { said, is },
        Fault::DoubledNode { node: n(0) },
    ];
    assert_eq!(check(&map, &list, &TERMS).unwrap_err(), expected);
}

#[test]
fn without_a_list_only_what_needs_none_is_judged() {
    let mut map = four();
    map.segments[0].holders[0] = Holder { node: "x".into(), partner: "y".into(), ..holder(0, 0.5) };
    map.segments[0].owner = "x".into();
    assert!(check(&map.clone().sealed(), &[], &TERMS).is_ok());
    map.segments[0].holders[1].filled = false;
    let faults = check(&map.sealed(), &[], &TERMS).unwrap_err();
    assert_eq!(faults, [Fault::TooFewHolders { filled: 1, least: 2, spot: spot(0) }]);
}

#[test]
fn a_proof_is_judged_anew_when_the_list_changes() {
    let proof = prove(&four());
    let mut list = nodes();
    assert!(proof.judged_by(&list, &TERMS).is_ok());
    list[0].draining = true;
    list[2].zone = "z1".into();
    let expected = [
        Fault::DrainingHolder { node: n(0), spot: spot(0) },
        Fault::TooFewZones { zones: 1, least: 2, spot: spot(1) },
    ];
    assert_eq!(proof.judged_by(&list, &TERMS).unwrap_err(), expected);
    // What follows is judged by the list of the proof it follows.
    list[2].zone = "z2".into();
    let map = four();
    let later = map.segments[1..].iter().cloned().chain([segment(0, 0, 8, &[1, 2])]).collect();
    let other = prove(&common::map(1, later)).judged_by(&list, &TERMS).unwrap();
    let back = Change {
        epoch: 2,
        follows: String::new(),
        gone: vec![],
        put: vec![map.segments[0].clone()],
        digest: String::new(),
    };
    let faults = check_change(&other, &back.sealed(&other)).unwrap_err();
    assert_eq!(faults, [Fault::DrainingHolder { node: n(0), spot: spot(0) }]);
}

#[test]
fn several_faults_are_all_named() {
    let mut map = four();
    map.segments.remove(1);
    map.segments[2].owner = "x".into();
    map.segments[1].keys = keys(16, 25);
    map.segments[1].id = 3;
    let faults = check(&map, &nodes(), &TERMS).unwrap_err();
    let has = |wanted: fn(&Fault) -> bool| faults.iter().any(wanted);
    assert!(has(|fault| matches!(fault, Fault::Gap { .. })));
    assert!(has(|fault| matches!(fault, Fault::Overlap { .. })));
    assert!(has(|fault| matches!(fault, Fault::DoubledId { .. })));
    assert!(has(|fault| matches!(fault, Fault::OwnerNoHolder { .. })));
    assert!(has(|fault| matches!(fault, Fault::Digest { .. })));
    assert_eq!(faults.len(), 5);
}

#[rstest]
#[case::share(|m: &mut Map| m.segments[0].holders.iter_mut().for_each(|h| h.share = if h.node == "n0" { 0.4 } else { 0.6 }))]
#[case::filled(|m: &mut Map| m.segments[3].holders[1].filled = false)]
#[case::boundary(|m: &mut Map| { m.segments[0].keys.to = Some(key(8) + 1); m.segments[1].keys.from = key(8) + 1 })]
#[case::exchange(|m: &mut Map| { m.segments[0].id = 1; m.segments[1].id = 0 })]
#[case::epoch(|m: &mut Map| m.epoch = 2)]
#[case::end(|m: &mut Map| m.segments[3].keys.to = Some(0))]
#[case::owner(|m: &mut Map| m.segments[0].owner = "n1".into())]
#[case::left_out(|m: &mut Map| { m.segments.pop(); })]
#[case::words(|m: &mut Map| { m.segments[0].holders[0].node = "n".into(); m.segments[0].holders[0].partner = "0p0".into() })]
fn whatever_differs_has_another_digest(#[case] plant: fn(&mut Map)) {
    let mut map = four();
    plant(&mut map);
    assert_ne!(map.digest_of(), four().digest);
}

fn piece(segment: u64, from: u32, to: u32, epoch: u64) -> Piece {
    Piece { segment, keys: keys(from, to), epoch }
}

#[rstest]
#[case::whole(vec![(0, 32)], vec![(0, 0, 8, 1), (1, 8, 16, 1), (2, 16, 24, 1), (3, 24, 32, 1)], None)]
#[case::in_parts(vec![(2, 12)], vec![(1, 8, 12, 1), (0, 5, 8, 1), (0, 2, 5, 1)], None)]
#[case::two_stretches(vec![(20, 30), (2, 6)], vec![(0, 2, 6, 1), (2, 20, 24, 1), (3, 24, 30, 1)], None)]
#[case::wanted_twice(vec![(2, 6), (4, 8)], vec![(0, 2, 8, 1)], None)]
#[case::nothing(vec![], vec![], None)]
#[case::missing(vec![(0, 16)], vec![(0, 0, 8, 1), (1, 10, 16, 1)], Some(Fault::NotCovered {
    keys: keys(8, 10), before: Some(at(0, 0, 8)), after: Some(at(1, 10, 16)),
}))]
#[case::last_missing(vec![(0, 32)], vec![(0, 0, 8, 1), (1, 8, 16, 1)], Some(Fault::NotCovered {
    keys: keys(16, 32), before: Some(at(1, 8, 16)), after: None,
}))]
#[case::first_missing(vec![(0, 8)], vec![(0, 1, 8, 1)], Some(Fault::NotCovered {
    keys: keys(0, 1), before: None, after: Some(at(0, 1, 8)),
}))]
#[case::all_missing(vec![(0, 8)], vec![], Some(Fault::NotCovered { keys: keys(0, 8), before: None, after: None }))]
#[case::twice(vec![(0, 8)], vec![(0, 0, 6, 1), (0, 5, 8, 1)], Some(Fault::CoveredTwice {
    keys: keys(5, 6), first: at(0, 0, 6), second: at(0, 5, 8),
}))]
#[case::doubled(vec![(0, 8)], vec![(0, 0, 8, 1), (0, 0, 8, 1)], Some(Fault::CoveredTwice {
    keys: keys(0, 8), first: at(0, 0, 8), second: at(0, 0, 8),
}))]
#[case::other_epoch(vec![(0, 16)], vec![(0, 0, 8, 1), (1, 8, 16, 2)], Some(Fault::OtherEpoch {
    at: at(1, 8, 16), epoch: 2, expected: 1,
}))]
#[case::outside(vec![(0, 9)], vec![(0, 0, 9, 1)], Some(Fault::PartOutside {
    at: at(0, 0, 9), keys: Some(keys(0, 8)),
}))]
#[case::no_segment(vec![(0, 8)], vec![(7, 0, 8, 1)], Some(Fault::PartOutside { at: at(7, 0, 8), keys: None }))]
#[case::empty(vec![(0, 8)], vec![(0, 0, 8, 1), (1, 9, 9, 1)], Some(Fault::PartEmpty { at: at(1, 9, 9) }))]
#[case::unwanted(vec![(0, 8)], vec![(0, 0, 8, 1), (1, 8, 16, 1)], Some(Fault::NotWanted {
    keys: keys(8, 16), at: at(1, 8, 16),
}))]
#[case::beyond(vec![(0, 4), (6, 8)], vec![(0, 0, 8, 1)], Some(Fault::NotWanted { keys: keys(4, 6), at: at(0, 0, 8) }))]
#[case::too_early(vec![(4, 8)], vec![(0, 2, 8, 1)], Some(Fault::NotWanted { keys: keys(2, 4), at: at(0, 2, 8) }))]
#[case::wholly_before(vec![(4, 8)], vec![(0, 1, 2, 1), (0, 4, 8, 1)], Some(Fault::NotWanted {
    keys: keys(1, 2), at: at(0, 1, 2),
}))]
#[case::wanted_empty(vec![(4, 4)], vec![], Some(Fault::WantedEmpty { keys: keys(4, 4) }))]
#[case::wanted_inverted(vec![(4, 2)], vec![], Some(Fault::WantedEmpty { keys: keys(4, 2) }))]
fn parts_cover_a_scan_exactly_once_or_it_is_said_why_not(
    #[case] wanted: Vec<(u32, u32)>,
    #[case] pieces: Vec<(u64, u32, u32, u64)>,
    #[case] expected: Option<Fault>,
) {
    let wanted: Vec<_> = wanted.into_iter().map(|(from, to)| keys(from, to)).collect();
    let pieces: Vec<_> = pieces.into_iter().map(|(id, from, to, epoch)| piece(id, from, to, epoch)).collect();
    assert_eq!(covers(&prove(&four()), &wanted, &pieces).err(), expected);
}
