//! How much the links take at once, by how many brokers there are.

use std::collections::BTreeSet;

use dunepond_membership::Bounds;

use crate::Told;

/// Bytes of one message between brokers.
const LONGEST_MESSAGE: usize = 16 << 20;
/// An ask that comes, and what comes back to one of ours.
const EVENTS_EACH: usize = 2;

/// Never under what the links have of themselves. Each broker may ask one leader over all its connections at the same
/// moment, so that many places are there for each that the file names; strangers share what is there anyway.
pub fn bounds(told: &Told) -> Bounds {
    let named = told.known.iter().map(|known| &known.0);
    let named = named.chain(told.partners.iter().flat_map(|partner| &partner.brokers));
    let brokers: BTreeSet<_> = named.chain(&told.terms.voters).collect();
    room_for(brokers.len())
}

fn room_for(brokers: usize) -> Bounds {
    let usual = Bounds::default();
    let places = brokers.saturating_mul(usual.connections);
    Bounds {
        body: LONGEST_MESSAGE,
        bytes_in: 4 * LONGEST_MESSAGE,
        bytes_out: 4 * LONGEST_MESSAGE,
        incoming: usual.incoming.max(places),
        asked: usual.asked.max(places),
        asks: usual.asks.max(places),
        events: usual.events.max(places.saturating_mul(EVENTS_EACH)),
        ..usual
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_broker_named_has_places_and_none_are_taken_away() {
        let (usual, few, many) = (Bounds::default(), room_for(5), room_for(300));
        assert_eq!((few.incoming, few.asked, few.asks), (usual.incoming, usual.asked, usual.asks));
        assert_eq!((few.events, few.members), (usual.events, usual.members));
        assert_eq!((many.incoming, many.asked, many.asks, many.events), (1200, 1200, 1200, 2400));
    }
}
