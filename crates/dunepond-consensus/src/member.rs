//! Asks voters for leases and makes of their answers what this broker may act on.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::acting::{Inner, Side};
use crate::docs;
use crate::state::{Ahead, judge, with_done};
use crate::{
    ActiveConfig, ConfigVersion, ConsensusConfig, LeaseAnswer, LeaseGrant, LeaseReply, LeaseRequest,
    PersistedState, Rejection, RolloutStep, SettlementUpdate, VoterInfo,
};
use dunepond_shard_map::{self as maps, VerifiedMap};

/// A lease is asked for anew after this part of it.
const AGAIN: f64 = 1.0 / 3.0;
/// After an answer that was none, or none at all, another voter is asked after this part of a lease, up to twice as long.
const HURRY: f64 = 1.0 / 12.0;
/// Leases for which a voter that did not answer is asked only if no other is left.
const AVOID: f64 = 10.0;
/// Questions whose answers are waited for at once.
const WAITING: usize = 8;
/// Voters that are remembered as one that votes no more named them.
const HINTS: usize = 16;
/// Leases between the two answers of one leader by which clocks are compared.
const COMPARE: f64 = 3.0;

pub struct LeaseClient {
    terms: ConsensusConfig,
    incarnation: u64,
    chance: Pcg64Mcg,
    next_id: u64,
    /// Questions under way: id, when sent, to whom.
    waiting: Vec<(u64, f64, String)>,
    ask_at: f64,
    /// Place in the file of the voter to ask if none is preferred, and the one that is: the leader, or who passes on to
    /// it; who leads as the last answer said; who did not answer, and when.
    turn: usize,
    /// Who votes, as agreed and by which word; nobody: as the file says.
    voters: Vec<VoterInfo>,
    voters_number: u64,
    /// Which fleet, and how often it was brought back.
    fleet: u64,
    epoch: u64,
    /// Keys of versions, later than format 1, that this program goes by.
    knows: Vec<String>,
    /// Whom one that votes no more named.
    hints: Vec<String>,
    prefers: Option<String>,
    leader: Option<String>,
    silent: BTreeMap<String, f64>,
    /// As adopted.
    index: u64,
    old: Option<(Arc<ConfigVersion>, String)>,
    new: Option<(Arc<ConfigVersion>, String)>,
    done: BTreeSet<(u64, String)>,
    /// Entries about debts that it has, and what has not been taken from here yet.
    debts: u64,
    debts_told: Vec<SettlementUpdate>,
    /// What it says of bounds that the fleet shares.
    demand_report: Option<dunepond_quota::DemandReport>,
    inner: Inner,
    active_config: ActiveConfig,
    /// One earlier answer of the same run of a leader: (name, run, its clock, own clock before and after).
    compared: Option<(String, u64, f64, f64, f64)>,
    last: f64,
    /// Told with each question.
    pressed: bool,
    /// Why no lease is taken any more: of nobody in this run, or of this run of a leader.
    distrust: Option<Rejection>,
    runs_off: Option<(String, u64, Rejection)>,
}

