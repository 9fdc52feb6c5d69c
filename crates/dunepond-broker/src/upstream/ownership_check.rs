//! Frames in a fleet that agrees: looked at once more as they go out, and noted as they have.

use std::collections::VecDeque;

use dunepond_routing::AttemptOutcome;
use tracing::debug;

use super::{Link, Out, Parcel, Servers};
use crate::clock::Alarms;
use crate::control_plane::fence::{Fate, Stage};
use crate::control_plane::{Gate, Look};

/// Notes each part whose frame has been put on its connection since the last look.
pub fn note(gate: &Gate, look: &Look, host: &str, link: &mut Link) {
    if !gate.hand.is_audited() {
        return;
    }
    for out in link.carried.iter_mut().filter(|o| o.to.is_some() && !o.noted) {
        let p = &out.parcel;
        out.noted = true;
        gate.sent(look, p.began.as_deref(), p.table_type, &p.id, (p.seg, p.shot), host);
    }
}

impl Servers {
    /// What has waited for its connection may go nowhere any more: checked again right before it is framed. False where one
    /// that is framed and not all written may not.
    pub(super) fn hold_back(&mut self, look: &Look, now: f64, id: usize, alarms: &mut Alarms) -> bool {
        let Some(gate) = &self.gate else { return true };
        let Some(link) = self.links.get_mut(id).filter(|l| l.up) else { return true };
        let host = self.servers[link.node].name();
        let may = |p: &Parcel| gate.may_by(look, p.began.as_deref(), p.table_type, p.seg, host);
        let written = link.out.written();
        let stage = |o: &Out| match o.to {
            None => Stage::Queued,
            Some(to) if to > written => Stage::HalfWritten,
            Some(_) => Stage::Silent,
        };
        let fate = |o: &Out| {
            let p = &o.parcel;
            if may(p) { Fate::Goes } else { gate.fate(look, stage(o), p.table_type, p.seg, host) }
        };
        if link.carried.iter().any(|o| fate(o) == Fate::Cut) {
            return false;
        }
        let held = |o: &Out| fate(o) == Fate::Held;
        if !link.carried.iter().any(held) {
            return true;
        }
        let (held, carried) = link.carried.drain(..).partition(held);
        link.carried = carried;
        let (held, node): (VecDeque<Out>, _) = (held, link.node);
        for out in held {
            gate.hand.count_withheld();
            debug!("node {host}: {} is held back by what is agreed", out.parcel.id);
            self.back.push_back(out.back(node, AttemptOutcome::NotSent, now, None));
        }
        self.rest(now, id, alarms);
        true
    }
}
