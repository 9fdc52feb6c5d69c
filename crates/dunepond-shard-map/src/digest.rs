//! The canonical form of a segment, and the digest of a map as the sum of its segments' hashes.
//!
//! Each segment is hashed by itself (BLAKE3, 256 bits) and the hashes are added modulo 2^256. The sum does not depend on the
//! order of the segments, and a change of k segments costs k subtractions and k additions of hashes.
//!
//! The digest detects accidental differences: two different maps have the same digest only if two sums of independent,
//! uniform 256-bit numbers collide. The hashes of two segments of a map cannot cancel each other out in the sum, since the
//! segments' ids and so their hashed forms differ.
//!
//! The digest is not collision-resistant against an attacker who constructs two maps with the same digest, since sums are
//! open to a generalized birthday attack with many segments. An attacker would gain nothing, because every broker verifies
//! a map for itself.

use crate::{Segment, ShardMap};

/// Name of the hash function that maps keys to the key space; the only one supported.
pub const KEY_HASH: &str = "xxh3-64";

/// Prefix of all data that is hashed for a digest, for domain separation from other hashed data. Changing it changes
/// every stored digest.
const DIGEST_DOMAIN: &[u8] = b"dunepond-map 1";

/// Returns the position of a key in the hashed key space.
pub fn key_position(key: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key)
}

/// A sum of segment hashes modulo 2^256, lowest word first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DigestSum([u64; 4]);

impl DigestSum {
    /// Adds the hash of a segment. `buffer` is scratch space that is reused between calls.
    pub fn add(&mut self, segment: &Segment, buffer: &mut Vec<u8>) {
        let mut carry = false;
        for (word, more) in self.0.iter_mut().zip(segment_hash(segment, buffer)) {
            let (sum, first) = word.overflowing_add(more);
            let (sum, second) = sum.overflowing_add(carry.into());
            (*word, carry) = (sum, first || second);
        }
    }

    /// Subtracts the hash of a segment that was added before. `buffer` is scratch space that is reused between calls.
    pub fn subtract(&mut self, segment: &Segment, buffer: &mut Vec<u8>) {
        let mut borrow = false;
        for (word, less) in self.0.iter_mut().zip(segment_hash(segment, buffer)) {
            let (difference, first) = word.overflowing_sub(less);
            let (difference, second) = difference.overflowing_sub(borrow.into());
            (*word, borrow) = (difference, first || second);
        }
    }

    /// Returns the sum of the hashes of all `segments`.
    pub fn of<'a>(segments: impl IntoIterator<Item = &'a Segment>) -> Self {
        let (mut sum, mut buffer) = (Self::default(), Vec::new());
        segments.into_iter().for_each(|segment| sum.add(segment, &mut buffer));
        sum
    }

    /// Returns the digest, in hexadecimal, of a map whose segment hashes add up to this sum.
    pub fn digest(&self, epoch: u64, hash: &str, segment_count: usize) -> String {
        let mut form = Vec::from(DIGEST_DOMAIN);
        form.extend(epoch.to_le_bytes());
        push_text(&mut form, hash);
        form.extend((segment_count as u64).to_le_bytes());
        self.0.iter().for_each(|word| form.extend(word.to_le_bytes()));
        blake3::hash(&form).to_hex().to_string()
    }
}

fn push_text(buffer: &mut Vec<u8>, text: &str) {
    buffer.extend((text.len() as u64).to_le_bytes());
    buffer.extend(text.as_bytes());
}

/// Returns the bits of a share for hashing. Negative zero is hashed as zero, since the two are equal. The map may not
/// be verified yet, so any value can occur.
fn share_bits(share: f64) -> u64 {
    if share == 0.0 { 0 } else { share.to_bits() }
}

/// Hashes all fields of a segment. Data of variable length is preceded by its length, and replicas are sorted by node, so that
/// their order does not matter. `buffer` is scratch space.
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
    /// Computes the digest of the map's content. The digest does not depend on the order of segments or on the field
    /// `digest`.
    pub fn compute_digest(&self) -> String {
        DigestSum::of(&self.segments).digest(self.epoch, &self.hash, self.segments.len())
    }

    /// Returns the map with its digest set to that of its content.
    pub fn with_digest(mut self) -> Self {
        self.digest = self.compute_digest();
        self
    }
}
