//! Publishing: the active configuration into the event loop's handle, the audit log and the data directory.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use dunepond_consensus::ActiveConfig;
use tracing::{info, warn};

use super::ControlLoop;
use crate::audit_log::{AuditEvent, AuditPhase};
use crate::clock::monotonic_seconds;
use crate::handle::audit_phase;

/// What was last published.
#[derive(Default)]
pub(super) struct Published {
    phase: Option<AuditPhase>,
    /// Numbers of the versions that applied in the phase.
    versions: Vec<u64>,
    /// Number of the version in force.
    in_force: u64,
    proposed: Option<ProposedVersion>,
}

struct ProposedVersion {
    number: u64,
    digest: String,
}

impl Published {
    /// Events for versions that were proposed, confirmed or withdrawn since the last call.
    fn version_events(&mut self, config: &ActiveConfig) -> Vec<AuditEvent> {
        let (in_force, proposed) = config.versions();
        let mut events = Vec::new();
        // The cost of a digest grows with the map, so it is computed only for another version.
        if self.in_force != config.active_number()
            && let Some(version) = in_force
        {
            events.push(AuditEvent::Confirmed { number: version.number, digest: version.digest() });
        }
        self.in_force = config.active_number();
        if self.proposed.as_ref().map(|last| last.number) == config.proposed_number() {
            return events;
        }
        // Withdrawn, unless this version or a later one is in force now.
        if let Some(ProposedVersion { number, digest }) = self.proposed.take()
            && number > config.active_number()
        {
            events.push(AuditEvent::Withdrawn { number, digest });
        }
        if let Some(version) = proposed {
            let (number, digest) = (version.number, version.digest());
            self.proposed = Some(ProposedVersion { number, digest: digest.clone() });
            events.push(AuditEvent::Proposed { number, digest });
        }
        events
    }
}

impl ControlLoop {
    /// Hands the event loop the active configuration and audits what has changed in it. `leased`: there is a new lease.
    pub(super) fn publish(&mut self, leased: bool) {
        let (config, now) = (self.lease_client.active_config(), monotonic_seconds());
        let (phase, versions) = audit_phase(&config, now);
        let published = &mut self.state.published;
        let changed = published.phase != Some(phase) || published.versions != versions;
        if !leased && !changed {
            return;
        }
        let lease_expires_at = config.lease_expires_at().max(0.0);
        if changed {
            info!("fleet: {phase} {versions:?}, until {lease_expires_at:.3}");
        }
        let mut events = published.version_events(&config);
        events.push(AuditEvent::Phase {
            phase,
            first_version: versions.first().copied().unwrap_or(0),
            last_version: versions.last().copied().unwrap_or(0),
            lease_expires_at,
        });
        if let Some(quotas) = &self.quotas {
            events.push(quotas.audit_event(&config, lease_expires_at));
        }
        published.phase = Some(phase);
        published.versions = versions;
        self.active_config.store(Arc::new(config));
        if let Some(audit_log) = &self.audit_log {
            events.into_iter().for_each(|event| audit_log.record_at(now, event));
        }
        if changed {
            (self.wake)();
        }
    }

    /// A lease was granted.
    pub(super) fn on_lease(&mut self) {
        self.counters.leases.fetch_add(1, Relaxed);
        // Stored before the event loop acts on it: after a restart the broker must know the strictest version it has heard of.
        let revision = self.lease_client.persisted_revision();
        if self.state.saved_config != Some(revision) {
            match self.data.save_config(&self.lease_client.persisted_state()) {
                Ok(()) => self.state.saved_config = Some(revision),
                Err(e) => {
                    warn!("fleet: folder: {e}; a restart would not know the versions: look at the disk")
                }
            }
        }
        self.publish(true);
        self.compare_voters();
    }

    /// Logs once for each list of voters that the operator's file names others.
    fn compare_voters(&mut self) {
        let number = self.lease_client.voters_number();
        if self.state.compared_voters.replace(number) == Some(number) {
            return;
        }
        let Some(voters) = self.lease_client.voters_differing_from_file() else { return };
        let mut lines = Vec::new();
        for voter in voters {
            lines.push(match &voter.address {
                Some(address) => format!("voter \"{}\" at=\"{address}\"", voter.name),
                None => format!("voter \"{}\"", voter.name),
            });
        }
        warn!(
            "fleet: the agreed voters (list {number}) are not those of the file: they go before it; write into it: {}",
            lines.join(", ")
        );
    }
}
