//! Creation of the fill schedulers at startup.

use std::collections::BTreeMap;
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, unbounded};
use dunepond_settlement::{FillPlanner, FillRetryPolicy, LinkCapacities, PartnerPair, PlanningRule};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::stored::OpenedStorage;
use crate::commitments::Commitments;
use crate::config::{ControlPlaneConfig, FillConfig};
use crate::control_loop::{
    AttemptResult, FillKind, FillLimits, FillScheduler, FillService, LOG_SHARE_HOLDER,
};
use crate::fill_client::{FillClient, HttpFillClient};

/// Maximum rate of one fill of a warm node, in bytes per second. Unlimited if no fills are configured.
pub(super) fn fill_rate(config: &ControlPlaneConfig) -> f64 {
    config.fills.as_ref().map_or(f64::MAX, |fills| fills.bytes_per_second as f64)
}

/// Whether each broker fills the started nodes that it is responsible for.
pub(super) fn fills_started_nodes(config: &ControlPlaneConfig) -> bool {
    config.fills.as_ref().is_some_and(|fills| fills.fill_started_nodes)
}

/// The two fill schedulers, and the channel with the results of their attempts.
pub(super) struct FillSchedulers {
    /// Scheduler of the fills that the proposed configuration version requires.
    pub(super) version: FillScheduler,
    /// Scheduler of this broker's own fills of started nodes.
    pub(super) own: FillScheduler,
    pub(super) attempt_results: Receiver<AttemptResult>,
}

impl FillSchedulers {
    /// Creates both schedulers, and resumes the broker's own fills that were committed before the restart. `client`
    /// replaces the client of the fill service in tests.
    pub(super) fn new(
        config: &ControlPlaneConfig,
        client: Option<Arc<dyn FillClient>>,
        commitments: &Commitments,
        stored: &mut OpenedStorage,
    ) -> Self {
        let (result_sender, attempt_results) = unbounded();
        let setup = FillSetup::new(config, client, result_sender);
        let version = setup.scheduler(FillKind::Version, LOG_SHARE_HOLDER, &mut stored.rng);
        let mut own = setup.scheduler(FillKind::Own, &config.consensus.name, &mut stored.rng);
        // The fill service may have completed these fills in the meantime; it then responds at once.
        let unfinished = commitments.fills.values().filter(|fill| !fill.done);
        own.resume(unfinished.map(|committed| committed.fill.clone()), stored.opened_at);
        Self { version, own, attempt_results }
    }
}

/// Settings that both fill schedulers share.
struct FillSetup {
    service: FillService,
    link_rates: BTreeMap<PartnerPair, f64>,
    default_link_rate: f64,
    deadline_seconds: f64,
    segment_bytes: u64,
    max_concurrent: usize,
}

impl FillSetup {
    /// The settings from the configuration. `client` replaces the client of the fill service in tests.
    fn new(
        config: &ControlPlaneConfig,
        client: Option<Arc<dyn FillClient>>,
        results: Sender<AttemptResult>,
    ) -> Self {
        let fills = config.fills.as_ref();
        let http_client =
            |fills: &FillConfig| -> Arc<dyn FillClient> { Arc::new(HttpFillClient::new(fills.fill_service)) };
        let mut link_rates = BTreeMap::new();
        for link in &config.link_rates {
            link_rates.insert(PartnerPair::new(&link.from, &link.to), link.bytes_per_second as f64);
        }
        let default_rate = config.rebalancing.as_ref().and_then(|rebalancing| rebalancing.default_link_rate);
        Self {
            service: FillService { client: client.or(fills.map(http_client)), results },
            link_rates,
            default_link_rate: default_rate.map_or(f64::INFINITY, |rate| rate as f64),
            deadline_seconds: config.consensus.fill_deadline_seconds,
            segment_bytes: fills.map_or(1, |fills| fills.segment_bytes),
            max_concurrent: fills.map_or(1, |fills| fills.max_concurrent_fills),
        }
    }

    /// Creates a scheduler. `share_holder` is the name of the holder from whose shares the scheduler's fills are
    /// settled.
    fn scheduler(&self, kind: FillKind, share_holder: &str, rng: &mut Pcg64Mcg) -> FillScheduler {
        let limits = FillLimits {
            links: LinkCapacities {
                rate_caps: self.link_rates.clone(),
                default_rate_cap: self.default_link_rate,
                internal_rate_cap: f64::INFINITY,
            },
            segment_bytes: self.segment_bytes,
            max_concurrent: self.max_concurrent,
        };
        let retry_policy =
            FillRetryPolicy { deadline_seconds: self.deadline_seconds, ..FillRetryPolicy::default() };
        let planner = FillPlanner::new(share_holder, PlanningRule::MaxMin, rng.random());
        let fill_rng = Pcg64Mcg::seed_from_u64(rng.random());
        FillScheduler::new(kind, self.service.clone(), retry_policy, limits, planner, fill_rng)
    }
}
