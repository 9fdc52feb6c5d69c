//! With a control plane, checks each attempt against the active configuration again right before its frame is written,
//! and writes the attempt to the audit log.

use std::collections::VecDeque;

use dunepond_routing::AttemptOutcome;
use tracing::debug;

use super::{NodeConnection, OutstandingRequest, Upstream};
use crate::buffers::WriteQueue;
use crate::clock::Timers;
use crate::control_plane::fence::{AttemptStage, FenceAction};
use crate::control_plane::{CheckedConfig, Gate};

/// Writes to the audit log the attempts of a connection that were framed since the last call.
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
    /// Withdraws the attempts on a connection that the active configuration no longer allows. Returns `false` if such
    /// an attempt is partly written; the caller then has to close the connection.
    pub(super) fn withdraw_disallowed(
        &mut self,
        check: &CheckedConfig,
        now: f64,
        id: usize,
        timers: &mut Timers,
    ) -> bool {
        let Some(gate) = &self.gate else { return true };
        let Some(connection) = self.connections.get_mut(id).filter(|c| c.connected) else { return true };
        let host = self.nodes[connection.node].name();
        let action = |out: &OutstandingRequest| action_for(gate, check, out, &connection.output, host);
        if connection.outstanding.iter().any(|out| action(out) == FenceAction::Aborted) {
            return false;
        }
        let is_withdrawn = |out: &OutstandingRequest| action(out) == FenceAction::Withdrawn;
        if !connection.outstanding.iter().any(is_withdrawn) {
            return true;
        }
        let (withdrawn, outstanding): (VecDeque<_>, VecDeque<_>) =
            connection.outstanding.drain(..).partition(is_withdrawn);
        connection.outstanding = outstanding;
        for out in withdrawn {
            gate.control.count_withheld();
            debug!("node {host}: {} is not sent: the active configuration forbids it", out.request.id);
            self.completed.push_back(out.into_completed(connection.node, AttemptOutcome::NotSent, now, None));
        }
        self.close_or_keep_idle(now, id, timers);
        true
    }
}

/// Returns what is to be done with an attempt under the active configuration.
fn action_for(
    gate: &Gate,
    check: &CheckedConfig,
    out: &OutstandingRequest,
    output: &WriteQueue,
    host: &str,
) -> FenceAction {
    let target = out.request.target(host);
    if gate.may_send_under(check, &target) {
        return FenceAction::Allowed;
    }
    let stage = match out.frame_end {
        None => AttemptStage::Queued,
        Some(_) if out.is_written(output) => AttemptStage::AwaitingAnswer,
        Some(_) => AttemptStage::PartlyWritten,
    };
    gate.fence_action(check, stage, &target)
}
