//! The client that requests leases from voters and turns the grants into an [`ActiveConfig`].

mod adoption;
mod clock_guard;
mod voter_selection;

use std::collections::BTreeSet;
use std::sync::Arc;

use dunepond_quota::DemandReport;
use dunepond_shard_map::VerifiedMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::active_config::{ApplicableVersions, ConfigSnapshot};
use crate::config_version::known_keys;
use crate::{
    ActiveConfig, ConfigVersion, ConsensusConfig, LeaseAnswer, LeaseGrant, LeaseReply, LeaseRequest,
    PersistedState, Rejection, SettlementUpdate, VoterInfo,
};
use clock_guard::{ClockGuard, ClockSample};
use voter_selection::VoterSelection;

/// Fraction of the lease duration, counted from when the lease was requested, after which the next lease is requested.
const RENEWAL_LEASE_RATIO: f64 = 1.0 / 3.0;
/// Shortest delay, as a fraction of the lease duration, between a request that failed or was not granted and the next
/// one, to another voter. The delay is multiplied by a random factor from 1 to 2. A request without a reply times out
/// after twice the resulting time.
const RETRY_LEASE_RATIO: f64 = 1.0 / 12.0;
/// Largest number of pending requests; if there are more, the oldest one is dropped, and a reply to it is rejected.
const MAX_PENDING_COUNT: usize = 8;

/// A revision that changes whenever the versions, voters or epoch in [`LeaseClient::persisted_state`] change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistedRevision {
    active: u64,
    proposed: Option<u64>,
    voters: u64,
    epoch: u64,
}

/// A lease request that was sent and is not answered yet.
struct PendingRequest {
    id: u64,
    /// When the request was sent, in seconds on this broker's clock.
    sent_at: f64,
    /// Name of the voter to which it was sent.
    voter: String,
}

/// A configuration version with its digest.
#[derive(Clone)]
struct KnownVersion {
    version: Arc<ConfigVersion>,
    digest: String,
}

impl KnownVersion {
    fn new(version: &Arc<ConfigVersion>) -> Self {
        Self { version: version.clone(), digest: version.digest() }
    }
}

/// A broker's client for leases: it requests them, validates the grants and keeps the resulting [`ActiveConfig`].
pub struct LeaseClient {
    config: ConsensusConfig,
    run_id: u64,
    rng: Pcg64Mcg,
    next_id: u64,
    /// Pending requests, the oldest one first.
    pending: Vec<PendingRequest>,
    next_request_at: f64,
    voters: VoterSelection,
    fleet_id: u64,
    epoch: u64,
    /// Keys of version extensions that this build implements.
    known_keys: Vec<String>,
    /// Log index of the state in the last adopted grant.
    index: u64,
    active: Option<KnownVersion>,
    proposed: Option<KnownVersion>,
    completed_fills: BTreeSet<(u64, String)>,
    known_settlements: u64,
    settlement_updates: Vec<SettlementUpdate>,
    demand: Option<DemandReport>,
    overloaded: bool,
    snapshot: ConfigSnapshot,
    active_config: ActiveConfig,
    clock: ClockGuard,
}

impl LeaseClient {
    /// Creates a client from the configuration and the state that [`Self::persisted_state`] returned before the
    /// restart, if any. `now` is the present reading of the broker's monotonic clock; `seed` has to differ at each
    /// process start.
    pub fn new(config: ConsensusConfig, persisted: Option<PersistedState>, now: f64, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let run_id = rng.random();
        let first = rng.random_range(0..config.voters.len().max(1));
        let snapshot = ConfigSnapshot::unleased(config.maps_enabled, config.lease_seconds);
        let mut client = Self {
            run_id,
            next_id: 1,
            pending: Vec::new(),
            next_request_at: now,
            voters: VoterSelection::new(&config, first),
            fleet_id: 0,
            epoch: 0,
            known_keys: known_keys(),
            index: 0,
            active: None,
            proposed: None,
            completed_fills: BTreeSet::new(),
            known_settlements: 0,
            settlement_updates: Vec::new(),
            demand: None,
            overloaded: false,
            active_config: snapshot.clone().into_active_config(),
            snapshot,
            clock: ClockGuard::new(now),
            rng,
            config,
        };
        client.restore(persisted.unwrap_or_default());
        client
    }

