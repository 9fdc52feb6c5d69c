//! Publishes the active configuration to the event loop's handle, the audit log and the data directory.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use dunepond_consensus::ActiveConfig;
use tracing::{info, warn};

use super::ControlLoop;
use crate::audit_log::{AuditEvent, AuditPhase};
use crate::clock::monotonic_seconds;
use crate::handle::audit_phase;

/// The state that was last published.
#[derive(Default)]
pub(super) struct Published {
    /// Phase of the configuration; `None` before the first publication.
    phase: Option<AuditPhase>,
    /// Numbers of the configuration versions that applied when `phase` was published.
    versions: Vec<u64>,
    /// Number of the active configuration version; 0 if there is none.
    active: u64,
    /// The proposed configuration version, if there is one.
    proposed: Option<ProposedVersion>,
}

/// Identifies a proposed configuration version.
struct ProposedVersion {
    number: u64,
    digest: String,
}

impl Published {
    /// Audit events for configuration versions that became active or were proposed or withdrawn since the last call.
    fn version_events(&mut self, config: &ActiveConfig) -> Vec<AuditEvent> {
        let (active, proposed) = config.versions();
        let mut events = Vec::new();
        // The cost of computing a digest grows with the version's map, so a digest is computed only if the version has
        // changed.
        if self.active != config.active_number()
            && let Some(version) = active
        {
            events.push(AuditEvent::Confirmed { number: version.number, digest: version.digest() });
        }
        self.active = config.active_number();
        if self.proposed.as_ref().map(|last| last.number) == config.proposed_number() {
            return events;
        }
        // A configuration version that is no longer proposed was withdrawn, unless it or a later one is active now.
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
    /// Publishes the active configuration to the event loop and records it in the audit log, if the phase or the
    /// configuration versions that apply have changed, or if `leased` is set. It is set for each new lease and when the
    /// control loop starts.
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
            info!("fleet: phase {phase} {versions:?}, lease until {lease_expires_at:.3}");
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

    /// Handles a newly granted lease: stores the configuration if it has changed, and publishes it.
    pub(super) fn on_lease(&mut self) {
        self.counters.leases.fetch_add(1, Relaxed);
        // The configuration is stored before the event loop can use it: after a restart this broker must know the
        // strictest of the configuration versions that came with its leases.
        let revision = self.lease_client.persisted_revision();
        if self.state.saved_config != Some(revision) {
            match self.data.save_config(&self.lease_client.persisted_state()) {
                Ok(()) => self.state.saved_config = Some(revision),
                Err(e) => {
                    warn!(
                        "fleet: data directory: {e}; \
                         the configuration is not stored and would be lost in a restart; check the disk"
                    )
                }
            }
        }
        self.publish(true);
        self.compare_voters();
    }

    /// Logs a warning if the committed voters differ from those in the operator's file, once for each list of voters.
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
            "fleet: the committed voters (list {number}) differ from those in the operator's file and take precedence; \
             write into the file: {}",
            lines.join(", ")
        );
    }
}
