//! Which nodes can be asked at all. One that does not know the question, cannot be reached or does not answer in time
//! costs every scan that asks it its share of the time, so it rests: the longer the more often in a row.

use std::collections::BTreeMap;

use crate::NodeId;

/// Seconds for which a node rests at first, and at most.
const REST: f64 = 0.5;
const LONGEST: f64 = 64.0;

/// Why a question was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unanswered {
    /// The node closed on it, or said that it cannot use it.
    NotSpoken,
    NoConnection,
    /// Not by the end of phase one.
    Late,
    /// It drained, went, or was replaced.
    Gone,
    /// What it said cannot be read, or is not about what it was asked.
    Spoilt,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    until: f64,
    length: f64,
    /// A question went out after the rest: until its end no other does.
    trial: Option<u64>,
}

#[derive(Default)]
pub struct Reach {
    resting: BTreeMap<NodeId, Rest>,
}

impl Reach {
    pub fn may_ask(&self, now: f64, node: NodeId) -> bool {
        self.resting.get(&node).is_none_or(|rest| now >= rest.until && rest.trial.is_none())
    }

    /// A question goes out to it.
    pub fn asked(&mut self, node: NodeId, question: u64) {
        self.resting.get_mut(&node).into_iter().for_each(|rest| rest.trial = Some(question));
    }

    pub fn answered(&mut self, node: NodeId) {
        self.resting.remove(&node);
    }

    /// Questions that fail together are one failure: what was out when the rest began does not lengthen it.
    pub fn failed(&mut self, now: f64, node: NodeId, question: u64, why: Unanswered) {
        let length = match self.resting.get(&node) {
            _ if why == Unanswered::Gone => return self.forget(node),
            Some(rest) if rest.trial != Some(question) => return,
            Some(rest) => (2.0 * rest.length).min(LONGEST),
            // What does not know the question will not learn it soon.
            None if why == Unanswered::NotSpoken => 8.0 * REST,
            None => REST,
        };
        self.resting.insert(node, Rest { until: now + length, length, trial: None });
    }

    pub fn forget(&mut self, node: NodeId) {
        self.resting.remove(&node);
    }

    pub fn resting(&self, now: f64) -> usize {
        self.resting.values().filter(|rest| now < rest.until).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_node_that_does_not_answer_rests_twice_as_long_each_time_and_is_tried_by_one_question() {
        let (mut reach, mut now) = (Reach::default(), 0.0);
        assert!(reach.may_ask(now, 3));
        for (question, length) in [(1, 0.5), (2, 1.0), (3, 2.0)] {
            reach.asked(3, question);
            reach.failed(now, 3, question, Unanswered::Late);
            assert!(!reach.may_ask(now + length - 0.01, 3) && reach.may_ask(now + length, 3));
            now += length;
        }
        reach.asked(3, 4);
        assert!(!reach.may_ask(now, 3));
        reach.answered(3);
        assert!(reach.may_ask(now, 3));
    }

    #[test]
    fn questions_that_fail_together_are_one_failure() {
        let mut reach = Reach::default();
        (1..9).for_each(|question| reach.failed(0.0, 3, question, Unanswered::Late));
        assert!(reach.may_ask(0.5, 3));
    }

    #[test]
    fn a_node_that_goes_leaves_nothing_behind() {
        let mut reach = Reach::default();
        reach.failed(0.0, 3, 1, Unanswered::NotSpoken);
        assert!(!reach.may_ask(3.9, 3) && reach.resting(3.9) == 1);
        reach.failed(1.0, 3, 2, Unanswered::Gone);
        assert!(reach.may_ask(1.0, 3));
    }
}
