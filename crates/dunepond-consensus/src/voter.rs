//! A broker that votes: orders entries with the others, applies them, answers questions.
//!
//! The library does the ordering; what is here is which messages are believed, what becomes of committed entries, and
//! that nothing is sent before what it rests on is in the folder. The other files of this folder: what the library has
//! ready (`log.rs`), who the voters are (`seats.rs`), questions for leases (`asks.rs`), what the leader sees to
//! (`chores.rs`).

mod asks;
mod back;
mod chores;
mod limits;
mod log;
mod seats;

use std::collections::{BTreeMap, BTreeSet};

use protobuf::Message as _;
use raft::eraftpb::{EntryType, Message, MessageType};
use raft::{RawNode, ReadOnlyOption, StateRole};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::docs::{self, Blob};
use crate::ledger::Ledger;
use crate::messages::Folder;
use crate::state::Item;
use crate::{
    Command, ConfigVersion, ConsensusConfig, ConsensusError, Effects, LeaseReply, LeaseRequest, Rejection,
    ReplicatedState, RolloutStep, StoredVoter, VoterInfo, VoterSlot, WriteBatch,
};
use asks::Asks;
pub use back::{RecoveryError, RecoveryOrder, WORD};
use chores::Watch;
use seats::Met;

/// Version byte of messages between voters.
const FORMAT: u8 = 2;
/// Ticks of the library in a lease; its times in ticks. A round trip between voters has to be well under an election.
const TICKS: f64 = 40.0;
const ELECTION: usize = 10;
const HEARTBEAT: usize = 2;
/// After a stand-still no more ticks than this are made up for: enough for a leader to see that it heard nobody.
const MADE_UP: usize = 2 * ELECTION;
/// Bytes: of entries in a message, and of what is proposed and not agreed on.
const MESSAGE: u64 = 1 << 20;
const UNCOMMITTED: u64 = 64 << 20;
const IN_FLIGHT: usize = 64;
/// Voters of other lists that are greeted at once.
const STRANGERS: usize = 16;

/// Between voters.
#[derive(Debug, Serialize, Deserialize)]
struct Parcel {
    from: String,
    seat: VoterSlot,
    /// The fleet whose state the sender holds, if any, and its epoch.
    fleet: u64,
    epoch: u64,
    seated: bool,
    /// The addressee's folder; 0 if not known yet.
    to: u64,
    body: Body,
}

#[derive(Debug, Serialize, Deserialize)]
enum Body {
    /// Here I am; `blank`: with an empty folder.
    Hello {
        blank: bool,
        knows: Vec<String>,
    },
    /// So am I, and this is what I last saw of your folder, if it is later; and which one is agreed on at `index`.
    Heard {
        blank: bool,
        seen: Option<VoterSlot>,
        agreed: Option<VoterSlot>,
        /// The addressee votes, or shall.
        wanted: bool,
        /// Who votes.
        voters: Vec<VoterInfo>,
        index: u64,
        /// Keys of versions that its program goes by.
        knows: Vec<String>,
    },
    Raft(Blob),
    Ask(LeaseRequest),
    Told {
        broker: String,
        told: LeaseReply,
    },
}

pub struct Voter {
    terms: ConsensusConfig,
    folder: Folder,
    chance: Pcg64Mcg,
    raw: RawNode<Ledger>,
    state: ReplicatedState,
    /// It has a state: it founded the fleet or got a snapshot.
    has_state: bool,
    /// A majority has said that this folder is not an old one.
    cleared: bool,
    heard: Vec<String>,
    /// It cannot follow the others any more, see [`Voter::mutes`].
    mute: bool,
    /// Others have said that it votes no more, see [`Voter::is_out`].
    dismissed: bool,
    /// Since when it leads a fleet that was brought back and is quiet.
    quiet_since: Option<f64>,
    /// Place before the entries that it last did not vote for.
    withheld: u64,
    /// Who votes in its place, as others said.
    successors: Vec<VoterInfo>,
    /// Voters that are none by what is known here: they hear of this one with the next greeting.
    strangers: BTreeSet<String>,
    met: BTreeMap<String, Met>,
    /// Keys of versions, later than format 1, that this program goes by.
    knows: Vec<String>,
    asks: Asks,
    watch: Watch,
    last: f64,
    /// Part of a tick that has gone by.
    owed: f64,
    hello_at: f64,
    /// Snapshots under way: to whom, since when.
    snapshots: BTreeMap<u64, f64>,
    orders: Effects,
}

