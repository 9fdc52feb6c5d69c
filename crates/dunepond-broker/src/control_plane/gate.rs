//! Checks against the active configuration, at the moment of each action: may this attempt be sent, is this answer complete.

use std::cell::RefCell;
use std::io::{self, IoSlice, Write};
use std::rc::Rc;
use std::sync::Arc;

use dunepond_consensus::{ActiveConfig, MAX_ACTION_DELAY_SECONDS, SegmentOwner};
use dunepond_control_plane::{
    ActiveConfigWatch, AuditEvent, AuditPhase, ControlHandle, audit_phase, monotonic_seconds,
};
use dunepond_routing::Idempotency;
use dunepond_shard_map::{AnsweredPart, KeyRange, MapFault, VerifiedMap, verify_coverage};

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

/// Decides whether an attempt may be sent; shared by the router host and the connections to nodes.
pub struct Gate {
    /// The control plane's thread.
    pub control: ControlHandle,
    watch: RefCell<ActiveConfigWatch>,
    idempotency: Vec<Idempotency>,
}

impl Gate {
    /// `repeats`: the idempotency of each query class.
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

    /// Records the active configuration for a query that begins now.
    pub fn begin_query(&self) -> Rc<QueryStart> {
        // The configuration is read before the clock: otherwise a lease that came in between would be later than its query.
        let config = self.active_config();
        Rc::new(QueryStart { config, began_at: monotonic_seconds() })
    }

    /// Parts of this query class must not run twice.
    pub fn is_non_idempotent(&self, query_class: usize) -> bool {
        self.idempotency.get(query_class) == Some(&Idempotency::NonIdempotent)
    }

    /// What becomes of an attempt at a node that may not run it any more, by how far it had come.
    pub fn fence_action(
        &self,
        check: &CheckedConfig,
        stage: AttemptStage,
        query_class: usize,
        segment: usize,
        node: &str,
    ) -> FenceAction {
        let to = check.config.map_transition().map(|moving| moving.to());
        let new = to.and_then(|to| to.segment(segment as u64)).is_some_and(|segment| segment.owner == node);
        let idempotency = self.idempotency.get(query_class).copied().unwrap_or(Idempotency::Idempotent);
        fence::fence_action(stage, idempotency, if new { OwnerSide::New } else { OwnerSide::Old })
    }

    /// Parts of this query class may run twice inside a window.
    pub fn is_keyed(&self, query_class: usize) -> bool {
        matches!(self.idempotency.get(query_class), Some(Idempotency::Keyed(_)))
    }

    /// The active configuration with the time of this check, for an action that follows at once.
    pub fn check(&self) -> CheckedConfig {
        // The clock is read last, so that a lease that expires during a stall in between counts as expired.
        let config = self.active_config();
        CheckedConfig { config, checked_at: monotonic_seconds() }
    }

    /// Whether a part may be sent to a node now, by the configuration at its query's start and by the active one.
    pub fn may_send(
        &self,
        start: Option<&QueryStart>,
        query_class: usize,
        segment: usize,
        node: &str,
    ) -> bool {
        !self.is_non_idempotent(query_class)
            || self.may_send_under(&self.check(), start, query_class, segment, node)
    }

