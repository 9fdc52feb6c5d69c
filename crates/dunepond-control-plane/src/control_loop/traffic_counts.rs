//! Bytes that partners carried for each other: counted here, and exchanged with one peer about every second.

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

/// Mean seconds between two exchanges with a peer, varied by a half.
const EXCHANGE_INTERVAL_SECONDS: f64 = 1.0;
const EXCHANGE_TIMEOUT_SECONDS: f64 = 1.0;

/// This broker's counts, and the balances between partners that follow from all brokers' counts.
pub struct TrafficCounts {
    /// Names, in the order of the event loop's indexes.
    pub partners: Vec<String>,
    /// Filled by the event loop.
    pub carried: Arc<CarriedBytes>,
    /// What this broker has counted, and its peers' counts.
    pub counts: LocalCounts,
    /// Debts that follow from all counts and settlements.
    pub balances: Balances,
    /// Which partner each broker's counts speak for.
    pub broker_partners: BrokerPartners,
    pub rng: Pcg64Mcg,
    replication: CountsReplication,
    next_exchange_at: f64,
}

impl TrafficCounts {
    /// `partners` in the order of the event loop's indexes; `counts` and `balances` as stored.
    pub fn new(
        partners: Vec<String>,
        carried: Arc<CarriedBytes>,
        counts: LocalCounts,
        balances: Balances,
        broker_partners: BrokerPartners,
        mut rng: Pcg64Mcg,
    ) -> Self {
        // With the time, as a data directory that was put back would give the same seed again.
        let replication = CountsReplication::new(rng.random::<u64>() ^ unix_seconds().to_bits());
        Self { partners, carried, counts, balances, broker_partners, rng, replication, next_exchange_at: 0.0 }
    }

    /// The counts for a peer; they have to be stored already.
    pub fn message_to(&mut self, peer: &str) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&self.replication.message_for(peer, self.counts.counts()))
    }

    /// Adds what the event loop has counted since the last call.
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
    /// Sends this broker's counts to a random peer, if an exchange is due.
    pub(super) fn exchange_counts(&mut self) {
        let now = monotonic_seconds();
        if now < self.traffic.next_exchange_at {
            return;
        }
        self.link_counters.store(Arc::new(self.peers.counters()));
        let jitter = 0.5 + self.traffic.rng.random::<f64>();
        self.traffic.next_exchange_at = now + EXCHANGE_INTERVAL_SECONDS * jitter;
        // Without partners there is nothing to count.
        if self.traffic.partners.is_empty() || !self.save_traffic() {
            return;
        }
        let members = self.peers.members();
        let alive: Vec<_> =
            members.iter().filter(|p| p.state == PeerState::Alive && p.name != self.name).collect();
        let Some(peer) = alive.choose(&mut self.traffic.rng).map(|peer| peer.name.clone()) else { return };
        if let Ok(body) = self.traffic.message_to(&peer) {
            let (kind, timeout) = (RequestKind::TransferCounts, EXCHANGE_TIMEOUT_SECONDS);
            self.send_request(&peer, kind, body, timeout, SentRequest::Counts);
        }
    }

    /// Collects and stores the counts; only stored counts may be sent to others. False if they could not be stored.
    pub(super) fn save_traffic(&mut self) -> bool {
        let traffic = &mut self.traffic;
        traffic.collect();
        traffic.balances.update_counts(monotonic_seconds(), traffic.counts.counts());
        match self.data.save_counts(&traffic.counts) {
            Ok(()) => true,
            Err(e) => {
                debug!("fleet: folder: counts: {e}");
                false
            }
        }
    }

    /// Merges a peer's counts into this broker's.
    pub(super) fn merge_counts(&mut self, from: &str, body: &[u8]) {
        let Some(message) = decode_counts(body) else {
            return debug!("fleet: counts of {from} cannot be read");
        };
        let traffic = &mut self.traffic;
        match traffic.counts.merge_from_peer(from, &message.counts, &traffic.broker_partners) {
            Ok(left_out) => {
                if left_out > 0 {
                    debug!("fleet: {left_out} rows that {from} told are not its to tell");
                }
                traffic.replication.handle_message(from, &message, traffic.counts.counts());
            }
            Err(e) => warn!("fleet: counts of {from}: {e} ({})", e.help()),
        }
    }
}

/// An older build sends the counts without the acknowledgements of [`CountsMessage`].
fn decode_counts(body: &[u8]) -> Option<CountsMessage> {
    match postcard::from_bytes::<CountsMessage>(body) {
        Ok(message) => Some(message),
        Err(_) => postcard::from_bytes::<CarriedCounts>(body).map(CountsMessage::counts_only).ok(),
    }
}
