//! State that callers share with the membership's thread.

use crate::counters::CounterCells;
use crate::identity::Peer;
use crate::options::Limits;
use arc_swap::ArcSwap;
use std::sync::atomic::AtomicUsize;

/// State that callers and the membership's thread share.
pub(crate) struct Shared {
    pub limits: Limits,
    pub counters: CounterCells,
    /// All members, as of the last membership change.
    pub members: ArcSwap<Vec<Peer>>,
    /// Number of this broker's requests whose outcome has not been sent to the caller.
    pub requests_in_flight: AtomicUsize,
    /// Total size of the bodies of this broker's requests whose outcome has not been sent to the caller, in bytes.
    pub send_bytes_in_flight: AtomicUsize,
}

impl Shared {
    pub fn new(limits: &Limits) -> Shared {
        Shared {
            limits: limits.clone(),
            counters: CounterCells::default(),
            members: ArcSwap::default(),
            requests_in_flight: AtomicUsize::new(0),
            send_bytes_in_flight: AtomicUsize::new(0),
        }
    }
}
