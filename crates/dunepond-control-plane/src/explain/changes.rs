//! Explanations of the entries of the replicated log.

use dunepond_consensus::{ChangeEnd, ReplicatedState, RolloutStep, StateChange};
use dunepond_settlement::SettlementEntry;
use dunepond_shard_map::MapTransition;

use super::text::{abbreviated_list, proposer_and_reason, shortened, truncated};
use super::{Explanation, Subject};

impl Explanation {
    /// Explains the log entry at `index`, which made this change; `state` is the replicated state after the entry.
    /// Returns `None` for settlements, which each broker explains when it applies them
    /// ([`Explanation::for_settlement`]), and for `VoterSlot`, which is not a decision.
    pub fn for_change(index: u64, change: &StateChange, state: &ReplicatedState) -> Option<Self> {
        match change {
            StateChange::Proposed(number) => Self::for_proposed(index, *number, state),
            StateChange::Staged(number) => Self::for_staged(index, *number, state),
            StateChange::RollingBack(number) => Self::for_rollback(index, *number, state),
            StateChange::Activated(number) | StateChange::Withdrawn(number) => {
                Self::for_version_end(index, *number, state)
            }
            StateChange::FillCompleted { number, segment, holder } => {
                let what = format!("{number}/{segment}/{} is filled, entry {index}", shortened(holder));
                let alternatives = format!("{} fills left", state.missing_fills());
                let limit = format!("within {} s", state.config.fill_deadline_seconds);
                Some(Self::new(Subject::Fill, &what, "the leader's fill scheduler", &limit, &alternatives))
            }
            StateChange::Settlement(SettlementEntry::Settle(_)) | StateChange::VoterSlot(_) => None,
            StateChange::Quota(generation) => Some(Self::for_quota(index, *generation, state)),
            StateChange::Rebalance { plan, status } => Some(Self::for_plan(index, plan, status, state)),
            StateChange::VotersPending(number) => Some(Self::for_voters(index, *number, "starts", state)),
            StateChange::VotersChanged(number) => {
                Some(Self::for_voters(index, *number, "is complete", state))
            }
            other => {
                let what = format!("entry {index}: {other:?}");
                Some(Self::new(Subject::Entry, &what, "the replicated log", "", ""))
            }
        }
    }

    fn for_proposed(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let config = &state.config;
        let Some(open) = state.proposed.as_ref().filter(|open| open.version.number == number) else {
            // Later entries, which were applied together with the proposal, have already activated or withdrawn the
            // version.
            let ended = state.history.iter().rev().find(|ended| ended.number == number)?;
            let authority = format!("{}: {}", shortened(&ended.proposed_by), shortened(&ended.reason));
            let what = format!("{number} was proposed, entry {index}");
            return Some(Self::new(Subject::Version, &what, &authority, "", "it has ended already"));
        };
        let what = format!("{number} is proposed, entry {index}");
        let limit = format!(
            "active once all brokers know it, at most {:.2} s from now; {} of the segments at once; fills within {} s",
            state.quiescence_seconds(config),
            config.max_changed_ratio,
            config.fill_deadline_seconds
        );
        let alternatives = format!(
            "follows {}, {}, {} fills",
            state.active_number(),
            open_transition(state),
            state.missing_fills()
        );
        Some(Self::new(Subject::Version, &what, &proposer_and_reason(&open.version), &limit, &alternatives))
    }

    fn for_staged(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let open = state.proposed.as_ref()?;
        let RolloutStep::Staged(share) = open.step else { return None };
        let what = format!("{number} is staged at {share} of the brokers first, entry {index}");
        let limit = "the other brokers stay joint until it is confirmed or withdrawn";
        let authority = proposer_and_reason(&open.version);
        Some(Self::new(Subject::Version, &what, &authority, limit, &open_transition(state)))
    }

    fn for_rollback(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let open = state.proposed.as_ref()?;
        let what = format!("{number} is rolled back, entry {index}");
        let limit = format!("all brokers stay joint for {:.2} s", state.quiescence_seconds(&state.config));
        let alternatives = format!("because: {}", shortened(open.withdraw_reason.as_deref().unwrap_or("")));
        Some(Self::new(Subject::Version, &what, &proposer_and_reason(&open.version), &limit, &alternatives))
    }

    fn for_version_end(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let ended = state.history.iter().rev().find(|ended| ended.number == number)?;
        let (what, alternatives) = match &ended.end {
            ChangeEnd::Activated => {
                (format!("{number} is in force, entry {index}"), String::from("all fills are done"))
            }
            ChangeEnd::Withdrawn(why) => {
                (format!("{number} is withdrawn, entry {index}"), format!("because: {}", shortened(why)))
            }
        };
        let authority = format!("{}: {}", shortened(&ended.proposed_by), shortened(&ended.reason));
        let limit =
            format!("{} is in force, the next number is {}", state.active_number(), state.highest_number + 1);
        Some(Self::new(Subject::Version, &what, &authority, &limit, &alternatives))
    }

    fn for_quota(index: u64, generation: u64, state: &ReplicatedState) -> Self {
        let quota = &state.quota;
        let what = format!("shares of quotas, generation {generation}, entry {index}");
        let limit = format!("{} units in each quota, all brokers together", dunepond_quota::TOTAL_UNITS);
        let names = quota.shared.iter().flat_map(|shared| &shared.names);
        let free = |name: &String| format!("{} free of {}", quota.free_units(name), shortened(name));
        let alternatives =
            format!("{}; {} brokers share", abbreviated_list(names.map(free)), quota.brokers.len());
        Self::new(Subject::Quota, &what, "the leader, by the brokers' demand", &limit, &alternatives)
    }

    fn for_plan(index: u64, plan: &str, status: &str, state: &ReplicatedState) -> Self {
        let what = format!("plan {}, entry {index}: {}", shortened(plan), truncated(status));
        let limit = format!("{} of the segments at once", state.config.max_changed_ratio);
        let running = state.rebalance().running.as_ref().filter(|running| running.plan.id == *plan);
        let authority = running.map_or(String::from("as stated when it started"), |running| {
            format!("{}: {}", shortened(&running.plan.proposed_by), shortened(&running.plan.reason))
        });
        Self::new(Subject::Rebalance, &what, &authority, &limit, &open_transition(state))
    }

    fn for_voters(index: u64, number: u64, status: &str, state: &ReplicatedState) -> Self {
        let what = format!("change of voters {number} {status}, entry {index}");
        let limit = "one voter at a time, so that each majority overlaps the previous one";
        let pending = state.voters.pending.as_ref().filter(|pending| pending.number == number);
        let authority = pending.map_or(String::from("as stated when it started"), |pending| {
            format!("{}: {}", shortened(&pending.proposed_by), shortened(&pending.reason))
        });
        let alternatives = abbreviated_list(state.voters.voters.iter().map(|voter| shortened(&voter.name)));
        Self::new(Subject::Voters, &what, &authority, limit, &format!("voters: {alternatives}"))
    }
}

/// Text that states how many of all segments the transition changes.
fn changed_segments(transition: &MapTransition) -> String {
    format!("{} of {} segments change", transition.changed_segments(), transition.to().len())
}

/// Text that states how many segments the transition to the proposed map changes, or that no segment moves if no other
/// map is proposed.
fn open_transition(state: &ReplicatedState) -> String {
    state.map_transition().map_or(String::from("no segment moves"), changed_segments)
}
