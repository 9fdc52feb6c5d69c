//! A map by itself: every key in exactly one segment, every segment held as the terms ask for. Linear after sorting.

use std::collections::HashMap;
use std::sync::Arc;

use crate::digest::{HASH, Sum};
use crate::fault::{Fault, Place, Spot};
use crate::{END, Map, Node, Proof, Range, Segment, Terms};

/// How far the shares of a segment may be off 1 in total: thirds written with seven digits pass.
const SHARES_OFF: f64 = 1e-6;

/// What segments are judged by.
#[derive(Clone, Debug, Default)]
pub(crate) struct Judge {
    /// By name; none at all where no list was given.
    nodes: HashMap<String, Node>,
    least_holders: usize,
    least_zones: usize,
    doubled: Vec<String>,
}

/// Proves `map`, or names everything that is wrong with it. An empty list of `nodes` is no list: names, zones, partners
/// and drains are then not judged.
pub fn check(map: &Map, nodes: &[Node], terms: &Terms) -> Result<Proof, Vec<Fault>> {
    check_own(map.clone(), nodes, terms)
}

/// As [`check`], and takes the map over instead of copying it.
pub fn check_own(map: Map, nodes: &[Node], terms: &Terms) -> Result<Proof, Vec<Fault>> {
    judged(map, Judge::new(nodes, terms).into())
}

pub(crate) fn judged(map: Map, judge: Arc<Judge>) -> Result<Proof, Vec<Fault>> {
    let mut faults = Vec::new();
    if map.hash != HASH {
        faults.push(Fault::UnknownHash { hash: map.hash.clone(), expected: HASH.to_string() });
    }
    let sum = Sum::of(&map.segments);
    let digest = sum.digest(map.epoch, &map.hash, map.segments.len());
    if digest != map.digest {
        faults.push(Fault::Digest { said: map.digest, is: digest.clone() });
    }
    let mut segments = map.segments;
    // Keys aside while sorting: looking them up in a million segments that stand anyhow costs more than the sorting.
    segments.sort_by_cached_key(|segment| (segment.keys.from, segment.keys.end(), segment.id));
    let segments: Vec<_> = segments.into_iter().map(Arc::new).collect();
    cover(&segments, &mut faults);
    ids(&segments, &mut faults);
    faults.extend(judge.all(&segments));
    if faults.is_empty() { Ok(Proof::new(map.epoch, digest, sum, segments, judge)) } else { Err(faults) }
}

fn spot(segments: &[Arc<Segment>], i: usize) -> Box<Spot> {
    let place = |i: usize| segments.get(i).map(|segment| Place::from(&**segment));
    let before = i.checked_sub(1).and_then(place);
    Box::new(Spot { at: Place::from(&*segments[i]), before, after: place(i + 1) })
}

/// One walk in the order of the keys. An overlap is named between a segment and the one before it that reaches
/// furthest: so each key that is covered more than once is in a named overlap, each segment that overlaps another is
/// named, and there are never more of them than segments.
fn cover(segments: &[Arc<Segment>], faults: &mut Vec<Fault>) {
    // Covered so far up to here, by this segment.
    let mut furthest: Option<Place> = None;
    for (i, segment) in segments.iter().enumerate() {
        let here = Place::from(&**segment);
        let from = u128::from(here.keys.from);
        if here.keys.end() < from {
            faults.push(Fault::InvertedRange { spot: spot(segments, i) });
            continue;
        }
        if here.keys.end() == from {
            faults.push(Fault::EmptyRange { spot: spot(segments, i) });
            continue;
        }
        match furthest {
            None if from > 0 => faults.push(Fault::GapAtStart { keys: Range::of(0, from), after: here }),
            Some(before) if before.keys.end() < from => {
                let keys = Range::of(before.keys.end(), from);
                faults.push(Fault::Gap { keys, before, after: here });
            }
            Some(first) => {
                if let Some(keys) = first.keys.shared(&here.keys) {
                    faults.push(Fault::Overlap { keys, first, second: here });
                }
            }
            None => {}
        }
        if furthest.is_none_or(|before| here.keys.end() > before.keys.end()) {
            furthest = Some(here);
        }
    }
    match furthest {
        // Empty and inverted ones leave the whole space to nobody.
        None => faults.push(Fault::NoSegments),
        Some(before) if before.keys.end() < END => {
            faults.push(Fault::GapAtEnd { keys: Range::of(before.keys.end(), END), before });
        }
        Some(_) => {}
    }
}

