//! Fleet-wide quotas: this broker's share of each at a moment, and the demand that it reports.

use std::collections::BTreeMap;
use std::sync::Arc;

use dunepond_config::Bad;
use dunepond_config::operator::Shared;
use dunepond_consensus::ActiveConfig;
use dunepond_control_plane::monotonic_seconds;
use dunepond_quota::{Demand, LocalQuota, SharedQuotas, TOTAL_UNITS};
use dunepond_routing::{Deployment, QuotaDemand, QuotaShares};

use super::{DEFAULT_RETRY_WINDOW_SECONDS, Gate};

const SLOW_START_QUOTA: &str = "cold";
const RETRY_QUOTA: &str = "further";
/// Seconds between two samples of demand.
const SAMPLE_INTERVAL_SECONDS: f64 = 0.25;

/// This broker's part in the fleet-wide quotas.
pub struct Quotas {
    every: f64,
    bounds: SharedQuotas,
    own: LocalQuota,
    /// Parts a second that a warm node takes, if slow start is shared.
    cold: Option<f64>,
    further: bool,
    /// By tenant index; `None` if the tenant's quota is not shared.
    customers: Vec<Option<TenantQuota>>,
    /// Retries a second that the budget's minimum allows, all brokers together.
    free: f64,
    needs: BTreeMap<String, Demand>,
    last_sample_at: f64,
    /// The configuration that was applied last, whether its lease was valid, and whether an earlier incarnation's use still counted.
    last_applied: Option<(Arc<ActiveConfig>, bool, bool)>,
}

struct TenantQuota {
    bound: String,
    quota: f64,
    came: f64,
}

impl Quotas {
    /// Fails if the operator's file names a tenant that the settings do not have.
    pub fn new(told: &Shared, site: &Deployment, customers: &[String]) -> Result<Self, Bad> {
        if let Some(name) = told.customers.iter().find(|name| !customers.contains(name)) {
            return Err(Bad(format!("fleet: limits: the settings have no customer '{name}'")));
        }
        let named = customers.iter().zip(&site.quotas).map(|(name, quota)| {
            told.customers.contains(name).then(|| TenantQuota {
                bound: format!("customer/{name}"),
                quota: *quota,
                came: 0.0,
            })
        });
        let customers: Vec<Option<TenantQuota>> = named.collect();
        let mut names: Vec<String> = told.cold.map(|_| SLOW_START_QUOTA.to_string()).into_iter().collect();
        names.extend(told.further.then(|| RETRY_QUOTA.to_string()));
        names.extend(customers.iter().flatten().map(|customer| customer.bound.clone()));
        // The longest window over which the router counts any of them.
        let longest = site.query_classes.iter().map(|t| t.latency_objective).fold(0.0, f64::max);
        let time_budget = site.retry_budget.as_ref();
        let window = time_budget.map_or(DEFAULT_RETRY_WINDOW_SECONDS, |time_budget| time_budget.window);
        let span = window.max(site.slow_start.window).max(longest) + site.tick;
        let bounds =
            SharedQuotas::new(names, site.broker_count as u32, told.floor, (span * 1e3).ceil() as u64);
        let bounds = bounds.map_err(|e| Bad(format!("fleet: {e} ({})", e.help())))?;
        Ok(Self {
            every: told.every,
            own: LocalQuota::new(&bounds, monotonic_seconds()),
            bounds,
            cold: told.cold,
            further: told.further,
            customers,
            free: time_budget.map_or(0.0, |time_budget| time_budget.min_retries) * site.broker_count / window,
            needs: BTreeMap::new(),
            last_sample_at: monotonic_seconds(),
            last_applied: None,
        })
    }

    /// The quotas that the fleet shares.
    pub fn bounds(&self) -> &SharedQuotas {
        &self.bounds
    }

    /// Seconds between two reports of demand to the fleet.
    pub fn every(&self) -> f64 {
        self.every
    }

    /// This broker's shares, if they changed since the last call, be it that a lease expired while the process stalled.
    pub fn look(&mut self, gate: &Gate, now: f64) -> Option<QuotaShares> {
        let acting = gate.acting();
        let (live, held) = (acting.lease_valid(now), now < self.own.started_at + self.own.window_seconds);
        let same = |(before, was_live, was_held): &(Arc<ActiveConfig>, bool, bool)| {
            Arc::ptr_eq(before, &acting) && (*was_live, *was_held) == (live, held)
        };
        if self.last_applied.as_ref().is_some_and(same) {
            return None;
        }
        let limits = QuotaShares {
            slow_start: self.cold.map(|rate| rate * self.share(&acting, SLOW_START_QUOTA, now)),
            retries: self.further.then(|| self.share(&acting, RETRY_QUOTA, now)),
            quotas: (self.customers.iter())
                .map(|customer| customer.as_ref().map(|c| self.share(&acting, &c.bound, now)))
                .collect(),
        };
        self.last_applied = Some((acting, live, held));
        Some(limits)
    }

    /// This broker's share of a quota, from 0 to 1.
    fn share(&self, acting: &ActiveConfig, bound: &str, now: f64) -> f64 {
        let heard = acting.quota(now);
        f64::from(self.own.available_units(heard.allocation, heard.lease_valid, bound, now))
            / f64::from(TOTAL_UNITS)
    }

    /// A query of this tenant has come.
    pub fn came(&mut self, customer: usize) {
        if let Some(Some(customer)) = self.customers.get_mut(customer) {
            customer.came += 1.0;
        }
    }

    /// Reports demand since the last sample, if that is long enough ago. `demand` is called with the seconds that it covers.
    pub fn sample(&mut self, gate: &Gate, now: f64, demand: impl FnOnce(f64) -> QuotaDemand) {
        let seconds = now - self.last_sample_at;
        if seconds < SAMPLE_INTERVAL_SECONDS {
            return;
        }
        self.last_sample_at = now;
        let demand = demand(seconds);
        let mut samples: Vec<(String, f64, f64)> = Vec::new();
        if let Some(rate) = self.cold {
            samples.push((SLOW_START_QUOTA.to_string(), demand.slow_start / rate, 0.0));
        }
        if self.further {
            let whole = (self.free * seconds).max(f64::MIN_POSITIVE);
            samples.push((RETRY_QUOTA.to_string(), demand.retries / whole, demand.retries_denied / whole));
        }
        for customer in self.customers.iter_mut().flatten() {
            let whole = (customer.quota * seconds).max(f64::MIN_POSITIVE);
            samples.push((customer.bound.clone(), std::mem::take(&mut customer.came) / whole, 0.0));
        }
        let acting = gate.acting();
        for (bound, used, refused) in samples {
            let has = self.share(&acting, &bound, now);
            self.needs.entry(bound).or_default().record_sample(used, refused, has);
        }
        gate.hand.set_demand(self.needs.iter().map(|(bound, need)| (bound.clone(), need.units())).collect());
    }
}
