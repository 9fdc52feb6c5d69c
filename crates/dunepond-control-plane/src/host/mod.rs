//! The fleet's thread: it owns the voter, the member, the folder and the links, and hands the loop what it may act on.

mod counts;
mod debts;
mod fills;
mod leases;
mod limits;
mod moves;
mod propose;
mod sources;
mod warm;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, after, select};
use dunepond_consensus::{
    ActiveConfig, Command, ConsensusError, Effects, EntryOutcome, LeaseClient, Rejection, Voter,
};
use dunepond_membership::{Counters, Event, Peers, RefusalReason, RequestKind, Responder};
use tracing::{debug, error, info, warn};

use crate::clock::monotonic_seconds;
use crate::folder::Folder;
use crate::hand::{LoopRequest, Tally, add, audit_phase};
use crate::record::{AuditEvent, AuditPhase, Recorder};
use crate::why::{Offer, Why};
pub use counts::Counting;
#[cfg(test)]
pub(crate) use debts::Pledged;
pub use debts::{Debts, Promises};
pub use fills::{BY, Done, Fills, Lane};
pub use limits::Limiting;
pub use moves::{Moving, SETTLE};
pub use propose::Proposing;
pub use warm::{SlowStartPolicy, StartedNode};

/// Between two turns at most: so many in a lease, as leases and elections are counted by them, and seconds.
const TICKS: f64 = 40.0;
const TICK: (f64, f64) = (0.005, 0.025);
/// A folder that cannot be written is tried again after so long. Meanwhile the voter is silent: what it has not on the
/// disk it must not count on.
const AGAIN: f64 = 0.5;
/// A message between voters that takes longer is worth nothing any more.
const RAFT_WITHIN: f64 = 1.0;

/// What an ask of ours was for.
enum Asked {
    Raft,
    Told,
    Lease { voter: String },
    Propose { voter: String },
    Moves { voter: String },
    Counts,
    Debts,
}

/// Whether the process ends at the point named, in tests.
pub type CrashPoints = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// One who waits for our answer to his question.
struct Waiting {
    token: Responder,
    until: f64,
}

pub struct Host {
    pub(crate) name: String,
    pub(crate) lease: f64,
    pub(crate) voter: Option<Voter>,
    pub(crate) member: LeaseClient,
    pub(crate) folder: Folder,
    pub(crate) peers: Peers,
    pub(crate) events: Receiver<Event>,
    pub(crate) commands: Receiver<LoopRequest>,
    pub(crate) acting: Arc<ArcSwap<ActiveConfig>>,
    pub(crate) links: Arc<ArcSwap<Counters>>,
    pub(crate) tally: Arc<Tally>,
    pub(crate) recorder: Option<Recorder>,
    /// Tells the loop that what it may act on is another.
    pub(crate) wake: Box<dyn Fn() + Send>,
    pub(crate) proposing: Proposing,
    pub(crate) moving: Moving,
    pub(crate) counting: Counting,
    pub(crate) debts: Debts,
    /// Those of the proposed version, where this broker leads; and its own, of cold holders that fall to it.
    pub(crate) fills: Fills,
    pub(crate) warm: Fills,
    pub(crate) limiting: Option<Limiting>,
    pub(crate) filled: Receiver<Done>,
    /// Bytes a second that a warm node bears, as the file has it; how a cold one is spared, and which were started.
    pub(crate) rate: f64,
    pub(crate) warming: Option<SlowStartPolicy>,
    pub(crate) started: Arc<ArcSwap<Vec<StartedNode>>>,
    /// Brokers that the file names.
    pub(crate) known: Vec<String>,
    /// Stands in for the end of the process at the point named.
    pub(crate) dies: Option<CrashPoints>,
    pub(crate) state: HostState,
}

/// What is under way.
#[derive(Default)]
pub struct HostState {
    asks: HashMap<u64, Asked>,
    /// By broker and the number of its question.
    waiting: HashMap<(String, u64), Waiting>,
    ticked: f64,
    /// Who leads, as the log has it.
    leader: Option<String>,
    /// The folder failed: the voter is silent until then, and until it could be written whole.
    failed: Option<f64>,
    /// The versions (in force, proposed) that the folder has.
    kept: Option<dunepond_consensus::PersistedRevision>,
    /// The list of voters of which the log has said that the file differs from it.
    differs: Option<u64>,
    /// The last refusal that was told.
    refused: Option<Why>,
    /// What the record and the loop were last told.
    shown: Shown,
    dead: bool,
}

