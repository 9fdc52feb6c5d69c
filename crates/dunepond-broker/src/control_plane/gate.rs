//! Checks against the active configuration, at the moment of sending, whether a node may get an attempt.

use std::cell::RefCell;
use std::io::{self, IoSlice, Write};
use std::rc::Rc;
use std::sync::Arc;

use dunepond_consensus::{ActiveConfig, MAX_ACTION_DELAY_SECONDS, SegmentOwner};
use dunepond_control_plane::{
    ActiveConfigWatch, AuditEvent, AuditPhase, ControlHandle, audit_phase, monotonic_seconds,
};
use dunepond_routing::Idempotency;
use dunepond_shard_map::VerifiedMap;

use super::fence::{self, AttemptStage, FenceAction, OwnerSide};

/// The active configuration at a query's start, which applies to the query until its end.
pub struct QueryStart {
    config: Arc<ActiveConfig>,
    /// When the query started, in seconds on the monotonic clock.
    began_at: f64,
}

impl QueryStart {
    /// Returns the node that may run non-idempotent parts of a segment.
    pub fn owner(&self, segment: usize) -> SegmentOwner<'_> {
        self.config.owner(segment as u64, self.began_at)
    }

    /// Returns the shard map whose keys the parts of the query have to cover; `None` if there is none.
    pub fn map(&self) -> Option<&VerifiedMap> {
        self.config.map(self.began_at)
    }

    /// Returns the longest Retry-After that a rejection of the query may state, in seconds.
    pub fn max_retry_after(&self) -> f64 {
        self.config.rules(self.began_at).map_or(f64::INFINITY, |rules| rules.max_retry_after_seconds)
    }
}

/// The active configuration at the time of a check. The action that was checked follows at once and is audited with the
/// same configuration.
pub struct CheckedConfig {
    config: Arc<ActiveConfig>,
    /// When the check was made, in seconds on the monotonic clock.
    checked_at: f64,
}

/// A stream whose writes fail once the check that allowed them is older than [`MAX_ACTION_DELAY_SECONDS`]. A process
/// that stalled between the check and the write has to check again.
pub struct FreshWriter<'a, S> {
    /// The stream that is written to.
    pub stream: S,
    /// The check that allowed the write; `None` if none is needed.
    pub checked: Option<&'a CheckedConfig>,
}

/// The process stalled between the check that allowed a write and the write.
#[derive(Debug, thiserror::Error)]
#[error("the process stalled after checking the active configuration; check it again before writing")]
pub struct StaleCheck;

impl<S: Write> FreshWriter<'_, S> {
    /// Fails with `StaleCheck` if the check is too old.
    fn ensure_fresh(&self) -> io::Result<()> {
        let is_stale = self
            .checked
            .is_some_and(|check| monotonic_seconds() > check.checked_at + MAX_ACTION_DELAY_SECONDS);
        if is_stale { Err(io::Error::other(StaleCheck)) } else { Ok(()) }
    }
}

impl<S: Write> Write for FreshWriter<'_, S> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.ensure_fresh()?;
        self.stream.write(bytes)
    }

    fn write_vectored(&mut self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        self.ensure_fresh()?;
        self.stream.write_vectored(slices)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

/// A part that is to be sent to a node.
pub struct PartTarget<'a> {
    /// The active configuration at the query's start, if known.
    pub start: Option<&'a QueryStart>,
    /// Index of the query's class.
    pub query_class: usize,
    /// The segment of the part.
    pub segment: usize,
    /// The node's name.
    pub node: &'a str,
}

/// Decides whether an attempt may be sent to a node. The router host and the connections to nodes share it.
pub struct Gate {
    /// Handle of the control plane's thread.
    pub control: ControlHandle,
    watch: RefCell<ActiveConfigWatch>,
    /// The idempotency of each query class.
    idempotency: Vec<Idempotency>,
}

impl Gate {
    /// Creates a gate. `idempotency` holds the idempotency of each query class.
    pub fn new(control: ControlHandle, idempotency: Vec<Idempotency>) -> Self {
        Self { watch: control.watch().into(), control, idempotency }
    }