impl Voter {
    /// With what its folder holds; nothing: an empty folder. `now`, own steady clock; `seed`, another one at each start
    /// and broker.
    pub fn open(
        terms: ConsensusConfig,
        saved: StoredVoter,
        now: f64,
        seed: u64,
    ) -> Result<Self, ConsensusError> {
        terms.check()?;
        if !terms.voters.contains(&terms.name) {
            return Err(ConsensusError::NotAVoter(terms.name.clone()));
        }
        if let Some(folder) = &saved.folder
            && folder.name != terms.name
        {
            return Err(ConsensusError::ForeignFolder { is: folder.name.clone(), name: terms.name.clone() });
        }
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut folder = saved.folder.clone().unwrap_or_else(|| fresh(&terms.name, &mut chance));
        (folder.starts, folder.run) = (folder.starts + 1, chance.random());
        let ledger = Ledger::open(&saved)?;
        let (index, data) = ledger.start();
        let seated = index > 0;
        let state = match seated {
            true => {
                ReplicatedState::of(data).ok_or(ConsensusError::CorruptRecord("the state of a snapshot"))?
            }
            false => ReplicatedState::new(terms.clone(), BTreeMap::new()),
        };
        let raw = node(folder.id, index, ledger);
        let mut voter = Self {
            cleared: !seated || terms.voters.len() == 1,
            folder,
            raw,
            state,
            has_state: seated,
            heard: Vec::new(),
            mute: false,
            dismissed: false,
            quiet_since: None,
            withheld: u64::MAX,
            successors: Vec::new(),
            strangers: BTreeSet::new(),
            met: BTreeMap::new(),
            knows: docs::knows(),
            asks: Asks::default(),
            watch: Watch::new(now),
            last: now,
            owed: 0.0,
            hello_at: now,
            snapshots: BTreeMap::new(),
            orders: Effects::default(),
            chance,
            terms,
        };
        voter.orders.write_batch.folder = Some(voter.folder.clone());
        // What is open by the snapshot is seen now.
        voter.watch.again(now, &voter.state);
        Ok(voter)
    }

    /// To be called some forty times a lease. The first orders hold what marks the start in the folder.
    pub fn tick(&mut self, now: f64) -> Effects {
        self.clock(now);
        self.greet(now);
        if self.cleared {
            let length = self.terms.lease_seconds / TICKS;
            let ticks = (self.owed / length).floor();
            self.owed -= ticks * length;
            for _ in 0..(ticks as usize).min(MADE_UP) {
                self.raw.tick();
                self.pin();
            }
            self.resend(now);
        }
        self.settle(now);
        self.chores(now);
        self.settle(now);
        self.hand_over()
    }

    /// Time that went by is owed to the library; a clock that goes back ends what this voter knows of waits.
    fn clock(&mut self, now: f64) {
        if now < self.last {
            self.orders.log_lines.push(format!("the steady clock went back from {} to {now}", self.last));
            self.watch.again(now, &self.state);
            self.asks.drop_all(&mut self.orders);
        }
        // A clock that jumps forward looks like a stand-still: neither is time that the others are known to have had.
        let still = now - self.last;
        if still > ELECTION as f64 * self.terms.lease_seconds / TICKS
            && self.raw.raft.state == StateRole::Leader
        {
            self.orders
                .log_lines
                .push(format!("stood still for {still:.2} s, or the clock jumped: waits begin anew"));
            self.watch.again(now, &self.state);
            self.quiet_since = None;
        }
        self.owed += (now - self.last).max(0.0);
        self.last = now;
    }

