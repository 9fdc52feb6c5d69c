//! Judges what clients and nodes recorded of a shutdown by the rules of the protocol page.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::client::Request;

#[cfg(test)]
mod tests;

/// By the page of the standing test an answer later than this after the client's time counts as none.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// By the page of the standing test an attempt may begin so long after the client's close.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Between reading its clock and writing a broker may be held up for so long.
const MAX_EXCUSED_PAUSE: Duration = Duration::from_millis(150);
/// "Every time limit is longer by 50 ms"; and so much more for what the stand-ins take on a busy machine.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
const STAND_IN_SLACK: Duration = Duration::from_millis(50);

/// A process that is stopped right after it has taken up a request writes its attempts when it goes on: it can check nothing in
/// between. So long before the stop the request may have been written, and so long after it the attempt may arrive.
const STOP_MARGIN: Duration = Duration::from_millis(50);

/// A rule that a request shows broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Forwarded to a node, and never answered.
    ForwardedUnanswered,
    /// Still unanswered on an open connection when the process was killed, and never forwarded.
    ReadUnanswered,
    /// Answered so late that it counts for nothing.
    AnsweredLate,
    /// An attempt began after the final answer or after the client's time.
    AttemptAfterEnd,
    /// An attempt began too long after the client had closed its connection.
    AttemptAfterDisconnect,
    /// A part that must not run twice was sent twice.
    RanTwice,
}

/// A request that shows a rule broken. Times are in seconds after the first SIGTERM to its broker.
#[derive(Clone, Debug)]
pub struct ViolatedRequest {
    /// The rule.
    pub violation: Violation,
    /// The request.
    pub request: Request,
    /// After the first SIGTERM to its broker, when its last byte was written.
    pub written_after: f64,
    /// When its first attempt came to a node, where there was one.
    pub forwarded_after: Option<f64>,
    /// When its last attempt came to a node, where there was one.
    pub last_attempt_after: Option<f64>,
    /// When its answer came, where there was one.
    pub answered_after: Option<f64>,
}

/// What a play came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// All requests.
    pub requests: usize,
    /// Requests written after SIGTERM.
    pub after_signal: usize,
    /// Requests written more than 0.7 s after SIGTERM.
    pub late_after_signal: usize,
    /// Answers by their status.
    pub answered: BTreeMap<u16, usize>,
    /// Ended by a close that crossed them, never forwarded: their clients send them again elsewhere.
    pub crossed_by_close: usize,
    /// What broke a rule.
    pub violations: Vec<ViolatedRequest>,
    /// Brokers that were still there at the kill.
    pub killed: usize,
    /// Brokers that ended with another code than 0.
    pub failed: usize,
    /// Of answers after SIGTERM, the least time that was left to the kill.
    pub min_time_to_kill: Option<Duration>,
}

/// When each attempt came to a node, by the part's id.
pub type Attempts = BTreeMap<String, Vec<Instant>>;

/// What the requests of a play are judged by.
pub struct Circumstances {
    /// Times of each broker.
    pub brokers: Vec<BrokerTimes>,
    /// The query timeout.
    pub timeout: Duration,
    /// Nodes turned parts away, which may then be sent again.
    pub nodes_reject: bool,
}

/// What happened to one broker, and when.
pub struct BrokerTimes {
    /// When it got its first SIGTERM.
    pub signalled_at: Instant,
    /// When it was killed.
    pub killed_at: Instant,
    /// The longest stretch for which its process was stopped: it cannot act sooner.
    pub longest_pause: Duration,
    /// When its process stood still.
    pub stops: Vec<Stop>,
}

/// A stretch for which a broker's process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// When it was stopped.
    pub from: Instant,
    /// When it went on.
    pub until: Instant,
}

impl Stop {
    /// The first attempt of a part that was about to be written when the process was stopped, where the request's time or its client's
    /// connection ended during the stop.
    fn delays_attempt(&self, request: &Request, ended: Instant, attempt: Instant) -> bool {
        let taken_up = request.written_at <= self.from && request.written_at + STOP_MARGIN >= self.from;
        let ended_meanwhile = self.from <= ended && ended <= self.until;
        taken_up && ended_meanwhile && self.until <= attempt && attempt <= self.until + STOP_MARGIN
    }
}

