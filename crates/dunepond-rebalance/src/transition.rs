//! Computes the map transition that carries out a batch of actions.

use dunepond_shard_map::{MapDelta, MapTransition, Segment, VerifiedMap, verify_delta};

use crate::layout::Layout;
use crate::{ActionBatch, RebalanceError};

impl ActionBatch {
    /// The verified transition from the active map to the map after this batch. `step` is used only in errors.
    ///
    /// # Errors
    /// An action is not possible on this map, or the map after the batch or the transition to it is invalid
    /// ([`RebalanceError::InvalidMap`]).
    pub fn transition(&self, map: &VerifiedMap, step: usize) -> Result<MapTransition, RebalanceError> {
        let mut layout = Layout::from_map(map, self.segments());
        // `from_map` has marked the replicas that earlier steps filled, so the new map lists them as filled.
        for planned in &self.actions {
            layout.apply(planned.operation, &planned.action, |id| map.contains_segment(id))?;
        }
        let upserted: Vec<Segment> = layout.iter().map(|segment| Segment::clone(segment)).collect();
        let mut removed: Vec<u64> =
            self.segments().filter(|id| layout.get(*id).is_none() && map.contains_segment(*id)).collect();
        removed.sort_unstable();
        removed.dedup();
        let delta = MapDelta {
            epoch: map.epoch() + 1,
            base_digest: String::new(),
            removed,
            upserted,
            digest: String::new(),
        };
        verify_delta(map, &delta.with_digests(map))
            .map_err(|faults| RebalanceError::InvalidMap { step, faults })
    }
}
