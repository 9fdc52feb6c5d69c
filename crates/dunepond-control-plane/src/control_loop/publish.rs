//! Publishing: what the event loop may act on now, into the handle, the audit log and the data directory.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use tracing::{info, warn};

use super::ControlLoop;
use crate::audit_log::AuditEvent;
use crate::clock::monotonic_seconds;
use crate::handle::audit_phase;

impl ControlLoop {
    /// Hands the event loop the active configuration and audits what has changed in it. `leased`: there is a new lease.
    pub(super) fn publish(&mut self, leased: bool) {
        let (acting, now) = (self.member.active_config(), monotonic_seconds());
        let (word, numbers) = audit_phase(&acting, now);
        let shown = &mut self.state.published;
        let changed = shown.phase != Some(word) || shown.versions != numbers;
        if !leased && !changed {
            return;
        }
        let until = acting.lease_expires_at().max(0.0);
        let (from, to) = (numbers.first().copied().unwrap_or(0), numbers.last().copied().unwrap_or(0));
        let (in_force, proposed) = acting.versions();
        let mut acts = Vec::new();
        // The cost of a digest grows with the map, so it is computed only for another version.
        if shown.in_force != acting.active_number()
            && let Some(version) = in_force
        {
            acts.push(AuditEvent::Confirmed { number: version.number, digest: version.digest() });
        }
        if shown.proposed.as_ref().map(|before| before.0) != acting.proposed_number() {
            // Withdrawn, unless this version or a later one is in force now.
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
            info!("fleet: {word} {numbers:?}, until {until:.3}");
        }
        (shown.phase, shown.versions, shown.in_force) = (Some(word), numbers, acting.active_number());
        self.active_config.store(Arc::new(acting));
        if let Some(recorder) = &self.audit_log {
            acts.into_iter().for_each(|act| recorder.record_at(now, act));
            recorder.record_at(now, AuditEvent::Phase { phase: word, from, to, until });
            if let Some(limiting) = &self.quotas {
                recorder.record_at(now, limiting.audit_event(&self.active_config.load(), until));
            }
        }
        if changed {
            (self.wake)();
        }
    }

    pub(super) fn on_lease(&mut self) {
        self.counters.leases.fetch_add(1, Relaxed);
        // Before the event loop acts on it: after a restart the broker must know the strictest version it has heard of.
        let versions = self.member.persisted_revision();
        if self.state.saved_config != Some(versions) {
            match self.data.save_config(&self.member.persisted_state()) {
                Ok(()) => self.state.saved_config = Some(versions),
                Err(e) => {
                    warn!("fleet: folder: {e}; a restart would not know the versions: look at the disk")
                }
            }
        }
        self.publish(true);
        self.compare_voters();
    }

    /// Says once for each list that the file names other voters than those agreed.
    pub(super) fn compare_voters(&mut self) {
        let voting = self.member.voters_number();
        if self.state.reported_voters == Some(voting) {
            return;
        }
        self.state.reported_voters = Some(voting);
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