    /// What another voter's [`Effects::messages`] held for this one. `from` is who the link says it is.
    pub fn receive(&mut self, now: f64, from: &str, bytes: &[u8]) -> Result<Effects, ConsensusError> {
        self.clock(now);
        let garbled = || ConsensusError::MalformedMessage(from.to_string());
        let (&version, rest) = bytes.split_first().ok_or_else(garbled)?;
        if version != FORMAT {
            return Err(ConsensusError::NewerProtocol { from: from.to_string(), version, ours: FORMAT });
        }
        let parcel: Parcel = docs::read(rest).ok_or_else(garbled)?;
        if parcel.from != from {
            return Err(ConsensusError::SenderMismatch { from: from.to_string(), says: parcel.from });
        }
        self.fenced(&parcel)?;
        if !self.hears(&parcel) {
            // One that was a voter, from an old folder perhaps, has to hear of it; or it may be this one that was.
            if self.has_state && from != self.terms.name && matches!(parcel.body, Body::Hello { .. }) {
                self.tell_seats(&parcel, None);
                if self.strangers.len() < STRANGERS {
                    self.strangers.insert(from.to_string());
                }
            }
            return Err(ConsensusError::NotAVoter(from.to_string()));
        }
        if self.meets(&parcel) {
            match parcel.body {
                Body::Hello { .. } | Body::Heard { .. } => self.greeted(now, parcel),
                Body::Raft(Blob(bytes)) => {
                    let message = Message::parse_from_bytes(&bytes).map_err(|_| garbled())?;
                    self.step(&parcel.seat, message);
                }
                Body::Ask(ask) => self.ask(now, ask, Some(from.to_string())),
                Body::Told { broker, told } => self.orders.replies.push((broker, told)),
            }
        }
        self.settle(now);
        Ok(self.hand_over())
    }

    fn step(&mut self, seat: &VoterSlot, message: Message) {
        if !self.cleared || message.from != seat.folder_id || message.to != self.folder.id {
            return;
        }
        // The leader counts on entries of which this folder knows nothing: it is an old one, whatever was heard.
        let last = self.raw.raft.raft_log.last_index();
        if message.get_msg_type() == MessageType::MsgHeartbeat && message.commit > last {
            self.lose("the leader counts on more than it holds");
            return;
        }
        // Before it takes the place of what is in the folder.
        let snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
        if snapshot && ReplicatedState::of(message.get_snapshot().get_data()).is_none() {
            self.mutes("the leader's snapshot does not prove here");
            return;
        }
        // Its word would help to agree on what it cannot judge: whoever can may do so without it.
        if message.get_msg_type() == MessageType::MsgAppend
            && let Some(why) = self.unreadable(&message)
        {
            if self.withheld != message.index {
                self.withheld = message.index;
                self.orders.log_lines.push(format!("does not vote: {why} ({})", why.help()));
            }
            return;
        }
        // What this voter never had cannot have been taken from it.
        if message.get_msg_type() == MessageType::MsgAppendResponse && !message.reject && message.index > last
        {
            return;
        }
        // The rest that is refused is of an earlier term or of no voter any more; nothing to be done about it.
        let _ = self.raw.step(message);
    }

    fn unreadable(&self, message: &Message) -> Option<Rejection> {
        message.get_entries().iter().find_map(|entry| {
            let bytes: &[u8] = if entry.context.is_empty() { &entry.data } else { &entry.context };
            let conf = entry.context.is_empty() && entry.get_entry_type() != EntryType::EntryNormal;
            if conf || bytes.is_empty() { None } else { ReplicatedState::item(bytes, &self.knows).err() }
        })
    }

    /// A later program, for tests: it goes by these keys, too.
    #[doc(hidden)]
    pub fn add_known_keys(&mut self, keys: &[&str]) {
        self.knows.extend(keys.iter().map(|key| String::from(*key)));
    }

    /// All voters go by each key of the version that has to be known: else it would be agreed on without some of them.
    fn understood(&self, version: &ConfigVersion) -> Result<(), Rejection> {
        docs::understood(version, &self.knows)?;
        let others = self.state.voters.voters.iter().filter(|voter| voter.name != self.terms.name);
        for voter in others {
            let knows = self.met.get(&voter.name).map_or(&[][..], |met| &met.knows);
            if let Err(Rejection::UnknownKey { number, key }) = docs::understood(version, knows) {
                return Err(Rejection::UnknownKeyAtVoter { number, key, voter: voter.name.clone() });
            }
        }
        Ok(())
    }

