//! Bytes that partners carried for each other: counted here; changes are sent to one peer about every second, and those of
//! peers are merged.

use std::sync::Arc;

use dunepond_membership::{PeerState, RequestKind};
use dunepond_settlement::{
    Balances, BrokerPartners, CarriedCounts, CountsMessage, CountsReplication, LocalCounts,
};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use tracing::{debug, warn};

use super::{ControlLoop, SentRequest};
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::handle::CarriedBytes;

/// Seconds between two peers that are asked for their counts, varied by a half.
const EXCHANGE_INTERVAL_SECONDS: f64 = 1.0;
const EXCHANGE_TIMEOUT_SECONDS: f64 = 1.0;

pub struct TrafficCounts {
    pub partners: Vec<String>,
    pub carried: Arc<CarriedBytes>,
    pub counts: LocalCounts,
    pub balances: Balances,
    pub sides: BrokerPartners,
    pub rng: Pcg64Mcg,
    replication: CountsReplication,
    next_exchange_at: f64,
}

impl TrafficCounts {
    pub fn new(
        partners: Vec<String>,
        carried: Arc<CarriedBytes>,
        counts: LocalCounts,
        balances: Balances,
        sides: BrokerPartners,
        mut rng: Pcg64Mcg,
    ) -> Self {
        // With the time: an old folder put back gives the same chance again.
        let replication = CountsReplication::new(rng.random::<u64>() ^ unix_seconds().to_bits());
        Self { partners, carried, counts, balances, sides, rng, replication, next_exchange_at: 0.0 }
    }

    /// For `to`; the counts have to be kept already.
    pub fn message_to(&mut self, to: &str) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&self.replication.message_for(to, self.counts.counts()))
    }

    /// Takes in what the loop has seen since; true if there was anything.
    fn collect(&mut self) -> bool {
        let seen = self.carried.take();
        for (carrier, owed_by, bytes) in &seen {
            if let (Some(carrier), Some(owed_by)) = (self.partners.get(*carrier), self.partners.get(*owed_by))
            {
                self.counts.record(carrier, owed_by, *bytes);
            }
        }
        !seen.is_empty()
    }
}

impl ControlLoop {
    pub(super) fn exchange_counts(&mut self) {
        let now = monotonic_seconds();
        if now < self.traffic.next_exchange_at {
            return;
        }
        self.link_counters.store(Arc::new(self.peers.counters()));
        self.traffic.next_exchange_at =
            now + EXCHANGE_INTERVAL_SECONDS * (0.5 + self.traffic.rng.random::<f64>());
        // Where nobody is named as a partner there is nothing to count.
        if self.traffic.partners.is_empty() || !self.save_traffic() {
            return;
        }
        let members = self.peers.members();
        let here: Vec<_> =
            members.iter().filter(|p| p.state == PeerState::Alive && p.name != self.name).collect();
        let Some(peer) = here.choose(&mut self.traffic.rng).map(|peer| peer.name.clone()) else { return };
        if let Ok(body) = self.traffic.message_to(&peer) {
            self.send_request(
                &peer,
                RequestKind::TransferCounts,
                body,
                EXCHANGE_TIMEOUT_SECONDS,
                SentRequest::Counts,
            );
        }
    }

    /// Takes in what was seen and keeps it; only what is kept is told to others. False if it could not be kept.
    pub(super) fn save_traffic(&mut self) -> bool {
        let counting = &mut self.traffic;
        counting.collect();
        counting.balances.update_counts(monotonic_seconds(), counting.counts.counts());
        match self.data.save_counts(&counting.counts) {
            Ok(()) => true,
            Err(e) => {
                debug!("fleet: folder: counts: {e}");
                false
            }
        }
    }

    pub(super) fn merge_counts(&mut self, from: &str, body: &[u8]) {
        // An older build sends the counts alone.
        let word = postcard::from_bytes::<CountsMessage>(body);
        let Ok(word) =
            word.or_else(|_| postcard::from_bytes::<CarriedCounts>(body).map(CountsMessage::counts_only))
        else {
            return debug!("fleet: counts of {from} cannot be read");
        };
        let counting = &mut self.traffic;
        match counting.counts.merge_from_peer(from, &word.counts, &counting.sides) {
            Ok(left_out) => {
                if left_out > 0 {
                    debug!("fleet: {left_out} rows that {from} told are not its to tell");
                }
                counting.replication.handle_message(from, &word, counting.counts.counts());
            }
            Err(e) => warn!("fleet: counts of {from}: {e} ({})", e.help()),
        }
    }
}
