//! Remembers the ids of requests that may have run and whose clients got no answer, so that they do not run again.
//!
//! A client that has left may send its request again, to the same broker, under the same id. The id then stays in use for as
//! long as a node may still run the first attempt. The number of ids is bounded: beyond the bound, new queries that must not
//! run twice are rejected, as their ids could not be remembered.

use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher, RandomState};

use crate::Idempotency;

/// Maximum number of ids that are remembered: about 2 MB.
const MAX_IDS: usize = 16_384;
/// Maximum number of ids up to which those of idempotent queries are remembered: the rest is left to those that must not run
/// twice.
const MAX_IDS_WITH_IDEMPOTENT: usize = MAX_IDS / 2;

/// The ids of requests that may have run and were not answered, each until it expires. Instants are in seconds.
#[derive(Default)]
pub struct AbandonedIds {
    hasher: RandomState,
    /// When each id expires, in microseconds, by the hash of the id.
    expiries: HashMap<u64, u64>,
    /// The same, in the order of expiry.
    by_expiry: BTreeSet<(u64, u64)>,
}

fn to_micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl AbandonedIds {
    /// Remembers an id until `expires_at`, if there is room for an id of a query with this idempotency.
    pub fn add(&mut self, now: f64, id: &str, idempotency: Idempotency, expires_at: f64) {
        self.remove_expired(now);
        let max_ids = match idempotency {
            Idempotency::Idempotent => MAX_IDS_WITH_IDEMPOTENT,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => MAX_IDS,
        };
        if self.expiries.len() >= max_ids {
            return;
        }
        let (hash, expiry) = (self.hasher.hash_one(id), to_micros(expires_at));
        if let Some(previous) = self.expiries.insert(hash, expiry) {
            self.by_expiry.remove(&(previous, hash));
        }
        self.by_expiry.insert((expiry, hash));
    }

    /// Whether an id is remembered.
    pub fn contains(&mut self, now: f64, id: &str) -> bool {
        self.remove_expired(now);
        self.expiries.contains_key(&self.hasher.hash_one(id))
    }

    /// Whether a query with this idempotency is admitted: if it must not run twice, its id can be remembered.
    pub fn admits(&mut self, now: f64, idempotency: Idempotency) -> bool {
        self.remove_expired(now);
        idempotency == Idempotency::Idempotent || self.expiries.len() < MAX_IDS
    }

    fn remove_expired(&mut self, now: f64) {
        while let Some((expiry, hash)) =
            self.by_expiry.first().copied().filter(|(at, _)| *at <= to_micros(now))
        {
            self.by_expiry.remove(&(expiry, hash));
            self.expiries.remove(&hash);
        }
    }
}
