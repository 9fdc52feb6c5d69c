//! Reads a deployment's settings out of JSON: what the module goes by, and the few limits that a host
//! keeps itself. Every complaint names the key. Both programs share it; nothing here decides.

pub mod migrate;
pub mod operator;
mod strict;

pub use strict::json;

use dunepond_routing::{Deployment, Idempotency, QueryClass, RetryBudget, SlowStart};
use serde_json::Value;

/// Why something cannot be taken, in one line.
#[derive(Debug, PartialEq)]
pub struct Bad(pub String);

/// A JSON object, with the name to complain under.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    name: &'a str,
    value: &'a Value,
}

impl<'a> Fields<'a> {
    pub fn of(name: &'a str, value: &'a Value) -> Result<Self, Bad> {
        if value.is_object() { Ok(Self { name, value }) } else { Err(Bad(format!("{name}: not an object"))) }
    }

    pub fn bad(&self, field: &str, why: &str) -> Bad {
        Bad(format!("{}: {field}: {why}", self.name))
    }

    /// A field by its dotted path; `None` where it is absent or null.
    fn find(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.value, |v, key| v.get(key)).filter(|v| !v.is_null())
    }

    fn read<T>(&self, path: &str, kind: &str, get: impl Fn(&'a Value) -> Option<T>) -> Result<T, Bad> {
        self.maybe(path, kind, get)?.ok_or_else(|| self.bad(path, "missing"))
    }

    pub fn maybe<T>(
        &self,
        path: &str,
        kind: &str,
        get: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, Bad> {
        match self.find(path) {
            None => Ok(None),
            Some(v) => get(v).map(Some).ok_or_else(|| self.bad(path, &format!("not {kind}"))),
        }
    }

    pub fn raw(&self, path: &str) -> Result<&'a Value, Bad> {
        self.read(path, "a value", Some)
    }

    pub fn number(&self, path: &str) -> Result<f64, Bad> {
        self.read(path, "a number", Value::as_f64)
    }

    pub fn number_or(&self, path: &str, absent: f64) -> Result<f64, Bad> {
        Ok(self.maybe(path, "a number", Value::as_f64)?.unwrap_or(absent))
    }

    pub fn count(&self, path: &str) -> Result<u64, Bad> {
        self.read(path, "a whole number", Value::as_u64)
    }

    pub fn count_or(&self, path: &str, absent: u64) -> Result<u64, Bad> {
        Ok(self.maybe(path, "a whole number", Value::as_u64)?.unwrap_or(absent))
    }

    /// A count that nothing works without.
    pub fn some(&self, path: &str) -> Result<usize, Bad> {
        match self.count(path)? {
            0 => Err(self.bad(path, "must be above 0")),
            count => Ok(count as usize),
        }
    }

    /// A position in a list of the settings; the first where it is absent.
    pub fn index(&self, path: &str, length: usize) -> Result<usize, Bad> {
        let index = self.count_or(path, 0)? as usize;
        if index < length { Ok(index) } else { Err(self.bad(path, "beyond the list in the settings")) }
    }

    pub fn whole(&self, path: &str) -> Result<i64, Bad> {
        self.read(path, "a whole number", Value::as_i64)
    }

    pub fn mark(&self, path: &str) -> Result<bool, Bad> {
        Ok(self.maybe(path, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    pub fn text(&self, path: &str) -> Result<&'a str, Bad> {
        self.read(path, "text", Value::as_str)
    }

    pub fn optional_text(&self, path: &str) -> Result<Option<&'a str>, Bad> {
        self.maybe(path, "text", Value::as_str)
    }

    pub fn list(&self, path: &str) -> Result<&'a Vec<Value>, Bad> {
        self.read(path, "a list", Value::as_array)
    }

    fn numbers(&self, path: &str) -> Result<Vec<f64>, Bad> {
        self.read(path, "a list of numbers", |v| v.as_array()?.iter().map(Value::as_f64).collect())
    }

    fn shares(&self, path: &str) -> Result<Vec<f64>, Bad> {
        let shares = self.numbers(path)?;
        let within = shares.iter().all(|share| (0.0..=1.0).contains(share));
        if within { Ok(shares) } else { Err(self.bad(path, "a share is not between 0 and 1")) }
    }

    fn seconds(&self, path: &str) -> Result<f64, Bad> {
        let ms = self.number(path)?;
        if ms >= 0.0 { Ok(ms / 1000.0) } else { Err(self.bad(path, "below 0")) }
    }
}

/// Where a list is asked for and nothing states how often, it is asked for as if this were stated.
const ASK_WITHIN_MS: f64 = 10_000.0;

