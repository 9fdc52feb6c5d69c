//! The canonical form of a segment, and the digest of a map as a sum over its segments.
//!
//! Each segment is hashed by itself (BLAKE3, 256 bits) and the hashes are added modulo 2^256, so that a change of k segments costs k hashes
//! out and k in, whatever the order of the segments. Against accidents this is sound: two different maps have the same digest only if two
//! sums of independent, uniform 256-bit numbers collide, and no segment can cancel another, since ids differ and so do the hashed forms. It
//! is not collision-resistant against somebody who constructs two maps with one digest: sums give way to a birthday search over many
//! segments. Nothing is gained by that here, as every broker verifies a map for itself.

use crate::{Segment, ShardMap};

/// The hash of keys into the space; the only one so far.
pub const KEY_HASH: &str = "xxh3-64";

/// The domain of the hashed forms, so that no other form can be taken for this one. Part of the stored form.
const DIGEST_DOMAIN: &[u8] = b"dunepond-map 1";

/// Where a key lies in the hashed key space.
pub fn key_position(key: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key)
}

/// A sum of segment hashes modulo 2^256, lowest word first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DigestSum([u64; 4]);

impl DigestSum {
    /// Adds a segment. `buffer` is reused between calls.
    pub fn add(&mut self, segment: &Segment, buffer: &mut Vec<u8>) {
        let mut carry = false;
        for (word, more) in self.0.iter_mut().zip(segment_hash(segment, buffer)) {
            let (sum, first) = word.overflowing_add(more);
            let (sum, second) = sum.overflowing_add(carry.into());
            (*word, carry) = (sum, first || second);
        }
    }

    /// Subtracts a segment that was added.
    pub fn subtract(&mut self, segment: &Segment, buffer: &mut Vec<u8>) {
        let mut borrow = false;
        for (word, less) in self.0.iter_mut().zip(segment_hash(segment, buffer)) {
            let (difference, first) = word.overflowing_sub(less);
            let (difference, second) = difference.overflowing_sub(borrow.into());
            (*word, borrow) = (difference, first || second);
        }
    }

    pub fn of<'a>(segments: impl IntoIterator<Item = &'a Segment>) -> Self {
        let (mut sum, mut buffer) = (Self::default(), Vec::new());
        segments.into_iter().for_each(|segment| sum.add(segment, &mut buffer));
        sum
    }

    /// The digest of a map with these segments.
    pub fn digest(&self, epoch: u64, hash: &str, segments: usize) -> String {
        let mut form = Vec::from(DIGEST_DOMAIN);
        form.extend(epoch.to_le_bytes());
        push_text(&mut form, hash);
        form.extend((segments as u64).to_le_bytes());
        self.0.iter().for_each(|word| form.extend(word.to_le_bytes()));
        blake3::hash(&form).to_hex().to_string()
    }
}

fn push_text(buffer: &mut Vec<u8>, text: &str) {
    buffer.extend((text.len() as u64).to_le_bytes());
    buffer.extend(text.as_bytes());
}

/// The bits of a share. A map that is digested may not be verified yet and have any share; a negative zero counts as zero.
fn share_bits(share: f64) -> u64 {
    if share == 0.0 { 0 } else { share.to_bits() }
}

/// Hashes every field, lengths before what varies, replicas by name: the order of replicas does not matter.
fn segment_hash(segment: &Segment, buffer: &mut Vec<u8>) -> [u64; 4] {
    buffer.clear();
    buffer.extend(DIGEST_DOMAIN);
    buffer.extend(segment.id.to_le_bytes());
    buffer.extend(segment.keys.from.to_le_bytes());
    buffer.push(segment.keys.to.is_some().into());
    buffer.extend(segment.keys.to.unwrap_or(0).to_le_bytes());
    push_text(buffer, &segment.owner);
    let mut replicas: Vec<_> = segment.replicas.iter().collect();
    replicas
        .sort_by_key(|replica| (&replica.node, &replica.partner, replica.filled, share_bits(replica.share)));
    buffer.extend((replicas.len() as u64).to_le_bytes());
    for replica in replicas {
        push_text(buffer, &replica.node);
        push_text(buffer, &replica.partner);
        buffer.push(replica.filled.into());
        buffer.extend(share_bits(replica.share).to_le_bytes());
    }
    let hash = blake3::hash(buffer);
    let mut words = [0; 4];
    for (word, bytes) in words.iter_mut().zip(hash.as_bytes().as_chunks::<8>().0) {
        *word = u64::from_le_bytes(*bytes);
    }
    words
}

impl ShardMap {
    /// What `digest` must be, in whatever order the segments are and whatever it is now.
    pub fn compute_digest(&self) -> String {
        DigestSum::of(&self.segments).digest(self.epoch, &self.hash, self.segments.len())
    }

    /// The map with its digest set.
    pub fn with_digest(mut self) -> Self {
        self.digest = self.compute_digest();
        self
    }
}
