//! Scans in a fleet that agrees: refused at once, held back, and not marked whole, where what is agreed asks for it.

use std::rc::Rc;

use dunepond_control_plane::AuditEvent;
use dunepond_routing::{AttemptOutcome, NodeId, Query, QueryId, Transport};
use tracing::debug;

use super::{Desk, may_have_run};
use crate::control_plane::{Began, proved};
use crate::upstream::Parcel;

/// What a scan goes by in a fleet that agrees.
pub struct Agreed {
    began: Rc<Began>,
    /// Parts that were sent under other keys than those that the scan began on, with that map's epoch.
    moved: Vec<(usize, u64)>,
    /// Of each part of a keyed scan, as only its repeats are judged: its dispatches that are out, and whether one may have
    /// run.
    tried: Vec<(usize, bool)>,
}

impl Agreed {
    pub fn began(&self) -> Rc<Began> {
        self.began.clone()
    }

    /// A dispatch is back.
    pub fn ended(&mut self, part: usize, end: AttemptOutcome) {
        if let Some((out, ran)) = self.tried.get_mut(part) {
            *out = out.saturating_sub(1);
            *ran |= may_have_run(end);
        }
    }
}

impl Desk {
    /// A scan is about to begin: false if it is refused at once by what is agreed, before the module hears of it.
    pub fn admit(&mut self, scan: &mut Query) -> bool {
        let Some(fleet) = &mut self.fleet else { return true };
        fleet.came(scan.tenant);
        let admitted = fleet.admit(scan);
        let (began, refused) = match admitted {
            Ok(began) => (began, None),
            Err((began, wait, why)) => (began, Some((wait, why))),
        };
        let Some(in_hand) = self.scans.get_mut(&scan.id) else { return false };
        let keyed = fleet.gate.keyed(scan.class);
        let tried = vec![(0, false); if keyed { in_hand.segs.len() } else { 0 }];
        in_hand.agreed = Some(Agreed { began, moved: Vec::new(), tried });
        let Some((wait, why)) = refused else { return true };
        let hand = &fleet.gate.hand;
        hand.count_rejected();
        hand.audit(|| AuditEvent::Refused { call: in_hand.call_id.clone(), why: why.to_string() });
        debug!("scan {}: refused: {why}", in_hand.call_id);
        self.reject_retriable(scan.id, wait.min(self.longest_wait));
        self.release(scan.id);
        false
    }

    /// Whether a part may go to a node now, and what that means for its scan.
    pub(super) fn may(&mut self, node: NodeId, parcel: &Parcel) -> bool {
        let Some(fleet) = &self.fleet else { return true };
        let (gate, name) = (&fleet.gate, self.servers.name(node));
        let Parcel { part, seg, table_type, .. } = *parcel;
        let in_hand = self.scans.get_mut(&parcel.scan);
        let agreed = in_hand.and_then(|in_hand| in_hand.agreed.as_mut());
        let mut may = gate.may(parcel.began.as_deref(), table_type, seg, name);
        if let Some(agreed) = agreed {
            if let Some((out, ran)) = agreed.tried.get_mut(part) {
                may &= (*out == 0 && !*ran) || gate.may_repeat(&agreed.began);
                // Its end will be told, sent or not.
                *out += 1;
            }
            if may && let Some(epoch) = gate.moved(&agreed.began, seg) {
                agreed.moved.push((part, epoch));
            }
        }
        if !may {
            gate.hand.count_withheld();
            debug!("node {name}: {} is held back by what is agreed", parcel.id);
        }
        may
    }

    /// Whether an answer may be marked whole: only if the parts that are in cover what was asked for under one map, where
    /// there is one. Parts that two nodes said cannot match count as in.
    pub(super) fn proves(&mut self, scan: QueryId, whole: bool) -> bool {
        let (Some(fleet), Some(in_hand)) = (&self.fleet, self.scans.get(&scan)) else { return whole };
        let agreed = in_hand.agreed.as_ref();
        let proof = agreed.and_then(|agreed| agreed.began.map().map(|proof| (proof, &agreed.moved)));
        let left_out = |seg: &usize| in_hand.left_out.iter().any(|left| left.segment == *seg);
        let is_in = |at: usize| in_hand.values[at].is_some() || left_out(&in_hand.segs[at]);
        let outcome = match proof.filter(|_| whole) {
            Some((proof, moved)) => proved(proof, &in_hand.segs, is_in, moved).map(Some),
            None => Ok(None),
        };
        if let Err(why) = &outcome {
            fleet.gate.hand.count_incomplete();
            debug!("scan {}: not whole: {why}", in_hand.call_id);
        }
        let whole = whole && outcome.is_ok();
        let segs = in_hand.segs.iter().enumerate().filter(|(at, _)| is_in(*at));
        fleet.gate.hand.audit(|| AuditEvent::Answer {
            call: in_hand.call_id.clone(),
            status: 200,
            whole,
            segs: segs.map(|(_, seg)| *seg as u64).collect(),
            epoch: outcome.ok().flatten(),
        });
        whole
    }

    pub(super) fn note(&self, scan: QueryId, status: u16, whole: bool) {
        if let (Some(fleet), Some(in_hand)) = (&self.fleet, self.scans.get(&scan)) {
            fleet.gate.hand.audit(|| AuditEvent::Answer {
                call: in_hand.call_id.clone(),
                status,
                whole,
                segs: Vec::new(),
                epoch: None,
            });
        }
    }
}