#[derive(Default)]
struct Shown {
    word: Option<AuditPhase>,
    numbers: Vec<u64>,
    in_force: u64,
    proposed: Option<(u64, String)>,
}

impl Host {
    pub fn run(mut self) {
        self.show(true);
        let tick = (self.lease / TICKS).clamp(TICK.0, TICK.1);
        loop {
            let wait =
                Duration::from_secs_f64((self.state.ticked + tick - monotonic_seconds()).clamp(0.0, tick));
            select! {
                recv(self.events) -> event => match event {
                    Ok(event) => self.heard(event),
                    Err(_) => return error!("fleet: the links have ended; this broker is cut off from now on"),
                },
                recv(self.commands) -> command => match command {
                    Ok(LoopRequest::Reread(path)) => self.proposing.reread(path),
                    Ok(LoopRequest::Moves(path)) => self.moving.reread(path),
                    Ok(LoopRequest::Stop) | Err(_) => break,
                },
                recv(self.filled) -> done => self.fill_ended(done.ok()),
                recv(after(wait)) -> _ => {}
            }
            // What waits, as far as the next turn is not due: each message may wait for the disk.
            while monotonic_seconds() < self.state.ticked + tick
                && let Ok(event) = self.events.try_recv()
            {
                self.heard(event);
            }
            if monotonic_seconds() >= self.state.ticked + tick {
                self.tick();
            }
            if self.state.dead {
                return self.peers.stop();
            }
        }
        self.counted();
        self.peers.stop();
    }

    fn tick(&mut self) {
        let now = monotonic_seconds();
        self.state.ticked = now;
        self.mend(now);
        if self.state.failed.is_none()
            && let Some(voter) = &mut self.voter
        {
            let orders = voter.tick(now);
            self.carry_out(orders);
        }
        self.member.set_overloaded(self.tally.pressed.load(Relaxed));
        self.report_needs(now);
        self.ask_for_lease();
        self.show(false);
        self.propose();
        self.debts_by_voter();
        self.move_on();
        self.plan_fills();
        self.plan_own();
        self.see_to_debts();
        self.plan_limits(now);
        self.count();
        // Dropped unanswered: whoever asked has asked anew.
        self.state.waiting.retain(|_, waiting| now < waiting.until);
    }

    /// After a failure of the folder all is written anew; only then does the voter speak again.
    fn mend(&mut self, now: f64) {
        if self.state.failed.is_some_and(|until| now >= until)
            && let Some(voter) = &self.voter
        {
            match self.folder.rewrite(voter.checkpoint().encode()) {
                Ok(()) => {
                    info!("fleet: the folder can be written again");
                    self.state.failed = None;
                }
                Err(e) => {
                    debug!("fleet: folder: {e}");
                    self.state.failed = Some(now + AGAIN);
                }
            }
        }
    }

    /// Does what the voter orders: first the disk, and only then what others hear.
    fn carry_out(&mut self, orders: Effects) {
        if !orders.write_batch.is_empty() {
            add(&self.tally.syncs);
            let mut saved = self.folder.save(&orders.write_batch.encode());
            if saved.is_ok()
                && self.folder.is_long()
                && let Some(voter) = &self.voter
            {
                saved = self.folder.rewrite(voter.checkpoint().encode());
            }
            if let Err(e) = saved {
                error!("fleet: folder: {e}; this voter is silent until it can be written: look at the disk");
                self.state.failed = Some(monotonic_seconds() + AGAIN);
                return;
            }
        }
        for line in orders.log_lines {
            info!("fleet: {line}");
        }
        for outcome in orders.outcomes {
            self.why(&outcome);
            match outcome.result {
                Ok(change) => debug!("fleet: entry {}: {change:?}", outcome.index),
                Err(why) => info!("fleet: entry {} is left out: {why} ({})", outcome.index, why.help()),
            }
        }
        for (to, bytes) in orders.messages {
            self.ask(&to, RequestKind::Raft, bytes, RAFT_WITHIN, Asked::Raft);
        }
        for (broker, told) in orders.replies {
            self.tell(broker, told);
        }
    }