    /// Offers an entry. `Ok` means that it stands in the leader's log; what became of it comes in [`Effects::outcomes`].
    pub fn propose(&mut self, now: f64, entry: Command) -> Result<Effects, Rejection> {
        self.clock(now);
        if !self.is_leader() {
            return Err(Rejection::NotLeader(self.leader().filter(|name| *name != self.terms.name)));
        }
        if self.state.leases_suspended {
            return Err(Rejection::LeasesSuspended);
        }
        if let Command::Activate { number } = &entry
            && !self.state.open.as_ref().is_some_and(|open| matches!(open.step, RolloutStep::Staged(_)))
        {
            return Err(Rejection::LeaderOnly(*number));
        }
        if let Command::Quota(dunepond_quota::QuotaEntry::Release { broker, .. }) = &entry {
            return Err(Rejection::Quota(dunepond_quota::QuotaError::LeaderOnly(broker.clone())));
        }
        let opens = match &entry {
            Command::Propose(version) => Some(version.number),
            _ => None,
        };
        if opens.is_some()
            && let Some(open) = self.watch.opening(self.state.index)
        {
            return Err(Rejection::ChangeOpen { open });
        }
        if let Command::Propose(version) = &entry {
            self.understood(version)?;
        }
        let item = Item::Entry(entry);
        self.state.check(&item)?;
        self.write(&item)?;
        if let Some(number) = opens {
            self.watch.opens(self.raw.raft.raft_log.last_index(), number);
        }
        self.settle(now);
        Ok(self.hand_over())
    }

    /// As [`Self::propose`], without any check: a faulty proposer, for tests.
    #[doc(hidden)]
    pub fn propose_unchecked(&mut self, now: f64, entry: Command) -> Result<Effects, Rejection> {
        self.clock(now);
        if !self.is_leader() {
            return Err(Rejection::NotLeader(self.leader()));
        }
        self.write(&Item::Entry(entry))?;
        self.settle(now);
        Ok(self.hand_over())
    }

    fn write(&mut self, item: &Item) -> Result<(), Rejection> {
        let bytes = docs::write(item);
        self.raw.propose(Vec::new(), bytes).map_err(|_| Rejection::Busy)
    }

    /// A broker's question; the answer comes in the orders, now or later, or from another voter by way of this one.
    pub fn handle_lease_request(&mut self, now: f64, from: &str, ask: LeaseRequest) -> Effects {
        self.clock(now);
        // Who is asked for is who asks: an answer goes to nobody else.
        if ask.broker == from && !ask.forwarded {
            self.ask(now, ask, None);
        }
        self.settle(now);
        self.hand_over()
    }

    /// What is agreed, as far as this voter has heard.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Brokers that have had a lease of this voter, and whether they said that their nodes are pressed.
    pub fn broker_overloads(&self) -> impl Iterator<Item = (&str, bool)> {
        self.asks.granted.iter().map(|((broker, _), granted)| (broker.as_str(), granted.pressed))
    }

    /// Leads, and has seen all that was agreed before.
    pub fn is_leader(&self) -> bool {
        self.cleared
            && !self.is_out()
            && self.raw.raft.state == StateRole::Leader
            && self.raw.raft.commit_to_current_term()
    }

    /// Who leads, as far as known.
    pub fn leader(&self) -> Option<String> {
        let id = self.raw.raft.leader_id;
        if id == self.folder.id { Some(self.terms.name.clone()) } else { self.name_of(id) }
    }

    /// Its folder holds a state: it founded the fleet or was brought up by others.
    pub fn has_state(&self) -> bool {
        self.has_state
    }

    /// All of the folder in one record, for a journal that starts anew, see [`WriteBatch::is_checkpoint`].
    pub fn checkpoint(&self) -> WriteBatch {
        WriteBatch { folder: Some(self.folder.clone()), ..self.raw.store().whole() }
    }
}

/// A folder that is begun now.
fn fresh(name: &str, chance: &mut Pcg64Mcg) -> Folder {
    let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), chance.random());
    Folder { name: name.to_string(), id: mixed.max(1), starts: 0, run: 0 }
}

fn node(id: u64, applied: u64, ledger: Ledger) -> RawNode<Ledger> {
    let told = raft::Config {
        id,
        election_tick: ELECTION,
        heartbeat_tick: HEARTBEAT,
        applied,
        max_size_per_msg: MESSAGE,
        max_inflight_msgs: IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        read_only_option: ReadOnlyOption::Safe,
        max_uncommitted_size: UNCOMMITTED,
        ..raft::Config::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    RawNode::new(&told, ledger, &logger).expect("the figures at the head go together")
}
