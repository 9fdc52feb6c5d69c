//! Every state in which a part can be when the fence of a move falls, and the one way in which it ends. A fence is the
//! joint step of a version that changes the owner of the part's keys: for that long nobody may be sent what must not run
//! twice, and what went out before has to be known to be over before the new owner gets any.

use dunepond_routing::{AttemptOutcome, Idempotency};

/// How far the part had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its scan has begun, and it is not dispatched.
    Unsent,
    /// It waits for a connection, or in the line of one.
    Queued,
    /// Its frame is put on its connection, and not all of it written.
    HalfWritten,
    /// All written, and no answer.
    Silent,
    /// Its answer was in before the fence fell.
    Answered,
    /// Its answer came while the fence was down, or after.
    AnsweredLate,
    /// The node turned it away unseen.
    Turned,
}

/// Whose node it was sent, or would be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Old,
    New,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// As if there were no fence: it may be sent, and what is out may be sent once more as its effect allows.
    Goes,
    /// Given back unsent: its scan is throttled, with when to return, if nothing of it has run.
    Held,
    /// Its connection ends before the frame does, so that the node cannot have read it; then as held.
    Cut,
    /// Its own answer alone ends it, until its query timeout; it is sent nowhere else.
    Waits,
    /// Its answer counts, once, under the map that its scan began on.
    Counts,
}

impl Fate {
    /// Known not to have run and not to run any more: it may be asked for again, at whoever owns it then.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Held | Self::Cut)
    }

    /// How the module hears of it; nothing where it goes on.
    pub fn end(self) -> Option<AttemptOutcome> {
        match self {
            Self::Held => Some(AttemptOutcome::NotSent),
            Self::Cut => Some(AttemptOutcome::ConnectFailed),
            Self::Goes | Self::Waits | Self::Counts => None,
        }
    }
}

/// The table. Both sides stand in it, as the new owner is no better while some broker may still act on the old map.
pub fn fate(stage: Stage, effect: Idempotency, side: Side) -> Fate {
    use Fate::{Counts, Cut, Goes, Held, Waits};
    use Idempotency::{Idempotent, Keyed, NonIdempotent};
    use Stage::{Answered, AnsweredLate, HalfWritten, Queued, Silent, Turned, Unsent};
    match (stage, effect, side) {
        (Answered | AnsweredLate, _, _) => Counts,
        // Whoever holds the keys may run it, as often as it takes; of keyed ones the node drops what it has run.
        (Unsent | Queued | HalfWritten | Silent | Turned, Idempotent | Keyed(_), _) => Goes,
        (Unsent | Queued | Turned, NonIdempotent, Side::Old | Side::New) => Held,
        (HalfWritten, NonIdempotent, Side::Old | Side::New) => Cut,
        // It may be running: neither the other side nor this one may get it again.
        (Silent, NonIdempotent, Side::Old | Side::New) => Waits,
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const STAGES: [Stage; 7] = [
        Stage::Unsent,
        Stage::Queued,
        Stage::HalfWritten,
        Stage::Silent,
        Stage::Answered,
        Stage::AnsweredLate,
        Stage::Turned,
    ];
    const SIDES: [Side; 2] = [Side::Old, Side::New];

    /// Whether a node may have run a part that was so far when the fence fell.
    fn may_have_run(stage: Stage) -> bool {
        matches!(stage, Stage::Silent | Stage::Answered | Stage::AnsweredLate)
    }

    #[rstest]
    fn what_must_not_run_twice_is_asked_for_again_only_where_it_surely_never_ran(
        #[values(0, 1, 2, 3, 4, 5, 6)] stage: usize,
        #[values(Side::Old, Side::New)] side: Side,
    ) {
        let stage = STAGES[stage];
        let fate = fate(stage, Idempotency::NonIdempotent, side);
        assert_eq!(fate.never_ran(), !may_have_run(stage), "{stage:?}");
        assert_ne!(fate, Fate::Goes, "{stage:?}: nobody owns it while the fence is down");
        assert_eq!(fate.end().is_some(), fate.never_ran());
    }

    #[test]
    fn what_may_run_twice_is_never_held_up() {
        for (stage, side) in STAGES.iter().flat_map(|stage| SIDES.map(|side| (*stage, side))) {
            for effect in [Idempotency::Idempotent, Idempotency::Keyed(1.0)] {
                let fate = fate(stage, effect, side);
                assert!(matches!(fate, Fate::Goes | Fate::Counts), "{stage:?} {side:?}");
            }
        }
    }
}
