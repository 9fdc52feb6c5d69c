//! Reads the router's deployment from the settings: query classes, quotas, the layout of replicas, and the parameters of
//! retries, hedging, slow start and polling.

use dunepond_routing::{Deployment, Idempotency, QueryClass, RetryBudget, SlowStart};
use serde_json::Value;

use crate::{ConfigError, Fields};

/// Default of the poll deadline, the longest interval between two polls of the endpoint list, in milliseconds.
const DEFAULT_LIST_POLL_DEADLINE_MS: f64 = 10_000.0;
/// Lower bound of the poll deadline, the longest interval between two polls of the endpoint list, in milliseconds. A smaller
/// value in the settings is raised to it.
const MIN_LIST_POLL_DEADLINE_MS: f64 = 100.0;

/// Reads the router's parameters from the deployment's settings. `seed` is the seed of the router's random choices.
///
/// # Errors
/// Names the first field that is missing, of the wrong type or out of range.
pub fn deployment(seed: u64, settings: &Fields) -> Result<Deployment, ConfigError> {
    let query_classes = query_classes(settings)?;
    let quotas = quotas(settings)?;
    let retry_budget = retry_budget(settings)?;
    let max_retry_after = max_retry_after_seconds(settings)?;
    Ok(Deployment {
        seed,
        broker_count: settings.number("balancers")?,
        zone: settings.count_or("zone", 0)? as usize,
        query_classes,
        quotas,
        weight_by_work: settings.text("countedBy")? == "work",
        replica_groups: settings.positive_count("familyInfo.cells")?,
        replicas: settings.count("familyInfo.span")? as usize,
        cross_zone_cost: cross_zone_cost(settings)?,
        max_attempts: settings.count("ceilings.attemptsCap")? as usize,
        hedging_enabled: settings.flag("ceilings.secondCopies")?,
        may_cancel: settings.flag("ceilings.cancel")?,
        may_probe: settings.flag("ceilings.mayProbe")?,
        max_retry_after,
        retry_budget,
        slow_start: SlowStart {
            initial_capacity_ratio: settings.number("rules.coldFrom")?,
            duration: settings.seconds("rules.coldMs")?,
            rate_multiple: settings.number("rules.overloadFactor")?,
            window: settings.seconds("rules.fallMs")?,
        },
        list_poll_deadline: list_poll_deadline_seconds(settings)?,
        tick: settings.seconds("tickMs")?,
    })
}

/// Lists in the settings that have one entry for each query class, in the order of `services`.
struct ClassLists {
    complete_at: Vec<f64>,
    minimum_share: Vec<f64>,
    second_step: Vec<f64>,
}

fn query_classes(settings: &Fields) -> Result<Vec<QueryClass>, ConfigError> {
    let lists = ClassLists {
        complete_at: settings.ratios("familyInfo.wholeAt")?,
        minimum_share: settings.ratios("familyInfo.leastShare")?,
        second_step: settings.numbers("familyInfo.secondStep")?,
    };
    let name = format!("{}.services", settings.name());
    let mut classes = Vec::new();
    for (index, service) in settings.list("services")?.iter().enumerate() {
        let service = Fields::new(&name, service)?;
        classes.push(query_class(settings, &service, &lists, index)?);
    }
    Ok(classes)
}

fn query_class(
    settings: &Fields,
    service: &Fields,
    lists: &ClassLists,
    index: usize,
) -> Result<QueryClass, ConfigError> {
    let entry = |list: &[f64], path: &str| {
        list.get(index)
            .copied()
            .ok_or_else(|| settings.error(path, "has fewer entries than services; add one for each service"))
    };
    Ok(QueryClass {
        latency_objective: service.seconds("aimMs")?,
        timeout: service.seconds("deadlineMs")?,
        priority_weight: service.number("value")?,
        late_value_ratio: service.number_or("lateWorth", 0.0)?,
        idempotency: idempotency(service)?,
        complete_at: entry(&lists.complete_at, "familyInfo.wholeAt")?,
        minimum_share: entry(&lists.minimum_share, "familyInfo.leastShare")?,
        second_step: entry(&lists.second_step, "familyInfo.secondStep")? > 0.0,
    })
}

fn idempotency(service: &Fields) -> Result<Idempotency, ConfigError> {
    match service.text("semantics")? {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::Keyed { window_seconds: service.seconds("repeatWindowMs")? }),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        _ => Err(service.error("semantics", "expected pure, token or side_effect")),
    }
}

/// Reads each tenant's quota, in queries per second.
fn quotas(settings: &Fields) -> Result<Vec<f64>, ConfigError> {
    let name = format!("{}.projects", settings.name());
    let mut quotas = Vec::new();
    for project in settings.list("projects")? {
        quotas.push(Fields::new(&name, project)?.number("quotaPerS")?);
    }
    Ok(quotas)
}

/// Reads the limit on retries and hedged requests. Returns `None`, which means no limit, if the settings contain no
/// `rules.repeatRatio`.
fn retry_budget(settings: &Fields) -> Result<Option<RetryBudget>, ConfigError> {
    let Some(ratio) = settings.optional("rules.repeatRatio", "a number", Value::as_f64)? else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        window: settings.seconds("rules.budgetWindowMs")?,
        min_retries: settings.number_or("rules.freeResends", 0.0)?,
        ratio,
    }))
}

/// Reads the longest Retry-After (the time after which a client may retry) that a rejection may state, in seconds; 0 if
/// rejections state none.
fn max_retry_after_seconds(settings: &Fields) -> Result<f64, ConfigError> {
    if settings.flag("ceilings.retryAfter")? {
        Ok(settings.number_or("ceilings.maxRetryAfterMs", 0.0)? / 1000.0)
    } else {
        Ok(0.0)
    }
}

fn cross_zone_cost(settings: &Fields) -> Result<Option<f64>, ConfigError> {
    settings.optional("penalties.crossZone", "a number from 0 up", |value| {
        value.as_f64().filter(|cost| *cost >= 0.0)
    })
}

/// Reads the longest interval between two polls of discovery's endpoint list, in seconds; `None` if the list is not
/// polled, because discovery pushes it.
fn list_poll_deadline_seconds(settings: &Fields) -> Result<Option<f64>, ConfigError> {
    match settings.optional_text("discovery")? {
        Some("on_request") => {
            let milliseconds = settings.number_or("rules.mustAskInMs", DEFAULT_LIST_POLL_DEADLINE_MS)?;
            Ok(Some(milliseconds.max(MIN_LIST_POLL_DEADLINE_MS) / 1e3))
        }
        _ => Ok(None),
    }
}
