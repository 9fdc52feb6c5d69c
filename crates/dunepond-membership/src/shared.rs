//! State that callers share with the membership's thread.

use crate::counters::CounterCells;
use crate::identity::Peer;
use crate::options::Limits;
use arc_swap::ArcSwap;
use std::sync::atomic::AtomicUsize;

/// State that is shared between callers and the thread.
pub(crate) struct Shared {
    pub limits: Limits,
    pub counters: CounterCells,
    /// The members as they were last reported.
    pub members: ArcSwap<Vec<Peer>>,
    /// Number of own requests whose response the caller has not received.
    pub requests_in_flight: AtomicUsize,
    /// Size of those requests, in bytes.
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