impl LeaseClient {
    /// `now`, own steady clock; `seed`, another one at each start of the process.
    pub fn new(terms: ConsensusConfig, kept: Option<PersistedState>, now: f64, seed: u64) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut member = Self {
            incarnation: chance.random(),
            next_id: 1,
            waiting: Vec::new(),
            ask_at: now,
            turn: chance.random_range(0..terms.voters.len().max(1)),
            voters: Vec::new(),
            voters_number: 0,
            fleet: 0,
            epoch: 0,
            knows: docs::knows(),
            hints: Vec::new(),
            prefers: None,
            leader: None,
            silent: BTreeMap::new(),
            index: 0,
            old: None,
            new: None,
            done: BTreeSet::new(),
            debts: 0,
            debts_told: Vec::new(),
            demand_report: None,
            inner: Inner::empty(terms.maps_enabled, terms.lease_seconds),
            active_config: Inner::empty(terms.maps_enabled, terms.lease_seconds).done(),
            compared: None,
            last: now,
            pressed: false,
            distrust: None,
            runs_off: None,
            chance,
            terms,
        };
        member.take_kept(kept.unwrap_or_default());
        member
    }

    /// What was known before the restart, without a lease; whatever does not prove any more is left out.
    fn take_kept(&mut self, kept: PersistedState) {
        (self.voters, self.voters_number) = (kept.voters, kept.voting);
        (self.fleet, self.epoch) = (kept.fleet, kept.epoch);
        let (old, new): (Vec<_>, Vec<_>) = kept.versions.into_iter().partition(|v| v.number == kept.in_force);
        let named = |version: &Arc<ConfigVersion>| (version.clone(), version.digest());
        let old = old.first().map(named);
        self.inner.maps |= old.iter().any(|(version, _)| version.map.is_some());
        let done = kept.done.into_iter().collect();
        let Ok(proof) = self.proved(&old, &done) else { return self.renew() };
        (self.old, self.done, self.inner.old_proof) = (old, done, proof);
        if let Some((new, ahead)) = new.first().and_then(|new| {
            Some((named(new), self.ahead(&self.old, self.inner.old_proof.as_ref(), new).ok()?))
        }) {
            (self.new, self.inner.new_proof, self.inner.moving) = (Some(new), ahead.proof, ahead.moving);
            self.inner.side = Side::Joint;
        }
        self.renew();
    }

    /// Whether this broker's nodes are pressed: told with the next question.
    pub fn set_overloaded(&mut self, pressed: bool) {
        self.pressed = pressed;
    }

    /// Whom to ask and what, when it is time. To be called at least ten times a lease.
    pub fn tick(&mut self, now: f64) -> Option<(String, LeaseRequest)> {
        self.watch(now);
        if now < self.ask_at || self.terms.voters.is_empty() {
            return None;
        }
        if let Some((_, _, voter)) = self.waiting.last() {
            // It has not answered in time: another voter, which passes it on.
            let voter = voter.clone();
            self.unanswered(now, &voter);
        }
        let hurry = HURRY * (1.0 + self.chance.random::<f64>());
        self.ask_at = now + self.terms.lease_seconds * 2.0 * hurry;
        let ask = LeaseRequest {
            id: self.next_id,
            broker: self.terms.name.clone(),
            sent_at: now,
            known_versions: self
                .old
                .iter()
                .chain(&self.new)
                .map(|(v, digest)| (v.number, digest.clone()))
                .collect(),
            joint_version: self.joint(),
            incarnation: self.incarnation,
            known_settlements: self.debts,
            demand: self.demand_report.clone().map(|report| {
                let shrunk = self.inner.limits.as_ref().map_or(0, |told| told.shrunk_generation);
                dunepond_quota::DemandReport { shrunk_generation: shrunk, ..report }
            }),
            forwarded: false,
            overloaded: self.pressed,
        };
        self.next_id += 1;
        let voter = self.voter(now);
        self.waiting.push((ask.id, now, voter.clone()));
        if self.waiting.len() > WAITING {
            self.waiting.remove(0);
        }
        Some((voter, ask))
    }

    /// What this broker says with its questions of the bounds that its file shares; nothing where it shares none.
    pub fn set_demand_report(&mut self, report: Option<dunepond_quota::DemandReport>) {
        self.demand_report = report;
    }

    fn joint(&self) -> Option<u64> {
        self.new.as_ref().map(|(version, _)| version.number)
    }

    fn voter(&self, now: f64) -> String {
        if let Some(voter) = &self.prefers {
            return voter.clone();
        }
        // Those of the file only where none of the agreed ones answers: they may have changed while this broker was away.
        let agreed: Vec<&String> = self.voters.iter().map(|voter| &voter.name).collect();
        let file = self.terms.voters.iter().chain(&self.hints);
        let file: Vec<&String> = file.filter(|name| !agreed.contains(name)).collect();
        let all: Vec<&String> = agreed.iter().chain(&file).copied().collect();
        let next = |voters: &[&String]| {
            let turns = (0..voters.len()).map(|n| voters[(self.turn + n) % voters.len()]);
            turns.into_iter().find(|voter| !self.is_silent(now, voter)).cloned()
        };
        next(&agreed).or_else(|| next(&file)).unwrap_or_else(|| all[self.turn % all.len()].clone())
    }

    /// Who votes: as agreed, or as the file says while nothing is known of that.
    pub fn voters(&self) -> Vec<String> {
        match self.voters.is_empty() {
            true => self.terms.voters.clone(),
            false => self.voters.iter().map(|voter| voter.name.clone()).collect(),
        }
    }

    /// The word of the operator's by which they vote.
    pub fn voters_number(&self) -> u64 {
        self.voters_number
    }

    /// The agreed voters, if this broker's file names others: to be told to an operator.
    pub fn voters_unlike_file(&self) -> Option<&[VoterInfo]> {
        let same = self.voters.len() == self.terms.voters.len()
            && self.voters.iter().all(|voter| self.terms.voters.contains(&voter.name));
        (!self.voters.is_empty() && !same).then_some(&self.voters)
    }

    /// Changes whenever [`Self::kept`] does.
    pub fn persisted_revision(&self) -> (u64, Option<u64>, u64, u64) {
        (
            self.active_config.active_number(),
            self.active_config.proposed_number(),
            self.voters_number,
            self.epoch,
        )
    }

    fn is_silent(&self, now: f64, voter: &str) -> bool {
        self.silent.get(voter).is_some_and(|at| now - at < AVOID * self.terms.lease_seconds)
    }

    fn unanswered(&mut self, now: f64, voter: &str) {
        self.silent.insert(voter.to_string(), now);
        if self.prefers.as_deref() == Some(voter) {
            self.prefers = None;
        }
        self.turn += 1;
    }

    /// The question to `voter` came to nothing.
    pub fn request_failed(&mut self, now: f64, voter: &str) {
        self.watch(now);
        self.unanswered(now, voter);
        self.hurry(now);
    }

    fn hurry(&mut self, now: f64) {
        let hurry = HURRY * (1.0 + self.chance.random::<f64>());
        self.ask_at = self.ask_at.min(now + self.terms.lease_seconds * hurry);
        self.waiting.retain(|(_, sent, _)| now - sent < self.terms.lease_seconds);
    }

    /// A clock that goes back ends all trust in it for this run.
    fn watch(&mut self, now: f64) {
        if now < self.last && self.distrust.is_none() {
            self.distrust = Some(Rejection::ClockWentBack { from: self.last, to: now });
            self.end_lease();
        }
        self.last = self.last.max(now);
    }

    fn end_lease(&mut self) {
        self.inner.until = f64::NEG_INFINITY;
        self.renew();
    }

    /// Why it takes no lease any more, if so: to be shown, and mended by a person.
    pub fn distrust_reason(&self) -> Option<&Rejection> {
        self.distrust.as_ref().or(self.runs_off.as_ref().map(|(_, _, why)| why))
    }

    /// Takes an answer that came from `from`; nothing of it is believed if any of it does not hold.
    pub fn handle_reply(&mut self, now: f64, _from: &str, told: LeaseReply) -> Result<(), Rejection> {
        self.watch(now);
        let asked =
            self.waiting.iter().position(|(id, ..)| *id == told.id && told.incarnation == self.incarnation);
        let Some(asked) = asked else { return Err(Rejection::UnexpectedReply(told.id)) };
        let (_, sent, through) = self.waiting[asked].clone();
        let granted = match told.answer {
            LeaseAnswer::Granted(granted) => granted,
            none => {
                let (_, _, voter) = self.waiting.remove(asked);
                self.leader = None;
                self.unanswered(now, &voter);
                self.hurry(now);
                let LeaseAnswer::NotAVoter(others) = none else { return Err(Rejection::NoLeader) };
                // Where to ask, no more: what is answered there has to hold by itself.
                self.hints = others.into_iter().map(|voter| voter.name).take(HINTS).collect();
                return Err(Rejection::NotAVoter(voter));
            }
        };
        self.waiting.drain(..=asked);
        if let Some(why) = &self.distrust {
            return Err(why.clone());
        }
        if self.fleet != 0 && granted.fleet_id != 0 && granted.fleet_id != self.fleet {
            return Err(Rejection::OtherFleet);
        }
        if granted.epoch < self.epoch {
            return Err(Rejection::StaleEpoch { said: granted.epoch, known: self.epoch });
        }
        if granted.index < self.index {
            return Err(Rejection::StaleReply { said: granted.index, known: self.index });
        }
        self.compare(now, sent, &granted)?;
        let joint = self.joint();
        if let Err(why) = self.adopt(&granted) {
            self.renew();
            return Err(why);
        }
        self.silent.remove(&through);
        self.leader = Some(granted.leader.clone());
        let straight = self.voters().contains(&granted.leader) && !self.is_silent(now, &granted.leader);
        self.prefers = Some(if straight { granted.leader.clone() } else { through });
        // The leader waits to hear that this broker is joint.
        let tells = self.joint().is_some() && self.joint() != joint;
        self.ask_at = if tells { now } else { sent + self.terms.lease_seconds * AGAIN };
        let until = sent + granted.lease_seconds.min(self.terms.lease_seconds);
        if until > self.inner.until {
            (self.inner.from, self.inner.until) = (sent, until);
        }
        self.inner.leased = true;
        self.renew();
        Ok(())
    }

    /// Two answers of one leader a while apart tell how far its clock and this one are from each other at least. Only
    /// what is dangerous is refused: this one slow (leases last too long) or the leader's fast (its wait is too short).
    /// Which of the two it is nobody can say here: another leader is believed until it differs, too.
    fn compare(&mut self, now: f64, sent: f64, granted: &LeaseGrant) -> Result<(), Rejection> {
        match &self.runs_off {
            Some((leader, run, why)) if *leader == granted.leader && *run == granted.leader_run => {
                return Err(why.clone());
            }
            _ => self.runs_off = None,
        }
        let new = (granted.leader.clone(), granted.leader_run, granted.received_at, sent, now);
        match &self.compared {
            Some((leader, run, heard, earlier, _))
                if *leader == granted.leader && *run == granted.leader_run =>
            {
                // From before the first question until after the last answer: longer than what the leader measured.
                let (here, there) = (now - earlier, granted.received_at - heard);
                if self.terms.with_drift(here) < there {
                    let why = Rejection::ClockDrift { here, there };
                    self.runs_off = Some((leader.clone(), *run, why.clone()));
                    self.end_lease();
                    return Err(why);
                }
                if here > COMPARE * self.terms.lease_seconds {
                    self.compared = Some(new);
                }
            }
            _ => self.compared = Some(new),
        }
        Ok(())
    }

    /// A later program, for tests: it goes by these keys of versions, too.
    #[doc(hidden)]
    pub fn add_known_keys(&mut self, keys: &[&str]) {
        self.knows.extend(keys.iter().map(|key| String::from(*key)));
    }

    fn adopt(&mut self, granted: &LeaseGrant) -> Result<(), Rejection> {
        if let Some(part) = granted.required_parts.first() {
            return Err(Rejection::UnknownPart(part.clone()));
        }
        // Heard is heard, whether or not the rest is taken.
        self.inner.maps |= granted.maps_enabled;
        let find = |number: u64, said: &str| -> Result<(Arc<ConfigVersion>, String), Rejection> {
            let had =
                self.old.iter().chain(&self.new).find(|(v, digest)| v.number == number && digest == said);
            if let Some(had) = had {
                return Ok(had.clone());
            }
            let came = granted.documents.iter().find(|version| version.number == number);
            let version = came.ok_or(Rejection::MissingDocument(number))?;
            let is = version.digest();
            if is != said {
                return Err(Rejection::DigestMismatch { number, said: said.to_string(), is });
            }
            Ok((version.clone(), is))
        };
        let old = granted.active.as_ref().map(|(number, digest)| find(*number, digest)).transpose()?;
        let new = granted.proposed.as_ref().map(|open| find(open.number, &open.digest)).transpose()?;
        for (version, _) in old.iter().chain(&new) {
            docs::understood(version, &self.knows)?;
        }
        let done: BTreeSet<(u64, String)> = granted.completed_fills.iter().cloned().collect();
        let same =
            |a: &Option<(Arc<ConfigVersion>, String)>, b: &Option<(Arc<ConfigVersion>, String)>| match (a, b)
            {
                (Some((_, a)), Some((_, b))) => a == b,
                (None, None) => true,
                _ => false,
            };
        if !(same(&old, &self.old) && same(&new, &self.new) && done == self.done) {
            let proof = self.proved(&old, &done)?;
            let ahead = match &new {
                Some((version, _)) => Some(self.ahead(&old, proof.as_ref(), version)?),
                None => None,
            };
            self.inner.old_proof = proof;
            (self.inner.new_proof, self.inner.moving) = match ahead {
                Some(ahead) => (ahead.proof, ahead.moving),
                None => (None, None),
            };
        }
        (self.old, self.new, self.done) = (old, new, done);
        self.index = granted.index;
        (self.fleet, self.epoch) = (granted.fleet_id, granted.epoch);
        self.inner.limits = granted.quota.clone();
        (self.voters, self.voters_number) = (granted.voters.clone(), granted.voters_number);
        self.inner.side = match granted.proposed.as_ref().map(|open| (open.number, open.step)) {
            None => Side::Old,
            Some((number, RolloutStep::Staged(share))) if goes_first(&self.terms.name, number, share) => {
                Side::New
            }
            Some(_) => Side::Joint,
        };
        let told = &granted.settlements;
        // An answer to a question from before the last one was taken has nothing new, or all of it.
        if told.from == self.debts || told.ledger.is_some() {
            self.debts = told.from + told.entries.len() as u64;
            if told.ledger.is_some() || !told.entries.is_empty() {
                self.debts_told.push(told.clone());
            }
        }
        Ok(())
    }

    /// Judged by its own terms, each broker for itself; how much may change at once is the voters' to say.
    fn ahead(
        &self,
        old: &Option<(Arc<ConfigVersion>, String)>,
        proof: Option<&VerifiedMap>,
        new: &ConfigVersion,
    ) -> Result<Ahead, Rejection> {
        let terms =
            ConsensusConfig { max_changed_ratio: 1.0, maps_enabled: self.inner.maps, ..self.terms.clone() };
        judge(old.as_ref().map(|(version, _)| &**version), proof, new, &terms)
    }

    fn proved(
        &self,
        old: &Option<(Arc<ConfigVersion>, String)>,
        done: &BTreeSet<(u64, String)>,
    ) -> Result<Option<VerifiedMap>, Rejection> {
        let Some((version, digest)) = old else { return Ok(None) };
        let Some(map) = &version.map else { return Ok(None) };
        crate::rules::check(version)?;
        let had = self.old.as_ref().filter(|(_, d)| d == digest).and(self.inner.old_proof.as_ref());
        let proof = match had {
            Some(proof) => proof.clone(),
            None => maps::verify(map, &[], &self.terms.map_requirements).map_err(Rejection::InvalidMap)?,
        };
        Ok(Some(with_done(&proof, done)))
    }

    fn renew(&mut self) {
        self.inner.old = self.old.as_ref().map(|(version, _)| version.clone());
        self.inner.new = self.new.as_ref().map(|(version, _)| version.clone());
        self.active_config = self.inner.clone().done();
    }

    /// What this broker may act on; to be taken anew after each [`Self::told`] and [`Self::tick`].
    pub fn active_config(&self) -> ActiveConfig {
        self.active_config.taken(self.last)
    }

    /// For the folder; changes only when versions or fills do.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState {
            versions: self.old.iter().chain(&self.new).map(|(version, _)| version.clone()).collect(),
            in_force: self.old.as_ref().map_or(0, |(version, _)| version.number),
            done: self.done.iter().cloned().collect(),
            voters: self.voters.clone(),
            voting: self.voters_number,
            fleet: self.fleet,
            epoch: self.epoch,
        }
    }

    /// What was agreed on about debts and has not been taken from here yet, in its order.
    pub fn take_settlement_updates(&mut self) -> Vec<SettlementUpdate> {
        std::mem::take(&mut self.debts_told)
    }

    /// So many entries about debts are known from before, or by another way.
    pub fn set_known_settlements(&mut self, count: u64) {
        self.debts = count;
    }

    /// Who led when it was last told.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

/// Whether a broker is of the share that acts on `number` first; another share each time.
pub(crate) fn goes_first(broker: &str, number: u64, share: f64) -> bool {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(broker.as_bytes(), number);
    (hash as f64) < share * u64::MAX as f64
}
