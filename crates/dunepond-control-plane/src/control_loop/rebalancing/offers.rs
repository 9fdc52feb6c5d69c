//! Offers of the operator's plan to the leader, and the leader's replies.

use dunepond_consensus::{Command, Rejection, ReplicatedState};
use dunepond_membership::{RefusalReason, RequestKind, Responder};
use dunepond_rebalance::{
    CommittedEntry, DesiredState, PauseReason, Plan, PlanProgress, RebalanceError, ResumeTrigger, StepLimits,
    order_steps,
};
use serde::{Deserialize, Serialize};
use tracing::{error, info};

use super::RETRY_LEASES;
use crate::clock::monotonic_seconds;
use crate::control_loop::ControlLoop;
use crate::control_loop::messages::SentRequest;
use crate::documents::decode_message;
use crate::handle::increment;

/// Timeout of an offer, and the time between two offers, as a multiple of the lease duration.
const OFFER_TIMEOUT_LEASES: f64 = 1.0;

/// A message that offers a plan to the leader.
#[derive(Serialize, Deserialize)]
pub(super) struct PlanOffer {
    pub(super) plan: Plan,
    pub(super) max_concurrent_actions: usize,
    /// Whether the leader has accepted an earlier offer of this plan. A repeated offer must not resume a plan that was
    /// paused after the first offer.
    pub(super) is_repeat: bool,
}

/// A voter's response to an offer.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum OfferReply {
    /// The leader added an entry for the offer to its log. The plan is offered again until a voter reports its status
    /// in the log.
    Accepted,
    /// No log entry is added, because the offer would change nothing. Contains the plan's status in the log.
    Known(String),
    /// The voter does not lead. Names the leader if the voter knows it.
    NotLeader(Option<String>),
    /// The plan cannot be accepted now, for this reason, but may be later.
    RetryLater(String),
    /// The voter refused the plan, and would refuse it again.
    Refused { why: String, help: String },
}

impl OfferReply {
    /// The reply to an offer that was rejected for the reason `why`.
    fn of(why: &Rejection) -> Self {
        match why {
            Rejection::NotLeader(leader) => Self::NotLeader(leader.clone()),
            Rejection::Rebalance(e) if e.is_transient() => Self::RetryLater(why.to_string()),
            Rejection::Busy | Rejection::NoLeader => Self::RetryLater(why.to_string()),
            _ => Self::Refused { why: why.to_string(), help: why.help().to_string() },
        }
    }
}

impl ControlLoop {
    /// If the operator has given a plan, an offer is due and this broker's lease is valid, offers the plan to the
    /// leader, or to the next voter in turn if no leader is known.
    pub(super) fn offer_plan(&mut self) {
        let now = monotonic_seconds();
        if now < self.rebalancing.next_offer_at || now >= self.lease_client.active_config().lease_expires_at()
        {
            return;
        }
        self.rebalancing.read();
        let Some(plan) = self.rebalancing.plan.clone() else { return };
        let timeout_seconds = self.lease_seconds * OFFER_TIMEOUT_LEASES;
        self.rebalancing.next_offer_at = now + timeout_seconds;
        let to = self.rebalancing.leader_search.next_voter(&self.lease_client);
        let offer = PlanOffer {
            plan,
            max_concurrent_actions: self.rebalancing.max_concurrent_actions,
            is_repeat: self.rebalancing.offer_accepted,
        };
        if to == self.name {
            let reply = self.accept_offer(offer);
            return self.apply_offer_reply(&to, reply);
        }
        let Ok(body) = postcard::to_stdvec(&offer) else { return };
        let sent = SentRequest::Plan { voter: to.clone() };
        self.send_request(&to, RequestKind::RebalancePlan, body, timeout_seconds, sent);
    }

    /// Handles a plan that a peer offers to this broker's voter.
    pub(in crate::control_loop) fn handle_offer(&mut self, from: &str, body: &[u8], responder: Responder) {
        let offer: PlanOffer = match decode_message(body) {
            Ok(offer) => offer,
            Err(reason) => return self.peers.respond(responder, Err(reason)),
        };
        let id = offer.plan.id.clone();
        let reply = self.accept_offer(offer);
        if !matches!(reply, OfferReply::RetryLater(_)) {
            info!("fleet: plan {id}, offered by {from}: {reply:?}");
        }
        let body = postcard::to_stdvec(&reply).map_err(|_| RefusalReason::Malformed);
        self.peers.respond(responder, body);
    }

    /// Handles the response to an offer. `body` is `None` if the request failed; then the plan is offered again.
    pub(in crate::control_loop) fn on_offer_reply(&mut self, voter: &str, body: Option<Vec<u8>>) {
        if let Some(reply) = body.and_then(|body| postcard::from_bytes(&body).ok()) {
            self.apply_offer_reply(voter, reply);
        }
    }