impl Verdict {
    /// Judges requests by the rules and adds them to the counts.
    pub fn judge(&mut self, requests: Vec<Request>, attempts: &Attempts, circumstances: &Circumstances) {
        for request in requests {
            let times = &circumstances.brokers[request.broker];
            self.count(&request, times);
            let mine = |(id, _): &(&String, &Vec<Instant>)| id.starts_with(&format!("{}.", request.id));
            let parts: Vec<_> = attempts.iter().filter(mine).map(|(_, at)| at).collect();
            let first = parts.iter().flat_map(|at| at.iter()).min().copied();
            let last = parts.iter().flat_map(|at| at.iter()).max().copied();
            for breach in find_violations(&request, &parts, circumstances) {
                let after = |at: Instant| seconds_after(at, times.signalled_at);
                self.violations.push(ViolatedRequest {
                    violation: breach,
                    written_after: after(request.written_at),
                    forwarded_after: first.map(after),
                    last_attempt_after: last.map(after),
                    answered_after: request.answered.map(|(at, _)| after(at)),
                    request: request.clone(),
                });
            }
            if request.answered.is_none() && request.ended.is_some() && first.is_none() {
                self.crossed_by_close += 1;
            }
        }
    }

    fn count(&mut self, request: &Request, times: &BrokerTimes) {
        self.requests += 1;
        let after = seconds_after(request.written_at, times.signalled_at);
        self.after_signal += usize::from(after > 0.0);
        self.late_after_signal += usize::from(after > 0.7);
        let Some((at, status)) = request.answered else { return };
        *self.answered.entry(status).or_default() += 1;
        if at > times.signalled_at {
            let left = times.killed_at.saturating_duration_since(at);
            self.min_time_to_kill = Some(self.min_time_to_kill.map_or(left, |least| least.min(left)));
        }
    }

    /// Adds the counts of another play.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.after_signal += other.after_signal;
        self.late_after_signal += other.late_after_signal;
        self.crossed_by_close += other.crossed_by_close;
        self.killed += other.killed;
        self.failed += other.failed;
        self.violations.extend(other.violations);
        self.min_time_to_kill = self.min_time_to_kill.into_iter().chain(other.min_time_to_kill).min();
        for (status, count) in other.answered {
            *self.answered.entry(status).or_default() += count;
        }
    }

    /// How often a rule was broken.
    pub fn violation_count(&self, breach: Violation) -> usize {
        self.violations.iter().filter(|fault| fault.violation == breach).count()
    }
}

fn find_violations(
    request: &Request,
    parts: &[&Vec<Instant>],
    circumstances: &Circumstances,
) -> BTreeSet<Violation> {
    let times = &circumstances.brokers[request.broker];
    let mut found = BTreeSet::new();
    let due = request.started_at + circumstances.timeout;
    match (request.answered, request.disconnected_at) {
        (Some((at, _)), _) if at > due + MAX_ANSWER_DELAY + times.longest_pause => {
            found.insert(Violation::AnsweredLate);
        }
        (Some(_), _) | (None, Some(_)) => {}
        (None, None) if !parts.is_empty() => {
            found.insert(Violation::ForwardedUnanswered);
        }
        // A connection that the kill itself ended was open until then.
        (None, None)
            if request.ended.is_none_or(|(at, _)| at >= times.killed_at)
                && request.written_at < times.killed_at =>
        {
            found.insert(Violation::ReadUnanswered);
        }
        (None, None) => {}
    }
    let slack = STAND_IN_SLACK + times.longest_pause.min(MAX_EXCUSED_PAUSE);
    let delayed =
        |ended: Instant, at: Instant| times.stops.iter().any(|s| s.delays_attempt(request, ended, at));
    // A retry is never excused: it is decided on after the stop.
    let is_late = |ended: Instant, allowed: Duration, number: usize, at: Instant| {
        at > ended + allowed + slack && !(number == 0 && delayed(ended, at))
    };
    let began_after = |ended: Instant, allowed: Duration| {
        parts.iter().any(|at| at.iter().enumerate().any(|(number, at)| is_late(ended, allowed, number, *at)))
    };
    let ended = request.answered.map_or(due, |(at, _)| at.min(due));
    if began_after(ended, TIME_LIMIT_SLACK) {
        found.insert(Violation::AttemptAfterEnd);
    }
    if request.disconnected_at.is_some_and(|left| began_after(left, DISCONNECT_GRACE)) {
        found.insert(Violation::AttemptAfterDisconnect);
    }
    let may_be_resent = request.idempotent || circumstances.nodes_reject;
    if !may_be_resent && parts.iter().any(|at| at.len() > 1) {
        found.insert(Violation::RanTwice);
    }
    found
}

fn seconds_after(at: Instant, from: Instant) -> f64 {
    match at.checked_duration_since(from) {
        Some(after) => after.as_secs_f64(),
        None => -from.duration_since(at).as_secs_f64(),
    }
}
