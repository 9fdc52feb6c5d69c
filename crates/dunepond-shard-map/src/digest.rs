//! The canonical form of a segment, and the digest of a map as a sum over its segments.
//!
//! Each segment is hashed by itself (BLAKE3, 256 bits) and the hashes are added modulo 2^256, so that a change of k
//! segments costs k hashes out and k in, whatever the order in which segments stand. Against accident this is sound:
//! two maps that differ have the same digest only if two sums of independent, evenly spread 256-bit numbers meet
//! (1 in 2^256), and no segment can cancel another, since ids differ and so do the hashed forms. Against somebody who
//! looks for two maps with one digest it is not: sums give way to a birthday search over many segments. Nobody gains by
//! that here, as whoever adopts a map proves it for itself.

use crate::{Map, Segment};

/// How keys come into the space; the only one so far.
pub const HASH: &str = "xxh3-64";

/// Named in the hashed forms, so that another form can never be taken for this one.
const FORM: &[u8] = b"dunepond-map 1";

/// Where a key lies in the hashed key space.
pub fn place(key: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key)
}

/// Hashes of segments added up modulo 2^256; the lowest word first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sum([u64; 4]);

impl Sum {
    pub fn add(&mut self, segment: &Segment, room: &mut Vec<u8>) {
        let mut carried = false;
        for (word, more) in self.0.iter_mut().zip(hashed(segment, room)) {
            let (sum, first) = word.overflowing_add(more);
            let (sum, second) = sum.overflowing_add(carried.into());
            (*word, carried) = (sum, first || second);
        }
    }

    pub fn take(&mut self, segment: &Segment, room: &mut Vec<u8>) {
        let mut borrowed = false;
        for (word, less) in self.0.iter_mut().zip(hashed(segment, room)) {
            let (rest, first) = word.overflowing_sub(less);
            let (rest, second) = rest.overflowing_sub(borrowed.into());
            (*word, borrowed) = (rest, first || second);
        }
    }

    pub fn of<'a>(segments: impl IntoIterator<Item = &'a Segment>) -> Self {
        let (mut sum, mut room) = (Self::default(), Vec::new());
        segments.into_iter().for_each(|segment| sum.add(segment, &mut room));
        sum
    }

    /// The digest of a map with these segments.
    pub fn digest(&self, epoch: u64, hash: &str, segments: usize) -> String {
        let mut whole = Vec::from(FORM);
        whole.extend(epoch.to_le_bytes());
        text(&mut whole, hash);
        whole.extend((segments as u64).to_le_bytes());
        self.0.iter().for_each(|word| whole.extend(word.to_le_bytes()));
        blake3::hash(&whole).to_hex().to_string()
    }
}

fn text(room: &mut Vec<u8>, text: &str) {
    room.extend((text.len() as u64).to_le_bytes());
    room.extend(text.as_bytes());
}

/// Every field, lengths before what varies, holders by name: the same segment has the same form however its holders
/// stand.
fn hashed(segment: &Segment, room: &mut Vec<u8>) -> [u64; 4] {
    room.clear();
    room.extend(FORM);
    room.extend(segment.id.to_le_bytes());
    room.extend(segment.keys.from.to_le_bytes());
    room.push(segment.keys.to.is_some().into());
    room.extend(segment.keys.to.unwrap_or(0).to_le_bytes());
    text(room, &segment.owner);
    let mut holders: Vec<_> = segment.holders.iter().collect();
    // Shares by their bits: a map that is digested may not be proved yet, and hold anything. A negative zero is a zero.
    let bits = |share: f64| if share == 0.0 { 0 } else { share.to_bits() };
    holders.sort_by_key(|h| (&h.node, &h.partner, h.filled, bits(h.share)));
    room.extend((holders.len() as u64).to_le_bytes());
    for holder in holders {
        text(room, &holder.node);
        text(room, &holder.partner);
        room.push(holder.filled.into());
        room.extend(bits(holder.share).to_le_bytes());
    }
    let hash = blake3::hash(room);
    let mut words = [0; 4];
    for (word, bytes) in words.iter_mut().zip(hash.as_bytes().as_chunks::<8>().0) {
        *word = u64::from_le_bytes(*bytes);
    }
    words
}

impl Map {
    /// What [`Map::digest`] has to say, whatever it says now and in whatever order the segments stand.
    pub fn digest_of(&self) -> String {
        Sum::of(&self.segments).digest(self.epoch, &self.hash, self.segments.len())
    }

    /// With its digest set.
    pub fn sealed(mut self) -> Self {
        self.digest = self.digest_of();
        self
    }
}
