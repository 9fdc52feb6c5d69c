//! Adoption of the state in lease grants. The client validates the configuration versions in a grant and verifies their
//! shard maps itself, whichever voter sent the grant.

use std::collections::BTreeSet;

use dunepond_shard_map as maps;

use super::{
    ApplicableVersions, ConfigVersion, KnownVersion, LeaseClient, LeaseGrant, Rejection, VerifiedMap,
};
use crate::replicated_state::{ValidatedProposal, validate_proposal, with_completed_fills};
use crate::{ConsensusConfig, RolloutStep, SettlementUpdate};

impl LeaseClient {
    /// Adopts the state in a grant, or returns why the grant is invalid.
    pub(super) fn adopt(&mut self, grant: &LeaseGrant) -> Result<(), Rejection> {
        if let Some(part) = grant.required_parts.first() {
            return Err(Rejection::UnknownPart(part.clone()));
        }
        // `maps_enabled` is recorded even if the grant is rejected below, since from now on a version with a shard map
        // may become active, and without a lease this broker must not assume that there is none.
        self.snapshot.maps_enabled |= grant.maps_enabled;
        let active = grant.active.as_ref().map(|(number, digest)| self.find_version(grant, *number, digest));
        let active = active.transpose()?;
        let proposed = grant
            .proposed
            .as_ref()
            .map(|proposed| self.find_version(grant, proposed.number, &proposed.digest));
        let proposed = proposed.transpose()?;
        for known in active.iter().chain(&proposed) {
            known.version.check_known_keys(&self.known_keys)?;
        }
        let completed_fills: BTreeSet<(u64, String)> = grant.completed_fills.iter().cloned().collect();
        let unchanged = same_digest(&active, &self.active)
            && same_digest(&proposed, &self.proposed)
            && completed_fills == self.completed_fills;
        if !unchanged {
            self.adopt_verified_maps(active.as_ref(), proposed.as_ref(), &completed_fills)?;
        }
        (self.active, self.proposed, self.completed_fills) = (active, proposed, completed_fills);
        self.index = grant.index;
        (self.fleet_id, self.epoch) = (grant.fleet_id, grant.epoch);
        self.snapshot.allocation = grant.quota.clone();
        self.voters.set_committed(grant.voters.clone(), grant.voters_number);
        self.snapshot.applicable_versions = self.applicable_versions(grant);
        self.adopt_settlements(&grant.settlements);
        Ok(())
    }

    /// Finds the version with this number and the committed digest, among the known versions or in the grant.
    fn find_version(
        &self,
        grant: &LeaseGrant,
        number: u64,
        committed: &str,
    ) -> Result<KnownVersion, Rejection> {
        let mut known = self.active.iter().chain(&self.proposed);
        if let Some(known) = known.find(|known| known.version.number == number && known.digest == committed) {
            return Ok(known.clone());
        }
        let received = grant.documents.iter().find(|version| version.number == number);
        let received = KnownVersion::new(received.ok_or(Rejection::MissingDocument(number))?);
        if received.digest != committed {
            let (stated, actual) = (committed.to_string(), received.digest);
            return Err(Rejection::DigestMismatch { number, stated, actual });
        }
        Ok(received)
    }

    /// Verifies the shard maps of both versions, and adopts the verified maps and the transition between them.
    fn adopt_verified_maps(
        &mut self,
        active: Option<&KnownVersion>,
        proposed: Option<&KnownVersion>,
        completed_fills: &BTreeSet<(u64, String)>,
    ) -> Result<(), Rejection> {
        let active_map = self.verify_active_map(active, completed_fills)?;
        let validated = match proposed {
            Some(known) => Some(self.validate(active, active_map.as_ref(), &known.version)?),
            None => None,
        };
        self.snapshot.active_map = active_map;
        (self.snapshot.proposed_map, self.snapshot.transition) = match validated {
            Some(validated) => (validated.verified_map, validated.transition),
            None => (None, None),
        };
        Ok(())
    }

    /// Validates a proposed version under this broker's own configuration, except for the ratio of segments that may
    /// change, which only the voters limit.
    pub(super) fn validate(
        &self,
        active: Option<&KnownVersion>,
        active_map: Option<&VerifiedMap>,
        proposed: &ConfigVersion,
    ) -> Result<ValidatedProposal, Rejection> {
        let maps_enabled = self.snapshot.maps_enabled;
        let config = ConsensusConfig { max_changed_ratio: 1.0, maps_enabled, ..self.config.clone() };
        validate_proposal(active.map(|known| &*known.version), active_map, proposed, &config)
    }

    /// Verifies the shard map of the active version, and marks the replicas whose fills are complete; `None` if there
    /// is no map.
    pub(super) fn verify_active_map(
        &self,
        active: Option<&KnownVersion>,
        completed_fills: &BTreeSet<(u64, String)>,
    ) -> Result<Option<VerifiedMap>, Rejection> {
        let Some(KnownVersion { version, digest }) = active else { return Ok(None) };
        let Some(map) = &version.map else { return Ok(None) };
        version.check_rules()?;
        let is_known = self.active.as_ref().is_some_and(|known| known.digest == *digest);
        let active_map = match self.snapshot.active_map.as_ref().filter(|_| is_known) {
            Some(active_map) => active_map.clone(),
            None => maps::verify(map, &[], &self.config.map_requirements).map_err(Rejection::InvalidMap)?,
        };
        Ok(Some(with_completed_fills(&active_map, completed_fills)))
    }

    /// The version or versions on which this broker acts while the lease from this grant is valid.
    fn applicable_versions(&self, grant: &LeaseGrant) -> ApplicableVersions {
        let Some(proposed) = &grant.proposed else { return ApplicableVersions::Active };
        match proposed.step {
            RolloutStep::Staged(ratio) if is_in_first_stage(&self.config.name, proposed.number, ratio) => {
                ApplicableVersions::Proposed
            }
            RolloutStep::Joint | RolloutStep::Staged(_) | RolloutStep::RollingBack => {
                ApplicableVersions::Joint
            }
        }
    }

    /// Adopts entries of the settlement log. An update that does not begin with the first entry that this broker lacks
    /// is the reply to an earlier request, and is skipped unless it contains the complete ledger.
    fn adopt_settlements(&mut self, update: &SettlementUpdate) {
        let is_whole = update.ledger.is_some();
        if update.from != self.known_settlements && !is_whole {
            return;
        }
        self.known_settlements = update.from + update.entries.len() as u64;
        if is_whole || !update.entries.is_empty() {
            self.settlement_updates.push(update.clone());
        }
    }
}

fn same_digest(a: &Option<KnownVersion>, b: &Option<KnownVersion>) -> bool {
    a.as_ref().map(|known| &known.digest) == b.as_ref().map(|known| &known.digest)
}

/// Whether the broker acts only on configuration version `number` during that version's first stage. A hash of the
/// broker's name and the number selects the given ratio of the brokers, so the selection differs from version to
/// version.
fn is_in_first_stage(broker: &str, number: u64, ratio: f64) -> bool {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(broker.as_bytes(), number);
    (hash as f64) < ratio * u64::MAX as f64
}