    /// Restores the persisted state; the client still has no lease. Versions that are invalid under the present
    /// consensus configuration are omitted.
    fn restore(&mut self, persisted: PersistedState) {
        self.voters.set_committed(persisted.voters, persisted.voters_number);
        (self.fleet_id, self.epoch) = (persisted.fleet_id, persisted.epoch);
        let (active, proposed): (Vec<_>, Vec<_>) =
            persisted.versions.iter().partition(|version| version.number == persisted.active_number);
        let active = active.first().map(|version| KnownVersion::new(version));
        self.snapshot.maps_enabled |= active.iter().any(|known| known.version.map.is_some());
        let completed_fills = persisted.completed_fills.into_iter().collect();
        let Ok(active_map) = self.verify_active_map(active.as_ref(), &completed_fills) else {
            return self.refresh();
        };
        (self.active, self.completed_fills, self.snapshot.active_map) = (active, completed_fills, active_map);
        if let Some(proposed) = proposed.first() {
            self.restore_proposed(proposed);
        }
        self.refresh();
    }

    fn restore_proposed(&mut self, proposed: &Arc<ConfigVersion>) {
        let active_map = self.snapshot.active_map.as_ref();
        let Ok(validated) = self.validate(self.active.as_ref(), active_map, proposed) else { return };
        self.proposed = Some(KnownVersion::new(proposed));
        self.snapshot.proposed_map = validated.verified_map;
        self.snapshot.transition = validated.transition;
        self.snapshot.applicable_versions = ApplicableVersions::Joint;
    }

    /// Sets whether this broker's nodes are overloaded; the next request reports it.
    pub fn set_overloaded(&mut self, overloaded: bool) {
        self.overloaded = overloaded;
    }

    /// Sets the demand for fleet-wide quotas, which each request reports; `None` if the configuration file declares no
    /// shared quota.
    pub fn set_demand_report(&mut self, demand: Option<DemandReport>) {
        self.demand = demand;
    }

    /// Returns the next lease request and the name of the voter to send it to, if a request is due. The caller has to
    /// call this method at least ten times per lease duration.
    pub fn tick(&mut self, now: f64) -> Option<(String, LeaseRequest)> {
        self.observe_clock(now);
        if now < self.next_request_at || self.config.voters.is_empty() {
            return None;
        }
        if let Some(last) = self.pending.last() {
            // The voter that was asked last has not replied in time. The next request goes to another voter, which
            // forwards it if it is not the leader.
            self.voters.mark_unresponsive(now, &last.voter);
        }
        let retry = RETRY_LEASE_RATIO * (1.0 + self.rng.random::<f64>());
        self.next_request_at = now + self.config.lease_seconds * 2.0 * retry;
        let request = self.next_request(now);
        let voter = self.voters.select(now);
        self.pending.push(PendingRequest { id: request.id, sent_at: now, voter: voter.clone() });
        if self.pending.len() > MAX_PENDING_COUNT {
            self.pending.remove(0);
        }
        Some((voter, request))
    }

    fn next_request(&mut self, now: f64) -> LeaseRequest {
        let id = self.next_id;
        self.next_id += 1;
        let known = self.active.iter().chain(&self.proposed);
        LeaseRequest {
            id,
            broker: self.config.name.clone(),
            sent_at: now,
            known_versions: known.map(|known| (known.version.number, known.digest.clone())).collect(),
            joint_version: self.joint_version(),
            run_id: self.run_id,
            known_settlements: self.known_settlements,
            demand: self.demand.clone().map(|report| self.with_acknowledged_shrink(report)),
            forwarded: false,
            overloaded: self.overloaded,
        }
    }

    /// Adds to a demand report the generation of the last shrink of this broker's quota shares that the broker has
    /// adopted.
    fn with_acknowledged_shrink(&self, report: DemandReport) -> DemandReport {
        let allocation = self.snapshot.allocation.as_ref();
        let shrunk_generation = allocation.map_or(0, |allocation| allocation.shrunk_generation);
        DemandReport { shrunk_generation, ..report }
    }