    fn apply_offer_reply(&mut self, voter: &str, reply: OfferReply) {
        let rebalancing = &mut self.rebalancing;
        let id = rebalancing.plan.as_ref().map_or(String::new(), |plan| plan.id.clone());
        match reply {
            OfferReply::Accepted => rebalancing.offer_accepted = true,
            OfferReply::Known(status) => {
                info!("fleet: plan {id}: {status}");
                rebalancing.plan = None;
            }
            OfferReply::NotLeader(leader) => {
                rebalancing.leader_search.on_not_leader(leader);
                rebalancing.next_offer_at = monotonic_seconds() + self.lease_seconds * RETRY_LEASES;
            }
            OfferReply::RetryLater(why) => {
                info!("fleet: plan {id}: {voter} cannot accept it now, retrying later: {why}")
            }
            OfferReply::Refused { why, help } => {
                error!("fleet: plan {id}: refused by {voter}: {why} ({help})");
                increment(&self.counters.refused);
                rebalancing.plan = None;
            }
        }
    }

    /// Handles an offer if this broker leads: proposes the log entry that accepts a new plan, or that carries out the
    /// operator's command for a plan that is already in the log.
    fn accept_offer(&mut self, offer: PlanOffer) -> OfferReply {
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.is_leader()) else {
            let leader = self.voter.as_ref().and_then(|voter| voter.leader());
            return OfferReply::NotLeader(leader.filter(|leader| *leader != self.name));
        };
        let state = voter.state();
        if let Some(status) = state.rebalance().status(&offer.plan.id) {
            return match operator_entry(state.rebalance(), offer) {
                Some(entry) => self.propose_offered(entry),
                None => OfferReply::Known(status),
            };
        }
        if offer.plan.desired_state == DesiredState::Withdraw {
            return OfferReply::Known("it was never taken, so nothing is to be undone".to_string());
        }
        match ordered_plan(state, offer.plan, offer.max_concurrent_actions) {
            Ok(entry) => self.propose_offered(entry),
            Err(why) => OfferReply::of(&why),
        }
    }

    fn propose_offered(&mut self, entry: CommittedEntry) -> OfferReply {
        match self.propose(Command::Rebalance(entry)) {
            Ok(()) => OfferReply::Accepted,
            Err(why) => OfferReply::of(&why),
        }
    }
}

/// The log entry that carries out the operator's command for a plan that is in the log; `None` if the command changes
/// nothing.
fn operator_entry(progress: &PlanProgress, offer: PlanOffer) -> Option<CommittedEntry> {
    let PlanOffer { plan: Plan { id, proposed_by, reason, desired_state, .. }, is_repeat, .. } = offer;
    let running = progress.running.as_ref().filter(|running| running.plan.id == id)?;
    let is_paused_by_load = matches!(running.pause, Some(PauseReason::Overload { .. }));
    let is_paused = running.pause.is_some() && !is_paused_by_load;
    match desired_state {
        DesiredState::Pause if !is_paused => {
            let reason = PauseReason::Operator { name: proposed_by };
            Some(CommittedEntry::Paused { plan: id, reason })
        }
        // A repeated offer must not resume a plan that was paused after the first offer.
        DesiredState::Run if is_paused && !is_repeat => {
            Some(CommittedEntry::Resumed { plan: id, trigger: ResumeTrigger::Operator(proposed_by) })
        }
        DesiredState::Withdraw if running.withdrawal.is_none() => {
            Some(CommittedEntry::Withdrawn { plan: id, withdrawn_by: proposed_by, reason })
        }
        _ => None,
    }
}

/// The log entry that accepts a new plan, with its operations ordered into steps. Returns an error if there is no
/// active map, if another plan runs, or if a configuration version is proposed that is neither active nor withdrawn.
fn ordered_plan(
    state: &ReplicatedState,
    plan: Plan,
    max_concurrent_actions: usize,
) -> Result<CommittedEntry, Rejection> {
    let map = state.verified_map().ok_or(RebalanceError::NoMap)?;
    if let Some(running) = &state.rebalance().running {
        return Err(RebalanceError::OtherPlanRunning { running: running.plan.id.clone() }.into());
    }
    if let Some(open) = &state.proposed {
        return Err(RebalanceError::VersionOpen { open: open.version.number }.into());
    }
    let limits =
        StepLimits { max_actions: max_concurrent_actions, max_changed_ratio: state.config.max_changed_ratio };
    let steps = order_steps(&plan, map, limits, |node| state.is_excluded(node))?;
    info!(
        "fleet: plan {} by {}: {} operations in {} steps, each of at most {max_concurrent_actions} actions \
         and with at most a ratio of {} of the segments changed",
        plan.id,
        plan.proposed_by,
        plan.operations.len(),
        steps.len(),
        limits.max_changed_ratio
    );
    Ok(CommittedEntry::Accepted { plan: Box::new(plan), steps, max_actions: max_concurrent_actions })
}