fn ids(segments: &[Arc<Segment>], faults: &mut Vec<Fault>) {
    let mut places: Vec<_> = segments.iter().map(|segment| Place::from(&**segment)).collect();
    // Stable, so that those of one id stay in the order of their keys.
    places.sort_by_key(|place| place.id);
    for pair in places.windows(2).filter(|pair| pair[0].id == pair[1].id) {
        faults.push(Fault::DoubledId { first: pair[0], second: pair[1] });
    }
}

impl Judge {
    pub fn new(nodes: &[Node], terms: &Terms) -> Self {
        let (least_holders, least_zones) = (terms.least_holders, terms.least_zones);
        let mut judge = Self { least_holders, least_zones, ..Self::default() };
        for node in nodes {
            if judge.nodes.insert(node.name.clone(), node.clone()).is_some() {
                judge.doubled.push(node.name.clone());
            }
        }
        judge
    }

    /// All segments of a map, in the order of their keys, and the list of nodes itself.
    pub fn all(&self, segments: &[Arc<Segment>]) -> Vec<Fault> {
        let doubled = self.doubled.iter().map(|node| Fault::DoubledNode { node: node.clone() });
        let mut faults = doubled.collect();
        for (i, segment) in segments.iter().enumerate() {
            self.segment(segment, || spot(segments, i), &mut faults);
        }
        faults
    }

    /// Its holders, owner and shares.
    pub fn segment(&self, segment: &Segment, spot: impl Fn() -> Box<Spot>, faults: &mut Vec<Fault>) {
        let mut filled: Vec<&str> = Vec::with_capacity(segment.holders.len());
        let mut zones: Vec<&str> = Vec::with_capacity(segment.holders.len());
        let mut names: Vec<&str> = Vec::with_capacity(segment.holders.len());
        let (mut sum, mut sound) = (0.0, true);
        for holder in &segment.holders {
            let node = || holder.node.clone();
            names.push(&holder.node);
            if holder.filled {
                filled.push(&holder.node);
            }
            match self.nodes.get(&holder.node) {
                Some(known) => {
                    if known.draining {
                        faults.push(Fault::DrainingHolder { node: node(), spot: spot() });
                    }
                    if known.partner != holder.partner {
                        let (said, is) = (holder.partner.clone(), known.partner.clone());
                        faults.push(Fault::WrongPartner { node: node(), said, is, spot: spot() });
                    }
                    if holder.filled {
                        zones.push(&known.zone);
                    }
                }
                None if self.nodes.is_empty() => {}
                None => faults.push(Fault::UnknownHolder { node: node(), spot: spot() }),
            }
            // Not a number is in no range.
            if (0.0..=1.0).contains(&holder.share) {
                sum += holder.share;
            } else {
                sound = false;
                faults.push(Fault::ShareOutOfRange { node: node(), share: holder.share, spot: spot() });
            }
        }
        if sound && (sum - 1.0).abs() > SHARES_OFF {
            faults.push(Fault::SharesDoNotAddUp { sum, spot: spot() });
        }
        names.sort_unstable();
        for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
            faults.push(Fault::DoubledHolder { node: pair[0].to_string(), spot: spot() });
        }
        // A holder that stands twice is one holder.
        filled.sort_unstable();
        filled.dedup();
        if filled.len() < self.least_holders {
            let (filled, least) = (filled.len(), self.least_holders);
            faults.push(Fault::TooFewHolders { filled, least, spot: spot() });
        }
        zones.sort_unstable();
        zones.dedup();
        if !self.nodes.is_empty() && zones.len() < self.least_zones {
            let (zones, least) = (zones.len(), self.least_zones);
            faults.push(Fault::TooFewZones { zones, least, spot: spot() });
        }
        let owner = || segment.owner.clone();
        if names.binary_search(&segment.owner.as_str()).is_err() {
            faults.push(Fault::OwnerNoHolder { owner: owner(), spot: spot() });
        } else if filled.binary_search(&segment.owner.as_str()).is_err() {
            faults.push(Fault::OwnerNotFilled { owner: owner(), spot: spot() });
        }
    }
}