    /// Number of the proposed version that this broker has adopted, if any.
    fn joint_version(&self) -> Option<u64> {
        self.proposed.as_ref().map(|known| known.version.number)
    }

    /// Records that the request to `voter` could not be sent or failed, so that another voter is asked soon.
    pub fn request_failed(&mut self, now: f64, voter: &str) {
        self.observe_clock(now);
        self.voters.mark_unresponsive(now, voter);
        self.retry_soon(now);
    }

    fn retry_soon(&mut self, now: f64) {
        let lease = self.config.lease_seconds;
        let retry = RETRY_LEASE_RATIO * (1.0 + self.rng.random::<f64>());
        self.next_request_at = self.next_request_at.min(now + lease * retry);
        self.pending.retain(|request| now - request.sent_at < lease);
    }

    fn observe_clock(&mut self, now: f64) {
        if self.clock.observe(now) {
            self.end_lease();
        }
    }

    fn end_lease(&mut self) {
        self.snapshot.lease_until = f64::NEG_INFINITY;
        self.refresh();
    }

    /// Why leases are rejected because of a faulty clock: those of all leaders if this broker's clock went back, or
    /// those of one leader process if its clock and this broker's differ too much. `None` if leases of every leader are
    /// accepted. The host has to report the reason to an operator.
    pub fn distrust_reason(&self) -> Option<&Rejection> {
        self.clock.distrust_reason()
    }

    /// Handles a reply that arrived at `now`. If any part of the reply is invalid, the lease is not extended, and none
    /// of the versions in the reply is adopted.
    ///
    /// # Errors
    /// Why the reply was not adopted.
    pub fn handle_reply(&mut self, now: f64, _from: &str, reply: LeaseReply) -> Result<(), Rejection> {
        self.observe_clock(now);
        let is_for_us = reply.run_id == self.run_id;
        let position = self.pending.iter().position(|request| request.id == reply.id && is_for_us);
        let Some(position) = position else { return Err(Rejection::UnexpectedReply(reply.id)) };
        let grant = match reply.answer {
            LeaseAnswer::Granted(grant) => grant,
            LeaseAnswer::NoLeader => {
                self.drop_rejected(now, position);
                return Err(Rejection::NoLeader);
            }
            LeaseAnswer::NotAVoter(others) => {
                let voter = self.drop_rejected(now, position);
                self.voters.set_hints(others);
                return Err(Rejection::NotAVoter(voter));
            }
        };
        // Requests that were sent before this one are dropped, too: their leases would have started earlier.
        let Some(request) = self.pending.drain(..=position).next_back() else {
            return Err(Rejection::UnexpectedReply(reply.id));
        };
        self.check_grant(now, request.sent_at, &grant)?;
        let joint_before = self.joint_version();
        if let Err(reason) = self.adopt(&grant) {
            self.refresh();
            return Err(reason);
        }
        self.voters.granted(now, &grant.leader, request.voter);
        let became_joint = self.joint_version().is_some() && self.joint_version() != joint_before;
        self.next_request_at = if became_joint {
            // The next request is sent at once: it reports that this broker acts on the joint configuration, and the
            // leader waits for that report.
            now
        } else {
            request.sent_at + self.config.lease_seconds * RENEWAL_LEASE_RATIO
        };
        self.extend_lease(request.sent_at, grant.lease_seconds);
        Ok(())
    }

    /// Drops a request that was not granted, and returns the name of the voter to which it was sent.
    fn drop_rejected(&mut self, now: f64, position: usize) -> String {
        let voter = self.pending.remove(position).voter;
        self.voters.forget_leader();
        self.voters.mark_unresponsive(now, &voter);
        self.retry_soon(now);
        voter
    }

    /// Checks that a grant is from this fleet, that its state is not older than the adopted one, and that the clocks
    /// have not drifted too far.
    fn check_grant(&mut self, now: f64, sent_at: f64, grant: &LeaseGrant) -> Result<(), Rejection> {
        self.clock.check_trusted()?;
        if self.fleet_id != 0 && grant.fleet_id != 0 && grant.fleet_id != self.fleet_id {
            return Err(Rejection::OtherFleet);
        }
        if grant.epoch < self.epoch {
            return Err(Rejection::StaleEpoch { stated: grant.epoch, known: self.epoch });
        }
        if grant.index < self.index {
            return Err(Rejection::StaleReply { stated: grant.index, known: self.index });
        }
        let sample = ClockSample::new(grant, sent_at);
        let was_trusted = self.clock.trusts(&sample);
        let checked = self.clock.compare(now, sample, &self.config);
        if checked.is_err() && was_trusted {
            self.end_lease();
        }
        checked
    }