    fn ask(&mut self, to: &str, kind: RequestKind, body: Vec<u8>, within: f64, what: Asked) -> bool {
        match self.peers.request(to, kind, body, within) {
            Ok(id) => {
                self.state.asks.insert(id, what);
                true
            }
            Err(e) => {
                debug!("fleet: {e}");
                false
            }
        }
    }

    fn heard(&mut self, event: Event) {
        match event {
            Event::Request { from, kind, body, responder: token } => self.asked(from, kind, &body, token),
            Event::Response { id, to, result: body } => {
                let Some(what) = self.state.asks.remove(&id) else { return };
                if let Err(e) = &body {
                    debug!("fleet: {e}");
                }
                match what {
                    Asked::Raft | Asked::Told | Asked::Debts => {}
                    Asked::Lease { voter } => self.lease_answered(&voter, body.ok()),
                    Asked::Propose { voter } => self.proposal_answered(&voter, body.ok()),
                    Asked::Moves { voter } => self.offer_answered(&voter, body.ok()),
                    Asked::Counts => {
                        if let Ok(body) = body {
                            self.heard_counts(&to, &body);
                        }
                    }
                }
            }
            Event::PeerUp(peer) => info!("fleet: {} is there, at {}", peer.name, peer.listen_address),
            Event::PeerSuspected(name) => info!("fleet: {name} gives no sign"),
            Event::PeerDown(name) => info!("fleet: {name} has gone"),
        }
    }

    fn asked(&mut self, from: String, kind: RequestKind, body: &[u8], token: Responder) {
        match kind {
            RequestKind::Raft => {
                self.peers.respond(token, Ok(Vec::new()));
                self.received(&from, body);
            }
            RequestKind::Lease => self.lease_asked(from, body, token),
            RequestKind::State => {
                self.peers.respond(token, Ok(Vec::new()));
                self.pushed(&from, body);
            }
            RequestKind::Propose => self.proposal_asked(&from, body, token),
            RequestKind::RebalancePlan => self.offer_asked(&from, body, token),
            RequestKind::TransferCounts => {
                self.heard_counts(&from, body);
                // What is told has to be kept first.
                let counts = self.counted().then(|| self.counting.word(&from).ok()).flatten();
                self.peers.respond(token, counts.ok_or(RefusalReason::Busy));
            }
            RequestKind::Fill => self.brought(&from, body, token),
            // The links answer these themselves.
            RequestKind::LivenessCheck => drop(token),
        }
    }

    fn received(&mut self, from: &str, bytes: &[u8]) {
        if self.state.failed.is_some() {
            return;
        }
        let Some(voter) = &mut self.voter else { return };
        match voter.receive(monotonic_seconds(), from, bytes) {
            Ok(orders) => self.carry_out(orders),
            Err(e @ ConsensusError::MalformedMessage(_)) => debug!("fleet: {e} ({})", e.help()),
            Err(e) => warn!("fleet: {e} ({})", e.help()),
        }
    }

    /// The process ends here, if a test says so.
    fn dies(&mut self, at: &str) -> bool {
        self.state.dead |= self.dies.as_ref().is_some_and(|dies| dies(at));
        self.state.dead
    }

    /// Puts an entry into the log, where this voter leads.
    fn enter(&mut self, entry: Command) -> Result<(), Rejection> {
        let by = self.name.clone();
        self.enter_for(&by, entry)
    }

    /// The same on the word of `by`.
    fn enter_for(&mut self, by: &str, entry: Command) -> Result<(), Rejection> {
        let silent = self.state.failed.is_some();
        let Some(voter) = self.voter.as_mut().filter(|_| !silent) else {
            return Err(Rejection::NotLeader(None));
        };
        let offer = Offer::of(&entry, by);
        match voter.propose(monotonic_seconds(), entry) {
            Ok(orders) => self.carry_out(orders),
            Err(why) => {
                self.why_not(&offer, &why);
                return Err(why);
            }
        }
        Ok(())
    }

