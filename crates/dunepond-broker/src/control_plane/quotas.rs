//! Fleet-wide quotas: this broker's current share of each quota, and the demand that it reports.

use std::collections::BTreeMap;
use std::sync::Arc;

use dunepond_config::ConfigError;
use dunepond_config::operator::QuotaConfig;
use dunepond_consensus::ActiveConfig;
use dunepond_control_plane::monotonic_seconds;
use dunepond_quota::{Demand, LocalQuota, SharedQuotas, TOTAL_UNITS};
use dunepond_routing::{Deployment, QuotaDemand, QuotaShares};

use super::{DEFAULT_RETRY_WINDOW_SECONDS, Gate};

/// Name of the quota for parts sent to nodes in slow start.
const SLOW_START_QUOTA: &str = "cold";
/// Name of the quota for retries.
const RETRY_QUOTA: &str = "further";
/// Shortest time between two samples of demand.
const SAMPLE_INTERVAL_SECONDS: f64 = 0.25;

/// This broker's shares of the fleet-wide quotas, and its demand for them.
pub struct Quotas {
    /// Seconds between two reports of demand to the fleet.
    report_interval: f64,
    shared_quotas: SharedQuotas,
    local: LocalQuota,
    /// How many parts per second a node accepts from all brokers together once its slow start is over; `None` if the
    /// quota for slow start is not shared among the brokers of the fleet.
    slow_start_rate: Option<f64>,
    /// Whether the brokers of the fleet share the retry budget.
    shares_retries: bool,
    /// Quota of each tenant, by tenant index; `None` if the tenant's quota is not shared.
    tenants: Vec<Option<TenantQuota>>,
    /// How many retries per second the retry budget's minimum allows to all brokers together.
    min_retries_per_second: f64,
    /// Demand for each shared quota.
    demand: BTreeMap<String, Demand>,
    last_sample_at: f64,
    last_applied: Option<AppliedQuotas>,
}

/// The shared quota of a tenant.
struct TenantQuota {
    name: String,
    /// The tenant's quota for the whole fleet, in queries per second.
    queries_per_second: f64,
    /// Number of the tenant's queries since the last sample of demand.
    arrivals: f64,
}

/// The inputs from which the shares were computed last.
struct AppliedQuotas {
    config: Arc<ActiveConfig>,
    lease_was_valid: bool,
    /// Whether quota use by an earlier process of this broker could still count when the shares were computed,
    /// because the current process had started less than a quota window before.
    earlier_use_counted: bool,
}

/// Use of one quota since the last sample, relative to the fleet's quota for that time.
struct Sample {
    quota: String,
    used: f64,
    refused: f64,
}

impl Quotas {
    /// Creates the quotas that `config` shares. Fails if it names a tenant that the settings do not have, or if the
    /// bounds of the shared quotas are invalid.
    pub fn new(
        config: &QuotaConfig,
        deployment: &Deployment,
        tenants: &[String],
    ) -> Result<Self, ConfigError> {
        if let Some(name) = config.tenants.iter().find(|name| !tenants.contains(name)) {
            return Err(ConfigError(format!("fleet: limits: the settings have no customer '{name}'")));
        }
        let quotas = tenants.iter().zip(&deployment.quotas).map(|(name, quota)| {
            config.tenants.contains(name).then(|| TenantQuota {
                name: format!("customer/{name}"),
                queries_per_second: *quota,
                arrivals: 0.0,
            })
        });
        let tenants: Vec<Option<TenantQuota>> = quotas.collect();
        let retry_budget = deployment.retry_budget.as_ref();
        let retry_window = retry_budget.map_or(DEFAULT_RETRY_WINDOW_SECONDS, |budget| budget.window);
        let min_retries = retry_budget.map_or(0.0, |budget| budget.min_retries);
        let shared_quotas = SharedQuotas::new(
            quota_names(config, &tenants),
            deployment.broker_count as u32,
            config.reserved_ratio,
            (longest_window_seconds(deployment, retry_window) * 1e3).ceil() as u64,
        );
        let shared_quotas = shared_quotas.map_err(|e| ConfigError(format!("fleet: {e} ({})", e.help())))?;
        Ok(Self {
            report_interval: config.interval_seconds,
            local: LocalQuota::new(&shared_quotas, monotonic_seconds()),
            shared_quotas,
            slow_start_rate: config.slow_start_parts_per_second,
            shares_retries: config.share_retries,
            tenants,
            min_retries_per_second: min_retries * deployment.broker_count / retry_window,
            demand: BTreeMap::new(),
            last_sample_at: monotonic_seconds(),
            last_applied: None,
        })
    }

    /// Returns the quotas that the fleet shares.
    pub fn shared_quotas(&self) -> &SharedQuotas {
        &self.shared_quotas
    }

    /// Returns the seconds between two reports of demand to the fleet.
    pub fn report_interval(&self) -> f64 {
        self.report_interval
    }