    /// Extends the lease. Its duration counts from when the request was sent. The leader counts from when the request
    /// arrived and adds the drift, so the lease ends before the leader considers it ended.
    fn extend_lease(&mut self, sent_at: f64, lease_seconds: f64) {
        let until = sent_at + lease_seconds.min(self.config.lease_seconds);
        if until > self.snapshot.lease_until {
            (self.snapshot.lease_from, self.snapshot.lease_until) = (sent_at, until);
        }
        self.snapshot.had_lease = true;
        self.refresh();
    }

    /// Makes a new `active_config` after a change of the versions, the lease or other parts of the snapshot.
    fn refresh(&mut self) {
        self.snapshot.active = self.active.as_ref().map(|known| known.version.clone());
        self.snapshot.proposed = self.proposed.as_ref().map(|known| known.version.clone());
        self.active_config = self.snapshot.clone().into_active_config();
    }

    /// The configuration that this broker may act on. The caller has to get it again after each call to
    /// [`Self::handle_reply`] or [`Self::tick`].
    pub fn active_config(&self) -> ActiveConfig {
        self.active_config.taken_at(self.clock.last())
    }

    /// The state that the host has to store in the folder, so that [`Self::new`] can restore it after a restart.
    pub fn persisted_state(&self) -> PersistedState {
        let known = self.active.iter().chain(&self.proposed);
        PersistedState {
            versions: known.map(|known| known.version.clone()).collect(),
            active_number: self.active.as_ref().map_or(0, |known| known.version.number),
            completed_fills: self.completed_fills.iter().cloned().collect(),
            voters: self.voters.committed().to_vec(),
            voters_number: self.voters.number(),
            fleet_id: self.fleet_id,
            epoch: self.epoch,
        }
    }

    /// The revision of [`Self::persisted_state`]; the host stores the state again when the revision changes.
    pub fn persisted_revision(&self) -> PersistedRevision {
        PersistedRevision {
            active: self.active_config.active_number(),
            proposed: self.active_config.proposed_number(),
            voters: self.voters.number(),
            epoch: self.epoch,
        }
    }

    /// Returns the updates of the settlement log that were adopted since the last call, in log order.
    pub fn take_settlement_updates(&mut self) -> Vec<SettlementUpdate> {
        std::mem::take(&mut self.settlement_updates)
    }

    /// Sets how many entries of the settlement log this broker already has, from before a restart or from another
    /// source.
    pub fn set_known_settlements(&mut self, count: u64) {
        self.known_settlements = count;
    }

    /// Names of the voters: those of the committed list, or those in this broker's configuration file while no
    /// committed list is known.
    pub fn voters(&self) -> Vec<String> {
        self.voters.names()
    }

    /// Number of the latest committed list of voters that this client knows; 0 if it knows none, or only the list with
    /// which the fleet was founded.
    pub fn voters_number(&self) -> u64 {
        self.voters.number()
    }

    /// The committed voters, if they differ from those in this broker's file; otherwise `None`.
    pub fn voters_differing_from_file(&self) -> Option<&[VoterInfo]> {
        self.voters.differing_from_file()
    }

    /// Name of the leader according to the last reply, if it was a grant.
    pub fn leader(&self) -> Option<&str> {
        self.voters.leader()
    }

    /// Random number drawn at the start of this broker's process, which distinguishes it from earlier processes of the
    /// same broker.
    pub fn run_id(&self) -> u64 {
        self.run_id
    }

    /// Lets this client act like a later build that also implements `keys`; for tests.
    #[doc(hidden)]
    pub fn add_known_keys(&mut self, keys: &[&str]) {
        self.known_keys.extend(keys.iter().map(ToString::to_string));
    }
}
