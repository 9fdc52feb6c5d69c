//! Time: the last moment for an answer, and how a scan ends that gets none.

use super::*;

/// By the page of the standing test a broker may be "held up for up to 0.15 s between reading its clock and writing". No
/// repeat is begun closer than this to the end of its window, as it could run a second time after that; the end of a client's
/// time has no such margin: many requests come with less than that and are served in time.
pub const MAX_STALL_SECONDS: f64 = 0.15;

impl Router {
    /// The last wake that surely comes before its client's time is up, or before it is worth nothing.
    pub(super) fn last_call(&self, held: &Held) -> f64 {
        let worthless = self.site.query_classes[held.table_type].late_value_ratio <= 0.0;
        let end = if worthless { held.ends_at.min(held.target_at) } else { held.ends_at };
        end - 7.0 * self.site.tick
    }

    pub(super) fn in_time(&mut self, host: &mut dyn Transport, held: &mut Held) -> Pass {
        let kind = &self.site.query_classes[held.table_type];
        if self.now < self.last_call(held) {
            return Pass::On;
        }
        let share = held.weight(|p| p.done && !p.left);
        let answers = !kind.second_step || held.second;
        let least = self.share(held, |r| &r.minimum_share);
        if answers && least < self.share(held, |r| &r.complete_at) && share > 0.0 && share >= least {
            host.answer(held.id, false);
            return Pass::End;
        }
        self.give_up(host, held)
    }

    /// The final answer for a scan that will not be served, at once: kept any longer it could earn
    /// nothing, and its client would lose the time.
    pub(super) fn give_up(&mut self, host: &mut dyn Transport, held: &Held) -> Pass {
        let replayable = self.site.query_classes[held.table_type].idempotency == Idempotency::Idempotent;
        if replayable || held.pieces.iter().flat_map(|p| &p.shots).all(Shot::never_ran) {
            let spread: f64 = self.rng.random_range(0.5..1.0);
            let longest = held.rules.max_retry_after.min(self.rules.max_retry_after);
            host.reject_retriable(held.id, spread * longest);
        } else {
            host.fail_unknown_outcome(held.id);
        }
        Pass::End
    }
}
