//! Starts, crashes and pauses of brokers, lost folders and clocks that jump.

use dunepond_consensus::{ConsensusConfig, LeaseClient, Voter};
use rand::RngExt;

use super::Fleet;

impl Fleet {
    /// Starts a broker from its folder.
    pub fn start(&mut self, n: usize) {
        let (clock, seed) = (self.clock(n), self.rng.random());
        let broker = &mut self.brokers[n];
        let config = ConsensusConfig { lease_seconds: self.lease_seconds, ..broker.config.clone() };
        (broker.last_clock, broker.clock_went_back, broker.hidden_clock_jump) = (clock, false, None);
        let persisted = Some(broker.persisted_leases.clone());
        broker.lease_client = Some(LeaseClient::new(config.clone(), persisted, clock, seed));
        if broker.is_voter {
            let stored = broker.stored_voter();
            broker.voter = Some(Voter::open(config, stored, clock, seed ^ 1).expect("its own folder"));
        }
    }

    /// Stops a broker at once; its folder stays.
    pub fn kill(&mut self, n: usize) {
        let broker = &mut self.brokers[n];
        (broker.voter, broker.lease_client) = (None, None);
        broker.paused_until = 0.0;
        broker.tears_next_record = false;
        // Its connections are closed.
        self.in_flight.retain(|message| message.to != n);
    }

    /// Empties the folder of a broker.
    pub fn wipe_folder(&mut self, n: usize) {
        self.brokers[n].wipe_folder();
    }

    /// Another broker, which does not vote, permanently replaces this one.
    pub fn replace(&mut self, n: usize, name: &str) {
        self.kill(n);
        let broker = &mut self.brokers[n];
        broker.wipe_folder();
        self.index_by_name.remove(&broker.name);
        (broker.name, broker.config.name) = (name.to_string(), name.to_string());
        self.index_by_name.insert(name.to_string(), n);
        // Nobody answers what the replaced one sent.
        self.in_flight.retain(|message| message.from != n);
        self.start(n);
    }

    /// A broker does nothing for some seconds; what reaches it waits.
    pub fn pause(&mut self, n: usize, seconds: f64) {
        self.brokers[n].paused_until = self.now + seconds;
    }

    /// Sets the broker's clock back.
    pub fn set_clock_back(&mut self, n: usize, seconds: f64) {
        let broker = &mut self.brokers[n];
        broker.clock_offset -= seconds;
        broker.clock_went_back = true;
    }

    /// Whether the broker's clock went back since its start, noticed or not.
    pub fn has_clock_gone_back(&self, n: usize) -> bool {
        let broker = &self.brokers[n];
        broker.clock_went_back || broker.hidden_clock_jump.is_some()
    }
}
