//! Whether bodies may be spilled, as failures of the disk have left it.

use crate::limits::SpillLimits;
use crate::placement::BodyId;

/// How much longer each failure in a row makes the backoff.
const BACKOFF_FACTOR: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SpillState {
    Available,
    BackingOff {
        until: f64,
        backoff_seconds: f64,
    },
    /// One body shows whether the disk works again.
    Probing {
        body: BodyId,
        backoff_seconds: f64,
    },
}

impl SpillState {
    /// Whether this body may be written now.
    pub(crate) fn permits(&self, now: f64, body: BodyId) -> bool {
        match *self {
            Self::Available => true,
            Self::BackingOff { until, .. } => now >= until,
            Self::Probing { body: probe, .. } => probe == body,
        }
    }

    /// A body that was permitted is written: after a failure it is the probe.
    pub(crate) fn on_started(&mut self, body: BodyId) {
        if let Self::BackingOff { backoff_seconds, .. } = *self {
            *self = Self::Probing { body, backoff_seconds };
        }
    }

    /// A body is in its file as a whole.
    pub(crate) fn on_written(&mut self, body: BodyId) {
        if self.is_probe(body) {
            *self = Self::Available;
        }
    }

    /// The disk has failed a body. Bodies that were under way together fail together, which counts as one failure.
    pub(crate) fn on_failed(&mut self, now: f64, body: BodyId, limits: &SpillLimits) {
        let backoff_seconds = match *self {
            Self::Available => limits.initial_backoff_seconds,
            Self::Probing { body: probe, backoff_seconds } if probe == body => {
                (BACKOFF_FACTOR * backoff_seconds).min(limits.max_backoff_seconds)
            }
            Self::Probing { .. } | Self::BackingOff { .. } => return,
        };
        *self = Self::BackingOff { until: now + backoff_seconds, backoff_seconds };
    }

    /// A body is released. Where it was a probe without a result, the next body is one at once.
    pub(crate) fn on_released(&mut self, body: BodyId) {
        if let Self::Probing { body: probe, backoff_seconds } = *self
            && probe == body
        {
            *self = Self::BackingOff { until: f64::MIN, backoff_seconds };
        }
    }

    fn is_probe(&self, body: BodyId) -> bool {
        matches!(*self, Self::Probing { body: probe, .. } if probe == body)
    }
}
