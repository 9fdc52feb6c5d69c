//! The ids of the requests to peers. Each sequence starts at a random number, so that a recorded response to an earlier
//! incarnation of this broker does not match a request of this one.

use crate::error::PeerError;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Number of bits by which the random first id is shifted right. Ids thus start in the lowest quarter of the range of
/// `u64`, so that they never wrap and leave [`LIVENESS_ID_BIT`] free.
const FIRST_ID_SHIFT: u32 = 2;
/// Bit that distinguishes the ids of liveness checks from those of the callers' requests.
const LIVENESS_ID_BIT: u64 = 1 << 63;

/// A sequence of request ids.
pub(crate) struct RequestIds {
    next: AtomicU64,
}

impl RequestIds {
    /// A sequence for the callers' requests.
    ///
    /// Fails if the operating system's source of randomness cannot be read.
    pub fn for_requests() -> Result<Self, PeerError> {
        Ok(Self { next: AtomicU64::new(random_first_id()?) })
    }

    /// A sequence for liveness checks.
    ///
    /// Fails if the operating system's source of randomness cannot be read.
    pub fn for_liveness_checks() -> Result<Self, PeerError> {
        Ok(Self { next: AtomicU64::new(random_first_id()? | LIVENESS_ID_BIT) })
    }

    /// Returns the next id.
    pub fn next(&self) -> u64 {
        self.next.fetch_add(1, Relaxed)
    }
}

fn random_first_id() -> Result<u64, PeerError> {
    let number = getrandom::u64().map_err(|error| PeerError::Thread { reason: error.to_string() })?;
    Ok(number >> FIRST_ID_SHIFT)
}

#[cfg(test)]
mod tests;
