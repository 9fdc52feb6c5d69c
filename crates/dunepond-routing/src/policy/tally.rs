//! Tally: whether what is in makes an answer, and what may still go out.

use super::*;

impl Router {
    pub(super) fn tally(&mut self, host: &mut dyn Transport, held: &mut Held) -> Pass {
        if held.step().is_empty() {
            return Pass::Keep;
        }
        if held.weight(|p| p.done) >= self.need(held) {
            host.answer(held.id, true);
            if held.second || !self.site.query_classes[held.table_type].second_step {
                return Pass::End;
            }
            held.step_from = held.pieces.len();
            return Pass::Keep;
        }
        if held.weight(|p| p.done || p.out().next().is_some() || self.may_go(held, p)) < self.least(held) {
            return self.give_up(host, held);
        }
        Pass::On
    }

    /// The weight of parts that makes the present step whole; shares sum up with a rounding.
    pub(super) fn need(&self, held: &Held) -> f64 {
        if held.second { 1.0 - 1e-6 } else { self.share(held, |r| &r.complete_at) - 1e-6 }
    }

    /// The weight of parts under which nothing can be answered.
    pub(super) fn least(&self, held: &Held) -> f64 {
        self.need(held).min(self.share(held, |r| &r.minimum_share) - 1e-6)
    }

    /// Another dispatch of this part breaks no rule of its table type.
    pub(super) fn may_go(&self, held: &Held, piece: &Piece) -> bool {
        let ran = |s: &&Shot| !s.never_ran();
        !piece.done
            && !held.spent
            && piece.shots.len() < self.dispatch_cap(held)
            && (piece.only.is_none() || self.holders(piece.seg, piece.only).next().is_some())
            && match self.site.query_classes[held.table_type].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Keyed(window) => {
                    piece.shots.iter().find(ran).is_none_or(|s| self.now - s.at < window - MAX_STALL_SECONDS)
                }
                Idempotency::NonIdempotent => !piece.shots.iter().any(|s| ran(&s)),
            }
    }

    /// Some dispatch may still need a scan's text: what is out may yet come back as never run.
    pub fn needs_body(&self, scan: QueryId) -> bool {
        let Some(held) = self.scans.get(&scan).filter(|held| !held.spent) else { return false };
        let cap = self.dispatch_cap(held);
        let again =
            |p: &Piece| self.may_go(held, p) || p.shots.iter().all(|s| s.end.is_none() || s.never_ran());
        held.step().iter().any(|p| !p.done && p.shots.len() < cap && again(p))
    }
}
