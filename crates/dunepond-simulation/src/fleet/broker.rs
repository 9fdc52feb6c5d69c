//! A simulated broker: its voter and lease client, its folder and its clock.

use dunepond_consensus::{ConsensusConfig, LeaseClient, PersistedState, Rejection, StoredVoter, Voter};

/// Traffic of a broker with other brokers, and the processor time of its voter and lease client.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BrokerLoad {
    /// Messages sent to other brokers.
    pub messages_sent: u64,
    /// Messages received from other brokers.
    pub messages_received: u64,
    /// Bytes of the messages sent to other brokers, without the overhead of the connections.
    pub bytes_sent: u64,
    /// Bytes of the messages received from other brokers, without the overhead of the connections.
    pub bytes_received: u64,
    /// Processor time of the voter and lease client in nanoseconds; 0 unless the fleet has a
    /// [`crate::fleet::Fleet::cpu_clock`].
    pub cpu_nanoseconds: u64,
}

impl BrokerLoad {
    /// The increase of the load since the reading `earlier`.
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
    /// Name of the broker, unique in the fleet.
    pub name: String,
    /// Voter of the broker; `None` if the broker does not vote, or is down.
    pub voter: Option<Voter>,
    /// Lease client of the broker; `None` if the broker is down.
    pub lease_client: Option<LeaseClient>,
    /// Records of the voter that are synced to the broker's folder, oldest first.
    pub disk: Vec<Vec<u8>>,
    /// State of the lease client that is stored in the broker's folder.
    pub(crate) persisted_leases: PersistedState,
    /// Whether the broker votes when it runs.
    pub(crate) is_voter: bool,
    /// Rate of the broker's clock: seconds on it for each true second.
    pub clock_rate: f64,
    /// Reading of the broker's clock at true time 0.
    pub clock_offset: f64,
    /// True time, in seconds, until which the broker is paused; in the past if it is not paused.
    pub paused_until: f64,
    /// Reading of the broker's clock in its last turn, that is, when its voter and lease client last ran.
    pub(super) last_clock: f64,
    /// Whether the broker's clock was set back since its last turn, that is, since its voter and lease client last ran.
    pub(super) clock_went_back: bool,
    /// Reading of the broker's clock when the broker first ran after an undetectable clock jump; `None` if there was
    /// none. The jump is undetectable if the clock is set back during a pause by less than the length of the pause.
    /// Leases that were requested before this reading last longer than the configuration allows.
    pub hidden_clock_jump: Option<f64>,
    /// Whether the broker crashes during its next write to the folder, which leaves a torn record.
    pub tears_next_record: bool,
    /// Reasons why the lease client rejected replies to its lease requests. Only the first ones are recorded, up to a
    /// limit.
    pub rejections: Vec<Rejection>,
    /// Log lines of the broker's voter.
    pub log: Vec<String>,
    /// Traffic and processor time since the start of the fleet.
    pub load: BrokerLoad,
    /// Configuration in the broker's file. When the broker starts, [`crate::fleet::Fleet::lease_seconds`] replaces the
    /// length of a lease in it.
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

    /// Reading of the broker's clock at the true time `now`.
    pub fn clock(&self, now: f64) -> f64 {
        self.clock_offset + self.clock_rate * now
    }

    /// Reads the voter's state from the broker's folder.
    pub(super) fn stored_voter(&self) -> StoredVoter {
        let mut stored = StoredVoter::new();
        for record in &self.disk {
            stored.apply_record(record).expect("a record that the voter wrote");
        }
        stored
    }

    /// Empties the broker's folder.
    pub(super) fn wipe_folder(&mut self) {
        self.disk.clear();
        self.persisted_leases = PersistedState::default();
    }

    /// Records the reading of the broker's clock in the current turn. If the clock was set back but still reads later
    /// than in the last turn, the broker cannot detect that, and `hidden_clock_jump` is set.
    pub(super) fn observe_clock(&mut self, clock: f64) {
        if std::mem::take(&mut self.clock_went_back) && clock >= self.last_clock {
            self.hidden_clock_jump = Some(clock);
        }
        self.last_clock = clock;
    }
}