/// What the settings state for the module, in seconds and our words.
pub fn deployment(seed: u64, settings: &Fields) -> Result<Deployment, Bad> {
    let whole_at = settings.shares("familyInfo.wholeAt")?;
    let least = settings.shares("familyInfo.leastShare")?;
    let second = settings.numbers("familyInfo.secondStep")?;
    let within = format!("{}.services", settings.name);
    let mut table_types = Vec::new();
    for (i, service) in settings.list("services")?.iter().enumerate() {
        let service = Fields::of(&within, service)?;
        let of = |list: &[f64], path: &str| {
            list.get(i).copied().ok_or_else(|| settings.bad(path, "shorter than services"))
        };
        table_types.push(QueryClass {
            latency_objective: service.seconds("aimMs")?,
            timeout: service.seconds("deadlineMs")?,
            priority_weight: service.number("value")?,
            late_value_ratio: service.number_or("lateWorth", 0.0)?,
            idempotency: match service.text("semantics")? {
                "pure" => Idempotency::Idempotent,
                "token" => Idempotency::Keyed(service.seconds("repeatWindowMs")?),
                "side_effect" => Idempotency::NonIdempotent,
                _ => return Err(service.bad("semantics", "unknown word")),
            },
            complete_at: of(&whole_at, "familyInfo.wholeAt")?,
            minimum_share: of(&least, "familyInfo.leastShare")?,
            second_step: of(&second, "familyInfo.secondStep")? > 0.0,
        });
    }
    let within = format!("{}.projects", settings.name);
    let mut quotas = Vec::new();
    for project in settings.list("projects")? {
        quotas.push(Fields::of(&within, project)?.number("quotaPerS")?);
    }
    let budget = match settings.maybe("rules.repeatRatio", "a number", Value::as_f64)? {
        None => None,
        Some(share) => Some(RetryBudget {
            window: settings.seconds("rules.budgetWindowMs")?,
            min_retries: settings.number_or("rules.freeResends", 0.0)?,
            ratio: share,
        }),
    };
    let longest_wait = match settings.mark("ceilings.retryAfter")? {
        true => settings.number_or("ceilings.maxRetryAfterMs", 0.0)? / 1000.0,
        false => 0.0,
    };
    Ok(Deployment {
        seed,
        broker_count: settings.number("balancers")?,
        zone: settings.count_or("zone", 0)? as usize,
        query_classes: table_types,
        quotas,
        weight_by_work: settings.text("countedBy")? == "work",
        replica_groups: settings.some("familyInfo.cells")?,
        replicas: settings.count("familyInfo.span")? as usize,
        cross_zone_cost: settings.maybe("penalties.crossZone", "a number from 0 up", |v| {
            v.as_f64().filter(|price| *price >= 0.0)
        })?,
        max_attempts: settings.count("ceilings.attemptsCap")? as usize,
        hedging_enabled: settings.mark("ceilings.secondCopies")?,
        may_cancel: settings.mark("ceilings.cancel")?,
        may_probe: settings.mark("ceilings.mayProbe")?,
        max_retry_after: longest_wait,
        retry_budget: budget,
        slow_start: SlowStart {
            initial_capacity_ratio: settings.number("rules.coldFrom")?,
            duration: settings.seconds("rules.coldMs")?,
            rate_multiple: settings.number("rules.overloadFactor")?,
            window: settings.seconds("rules.fallMs")?,
        },
        list_poll_deadline: match settings.optional_text("discovery")? {
            Some("on_request") => {
                Some(settings.number_or("rules.mustAskInMs", ASK_WITHIN_MS)?.max(100.0) / 1e3)
            }
            _ => None,
        },
        tick: settings.seconds("tickMs")?,
    })
}

/// What a host on sockets keeps itself, before and behind the module.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Names of the table types, the customers and the zones, each at the index that the module knows.
    pub table_types: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub segs: usize,
    /// Scans and parts held at most; absent where none is stated.
    pub most_held: Option<usize>,
    pub parts_a_call: usize,
    pub parts_a_connection: usize,
    pub idle_close: f64,
    pub connect_timeout: f64,
    /// Of the table types' query timeouts.
    pub longest_timeout: f64,
}

pub fn bounds(settings: &Fields) -> Result<Bounds, Bad> {
    let names = |path: &str| -> Result<Vec<String>, Bad> {
        let within = format!("{}.{path}", settings.name);
        let list = settings.list(path)?.iter();
        list.map(|entry| Ok(Fields::of(&within, entry)?.text("name")?.to_string())).collect()
    };
    let within = format!("{}.services", settings.name);
    let timeouts = settings.list("services")?.iter();
    let timeouts = timeouts.map(|entry| Fields::of(&within, entry)?.seconds("deadlineMs"));
    let zones = settings.list("zones")?.iter().map(|zone| zone.as_str().map(str::to_string));
    Ok(Bounds {
        table_types: names("services")?,
        customers: names("projects")?,
        zones: zones.collect::<Option<_>>().ok_or_else(|| settings.bad("zones", "not a list of texts"))?,
        segs: settings.some("familyInfo.slabs")?,
        most_held: settings
            .maybe("ceilings.mostHeld", "a whole number", Value::as_u64)?
            .filter(|most| *most > 0)
            .map(|most| most as usize),
        parts_a_call: settings.count_or("familyInfo.partsACall", 1)?.max(1) as usize,
        parts_a_connection: settings.some("ceilings.streamsPerConn")?,
        idle_close: settings.seconds("ceilings.idleCloseMs")?,
        connect_timeout: settings.seconds("ceilings.connectTimeoutMs")?,
        longest_timeout: timeouts.collect::<Result<Vec<f64>, Bad>>()?.into_iter().fold(0.0, f64::max),
    })
}
