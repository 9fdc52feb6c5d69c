//! Every fault says where it is and what can be done.

mod common;

use std::collections::HashSet;
use std::mem::discriminant;

use common::*;
use dunepond_shard_map::*;
use strum::EnumCount;

/// One of each; with one variant more the count below no longer holds.
fn each() -> Vec<Fault> {
    let (keys, text) = (keys(1, 2), || "x7".to_string());
    let (one, two) = (Place { id: 41, keys }, Place { id: 42, keys });
    let spot = || Box::new(Spot { at: one, before: Some(two), after: None });
    vec![
        Fault::NoSegments,
        Fault::UnknownHash { hash: text(), expected: text() },
        Fault::Digest { said: text(), is: text() },
        Fault::DoubledNode { node: text() },
        Fault::Gap { keys, before: one, after: two },
        Fault::GapAtStart { keys, after: one },
        Fault::GapAtEnd { keys, before: one },
        Fault::Overlap { keys, first: one, second: two },
        Fault::EmptyRange { spot: spot() },
        Fault::InvertedRange { spot: spot() },
        Fault::DoubledId { first: one, second: two },
        Fault::UnknownHolder { node: text(), spot: spot() },
        Fault::DoubledHolder { node: text(), spot: spot() },
        Fault::DrainingHolder { node: text(), spot: spot() },
        Fault::WrongPartner { node: text(), said: text(), is: text(), spot: spot() },
        Fault::TooFewHolders { filled: 1, least: 2, spot: spot() },
        Fault::TooFewZones { zones: 1, least: 2, spot: spot() },
        Fault::OwnerNoHolder { owner: text(), spot: spot() },
        Fault::OwnerNotFilled { owner: text(), spot: spot() },
        Fault::ShareOutOfRange { node: text(), share: 2.0, spot: spot() },
        Fault::SharesDoNotAddUp { sum: 2.0, spot: spot() },
        Fault::EpochNotAbove { from: 41, to: 41 },
        Fault::NotThere { id: 41 },
        Fault::FollowsOther { follows: text(), from: text() },
        Fault::LastHolderLost { keys, old: one, new: two },
        Fault::NoSource { holder: text(), new: one, first: one, last: two },
        Fault::OtherEpoch { at: one, epoch: 1, expected: 2 },
        Fault::PartOutside { at: one, keys: None },
        Fault::PartEmpty { at: one },
        Fault::WantedEmpty { keys },
        Fault::NotCovered { keys, before: None, after: Some(one) },
        Fault::CoveredTwice { keys, first: one, second: two },
        Fault::NotWanted { keys, at: one },
    ]
}

#[test]
fn all_variants_say_where_and_what_to_do() {
    let each = each();
    let kinds: HashSet<_> = each.iter().map(discriminant).collect();
    assert_eq!(kinds.len(), Fault::COUNT);
    let texts: HashSet<_> = each.iter().map(Fault::to_string).collect();
    assert_eq!(texts.len(), Fault::COUNT);
    for fault in &each {
        let text = fault.to_string();
        let named = ["41", "x7", "0x0800000000000000"].iter().any(|name| text.contains(name));
        assert!(named || *fault == Fault::NoSegments, "{text}");
        assert!(fault.help().len() > 20, "{text}");
    }
}

#[test]
fn a_fault_reads_like_this() {
    let mut map = four();
    map.segments[1].keys = keys(10, 16);
    let faults = check(&map.sealed(), &nodes(), &TERMS).unwrap_err();
    assert_eq!(
        faults[0].to_string(),
        "no segment has the keys [0x4000000000000000, 0x5000000000000000), between segment 0 \
         [0x0000000000000000, 0x4000000000000000) and segment 1 [0x5000000000000000, 0x8000000000000000)"
    );
}
