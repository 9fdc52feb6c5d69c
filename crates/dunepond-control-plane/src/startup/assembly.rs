//! Assembly of the control loop from the opened and started components.

use crossbeam_channel::Receiver;
use dunepond_membership::{Event, Peers};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fills::{FillSchedulers, fill_rate, fills_started_nodes};
use super::settlement::{Accounts, broker_partners};
use super::stored::OpenedStorage;
use crate::config::{ControlPlaneConfig, CrashHook, RebalanceConfig};
use crate::control_loop::{
    ControlLoop, DEFAULT_SETTLE_SECONDS, LoopState, Proposals, QuotaSharing, Rebalancing, Settlements,
    TrafficCounts,
};
use crate::handle::{ControlHandle, LoopRequest};

/// The running links to other brokers.
pub(super) struct Links {
    pub(super) peers: Peers,
    /// Messages from peers, and changes of the membership.
    pub(super) events: Receiver<Event>,
}

/// The components of the control loop.
pub(super) struct LoopParts {
    pub(super) stored: OpenedStorage,
    pub(super) links: Links,
    /// Requests from the event loop.
    pub(super) requests: Receiver<LoopRequest>,
    pub(super) quotas: Option<QuotaSharing>,
    pub(super) accounts: Accounts,
    pub(super) fills: FillSchedulers,
    /// Wakes the event loop after the active configuration has changed.
    pub(super) wake: Box<dyn Fn() + Send>,
    /// Simulates crashes in tests.
    pub(super) crash_hook: Option<CrashHook>,
}

impl LoopParts {
    /// Creates the control loop, which publishes to `handle`.
    pub(super) fn assemble(self, config: ControlPlaneConfig, handle: &ControlHandle) -> ControlLoop {
        let Self { mut stored, links, requests, quotas, accounts, fills, wake, crash_hook } = self;
        let (fill_bytes_per_second, fill_started_nodes) = (fill_rate(&config), fills_started_nodes(&config));
        let traffic_rng = Pcg64Mcg::seed_from_u64(stored.rng.random());
        let traffic = TrafficCounts::new(
            config.partners.iter().map(|partner| partner.name.clone()).collect(),
            handle.carried_bytes.clone(),
            accounts.counts,
            accounts.balances,
            broker_partners(&config.partners),
            traffic_rng,
        );
        ControlLoop {
            lease_seconds: config.consensus.lease_seconds,
            voter: stored.voter,
            lease_client: stored.lease_client,
            data: stored.data,
            peers: links.peers,
            events: links.events,
            requests,
            active_config: handle.active_config.clone(),
            link_counters: handle.link_counters.clone(),
            counters: handle.counters.clone(),
            audit_log: handle.audit_log.clone(),
            wake,
            proposals: Proposals::new(
                config.version_file,
                config.query_class_count,
                handle.listed_nodes.clone(),
                config.consensus.map_requirements,
            ),
            rebalancing: new_rebalancing(config.rebalancing),
            traffic,
            settlement: Settlements::new(accounts.commitments, fill_started_nodes),
            version_fills: fills.version,
            own_fills: fills.own,
            quotas,
            attempt_results: fills.attempt_results,
            fill_bytes_per_second,
            slow_start: config.slow_start,
            started_nodes: handle.started_nodes.clone(),
            configured_brokers: config.known_brokers.into_iter().map(|known| known.0).collect(),
            crash_hook,
            state: LoopState::default(),
            name: config.consensus.name,
        }
    }
}

fn new_rebalancing(config: Option<RebalanceConfig>) -> Rebalancing {
    match config {
        Some(config) => {
            Rebalancing::new(Some(config.plan_file), config.max_concurrent_actions, config.settle_seconds)
        }
        None => Rebalancing::new(None, 1, DEFAULT_SETTLE_SECONDS),
    }
}