    /// Says why, once each.
    fn why(&self, outcome: &EntryOutcome) {
        let Some(state) = self.voter.as_ref().map(Voter::state) else { return };
        let why = match &outcome.result {
            Ok(change) => Why::agreed(outcome.index, change, state),
            Err(why) => Some(Why::refused(&Offer::logged(outcome.index), why, state)),
        };
        why.iter().for_each(Why::tell);
    }

    /// What is offered again and again, and refused for the same reason, is told once.
    fn why_not(&mut self, offer: &Offer, why: &Rejection) {
        let routine = matches!(
            why,
            Rejection::NotLeader(_) | Rejection::AlreadySettled(_) | Rejection::FillNotNeeded { .. }
        );
        let Some(state) = self.voter.as_ref().map(Voter::state).filter(|_| !routine) else { return };
        let why = Why::refused(offer, why, state);
        if self.state.refused.as_ref() != Some(&why) {
            why.tell();
            self.state.refused = Some(why);
        }
    }

    /// Hands the loop what it may act on now, and notes what has changed in it. `leased`: with a new lease.
    fn show(&mut self, leased: bool) {
        let (acting, now) = (self.member.active_config(), monotonic_seconds());
        let (word, numbers) = audit_phase(&acting, now);
        let shown = &mut self.state.shown;
        let changed = shown.word != Some(word) || shown.numbers != numbers;
        if !leased && !changed {
            return;
        }
        let until = acting.lease_expires_at().max(0.0);
        let (from, to) = (numbers.first().copied().unwrap_or(0), numbers.last().copied().unwrap_or(0));
        let (in_force, proposed) = acting.versions();
        let mut acts = Vec::new();
        // A digest is as much work as its map is long: only where it is another version.
        if shown.in_force != acting.active_number()
            && let Some(version) = in_force
        {
            acts.push(AuditEvent::Confirmed { number: version.number, digest: version.digest() });
        }
        if shown.proposed.as_ref().map(|before| before.0) != acting.proposed_number() {
            // Given up, unless it is what is in force now or later.
            let before = shown.proposed.take();
            if let Some((number, digest)) = before.filter(|(number, _)| *number > acting.active_number()) {
                acts.push(AuditEvent::Withdrawn { number, digest });
            }
            shown.proposed = proposed.map(|version| (version.number, version.digest()));
            if let Some((number, digest)) = &shown.proposed {
                acts.push(AuditEvent::Proposed { number: *number, digest: digest.clone() });
            }
        }
        if changed {
            info!("fleet: {word:?} {numbers:?}, until {until:.3}");
        }
        (shown.word, shown.numbers, shown.in_force) = (Some(word), numbers, acting.active_number());
        self.acting.store(Arc::new(acting));
        if let Some(recorder) = &self.recorder {
            acts.into_iter().for_each(|act| recorder.wrote_at(now, act));
            recorder.wrote_at(now, AuditEvent::Phase { phase: word, from, to, until });
            if let Some(limiting) = &self.limiting {
                recorder.wrote_at(now, limiting.act(&self.acting.load(), until));
            }
        }
        if changed {
            (self.wake)();
        }
    }

    fn leased(&mut self) {
        self.tally.leases.fetch_add(1, Relaxed);
        // Before the loop acts on it: a restart has to know the strictest of what was heard.
        let versions = self.member.persisted_revision();
        if self.state.kept != Some(versions) {
            match self.folder.keep(&self.member.persisted_state()) {
                Ok(()) => self.state.kept = Some(versions),
                Err(e) => {
                    warn!("fleet: folder: {e}; a restart would not know the versions: look at the disk")
                }
            }
        }
        self.show(true);
        self.compare_voters();
    }

    /// Says once for each list that the file names other voters than those agreed.
    fn compare_voters(&mut self) {
        let voting = self.member.voters_number();
        if self.state.differs == Some(voting) {
            return;
        }
        self.state.differs = Some(voting);
        if let Some(voters) = self.member.voters_unlike_file() {
            let named = voters.iter().map(|voter| match &voter.address {
                Some(at) => format!("voter \"{}\" at=\"{at}\"", voter.name),
                None => format!("voter \"{}\"", voter.name),
            });
            let named: Vec<_> = named.collect();
            warn!(
                "fleet: the agreed voters (list {voting}) are not those of the file: they go before it; write into it: {}",
                named.join(", ")
            );
        }
    }
}
