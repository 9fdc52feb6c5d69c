//! Admits bodies, reserves more space as they grow, and completes and releases them.

use super::{Body, BufferManager};
use crate::limits::MAX_BUFFERED_RATIO;
use crate::placement::{BodyId, FallbackReason, IncomingBody, Owner, Placement, Tier};

/// The tier chosen for a new body, and the bytes to reserve for it.
struct Reservation {
    tier: Tier,
    /// Why the body is not in the next better tier; `None` for [`Tier::Memory`].
    fallback_reason: Option<FallbackReason>,
    memory_bytes: u64,
    file_bytes: u64,
}

impl BufferManager {
    /// Admits a body, chooses its tier and reserves space for its stated length.
    ///
    /// # Errors
    /// Returns why the body is not accepted. [`Self::fallback_counts`] counts it as a body that could not be placed in the
    /// last tier, [`Tier::PassThrough`].
    pub fn admit(&mut self, now: f64, incoming: IncomingBody) -> Result<Placement, FallbackReason> {
        let IncomingBody { tenant, query_class, stated_length } = incoming;
        let owner = Owner { tenant, query_class };
        if stated_length.unwrap_or(0) > self.limits.max_body_bytes {
            return Err(self.refuse(FallbackReason::TooLong, query_class));
        }
        let id = self.last_id + 1;
        let reservation = self.choose_tier(now, id, owner, stated_length)?;
        let Reservation { tier, fallback_reason, memory_bytes, file_bytes } = reservation;
        if tier != Tier::Memory && self.check_window(owner, memory_bytes).is_err() {
            return Err(self.refuse(FallbackReason::NoWindow, query_class));
        }
        if tier == Tier::File {
            self.spill_state.on_started(id);
        }
        self.last_id = id;
        let body = Body {
            owner,
            stated_length,
            complete: false,
            tier,
            spilling: false,
            last_used_at: now,
            memory_bytes: 0,
            file_bytes: 0,
            received_bytes: 0,
        };
        self.bodies.insert(id, body);
        self.reserve(id, memory_bytes, file_bytes);
        Ok(Placement { id, tier, fallback_reason })
    }

    /// Chooses the best tier that has room for a new body, and counts a fallback for each better tier.
    ///
    /// # Errors
    /// No tier can hold the body: its length is unknown and neither memory nor files have room.
    fn choose_tier(
        &mut self,
        now: f64,
        id: BodyId,
        owner: Owner,
        stated_length: Option<u64>,
    ) -> Result<Reservation, FallbackReason> {
        let known_length = stated_length.unwrap_or(0);
        let window = self.limits.window_bytes.min(stated_length.unwrap_or(u64::MAX));
        // Only one window is reserved for a body of unknown length at first. Reserving the maximum would take memory
        // that few bodies need.
        let initial = stated_length.unwrap_or(window);
        let Err(memory_reason) = self.check_buffered(owner, known_length, initial) else {
            return Ok(Reservation {
                tier: Tier::Memory,
                fallback_reason: None,
                memory_bytes: initial,
                file_bytes: 0,
            });
        };
        self.count_fallback(Tier::Memory, memory_reason, owner.query_class);
        let Err(spill_reason) = self.check_spill(now, id, owner, known_length, known_length) else {
            return Ok(Reservation {
                tier: Tier::File,
                fallback_reason: Some(memory_reason),
                memory_bytes: window,
                file_bytes: known_length,
            });
        };
        self.count_fallback(Tier::File, spill_reason, owner.query_class);
        if stated_length.is_none() {
            return Err(self.refuse(FallbackReason::LengthUnknown, owner.query_class));
        }
        Ok(Reservation {
            tier: Tier::PassThrough,
            fallback_reason: Some(spill_reason),
            memory_bytes: window,
            file_bytes: 0,
        })
    }

