//! Plain numbers that the host prints with its own: never decreasing, from the start of the process.

use crate::error::PeerError;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($(#[$said:meta])* $name:ident,)*) => {
        /// What was counted since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct Counters { $($(#[$said])* pub $name: u64,)* }

        #[derive(Default)]
        pub(crate) struct Tally { $(pub $name: AtomicU64,)* }

        impl Counters {
            /// Each by its name, for a line of a log.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }

        impl Tally {
            pub fn read(&self) -> Counters {
                Counters { $($name: self.$name.load(Relaxed),)* }
            }
        }
    };
}

counters! {
    datagrams_in,
    datagrams_out,
    /// Asks of ours that were taken, and how they ended.
    asks,
    answered,
    refused_by_peer,
    late,
    unreachable,
    broken,
    /// Asks that ended at once because the peer was left alone after failures.
    rested,
    /// Asks refused before they were taken: too many, too large.
    not_taken,
    /// Asks of others that the caller was given, and those it was not as there was no room.
    asked,
    asked_busy,
    /// Suspected members that were asked for a sign of life over a connection, and how many gave one; asks for ours that were answered.
    signs,
    signs_came,
    signs_given,
    connections_in,
    connections_refused,
    /// What was not believed, by why.
    garbled,
    other_version,
    claimed,
    bad_seal,
    stale,
    /// Messages without the pass of our present life, and messages that were heard before.
    unproven,
    old,
    not_us,
    flood,
    too_large,
    full,
    /// Refusals that we were sent over UDP: if this grows, our key, name or version is not that of the others.
    refused_us,
    /// Changes of the membership that the caller never saw one by one, as a later one of the same name overtook them.
    coalesced,
}

pub(crate) fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl Tally {
    /// Counts what was not believed of another.
    pub fn disbelieved(&self, fault: &PeerError) {
        match fault {
            PeerError::Garbled { .. } | PeerError::Membership { .. } => add(&self.garbled),
            PeerError::Version { .. } => add(&self.other_version),
            PeerError::Claimed { .. } => add(&self.claimed),
            PeerError::Seal { .. } => add(&self.bad_seal),
            PeerError::Stale { .. } => add(&self.stale),
            PeerError::Unproven { .. } => add(&self.unproven),
            PeerError::Old { .. } => add(&self.old),
            PeerError::NotUs { .. } => add(&self.not_us),
            PeerError::Flood { .. } => add(&self.flood),
            PeerError::TooLarge { .. } => add(&self.too_large),
            PeerError::Full { .. } => add(&self.full),
            PeerError::Refused { .. } => add(&self.refused_us),
            _ => {}
        }
    }

    /// Counts the end of an ask of ours.
    pub fn ended(&self, end: &Result<Vec<u8>, PeerError>) {
        add(match end {
            Ok(_) => &self.answered,
            Err(PeerError::Refused { .. }) => &self.refused_by_peer,
            Err(PeerError::Late { .. }) => &self.late,
            Err(PeerError::Unreachable { .. }) => &self.unreachable,
            Err(PeerError::Resting { .. }) => &self.rested,
            Err(PeerError::Broken { .. }) => &self.broken,
            Err(fault) => return self.disbelieved(fault),
        });
    }
}
