//! Back-off after disk failures: whether bodies may be spilled now.

use crate::limits::SpillLimits;
use crate::placement::BodyId;

/// Factor by which each consecutive failure lengthens the back-off.
const BACKOFF_FACTOR: f64 = 2.0;

/// State of spilling after successes and failures of the disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SpillState {
    /// Any body may be spilled.
    Available,
    /// The disk failed, and no body may be spilled before `until`.
    BackingOff { until: f64, backoff_seconds: f64 },
    /// One body, the probe, is being written to find out whether the disk works again; no other may be spilled.
    Probing { body: BodyId, backoff_seconds: f64 },
}

impl SpillState {
    /// Whether this body may be written to the disk now.
    pub(crate) fn permits(&self, now: f64, body: BodyId) -> bool {
        match *self {
            Self::Available => true,
            Self::BackingOff { until, .. } => now >= until,
            Self::Probing { body: probe, .. } => probe == body,
        }
    }

    /// Records that writing a body to a file has started. The first body after a back-off becomes the probe, whose
    /// result shows whether the disk works again.
    pub(crate) fn on_started(&mut self, body: BodyId) {
        if let Self::BackingOff { backoff_seconds, .. } = *self {
            *self = Self::Probing { body, backoff_seconds };
        }
    }

    /// Records that a body was written completely. If it was the probe, spilling is available again.
    pub(crate) fn on_written(&mut self, body: BodyId) {
        if self.is_probe(body) {
            *self = Self::Available;
        }
    }

    /// Records that a disk job of a body failed, and starts or lengthens the back-off. Failures during a back-off are
    /// ignored, and so are those of other bodies than the probe, so that failures of bodies that were written at the
    /// same time count as one.
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

    /// Records that a body was released. If the body was the probe and its result is not known yet, the next body that
    /// is written becomes the probe.
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
