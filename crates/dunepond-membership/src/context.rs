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

/// Largest number of warnings about senders that share no protocol version with this broker: one for each pair of host
/// and version range.
const MAX_LOGGED_INCOMPATIBLE: usize = 64;
/// Size of the part of a received body that one permit of the receive budget covers, in bytes. One permit per byte
/// could exceed the number of permits that a semaphore supports.
const RECEIVE_UNIT_BYTES: usize = 1024;

/// State that is shared among the tasks of the membership's thread.
pub(crate) struct Context {
    pub options: MembershipOptions,
    pub shared: Arc<Shared>,
    pub core: RefCell<Core>,
    pub events: RefCell<EventQueue>,
    pub udp: UdpSocket,
    /// Budget for bodies that are being received, in units of [`RECEIVE_UNIT_BYTES`].
    receive_budget: Arc<Semaphore>,
    /// Hosts, with the version ranges that they state, for which a warning was logged because they share no version
    /// with this broker.
    logged_incompatible: RefCell<BTreeSet<(String, VersionRange)>>,
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
            logged_incompatible: RefCell::default(),
            started: Instant::now(),
            shared,
        }
    }

    /// Returns the current time on the core's clock, in seconds since this context was created.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Carries out the core's actions: sends datagrams, reports a rejected message, and passes membership changes to
    /// the caller.
    pub fn apply(&self, actions: Actions) {
        for (to, bytes) in actions.datagrams {
            // If the socket's buffer is full, the datagram is dropped: the protocol has to tolerate lost datagrams in
            // any case.
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

    /// Counts and logs a rejected message. A sender that shares no protocol version with this broker is logged as a
    /// warning, once for each pair of host and version range.
    pub fn report_rejected(&self, error: &PeerError) {
        self.shared.counters.record_rejected(error);
        tracing::debug!(%error, "membership: message rejected");
        let PeerError::UnsupportedVersion { from, stated, supported } = error else { return };
        if stated.highest_common(*supported).is_some() {
            return;
        }
        // The source port differs between connections, so only the host is compared.
        let host = from.rsplit_once(':').map_or(&from[..], |(host, _)| host);
        let mut logged = self.logged_incompatible.borrow_mut();
        if logged.len() < MAX_LOGGED_INCOMPATIBLE && logged.insert((host.into(), *stated)) {
            tracing::warn!("membership: {error} ({})", error.help());
        }
    }

    /// Reserves memory for a body of `bytes` bytes; returns `None` if the budget for received bodies is exhausted.
    pub fn reserve_receive(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(RECEIVE_UNIT_BYTES)).ok()?;
        self.receive_budget.clone().try_acquire_many_owned(units).ok()
    }
}
