//! Starts, crashes, pauses and replacements of brokers, lost folders and clock jumps.

use dunepond_consensus::{ConsensusConfig, LeaseClient, Voter};
use rand::RngExt;

use super::Fleet;

impl Fleet {
    /// Starts a broker with the state in its folder.
    pub fn start(&mut self, n: usize) {
        let (clock, seed) = (self.clock(n), self.rng.random());
        let broker = &mut self.brokers[n];
        let config = ConsensusConfig { lease_seconds: self.lease_seconds, ..broker.config.clone() };
        (broker.last_clock, broker.clock_went_back, broker.hidden_clock_jump) = (clock, false, None);
        let persisted = Some(broker.persisted_leases.clone());
        broker.lease_client = Some(LeaseClient::new(config.clone(), persisted, clock, seed));
        if broker.is_voter {
            let stored = broker.stored_voter();
            broker.voter =
                Some(Voter::open(config, stored, clock, seed ^ 1).expect("a folder that the voter wrote"));
        }
    }

    /// Stops a broker at once, as a crash does. Its folder is kept.
    pub fn kill(&mut self, n: usize) {
        let broker = &mut self.brokers[n];
        (broker.voter, broker.lease_client) = (None, None);
        broker.paused_until = 0.0;
        broker.tears_next_record = false;
        // The broker's connections are closed, so messages that are in flight to it are lost.
        self.in_flight.retain(|message| message.to != n);
    }

    /// Empties the folder of a broker.
    pub fn wipe_folder(&mut self, n: usize) {
        self.brokers[n].wipe_folder();
    }

    /// Replaces a broker that does not vote, permanently, with another one that does not vote either and has a new name
    /// and an empty folder.
    pub fn replace(&mut self, n: usize, name: &str) {
        self.kill(n);
        let broker = &mut self.brokers[n];
        broker.wipe_folder();
        self.index_by_name.remove(&broker.name);
        (broker.name, broker.config.name) = (name.to_string(), name.to_string());
        self.index_by_name.insert(name.to_string(), n);
        // Messages that the replaced broker has sent are dropped, as nobody answers them.
        self.in_flight.retain(|message| message.from != n);
        self.start(n);
    }

    /// Pauses a broker for some seconds of true time. Messages that arrive for it are delivered when the pause ends.
    pub fn pause(&mut self, n: usize, seconds: f64) {
        self.brokers[n].paused_until = self.now + seconds;
    }

    /// Sets a broker's clock back by some seconds.
    pub fn set_clock_back(&mut self, n: usize, seconds: f64) {
        let broker = &mut self.brokers[n];
        broker.clock_offset -= seconds;
        broker.clock_went_back = true;
    }

    /// Whether a broker's clock was set back since the broker last ran, or was set back since its start in a way that
    /// the broker cannot detect.
    pub fn has_clock_gone_back(&self, n: usize) -> bool {
        let broker = &self.brokers[n];
        broker.clock_went_back || broker.hidden_clock_jump.is_some()
    }
}
