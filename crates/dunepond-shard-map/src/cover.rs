//! Whether the parts of a scan have its keys exactly once under one map; only then is an answer whole.

use serde::{Deserialize, Serialize};

use crate::fault::{Fault, Place};
use crate::{END, Proof, Range};

/// What one part of a scan says that it has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Piece {
    pub segment: u64,
    /// Of the segment, or a stretch of it.
    pub keys: Range,
    /// Of the map that the node went by.
    pub epoch: u64,
}

impl From<&Piece> for Place {
    fn from(piece: &Piece) -> Self {
        Self { id: piece.segment, keys: piece.keys }
    }
}

/// Proves that `pieces` have the keys of `wanted`, each exactly once and no others, all under the epoch of `proof`.
/// Wanted ranges may meet or overlap: they are one set of keys. The fault named is of a single part first, in the order
/// in which parts stand, then the first one in the order of the keys.
pub fn covers(proof: &Proof, wanted: &[Range], pieces: &[Piece]) -> Result<(), Fault> {
    if let Some(keys) = wanted.iter().find(|keys| keys.is_empty()) {
        return Err(Fault::WantedEmpty { keys: *keys });
    }
    pieces.iter().try_for_each(|piece| alone(proof, piece))?;
    let mut pieces: Vec<_> = pieces.iter().map(Place::from).collect();
    pieces.sort_by_key(|piece| (piece.keys.from, piece.keys.end(), piece.id));
    if let Some(pair) = pieces.windows(2).find(|pair| pair[0].keys.shared(&pair[1].keys).is_some()) {
        let keys = pair[0].keys.shared(&pair[1].keys).unwrap_or(pair[1].keys);
        return Err(Fault::CoveredTwice { keys, first: pair[0], second: pair[1] });
    }
    // Two lists in order, each without overlaps: one walk along both.
    let mut left = pieces.into_iter().peekable();
    let mut before = None;
    let wanted = union(wanted);
    for (i, want) in wanted.iter().enumerate() {
        let mut at = u128::from(want.from);
        while at < want.end() {
            let after = left.peek().copied();
            let from = after.map_or(END, |piece| piece.keys.from.into()).min(want.end());
            if from > at {
                return Err(Fault::NotCovered { keys: Range::of(at, from), before, after });
            }
            let Some(piece) = left.next() else { break };
            if from < at {
                let keys = Range::of(from, at.min(piece.keys.end()));
                return Err(Fault::NotWanted { keys, at: piece });
            }
            if piece.keys.end() > want.end() {
                let next = wanted.get(i + 1).map_or(END, |next| next.from.into());
                let keys = Range::of(want.end(), piece.keys.end().min(next));
                return Err(Fault::NotWanted { keys, at: piece });
            }
            at = piece.keys.end();
            before = Some(piece);
        }
    }
    match left.next() {
        Some(piece) => Err(Fault::NotWanted { keys: piece.keys, at: piece }),
        None => Ok(()),
    }
}

/// A piece by itself: of this map, and of keys that its segment has.
fn alone(proof: &Proof, piece: &Piece) -> Result<(), Fault> {
    let at = Place::from(piece);
    if piece.epoch != proof.epoch() {
        return Err(Fault::OtherEpoch { at, epoch: piece.epoch, expected: proof.epoch() });
    }
    if piece.keys.is_empty() {
        return Err(Fault::PartEmpty { at });
    }
    let keys = proof.segment(piece.segment).map(|segment| segment.keys);
    if keys.and_then(|keys| keys.shared(&piece.keys)) != Some(piece.keys) {
        return Err(Fault::PartOutside { at, keys });
    }
    Ok(())
}

/// As a set of keys: in order, apart from each other.
fn union(ranges: &[Range]) -> Vec<Range> {
    let mut sorted = ranges.to_vec();
    sorted.sort_by_key(|range| range.from);
    let mut union: Vec<Range> = Vec::new();
    for range in sorted {
        match union.last_mut() {
            Some(last) if last.end() >= range.from.into() => {
                *last = Range::of(last.from.into(), last.end().max(range.end()));
            }
            _ => union.push(range),
        }
    }
    union
}
