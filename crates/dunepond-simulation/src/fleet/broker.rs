//! One simulated broker: its cores, its folder and its clock.

use dunepond_consensus::{ConsensusConfig, LeaseClient, PersistedState, Rejection, StoredVoter, Voter};

/// What a broker exchanged with others, and the processor time of its cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BrokerLoad {
    /// Messages to other brokers.
    pub messages_sent: u64,
    /// Messages of other brokers.
    pub messages_received: u64,
    /// Bytes of the messages sent, without the links' own overhead.
    pub bytes_sent: u64,
    /// Bytes of the messages received.
    pub bytes_received: u64,
    /// Processor time, if the fleet has a [`crate::fleet::Fleet::cpu_clock`].
    pub cpu_nanoseconds: u64,
}

impl BrokerLoad {
    /// What was added since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            messages_sent: self.messages_sent - earlier.messages_sent,
            messages_received: self.messages_received - earlier.messages_received,
            bytes_sent: self.bytes_sent - earlier.bytes_sent,
            bytes_received: self.bytes_received - earlier.bytes_received,
            cpu_nanoseconds: self.cpu_nanoseconds - earlier.cpu_nanoseconds,
        }
    }
}

/// A broker of the fleet, running or not.
pub struct Broker {
    /// Unique in the fleet.
    pub name: String,
    /// None if it does not vote, or is down.
    pub voter: Option<Voter>,
    /// None if it is down.
    pub lease_client: Option<LeaseClient>,
    /// Records that are synced to its folder.
    pub disk: Vec<Vec<u8>>,
    pub(crate) persisted_leases: PersistedState,
    pub(crate) is_voter: bool,
    /// Seconds of its clock for each true second.
    pub clock_rate: f64,
    /// What its clock shows at true time zero.
    pub clock_offset: f64,
    /// True time until which it is paused.
    pub paused_until: f64,
    /// What its clock showed in its last turn.
    pub(super) last_clock: f64,
    /// Whether its clock was set back since.
    pub(super) clock_went_back: bool,
    /// Set if its clock was set back during a pause, by less than the pause: it cannot notice. Leases that were requested
    /// before this reading of its clock last longer than the configuration allows.
    pub hidden_clock_jump: Option<f64>,
    /// It crashes during its next write, and the record is torn.
    pub tears_next_record: bool,
    /// Replies that it rejected, up to a limit.
    pub rejections: Vec<Rejection>,
    /// Log lines of its voter.
    pub log: Vec<String>,
    /// Since the start of the fleet.
    pub load: BrokerLoad,
    /// Configuration, as its file says.
    pub config: ConsensusConfig,
}

impl Broker {
    pub(super) fn new(
        name: String,
        config: ConsensusConfig,
        is_voter: bool,
        clock_rate: f64,
        clock_offset: f64,
    ) -> Self {
        Self {
            is_voter,
            name,
            voter: None,
            lease_client: None,
            disk: Vec::new(),
            persisted_leases: PersistedState::default(),
            clock_rate,
            clock_offset,
            paused_until: 0.0,
            last_clock: f64::NEG_INFINITY,
            clock_went_back: false,
            hidden_clock_jump: None,
            tears_next_record: false,
            rejections: Vec::new(),
            log: Vec::new(),
            load: BrokerLoad::default(),
            config,
        }
    }

    /// What its clock shows at a true time.
    pub fn clock(&self, now: f64) -> f64 {
        self.clock_offset + self.clock_rate * now
    }

    /// Reads its folder.
    pub(super) fn stored_voter(&self) -> StoredVoter {
        let mut stored = StoredVoter::new();
        for record in &self.disk {
            stored.apply_record(record).expect("a record of its own");
        }
        stored
    }

    pub(super) fn wipe_folder(&mut self) {
        self.disk.clear();
        self.persisted_leases = PersistedState::default();
    }

    /// Notes its clock, and whether it can notice that it was set back.
    pub(super) fn observe_clock(&mut self, clock: f64) {
        if std::mem::take(&mut self.clock_went_back) && clock >= self.last_clock {
            self.hidden_clock_jump = Some(clock);
        }
        self.last_clock = clock;
    }
}
