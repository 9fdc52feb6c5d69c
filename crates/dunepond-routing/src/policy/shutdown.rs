//! Shutdown: which requests are still served between SIGTERM and SIGKILL, which are rejected, and when the last
//! answers are due.
//!
//! Inputs: the earliest instant at which SIGTERM may have arrived, and the longest query timeout (seconds). All
//! stages count from that instant rather than from the one at which the signal was noticed: after a stall,
//! SIGKILL would otherwise come sooner than expected.

use std::time::Duration;

use super::clock::MAX_STALL_SECONDS;
use crate::state::{InFlightQuery, Router, Shutdown};

/// Time after SIGTERM during which new connections keep arriving.
const NEW_CONNECTIONS_SECONDS: f64 = 0.4;
/// Tolerance of each time limit of a shutdown.
const SLACK_SECONDS: f64 = 0.05;
/// The platform that runs the brokers sends SIGKILL no sooner after SIGTERM than the longest query timeout
/// plus this time. A request that arrives later than this time after SIGTERM may still be unanswered at
/// SIGKILL, and is then lost.
const KILL_AFTER_DEADLINE_SECONDS: f64 = 0.7;
/// Cap on the longest query timeout from which the platform computes the time of SIGKILL; a longer timeout
/// does not delay SIGKILL further.
const LONGEST_COUNTED_DEADLINE_SECONDS: f64 = 3.0;
/// Time between the last answers and SIGKILL: a margin for a stall, for an iteration of the event loop, and for
/// the transfer of an answer to the client.
const KILL_MARGIN_SECONDS: f64 = MAX_STALL_SECONDS + 2.0 * SLACK_SECONDS;

/// Longest interval between two checks for signals; a signal that a check finds arrived after the previous check.
/// The interval is short compared to the time during which new connections keep arriving.
pub const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A gap between two checks for signals that is longer than this, in seconds, is a stall that the margins of the
/// time limits do not cover.
pub const STALL_THRESHOLD_SECONDS: f64 = MAX_STALL_SECONDS;
/// Longest time after SIGTERM, in seconds, for which a process that shuts down may still run.
pub const MAX_SHUTDOWN_SECONDS: f64 = LONGEST_COUNTED_DEADLINE_SECONDS + KILL_AFTER_DEADLINE_SECONDS;

/// The stages of a shutdown; each includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum ShutdownStage {
    /// Requests are served as before; the broker reports that it is not ready for new clients.
    Serving,
    /// Each connection closes after the answers to its requests; no new connections are expected.
    ClosingAfterAnswers,
    /// The listener and idle connections close; a new request whose client waits longer than the process runs
    /// is rejected.
    Refusing,
    /// Connections on which no request has arrived before this stage close.
    ClosingWithoutRequest,
    /// All requests in flight are answered.
    LastAnswers,
}

impl Shutdown {
    /// Creates a shutdown whose signal arrived at `signalled_at` (seconds on the transport's clock) or later,
    /// with queries that time out after at most `longest_timeout` seconds.
    pub fn new(signalled_at: f64, longest_timeout: f64) -> Self {
        let kill_after = longest_timeout.min(LONGEST_COUNTED_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS;
        Self { signalled_at, last_answers_after: kill_after - KILL_MARGIN_SECONDS }
    }

    /// Returns the instant by which every request has its answer, however long its client would wait.
    pub fn last_answers_at(&self) -> f64 {
        self.signalled_at + self.last_answers_after
    }

    /// Returns the start of each stage except the first; none is later than the last answers.
    fn stages(&self) -> [(f64, ShutdownStage); 4] {
        let refusing_after = KILL_AFTER_DEADLINE_SECONDS - SLACK_SECONDS;
        let at = |after: f64| self.signalled_at + after.min(self.last_answers_after);
        [
            (at(NEW_CONNECTIONS_SECONDS + SLACK_SECONDS), ShutdownStage::ClosingAfterAnswers),
            (at(refusing_after), ShutdownStage::Refusing),
            (at(refusing_after + NEW_CONNECTIONS_SECONDS), ShutdownStage::ClosingWithoutRequest),
            (self.last_answers_at(), ShutdownStage::LastAnswers),
        ]
    }

    /// Returns the stage that applies at an instant.
    pub fn stage(&self, now: f64) -> ShutdownStage {
        let current = self.stages().into_iter().rfind(|(at, _)| *at <= now);
        current.map_or(ShutdownStage::Serving, |(_, stage)| stage)
    }

    /// Returns the instant at which the next stage begins; `None` in the last stage.
    pub fn next_stage_at(&self, now: f64) -> Option<f64> {
        self.stages().into_iter().map(|(at, _)| at).find(|at| *at > now)
    }

    /// Returns whether, at this instant, requests whose clients wait longer than the process runs are
    /// rejected.
    pub fn is_refusing(&self, now: f64) -> bool {
        self.stage(now) >= ShutdownStage::Refusing
    }

    /// Returns whether to reject a request that arrives now and whose client waits until the given instant: if
    /// forwarded, it could be outstanding when the process is killed, while its client has time to retry at
    /// another broker. A client that waits for up to `SLACK_SECONDS` longer than the last answers is served.
    pub fn refuses(&self, now: f64, client_waits_until: f64) -> bool {
        self.is_refusing(now) && client_waits_until > self.last_answers_at() + SLACK_SECONDS
    }
}

impl Router {
    /// Begins a shutdown. Queries in flight end by the instant of the last answers
    /// ([`Shutdown::last_answers_at`]), however long their clients wait. From [`ShutdownStage::Refusing`] on,
    /// new queries whose clients wait beyond that instant are rejected.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
        let mut queries = std::mem::take(&mut self.queries);
        for query in queries.values_mut() {
            query.deadline_at = query.deadline_at.min(shutdown.last_answers_at());
            query.due_at = query.due_at.min(self.decision_deadline(query));
        }
        self.queries = queries;
    }

    /// Limits the deadline of a query that arrives during a shutdown to the instant of the last answers
    /// ([`Shutdown::last_answers_at`]), and marks a query that has to be rejected because its client waits
    /// longer.
    pub(super) fn limit_to_shutdown(&self, query: &mut InFlightQuery) {
        let Some(shutdown) = self.shutdown else { return };
        query.exceeds_shutdown = shutdown.refuses(self.now, query.deadline_at);
        query.deadline_at = query.deadline_at.min(shutdown.last_answers_at());
    }
}
