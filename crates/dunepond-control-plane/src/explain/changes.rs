//! Explanations of the agreed log's entries.

use dunepond_consensus::{ChangeEnd, ReplicatedState, RolloutStep, StateChange};
use dunepond_settlement::SettlementEntry;
use dunepond_shard_map::MapTransition;

use super::text::{abbreviated_list, proposer_and_reason, shortened, truncated};
use super::{Explanation, Subject};

impl Explanation {
    /// Explains an entry of the log that changed something; `state` is the state after the entry. `None` for settlements, which
    /// each broker explains as it applies them ([`Explanation::for_settlement`]), and for entries that are no decision (`VoterSlot`).
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
                let alternatives = format!("{} fills are left", state.missing_fills());
                let limit = format!("within {} s", state.config.fill_deadline_seconds);
                Some(Self::new(Subject::Fill, &what, "the leader's filler", &limit, &alternatives))
            }
            StateChange::Settlement(SettlementEntry::Settle(_)) | StateChange::VoterSlot(_) => None,
            StateChange::Quota(generation) => Some(Self::for_quota(index, *generation, state)),
            StateChange::Rebalance { plan, status } => Some(Self::for_plan(index, plan, status, state)),
            StateChange::VotersPending(number) => Some(Self::for_voters(index, *number, "begins", state)),
            StateChange::VotersChanged(number) => Some(Self::for_voters(index, *number, "is done", state)),
            other => {
                let what = format!("entry {index}: {other:?}");
                Some(Self::new(Subject::Entry, &what, "the agreed log", "", ""))
            }
        }
    }

    fn for_proposed(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let config = &state.config;
        let Some(open) = state.open.as_ref().filter(|open| open.version.number == number) else {
            // Entries applied with it have ended it already.
            let ended = state.history.iter().rev().find(|ended| ended.number == number)?;
            let authority = format!("{}: {}", shortened(&ended.proposed_by), shortened(&ended.reason));
            let what = format!("{number} was proposed, entry {index}");
            return Some(Self::new(Subject::Version, &what, &authority, "", "it is over"));
        };
        let what = format!("{number} is proposed, entry {index}");
        let limit = format!(
            "in force no sooner than all have heard, at most {:.2} s on; {} of the segments at once; fills within {} s",
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
        let open = state.open.as_ref()?;
        let RolloutStep::Staged(share) = open.step else { return None };
        let what = format!("{number} goes to {share} of the brokers first, entry {index}");
        let limit = "the others stay joint until it is confirmed or withdrawn";
        let authority = proposer_and_reason(&open.version);
        Some(Self::new(Subject::Version, &what, &authority, limit, &open_transition(state)))
    }

    fn for_rollback(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let open = state.open.as_ref()?;
        let what = format!("{number} is taken back, entry {index}");
        let limit = format!("all are joint for {:.2} s more", state.quiescence_seconds(&state.config));
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
        let what = format!("parts of shared bounds, generation {generation}, entry {index}");
        let limit = format!("{} units in each bound, all brokers together", dunepond_quota::TOTAL_UNITS);
        let names = quota.shared.iter().flat_map(|shared| &shared.names);
        let free = |name: &String| format!("{} free of {}", quota.free_units(name), shortened(name));
        let alternatives =
            format!("{}; {} brokers share", abbreviated_list(names.map(free)), quota.brokers.len());
        Self::new(Subject::Quota, &what, "the leader, by what brokers need", &limit, &alternatives)
    }

    fn for_plan(index: u64, plan: &str, status: &str, state: &ReplicatedState) -> Self {
        let what = format!("plan {}, entry {index}: {}", shortened(plan), truncated(status));
        let limit = format!("{} of the segments at once", state.config.max_changed_ratio);
        let running = state.rebalance().running.as_ref().filter(|running| running.plan.id == *plan);
        let authority = running.map_or(String::from("as its beginning said"), |running| {
            format!("{}: {}", shortened(&running.plan.proposed_by), shortened(&running.plan.reason))
        });
        Self::new(Subject::Rebalance, &what, &authority, &limit, &open_transition(state))
    }

    fn for_voters(index: u64, number: u64, status: &str, state: &ReplicatedState) -> Self {
        let what = format!("change of voters {number} {status}, entry {index}");
        let limit = "one voter at a time, each majority with one of before";
        let next = state.voters.pending.as_ref().filter(|next| next.number == number);
        let authority = next.map_or(String::from("as its beginning said"), |next| {
            format!("{}: {}", shortened(&next.proposed_by), shortened(&next.reason))
        });
        let alternatives = abbreviated_list(state.voters.voters.iter().map(|voter| shortened(&voter.name)));
        Self::new(Subject::Voters, &what, &authority, limit, &format!("voters: {alternatives}"))
    }
}

fn changed_segments(transition: &MapTransition) -> String {
    format!("{} of {} segments change", transition.changed_segments(), transition.to().len())
}

/// How many segments the open transition changes.
fn open_transition(state: &ReplicatedState) -> String {
    state.map_transition().map_or(String::from("no segment moves"), changed_segments)
}