    /// Returns the configuration that is active now.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.watch.borrow_mut().current().clone()
    }

    /// Returns whether `config` is still the active configuration.
    pub fn is_current(&self, config: &Arc<ActiveConfig>) -> bool {
        Arc::ptr_eq(self.watch.borrow_mut().current(), config)
    }

    /// Returns the active configuration for a query that starts now.
    pub fn begin_query(&self) -> Rc<QueryStart> {
        // The configuration is read before the clock: in the other order a lease could be granted in between, and would
        // then be newer than the query's start.
        let config = self.active_config();
        Rc::new(QueryStart { config, began_at: monotonic_seconds() })
    }

    /// Returns whether parts of this query class must not run twice.
    pub fn is_non_idempotent(&self, query_class: usize) -> bool {
        self.idempotency.get(query_class) == Some(&Idempotency::NonIdempotent)
    }

    /// Returns what is done with an attempt at a node that may no longer run it, depending on the attempt's progress.
    /// To be called only if `may_send_under` returns `false`.
    pub fn fence_action(
        &self,
        check: &CheckedConfig,
        stage: AttemptStage,
        target: &PartTarget,
    ) -> FenceAction {
        let new_map = check.config.map_transition().map(|transition| transition.to());
        let segment = new_map.and_then(|map| map.segment(target.segment as u64));
        let is_new_owner = segment.is_some_and(|segment| segment.owner == target.node);
        let side = if is_new_owner { OwnerSide::New } else { OwnerSide::Old };
        let idempotency = self.idempotency.get(target.query_class).copied();
        fence::fence_action(stage, idempotency.unwrap_or(Idempotency::Idempotent), side)
    }

    /// Returns whether nodes drop repeated parts of this query class within the idempotency window.
    pub fn is_keyed(&self, query_class: usize) -> bool {
        matches!(self.idempotency.get(query_class), Some(Idempotency::Keyed { .. }))
    }

    /// Returns the active configuration with the current time, to check an action that follows at once.
    pub fn check(&self) -> CheckedConfig {
        // The clock is read last, so that a lease that expires during a stall between the two reads counts as expired.
        let config = self.active_config();
        CheckedConfig { config, checked_at: monotonic_seconds() }
    }

    /// Returns whether a part may be sent to a node now, both under the configuration at the query's start and under
    /// the active one.
    pub fn may_send(&self, target: &PartTarget) -> bool {
        !self.is_non_idempotent(target.query_class) || self.may_send_under(&self.check(), target)
    }

    /// Returns whether a part may be sent to a node, both under the configuration at the query's start and under that
    /// of an earlier check.
    pub fn may_send_under(&self, check: &CheckedConfig, target: &PartTarget) -> bool {
        if !self.is_non_idempotent(target.query_class) {
            return true;
        }
        let allows = |owner: SegmentOwner| match owner {
            SegmentOwner::AnyReplica => true,
            SegmentOwner::Node(owner) => owner == target.node,
            SegmentOwner::Unavailable(_) => false,
        };
        // If the configuration is the same at the query's start and at the check, so is the owner, unless the lease
        // became valid or expired in between.
        let is_same = |start: &QueryStart| {
            Arc::ptr_eq(&start.config, &check.config)
                && start.config.lease_valid(start.began_at) == check.config.lease_valid(check.checked_at)
        };
        allows(check.config.owner(target.segment as u64, check.checked_at))
            && target.start.is_none_or(|start| is_same(start) || allows(start.owner(target.segment)))
    }

    /// Returns whether a keyed part may be retried although it may have run.
    pub fn may_retry_keyed(&self, start: &QueryStart) -> bool {
        let allows =
            |config: &ActiveConfig, at| config.rules(at).is_none_or(|rules| rules.keyed_retries_enabled);
        allows(&start.config, start.began_at) && allows(&self.active_config(), monotonic_seconds())
    }

    /// Returns the epoch of the active shard map if that map gives a segment other keys than the map at the query's
    /// start.
    pub fn moved_epoch(&self, start: &QueryStart, segment: usize) -> Option<u64> {
        if self.is_current(&start.config) {
            return None;
        }
        let config = self.active_config();
        let (start_map, active_map) = (start.map()?, config.map(monotonic_seconds())?);
        if start_map.epoch() == active_map.epoch() {
            return None;
        }
        let keys = |map: &VerifiedMap| map.segment(segment as u64).map(|segment| segment.keys);
        (keys(start_map) != keys(active_map)).then_some(active_map.epoch())
    }

    /// Records in the audit log that the frame of an attempt has been queued on its connection. `part_id` is the
    /// request id and the segment, joined by a dot; `check` is the check that allowed the attempt.
    pub fn audit_sent(&self, check: &CheckedConfig, target: &PartTarget, part_id: &str, attempt: usize) {
        let event = || {
            let (mut phase, mut versions) = audit_phase(&check.config, check.checked_at);
            if let Some(start) = target.start {
                let (start_phase, start_versions) = audit_phase(&start.config, start.began_at);
                versions.extend(start_versions);
                // Of the phases at the query's start and at the check, the stricter one is recorded.
                if start_phase == AuditPhase::Joint && phase == AuditPhase::Active {
                    phase = start_phase;
                }
            }
            versions.sort_unstable();
            versions.dedup();
            AuditEvent::AttemptSent {
                request_id: part_id.rsplit_once('.').map_or(part_id, |(request, _)| request).to_string(),
                segment_id: target.segment as u64,
                node: target.node.to_string(),
                attempt: attempt as u64,
                non_idempotent: self.is_non_idempotent(target.query_class),
                phase,
                versions,
            }
        };
        self.control.audit_at(check.checked_at, event);
    }
}

#[cfg(test)]
mod tests;