    /// Returns this broker's shares if they may have changed since the last call, including when a lease has expired.
    pub fn poll_shares(&mut self, gate: &Gate, now: f64) -> Option<QuotaShares> {
        let config = gate.active_config();
        let applied = AppliedQuotas {
            lease_was_valid: config.lease_valid(now),
            earlier_use_counted: now < self.local.started_at + self.local.window_seconds,
            config: config.clone(),
        };
        if self.last_applied.as_ref().is_some_and(|previous| previous.is_same(&applied)) {
            return None;
        }
        let share_of = |tenant: &Option<TenantQuota>| {
            tenant.as_ref().map(|tenant| self.share(&config, &tenant.name, now))
        };
        let shares = QuotaShares {
            slow_start: self.slow_start_rate.map(|rate| rate * self.share(&config, SLOW_START_QUOTA, now)),
            retries: self.shares_retries.then(|| self.share(&config, RETRY_QUOTA, now)),
            quotas: self.tenants.iter().map(share_of).collect(),
        };
        self.last_applied = Some(applied);
        Some(shares)
    }

    /// Returns this broker's share of a quota, from 0 to 1.
    fn share(&self, config: &ActiveConfig, quota: &str, now: f64) -> f64 {
        let active = config.quota(now);
        let units = self.local.available_units(active.allocation, active.lease_valid, quota, now);
        f64::from(units) / f64::from(TOTAL_UNITS)
    }

    /// Counts a query of a tenant.
    pub fn record_arrival(&mut self, tenant: usize) {
        if let Some(Some(tenant)) = self.tenants.get_mut(tenant) {
            tenant.arrivals += 1.0;
        }
    }

    /// Reports the demand since the last sample, unless that was taken less than `SAMPLE_INTERVAL_SECONDS` ago.
    /// `demand` is called with the number of seconds that the report covers.
    pub fn record_sample(&mut self, gate: &Gate, now: f64, demand: impl FnOnce(f64) -> QuotaDemand) {
        let seconds = now - self.last_sample_at;
        if seconds < SAMPLE_INTERVAL_SECONDS {
            return;
        }
        self.last_sample_at = now;
        let samples = self.take_samples(seconds, &demand(seconds));
        let config = gate.active_config();
        for Sample { quota, used, refused } in samples {
            let share = self.share(&config, &quota, now);
            self.demand.entry(quota).or_default().record_sample(used, refused, share);
        }
        let units = self.demand.iter().map(|(quota, demand)| (quota.clone(), demand.units()));
        gate.control.set_demand(units.collect());
    }

    /// Returns the use of each shared quota in the last `seconds`, and resets the tenants' arrivals.
    fn take_samples(&mut self, seconds: f64, demand: &QuotaDemand) -> Vec<Sample> {
        let mut samples = Vec::new();
        if let Some(rate) = self.slow_start_rate {
            let used = demand.slow_start / rate;
            samples.push(Sample { quota: SLOW_START_QUOTA.to_string(), used, refused: 0.0 });
        }
        if self.shares_retries {
            let fleet_quota = (self.min_retries_per_second * seconds).max(f64::MIN_POSITIVE);
            samples.push(Sample {
                quota: RETRY_QUOTA.to_string(),
                used: demand.retries / fleet_quota,
                refused: demand.retries_denied / fleet_quota,
            });
        }
        for tenant in self.tenants.iter_mut().flatten() {
            let fleet_quota = (tenant.queries_per_second * seconds).max(f64::MIN_POSITIVE);
            let used = std::mem::take(&mut tenant.arrivals) / fleet_quota;
            samples.push(Sample { quota: tenant.name.clone(), used, refused: 0.0 });
        }
        samples
    }
}

impl AppliedQuotas {
    /// Returns whether the same shares follow from both inputs.
    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.config, &other.config)
            && self.lease_was_valid == other.lease_was_valid
            && self.earlier_use_counted == other.earlier_use_counted
    }
}

/// Returns the names of the quotas that the operator's file shares.
fn quota_names(config: &QuotaConfig, tenants: &[Option<TenantQuota>]) -> Vec<String> {
    let mut names = Vec::new();
    if config.slow_start_parts_per_second.is_some() {
        names.push(SLOW_START_QUOTA.to_string());
    }
    if config.share_retries {
        names.push(RETRY_QUOTA.to_string());
    }
    names.extend(tenants.iter().flatten().map(|tenant| tenant.name.clone()));
    names
}

/// Returns the longest window over which the router counts any quota, in seconds.
fn longest_window_seconds(deployment: &Deployment, retry_window: f64) -> f64 {
    let objectives = deployment.query_classes.iter().map(|class| class.latency_objective);
    let longest_objective = objectives.fold(0.0, f64::max);
    retry_window.max(deployment.slow_start.window).max(longest_objective) + deployment.tick
}
