//! Counts of the bytes that partners carried for each other. Each broker exchanges its counts with one random peer
//! about every second.

use std::sync::Arc;

use dunepond_membership::{PeerState, RequestKind};
use dunepond_settlement::{
    Balances, BrokerPartners, CarriedCounts, CountsMessage, CountsReplication, LocalCounts,
};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use tracing::{debug, warn};

use super::ControlLoop;
use super::messages::SentRequest;
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::handle::CarriedBytes;

/// Mean time between two exchanges with a peer. Each interval differs from it by a random amount of up to half of it.
const EXCHANGE_INTERVAL_SECONDS: f64 = 1.0;
/// Timeout of an exchange with a peer.
const EXCHANGE_TIMEOUT_SECONDS: f64 = 1.0;

/// This broker's counts, and the balances between partners that follow from all brokers' counts.
pub struct TrafficCounts {
    /// Names of the partners, in the order of the indexes in `carried`.
    pub partners: Vec<String>,
    /// Counters that the event loop adds to.
    pub carried: Arc<CarriedBytes>,
    /// This broker's counts and those received from its peers.
    pub counts: LocalCounts,
    /// Debts between partners, computed from all counts and settlements.
    pub balances: Balances,
    /// The partner that each broker's counts are attributed to.
    pub broker_partners: BrokerPartners,
    pub rng: Pcg64Mcg,
    replication: CountsReplication,
    next_exchange_at: f64,
}

impl TrafficCounts {
    /// Creates the state from the stored `counts` and `balances`. `partners` are in the order of the indexes in
    /// `carried`.
    pub fn new(
        partners: Vec<String>,
        carried: Arc<CarriedBytes>,
        counts: LocalCounts,
        balances: Balances,
        broker_partners: BrokerPartners,
        mut rng: Pcg64Mcg,
    ) -> Self {
        // The Unix time is mixed in because a restored data directory can lead to the same seed again.
        let replication = CountsReplication::new(rng.random::<u64>() ^ unix_seconds().to_bits());
        Self { partners, carried, counts, balances, broker_partners, rng, replication, next_exchange_at: 0.0 }
    }

    /// The encoded message with the counts for a peer. The counts must have been stored before.
    pub fn message_to(&mut self, peer: &str) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&self.replication.message_for(peer, self.counts.counts()))
    }

    /// Adds to this broker's counts the bytes that the event loop has counted since the last call.
    fn collect(&mut self) {
        for carried in self.carried.drain() {
            let carrier = self.partners.get(carried.carrier);
            if let (Some(carrier), Some(owed_by)) = (carrier, self.partners.get(carried.owed_by)) {
                self.counts.record(carrier, owed_by, carried.bytes);
            }
        }
    }
}

impl ControlLoop {
    /// Sends this broker's counts to a random peer, if an exchange is due. Also publishes the counters of the links.
    pub(super) fn exchange_counts(&mut self) {
        let now = monotonic_seconds();
        if now < self.traffic.next_exchange_at {
            return;
        }
        self.link_counters.store(Arc::new(self.peers.counters()));
        let jitter = 0.5 + self.traffic.rng.random::<f64>();
        self.traffic.next_exchange_at = now + EXCHANGE_INTERVAL_SECONDS * jitter;
        // Without partners there are no counts to exchange.
        if self.traffic.partners.is_empty() || !self.save_traffic() {
            return;
        }
        let members = self.peers.members();
        let alive: Vec<_> =
            members.iter().filter(|peer| peer.state == PeerState::Alive && peer.name != self.name).collect();
        let Some(peer) = alive.choose(&mut self.traffic.rng).map(|peer| peer.name.clone()) else { return };
        if let Ok(body) = self.traffic.message_to(&peer) {
            let (kind, timeout) = (RequestKind::TransferCounts, EXCHANGE_TIMEOUT_SECONDS);
            self.send_request(&peer, kind, body, timeout, SentRequest::Counts);
        }
    }

    /// Collects and stores the counts. Returns false if they could not be stored; only stored counts may be sent to
    /// peers.
    pub(super) fn save_traffic(&mut self) -> bool {
        let traffic = &mut self.traffic;
        traffic.collect();
        traffic.balances.update_counts(monotonic_seconds(), traffic.counts.counts());
        match self.data.save_counts(&traffic.counts) {
            Ok(()) => true,
            Err(e) => {
                debug!("fleet: data directory: counts not stored: {e}");
                false
            }
        }
    }

    /// Merges a peer's counts into this broker's counts.
    pub(super) fn merge_counts(&mut self, from: &str, body: &[u8]) {
        let Some(message) = decode_counts(body) else {
            return debug!("fleet: counts from {from} cannot be decoded");
        };
        let traffic = &mut self.traffic;
        match traffic.counts.merge_from_peer(from, &message.counts, &traffic.broker_partners) {
            Ok(ignored_rows) => {
                if ignored_rows > 0 {
                    debug!(
                        "fleet: {ignored_rows} rows of the counts from {from} ignored: it may not report them"
                    );
                }
                traffic.replication.handle_message(from, &message, traffic.counts.counts());
            }
            Err(e) => warn!("fleet: counts from {from}: {e} ({})", e.help()),
        }
    }
}

/// Decodes a peer's counts. Older builds send them without the acknowledgements of [`CountsMessage`].
fn decode_counts(body: &[u8]) -> Option<CountsMessage> {
    match postcard::from_bytes::<CountsMessage>(body) {
        Ok(message) => Some(message),
        Err(_) => postcard::from_bytes::<CarriedCounts>(body).map(CountsMessage::counts_only).ok(),
    }
}
