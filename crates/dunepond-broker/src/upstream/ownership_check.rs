//! With a control plane: checks each attempt against the active configuration again as its frame is written, and audits it.

use std::collections::VecDeque;

use dunepond_routing::AttemptOutcome;
use tracing::debug;

use super::{NodeConnection, OutstandingRequest, Upstream};
use crate::clock::Timers;
use crate::control_plane::fence::{AttemptStage, FenceAction};
use crate::control_plane::{CheckedConfig, Gate};

/// Writes the attempts that were framed since the last call to the audit log.
pub fn audit_sent(gate: &Gate, check: &CheckedConfig, host: &str, connection: &mut NodeConnection) {
    if !gate.control.is_audited() {
        return;
    }
    for out in connection.outstanding.iter_mut().filter(|o| o.frame_end.is_some() && !o.audited) {
        out.audited = true;
        let request = &out.request;
        gate.audit_sent(check, &request.target(host), &request.id, request.attempt);
    }
}

impl Upstream {
    /// Withdraws attempts that the active configuration no longer allows, checked right before they are framed. False where
    /// such an attempt is partly written.
    pub(super) fn withdraw_disallowed(
        &mut self,
        check: &CheckedConfig,
        now: f64,
        id: usize,
        timers: &mut Timers,
    ) -> bool {
        let Some(gate) = &self.gate else { return true };
        let Some(connection) = self.connections.get_mut(id).filter(|l| l.connected) else { return true };
        let host = self.nodes[connection.node].name();
        let written = connection.output.written_offset();
        let stage = |o: &OutstandingRequest| match o.frame_end {
            None => AttemptStage::Queued,
            Some(to) if to > written => AttemptStage::PartlyWritten,
            Some(_) => AttemptStage::AwaitingAnswer,
        };
        let fence_action = |o: &OutstandingRequest| {
            let target = o.request.target(host);
            if gate.may_send_under(check, &target) {
                FenceAction::Allowed
            } else {
                gate.fence_action(check, stage(o), &target)
            }
        };
        if connection.outstanding.iter().any(|o| fence_action(o) == FenceAction::Aborted) {
            return false;
        }
        let held = |o: &OutstandingRequest| fence_action(o) == FenceAction::Returned;
        if !connection.outstanding.iter().any(held) {
            return true;
        }
        let (held, outstanding) = connection.outstanding.drain(..).partition(held);
        connection.outstanding = outstanding;
        let (held, node): (VecDeque<OutstandingRequest>, _) = (held, connection.node);
        for out in held {
            gate.control.count_withheld();
            debug!("node {host}: {} is not sent: the active configuration forbids it", out.request.id);
            self.completed.push_back(out.into_completed(node, AttemptOutcome::NotSent, now, None));
        }
        self.close_or_keep_idle(now, id, timers);
        true
    }
}