    /// Records that `received_bytes` bytes in total have arrived of a body of unknown length, and reserves space for
    /// them. Returns the body's tier from now on: a body that no longer fits in memory moves to a file.
    ///
    /// # Errors
    /// Returns why the body can no longer be buffered. The host should then release the body.
    pub fn grow(&mut self, now: f64, id: BodyId, received_bytes: u64) -> Result<Tier, FallbackReason> {
        let Some(body) = self.bodies.get_mut(&id) else { return Err(FallbackReason::LengthUnknown) };
        let owner = body.owner;
        if received_bytes > self.limits.max_body_bytes {
            return Err(self.refuse(FallbackReason::TooLong, owner.query_class));
        }
        body.received_bytes = received_bytes;
        if body.tier == Tier::Memory {
            match self.grow_in_memory(id, received_bytes) {
                Ok(()) => return Ok(Tier::Memory),
                Err(reason) => self.count_fallback(Tier::Memory, reason, owner.query_class),
            }
        }
        self.grow_in_file(now, id, received_bytes)
    }

    /// Reserves memory for `received_bytes` of a body that is buffered in memory.
    fn grow_in_memory(&mut self, id: BodyId, received_bytes: u64) -> Result<(), FallbackReason> {
        let Some(body) = self.bodies.get(&id) else { return Ok(()) };
        let (owner, memory_bytes, file_bytes) = (body.owner, body.memory_bytes, body.file_bytes);
        // If there is room, reserve one window more than has arrived: more may arrive before the next call of `grow`.
        let ahead = (received_bytes + self.limits.window_bytes).max(memory_bytes);
        let new_memory_bytes = match self.check_memory(MAX_BUFFERED_RATIO, owner, ahead - memory_bytes) {
            Ok(()) => ahead,
            Err(_) => received_bytes.max(memory_bytes),
        };
        self.check_buffered(owner, received_bytes, new_memory_bytes - memory_bytes)?;
        self.reserve(id, new_memory_bytes, file_bytes);
        Ok(())
    }

    /// Reserves file space for `received_bytes` of a body and moves the body to [`Tier::File`].
    fn grow_in_file(&mut self, now: f64, id: BodyId, received_bytes: u64) -> Result<Tier, FallbackReason> {
        let Some(body) = self.bodies.get(&id) else { return Err(FallbackReason::LengthUnknown) };
        let (owner, memory_bytes, file_bytes) = (body.owner, body.memory_bytes, body.file_bytes);
        let window = self.limits.window_bytes.min(received_bytes);
        let additional_bytes = received_bytes.saturating_sub(file_bytes);
        if let Err(reason) = self.check_spill(now, id, owner, received_bytes, additional_bytes) {
            self.count_fallback(Tier::File, reason, owner.query_class);
            return Err(self.refuse(FallbackReason::LengthUnknown, owner.query_class));
        }
        if memory_bytes < window && self.check_window(owner, window - memory_bytes).is_err() {
            return Err(self.refuse(FallbackReason::NoWindow, owner.query_class));
        }
        self.reserve(id, memory_bytes.max(window), received_bytes);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.tier = Tier::File;
        }
        Ok(Tier::File)
    }

    /// Records that all bytes of a body have arrived and, if the body is in a file, have been written to it. Releases
    /// the reserved memory that the body does not need any more.
    pub fn complete(&mut self, now: f64, id: BodyId) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.complete = true;
        body.last_used_at = now;
        let (tier, file_bytes, received_bytes) = (body.tier, body.file_bytes, body.received_bytes);
        if tier == Tier::Memory && body.stated_length.is_none() {
            self.reserve(id, received_bytes, file_bytes);
        }
        if tier == Tier::File {
            // At most one window of memory stays reserved: an attempt that reads the body back from the file needs it.
            self.reserve(id, self.limits.window_bytes.min(file_bytes), file_bytes);
            self.spill_state.on_written(id);
        }
    }

    /// Records that an attempt has read a body, so that the body becomes the most recently used one.
    pub fn touch(&mut self, now: f64, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.last_used_at = now;
        }
    }

    /// Releases a body. The host must ensure that no attempt needs the body any more, and that none of its frames is
    /// partly written.
    pub fn release(&mut self, id: BodyId) {
        self.reserve(id, 0, 0);
        self.bodies.remove(&id);
        self.spill_state.on_released(id);
    }
}