    /// As `may_send`, by a check that was made before.
    pub fn may_send_under(
        &self,
        check: &CheckedConfig,
        start: Option<&QueryStart>,
        query_class: usize,
        segment: usize,
        node: &str,
    ) -> bool {
        if !self.is_non_idempotent(query_class) {
            return true;
        }
        let allows = |owner: SegmentOwner| match owner {
            SegmentOwner::AnyReplica => true,
            SegmentOwner::Node(only) => only == node,
            SegmentOwner::Unavailable(_) => false,
        };
        // The same configuration gives the same verdict, unless a lease began or expired in between.
        let same = |start: &QueryStart| {
            Arc::ptr_eq(&start.config, &check.config)
                && start.config.lease_valid(start.began_at) == check.config.lease_valid(check.checked_at)
        };
        allows(check.config.owner(segment as u64, check.checked_at))
            && start.is_none_or(|start| same(start) || allows(start.owner(segment)))
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

    /// Audits an attempt whose frame has been handed to its connection. `id`: request id and segment; `look`: the check that
    /// allowed it.
    pub fn audit_sent(
        &self,
        check: &CheckedConfig,
        start: Option<&QueryStart>,
        query_class: usize,
        id: &str,
        part: (usize, usize),
        node: &str,
    ) {
        let (segment, attempt) = part;
        let act = || {
            let (mut phase, mut versions) = audit_phase(&check.config, check.checked_at);
            if let Some(start) = start {
                let (then, before) = audit_phase(&start.config, start.began_at);
                versions.extend(before);
                // The stricter phase is obeyed.
                if then == AuditPhase::Joint && phase == AuditPhase::Active {
                    phase = then;
                }
            }
            versions.sort_unstable();
            versions.dedup();
            AuditEvent::AttemptSent {
                request_id: id.rsplit_once('.').map_or(id, |(call, _)| call).to_string(),
                segment_id: segment as u64,
                node: node.to_string(),
                attempt: attempt as u64,
                non_idempotent: self.is_non_idempotent(query_class),
                phase,
                versions,
            }
        };
        self.control.audit_at(check.checked_at, act);
    }
}

/// Why an answer is not complete.
#[derive(Debug, thiserror::Error)]
pub enum IncompleteAnswer {
    /// A segment of the query is not in the map.
    #[error("a segment that the map does not have")]
    UnknownSegment,
    /// The answered parts do not cover the query's keys.
    #[error("{0}")]
    NotCovered(#[from] MapFault),
}

/// Verifies that the answered parts cover all keys of a query, each exactly once and under one map. `moved`: parts that were sent under
/// another map's keys, with its epoch. Returns the map's epoch, or why the answer is incomplete.
pub fn verify_answer(
    map: &VerifiedMap,
    segments: &[usize],
    is_answered: impl Fn(usize) -> bool,
    moved: &[(usize, u64)],
) -> Result<u64, IncompleteAnswer> {
    // Fast path without allocation: segments of a verified map do not overlap, so distinct ones that are all answered cover the
    // query.
    let are_distinct = segments.windows(2).all(|two| two[0] < two[1]);
    if are_distinct
        && moved.is_empty()
        && segments
            .iter()
            .enumerate()
            .all(|(at, segment)| is_answered(at) && map.contains_segment(*segment as u64))
    {
        return Ok(map.epoch());
    }
    let is_answered: Vec<bool> = (0..segments.len()).map(is_answered).collect();
    verify_by_keys(map, segments, &is_answered, moved)
}

fn verify_by_keys(
    map: &VerifiedMap,
    segments: &[usize],
    is_answered: &[bool],
    moved: &[(usize, u64)],
) -> Result<u64, IncompleteAnswer> {
    let keys = |segment: &usize| map.segment(*segment as u64).map(|segment| segment.keys);
    let wanted: Option<Vec<KeyRange>> = segments.iter().map(keys).collect();
    let wanted = wanted.ok_or(IncompleteAnswer::UnknownSegment)?;
    let answered = segments.iter().zip(&wanted).enumerate().filter(|(part, _)| is_answered[*part]);
    let answered = answered.map(|(part, (segment, keys))| {
        let sent_under = moved.iter().find(|(moved, _)| *moved == part);
        let epoch = sent_under.map_or(map.epoch(), |(_, epoch)| *epoch);
        AnsweredPart { segment: *segment as u64, keys: *keys, epoch }
    });
    let answered: Vec<_> = answered.collect();
    verify_coverage(map, &wanted, &answered)?;
    Ok(map.epoch())
}

#[cfg(test)]
mod tests;
