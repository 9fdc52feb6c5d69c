//! State that the tasks of the membership's thread share.

use crate::core::{Actions, Core};
use crate::counters::increment;
use crate::error::PeerError;
use crate::event::Event;
use crate::event_queue::EventQueue;
use crate::options::MembershipOptions;
use crate::shared::Shared;
use crate::version::VersionRange;
use crossbeam_channel::Sender;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest number of peers without a common version that the log names.
const MAX_NAMED_INCOMPATIBLE: usize = 64;
/// The unit of the budget for received bodies, so that it fits a semaphore's count.
const RECEIVE_UNIT_BYTES: usize = 1024;

/// State that is shared among the tasks of the thread.
pub(crate) struct Context {
    pub options: MembershipOptions,
    pub shared: Arc<Shared>,
    pub core: RefCell<Core>,
    pub events: RefCell<EventQueue>,
    pub udp: UdpSocket,
    /// Budget for bodies that are being received, in units of [`RECEIVE_UNIT_BYTES`].
    receive_budget: Arc<Semaphore>,
    named_incompatible: RefCell<BTreeSet<(String, VersionRange)>>,
    started: Instant,
}

impl Context {
    pub fn new(
        options: MembershipOptions,
        core: Core,
        shared: Arc<Shared>,
        events: Sender<Event>,
        udp: UdpSocket,
    ) -> Context {
        let receive_units = options.limits.max_receive_bytes.div_ceil(RECEIVE_UNIT_BYTES);
        Context {
            options,
            core: RefCell::new(core),
            events: RefCell::new(EventQueue::new(events, shared.clone())),
            udp,
            receive_budget: Arc::new(Semaphore::new(receive_units)),
            named_incompatible: RefCell::default(),
            started: Instant::now(),
            shared,
        }
    }

    /// The present time, in seconds on the core's clock.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Sends the datagrams, and reports rejected messages and changes.
    pub fn apply(&self, actions: Actions) {
        for (to, bytes) in actions.datagrams {
            // A full socket drops the datagram, as the network may do.
            if self.udp.try_send_to(&bytes, to).is_ok() {
                increment(&self.shared.counters.datagrams_out);
            }
        }
        if let Some(error) = &actions.error {
            self.report_rejected(error);
        }
        if !actions.changes.is_empty() {
            self.shared.members.store(Arc::new(self.core.borrow().members()));
            self.events.borrow_mut().push_changes(actions.changes);
        }
    }

    /// Counts a rejected message. A peer without a common version is named in the log once for each range that it states.
    pub fn report_rejected(&self, error: &PeerError) {
        self.shared.counters.record_rejected(error);
        tracing::debug!(%error, "membership: message rejected");
        let PeerError::UnsupportedVersion { from, stated, supported } = error else { return };
        if stated.highest_common(*supported).is_some() {
            return;
        }
        // Each connection comes from another port, so only the host is compared.
        let host = from.rsplit_once(':').map_or(&from[..], |(host, _)| host);
        let mut named = self.named_incompatible.borrow_mut();
        if named.len() < MAX_NAMED_INCOMPATIBLE && named.insert((host.into(), *stated)) {
            tracing::warn!("membership: {error} ({})", error.help());
        }
    }

    /// Reserves memory for a body of `bytes`; `None` if there is not enough now.
    pub fn reserve_receive(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(RECEIVE_UNIT_BYTES)).ok()?;
        self.receive_budget.clone().try_acquire_many_owned(units).ok()
    }
}
