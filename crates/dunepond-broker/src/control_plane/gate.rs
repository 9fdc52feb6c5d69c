//! Checks against the active configuration, at the moment of each action: whether an attempt may be sent to a node.

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

/// The active configuration at a query's start; the query keeps to it until its end.
pub struct QueryStart {
    config: Arc<ActiveConfig>,
    /// Seconds on the monotonic clock.
    began_at: f64,
}

impl QueryStart {
    /// The node that may run non-idempotent parts of a segment.
    pub fn owner(&self, segment: usize) -> SegmentOwner<'_> {
        self.config.owner(segment as u64, self.began_at)
    }

    /// The map under which its parts have to cover its keys.
    pub fn map(&self) -> Option<&VerifiedMap> {
        self.config.map(self.began_at)
    }

    /// Longest Retry-After that a rejection may name, in seconds.
    pub fn max_retry_after(&self) -> f64 {
        self.config.rules(self.began_at).map_or(f64::INFINITY, |rules| rules.max_retry_after_seconds)
    }
}

/// The active configuration at one moment: an action is checked by it, carried out at once and audited by it.
pub struct CheckedConfig {
    config: Arc<ActiveConfig>,
    checked_at: f64,
}

/// A stream that refuses writes once the check that allowed them is older than [`MAX_ACTION_DELAY_SECONDS`]: a process that
/// stalled in between has to check again.
pub struct FreshWriter<'a, S> {
    /// What is written to.
    pub stream: S,
    /// The check that allowed the write; `None` where none is needed.
    pub checked: Option<&'a CheckedConfig>,
}

/// The process stalled between the check and the write.
#[derive(Debug, thiserror::Error)]
#[error("this process stood still before it could write")]
pub struct StaleCheck;

impl<S: Write> FreshWriter<'_, S> {
    fn ensure_fresh(&self) -> io::Result<()> {
        let late = self
            .checked
            .is_some_and(|check| monotonic_seconds() > check.checked_at + MAX_ACTION_DELAY_SECONDS);
        if late { Err(io::Error::other(StaleCheck)) } else { Ok(()) }
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
    /// The active configuration at its query's start, if known.
    pub start: Option<&'a QueryStart>,
    /// Index of its query class.
    pub query_class: usize,
    /// Its segment.
    pub segment: usize,
    /// The node's name.
    pub node: &'a str,
}

/// Decides whether an attempt may be sent; shared by the router host and the connections to nodes.
pub struct Gate {
    /// The control plane's thread.
    pub control: ControlHandle,
    watch: RefCell<ActiveConfigWatch>,
    idempotency: Vec<Idempotency>,
}

impl Gate {
    /// `idempotency`: of each query class.
    pub fn new(control: ControlHandle, idempotency: Vec<Idempotency>) -> Self {
        Self { watch: control.watch().into(), control, idempotency }
    }

    /// The active configuration now.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.watch.borrow_mut().current().clone()
    }

    /// Whether this is the active configuration still.
    pub fn is_current(&self, config: &Arc<ActiveConfig>) -> bool {
        Arc::ptr_eq(self.watch.borrow_mut().current(), config)
    }

    /// The active configuration, for a query that begins now to keep.
    pub fn begin_query(&self) -> Rc<QueryStart> {
        // The configuration is read before the clock: otherwise a lease that came in between would be later than its query.
        let config = self.active_config();
        Rc::new(QueryStart { config, began_at: monotonic_seconds() })
    }

    /// Parts of this query class must not run twice.
    pub fn is_non_idempotent(&self, query_class: usize) -> bool {
        self.idempotency.get(query_class) == Some(&Idempotency::NonIdempotent)
    }

    /// What becomes of an attempt at a node that may not run it any more, by how far it had come. Called only where
    /// `may_send_under` is false.
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

    /// Parts of this query class may run twice inside a window.
    pub fn is_keyed(&self, query_class: usize) -> bool {
        matches!(self.idempotency.get(query_class), Some(Idempotency::Keyed { .. }))
    }

    /// The active configuration with the time of this check, for an action that follows at once.
    pub fn check(&self) -> CheckedConfig {
        // The clock is read last, so that a lease that expires during a stall in between counts as expired.
        let config = self.active_config();
        CheckedConfig { config, checked_at: monotonic_seconds() }
    }

    /// Whether a part may be sent to a node now, by the configuration at its query's start and by the active one.
    pub fn may_send(&self, target: &PartTarget) -> bool {
        !self.is_non_idempotent(target.query_class) || self.may_send_under(&self.check(), target)
    }

    /// As `may_send`, by a check that was made before.
    pub fn may_send_under(&self, check: &CheckedConfig, target: &PartTarget) -> bool {
        if !self.is_non_idempotent(target.query_class) {
            return true;
        }
        let allows = |owner: SegmentOwner| match owner {
            SegmentOwner::AnyReplica => true,
            SegmentOwner::Node(owner) => owner == target.node,
            SegmentOwner::Unavailable(_) => false,
        };
        // The same configuration gives the same verdict, unless a lease began or expired in between.
        let is_same = |start: &QueryStart| {
            Arc::ptr_eq(&start.config, &check.config)
                && start.config.lease_valid(start.began_at) == check.config.lease_valid(check.checked_at)
        };
        allows(check.config.owner(target.segment as u64, check.checked_at))
            && target.start.is_none_or(|start| is_same(start) || allows(start.owner(target.segment)))
    }

    /// Whether a keyed part may be retried although it may have run.
    pub fn may_retry_keyed(&self, start: &QueryStart) -> bool {
        let allows =
            |config: &ActiveConfig, at| config.rules(at).is_none_or(|rules| rules.keyed_retries_enabled);
        allows(&start.config, start.began_at) && allows(&self.active_config(), monotonic_seconds())
    }

    /// The active map's epoch, if that map has other keys for a segment than the one at the query's start.
    pub fn moved_epoch(&self, start: &QueryStart, segment: usize) -> Option<u64> {
        if self.is_current(&start.config) {
            return None;
        }
        let config = self.active_config();
        let (then, now) = (start.map()?, config.map(monotonic_seconds())?);
        if then.epoch() == now.epoch() {
            return None;
        }
        let keys = |map: &VerifiedMap| map.segment(segment as u64).map(|segment| segment.keys);
        (keys(then) != keys(now)).then_some(now.epoch())
    }

    /// Audits an attempt whose frame has been handed to its connection. `part_id`: request id and segment; `check` allowed it.
    pub fn audit_sent(&self, check: &CheckedConfig, target: &PartTarget, part_id: &str, attempt: usize) {
        let event = || {
            let (mut phase, mut versions) = audit_phase(&check.config, check.checked_at);
            if let Some(start) = target.start {
                let (start_phase, start_versions) = audit_phase(&start.config, start.began_at);
                versions.extend(start_versions);
                // The stricter phase is obeyed.
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
