//! Reads fields out of wire messages, naming message and field where one will not do.

use dunepond_decide::{ColdRule, Deployment, FurtherBudget, Repeat, Standing, TableType};
use serde::Deserialize;
use serde_json::Value;

/// Why a message cannot be taken, in one line.
#[derive(Debug)]
pub struct Bad(pub String);

/// A message, with the name to complain under.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    name: &'a str,
    value: &'a Value,
}

#[derive(Deserialize, Clone)]
pub struct Row {
    pub node: String,
    #[serde(default)]
    pub cell: usize,
    #[serde(default)]
    pub area: usize,
    pub mode: String,
    #[serde(default, rename = "readyAtMs")]
    pub ready_at_ms: f64,
}

impl<'a> Fields<'a> {
    pub fn of(name: &'a str, value: &'a Value) -> Result<Self, Bad> {
        if value.is_object() { Ok(Self { name, value }) } else { Err(Bad(format!("{name}: not an object"))) }
    }

    fn bad(&self, field: &str, why: &str) -> Bad {
        Bad(format!("{}: {field}: {why}", self.name))
    }

    /// A field by its dotted path; `None` where it is absent or null.
    fn find(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.value, |v, key| v.get(key)).filter(|v| !v.is_null())
    }

    fn read<T>(&self, path: &str, kind: &str, get: impl Fn(&'a Value) -> Option<T>) -> Result<T, Bad> {
        self.maybe(path, kind, get)?.ok_or_else(|| self.bad(path, "missing"))
    }

    fn maybe<T>(
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

    pub fn count_or_zero(&self, path: &str) -> Result<u64, Bad> {
        Ok(self.maybe(path, "a whole number", Value::as_u64)?.unwrap_or(0))
    }

    /// A position in a list of the settings; the first where it is absent.
    pub fn index(&self, path: &str, length: usize) -> Result<usize, Bad> {
        let index = self.count_or_zero(path)? as usize;
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

    pub fn rows(&self, path: &str) -> Result<Vec<Row>, Bad> {
        let rows = self.list(path)?.iter().map(Row::deserialize);
        rows.collect::<Result<_, _>>().map_err(|e| self.bad(path, &e.to_string()))
    }
}

pub fn standing(mode: &str) -> Result<Standing, Bad> {
    match mode {
        "active" => Ok(Standing::Active),
        "leaving" => Ok(Standing::Draining),
        "left" => Ok(Standing::Gone),
        other => Err(Bad(format!("register: mode: unknown word '{other}'"))),
    }
}

/// What an `init` states, in seconds and our words.
pub fn deployment(init: &Fields) -> Result<Deployment, Bad> {
    let seed = init.whole("salt")?.cast_unsigned();
    let params = Fields { name: "init params", value: init.raw("params")? };
    let seconds = |path: &str| Ok::<f64, Bad>(params.number(path)? / 1000.0);
    let whole_at = params.numbers("familyInfo.wholeAt")?;
    let least = params.numbers("familyInfo.leastShare")?;
    let second = params.numbers("familyInfo.secondStep")?;
    let mut table_types = Vec::new();
    for (i, service) in params.list("services")?.iter().enumerate() {
        let service = Fields::of("init params.services", service)?;
        let of = |list: &[f64], path: &str| {
            list.get(i).copied().ok_or_else(|| params.bad(path, "shorter than services"))
        };
        table_types.push(TableType {
            target: service.number("aimMs")? / 1000.0,
            timeout: service.number("deadlineMs")? / 1000.0,
            benefit: service.number("value")?,
            late: service.number_or("lateWorth", 0.0)?,
            repeat: match service.text("semantics")? {
                "pure" => Repeat::Replayable,
                "token" => Repeat::Keyed(service.number("repeatWindowMs")? / 1000.0),
                "side_effect" => Repeat::NonReplayable,
                _ => return Err(service.bad("semantics", "unknown word")),
            },
            whole_at: of(&whole_at, "familyInfo.wholeAt")?,
            least: of(&least, "familyInfo.leastShare")?,
            second_step: of(&second, "familyInfo.secondStep")? > 0.0,
        });
    }
    let mut quotas = Vec::new();
    for project in params.list("projects")? {
        quotas.push(Fields::of("init params.projects", project)?.number("quotaPerS")?);
    }
    let budget = match params.maybe("rules.repeatRatio", "a number", Value::as_f64)? {
        None => None,
        Some(share) => Some(FurtherBudget {
            window: seconds("rules.budgetWindowMs")?,
            free: params.number_or("rules.freeResends", 0.0)?,
            share,
        }),
    };
    let longest_wait = match params.mark("ceilings.retryAfter")? {
        true => params.number_or("ceilings.maxRetryAfterMs", 0.0)? / 1000.0,
        false => 0.0,
    };
    Ok(Deployment {
        seed,
        brokers: params.number("balancers")?,
        table_types,
        quotas,
        benefit_by_work: params.text("countedBy")? == "work",
        cells: match params.count("familyInfo.cells")? {
            0 => return Err(params.bad("familyInfo.cells", "must be above 0")),
            cells => cells as usize,
        },
        holders: params.count("familyInfo.span")? as usize,
        dispatch_cap: params.count("ceilings.attemptsCap")? as usize,
        second_copies: params.mark("ceilings.secondCopies")?,
        may_cancel: params.mark("ceilings.cancel")?,
        may_probe: params.mark("ceilings.mayProbe")?,
        longest_wait,
        budget,
        cold: ColdRule {
            from: params.number("rules.coldFrom")?,
            warm_after: seconds("rules.coldMs")?,
            multiple: params.number("rules.overloadFactor")?,
            span: seconds("rules.fallMs")?,
        },
        tick: seconds("tickMs")?,
    })
}
