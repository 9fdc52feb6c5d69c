//! Judges what clients and nodes recorded of a shutdown by the rules of the protocol page.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::client::Request;

#[cfg(test)]
mod tests;

/// By the page of the standing test an answer later than this after the client's time counts as none.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// By the page of the standing test an attempt may begin so long after the client's close.
const AFTER_LEAVE: Duration = Duration::from_millis(100);
/// Between reading its clock and writing a broker may be held up for so long.
const MAY_BE_HELD: Duration = Duration::from_millis(150);
/// "Every time limit is longer by 50 ms"; and so much more for what the stand-ins take on a busy machine.
const SLACK: Duration = Duration::from_millis(50);
const STAND_INS: Duration = Duration::from_millis(50);

/// A process that is stopped right after it has taken up a request writes its attempts when it goes on: it can check nothing in
/// between. So long before the stop the request may have been written, and so long after it the attempt may arrive.
const AROUND_STOP: Duration = Duration::from_millis(50);

/// A rule that a request shows broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// Forwarded to a node, and never answered.
    ForwardedUnanswered,
    /// Still unanswered on an open connection when the process was killed, and never forwarded.
    TakenUnanswered,
    /// Answered so late that it counts for nothing.
    AnsweredLate,
    /// An attempt began after the final answer or after the client's time.
    AttemptAfterEnd,
    /// An attempt began too long after the client had closed its connection.
    AttemptAfterLeave,
    /// A part that must not run twice was sent twice.
    RanTwice,
}

#[derive(Clone, Debug)]
pub struct Fault {
    pub breach: Breach,
    pub request: Request,
    /// After the first SIGTERM to its broker, when its last byte was written.
    pub written_after: f64,
    /// The same for the first attempt and the last, where there was one.
    pub forwarded_after: Option<f64>,
    pub last_attempt_after: Option<f64>,
    /// The same for the answer.
    pub answered_after: Option<f64>,
}

/// What a play came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    /// Of those, written after SIGTERM, and written more than 0.7 s after it.
    pub after_signal: usize,
    pub late: usize,
    pub answered: BTreeMap<u16, usize>,
    /// Ended by a close that crossed them, never forwarded: their clients send them again elsewhere.
    pub crossed: usize,
    pub faults: Vec<Fault>,
    /// Brokers that were still there at the kill, and those that ended with another code than 0.
    pub killed: usize,
    pub failed: usize,
    /// Of answers after SIGTERM, the least time that was left to the kill.
    pub least_left: Option<Duration>,
}

/// When each attempt came to a node, by the part's id.
pub type Attempts = BTreeMap<String, Vec<Instant>>;

/// What the requests of a play are judged by.
pub struct Circumstances {
    pub brokers: Vec<BrokerTimes>,
    pub timeout: Duration,
    /// Nodes turned parts away, which may then be sent again.
    pub nodes_refuse: bool,
}

pub struct BrokerTimes {
    pub told: Instant,
    pub killed: Instant,
    /// The longest stretch for which its process was stopped: it cannot act sooner.
    pub longest_hold: Duration,
    pub stops: Vec<Stop>,
}

/// A stretch for which a broker's process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub from: Instant,
    pub until: Instant,
}

impl Stop {
    /// The first attempt of a part that was about to be written when the process was stopped, where the request's time or its client's
    /// connection ended during the stop.
    fn delays_attempt(&self, request: &Request, ended: Instant, attempt: Instant) -> bool {
        let taken_up = request.written <= self.from && request.written + AROUND_STOP >= self.from;
        let ended_meanwhile = self.from <= ended && ended <= self.until;
        taken_up && ended_meanwhile && self.until <= attempt && attempt <= self.until + AROUND_STOP
    }
}

impl Verdict {
    pub fn judge(&mut self, requests: Vec<Request>, attempts: &Attempts, circumstances: &Circumstances) {
        for request in requests {
            let times = &circumstances.brokers[request.broker];
            self.count(&request, times);
            let mine = |(id, _): &(&String, &Vec<Instant>)| id.starts_with(&format!("{}.", request.id));
            let parts: Vec<_> = attempts.iter().filter(mine).map(|(_, at)| at).collect();
            let first = parts.iter().flat_map(|at| at.iter()).min().copied();
            let last = parts.iter().flat_map(|at| at.iter()).max().copied();
            for breach in breaches(&request, &parts, circumstances) {
                let after = |at: Instant| seconds_after(at, times.told);
                self.faults.push(Fault {
                    breach,
                    written_after: after(request.written),
                    forwarded_after: first.map(after),
                    last_attempt_after: last.map(after),
                    answered_after: request.answered.map(|(at, _)| after(at)),
                    request: request.clone(),
                });
            }
            if request.answered.is_none() && request.ended.is_some() && first.is_none() {
                self.crossed += 1;
            }
        }
    }

    fn count(&mut self, request: &Request, times: &BrokerTimes) {
        self.requests += 1;
        let after = seconds_after(request.written, times.told);
        self.after_signal += usize::from(after > 0.0);
        self.late += usize::from(after > 0.7);
        let Some((at, status)) = request.answered else { return };
        *self.answered.entry(status).or_default() += 1;
        if at > times.told {
            let left = times.killed.saturating_duration_since(at);
            self.least_left = Some(self.least_left.map_or(left, |least| least.min(left)));
        }
    }

    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.after_signal += other.after_signal;
        self.late += other.late;
        self.crossed += other.crossed;
        self.killed += other.killed;
        self.failed += other.failed;
        self.faults.extend(other.faults);
        self.least_left = self.least_left.into_iter().chain(other.least_left).min();
        for (status, count) in other.answered {
            *self.answered.entry(status).or_default() += count;
        }
    }

    pub fn count_of(&self, breach: Breach) -> usize {
        self.faults.iter().filter(|fault| fault.breach == breach).count()
    }
}

fn breaches(request: &Request, parts: &[&Vec<Instant>], circumstances: &Circumstances) -> BTreeSet<Breach> {
    let times = &circumstances.brokers[request.broker];
    let mut found = BTreeSet::new();
    let due = request.began + circumstances.timeout;
    match (request.answered, request.left) {
        (Some((at, _)), _) if at > due + LOST_AFTER + times.longest_hold => {
            found.insert(Breach::AnsweredLate);
        }
        (Some(_), _) | (None, Some(_)) => {}
        (None, None) if !parts.is_empty() => {
            found.insert(Breach::ForwardedUnanswered);
        }
        // A connection that the kill itself ended was open until then.
        (None, None)
            if request.ended.is_none_or(|(at, _)| at >= times.killed) && request.written < times.killed =>
        {
            found.insert(Breach::TakenUnanswered);
        }
        (None, None) => {}
    }
    let slack = STAND_INS + times.longest_hold.min(MAY_BE_HELD);
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
    if began_after(ended, SLACK) {
        found.insert(Breach::AttemptAfterEnd);
    }
    if request.left.is_some_and(|left| began_after(left, AFTER_LEAVE)) {
        found.insert(Breach::AttemptAfterLeave);
    }
    let may_be_resent = request.replayable || circumstances.nodes_refuse;
    if !may_be_resent && parts.iter().any(|at| at.len() > 1) {
        found.insert(Breach::RanTwice);
    }
    found
}

fn seconds_after(at: Instant, from: Instant) -> f64 {
    match at.checked_duration_since(from) {
        Some(after) => after.as_secs_f64(),
        None => -from.duration_since(at).as_secs_f64(),
    }
}
