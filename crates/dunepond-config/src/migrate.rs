//! A configuration file of the old shape becomes its counterpart for deployments laid out in sets, which tell
//! clients nothing of when to come back. What cannot be carried over is listed, key by key; nothing is
//! dropped unsaid.

use serde_json::{Map, Value};

use crate::{Bad, Fields, json};

/// What the old file does not say of the new deployment.
#[derive(Debug, Default)]
pub struct Ask {
    /// How many sets there are; absent, the old cells part into sets of as many as held a segment.
    pub sets: Option<usize>,
    /// No part may be out twice at the same time.
    pub one_at_a_time: bool,
}

#[derive(Debug)]
pub struct Counterpart {
    /// The new file's text.
    pub text: String,
    /// What became otherwise or could not be carried over, a line each, the key first.
    pub left: Vec<String>,
    /// The old file has the new shape already, and its text stands as it was.
    pub same: bool,
}

/// Keys by the object that holds them, as far as the broker or the platform's pages know them.
const KNOWN: [(&str, &str); 12] = [
    ("", "name listen discovery seed log limits known settings"),
    ("limits", "cores memory_mb sockets"),
    (
        "settings",
        "balancers blend ceilings clients countedBy discovery family familyInfo index overShareWorth \
         penalties projects report rules services skus stages tickMs tier weights zone zones",
    ),
    (
        "settings.familyInfo",
        "cells leastShare partialEarns partsACall perCallWorkMs secondStep slabs span warmKeys wholeAt",
    ),
    (
        "settings.ceilings",
        "attemptsCap cancel connectTimeoutMs cpuUsPerRequest cpuUsPerS idleCloseMs maxRetryAfterMs \
         mayProbe mostHeld peers retryAfter secondCopies streamsPerConn",
    ),
    (
        "settings.rules",
        "answerSlackMs budgetWindowMs coldFrom coldMs drainGraceMs fallMs freeResends mustAskInMs \
         overloadFactor repeatRatio",
    ),
    (
        "settings.penalties",
        "connection crossZone discovery fleet handshake lateFail moves origin peer probe waste",
    ),
    (
        "settings.services",
        "aimMs aimStretch deadlineMs group lateWorth name repeatWindowMs semantics stream value",
    ),
    ("settings.projects", "name quotaPerS share"),
    ("settings.clients", "marksRetry"),
    ("settings.report", "fields source"),
    ("settings.blend", "whole worstClass worstTenant worstWindow"),
];

/// Takes out what nobody knows, and says so.
fn drop_unknown(path: &str, object: &mut Map<String, Value>, left: &mut Vec<String>) {
    let Some((_, known)) = KNOWN.iter().find(|(name, _)| *name == path) else { return };
    let under = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    object.retain(|key, value| {
        let keep = known.split_whitespace().any(|name| name == key);
        if !keep {
            left.push(format!("{}: not known, not carried over (it was {value})", under(key)));
        }
        keep
    });
    for (key, value) in object.iter_mut() {
        let path = under(key);
        let entries = match value {
            Value::Array(list) => list.iter_mut().collect(),
            other => vec![other],
        };
        for entry in entries.into_iter().filter_map(Value::as_object_mut) {
            drop_unknown(&path, entry, left);
        }
    }
}

/// The counterpart of an old file's text; `check` is the broker's own, which both files have to pass.
pub fn counterpart(
    text: &str,
    ask: &Ask,
    check: impl Fn(&Value) -> Result<(), Bad>,
) -> Result<Counterpart, Bad> {
    let old = json(text.as_bytes()).map_err(Bad)?;
    check(&old)?;
    let settings = Fields::of("settings", &old["settings"])?;
    let (cells, span) = (settings.some("familyInfo.cells")?, settings.some("familyInfo.span")?);
    let returns = settings.mark("ceilings.retryAfter")?;
    if span == 1 && !returns {
        return Ok(Counterpart { text: text.to_string(), left: Vec::new(), same: true });
    }
    let mut left = Vec::new();
    let mut new = old.clone();
    new.as_object_mut().into_iter().for_each(|object| drop_unknown("", object, &mut left));
    let hosts = old["known"]["hosts"].as_array().map_or(0, Vec::len);
    if hosts > 0 {
        left.push(format!("known.hosts: {hosts} nodes of the old deployment; discovery names the new ones"));
        new["known"] = serde_json::json!({"seq": 0, "whole": true, "hosts": []});
    }
    let sets = match ask.sets {
        Some(0) => return Err(Bad("--sets: must be above 0".to_string())),
        Some(sets) => sets,
        None if cells % span == 0 => cells / span,
        None => {
            let why = format!("{cells} cells do not part into sets of {span}; say how many sets with --sets");
            return Err(settings.bad("familyInfo.cells", &why));
        }
    };
    if (sets, 1) != (cells, span) {
        left.push(format!(
            "settings.familyInfo.cells, span: {cells} cells and {span} in a row become {sets} sets; segment s \
             is now held by all nodes of set s modulo {sets}, and the data must lie so"
        ));
        (new["settings"]["familyInfo"]["cells"], new["settings"]["familyInfo"]["span"]) =
            (serde_json::json!(sets), serde_json::json!(1));
    }
    if returns {
        let key = "settings.ceilings.retryAfter: true becomes false";
        left.push(format!("{key}; clients are not told when to come back, and many come at once"));
        new["settings"]["ceilings"]["retryAfter"] = serde_json::json!(false);
    }
    if ask.one_at_a_time && settings.mark("ceilings.secondCopies")? {
        let key = "settings.ceilings.secondCopies: true becomes false";
        left.push(format!("{key}; a part at a slow node waits for it, as none is copied"));
        new["settings"]["ceilings"]["secondCopies"] = serde_json::json!(false);
    }
    if settings.maybe("rules.repeatRatio", "a number", Value::as_f64)?.is_none() {
        left.push("settings.rules.repeatRatio: absent; further dispatches keep to no budget".to_string());
    }
    if settings.maybe("penalties.crossZone", "a number", Value::as_f64)?.is_none() {
        left.push("settings.penalties.crossZone: absent; a crossing weighs as it did before".to_string());
    }
    // What the broker would refuse to start with is no counterpart.
    check(&new).map_err(|Bad(line)| Bad(format!("the counterpart: {line}")))?;
    let text = serde_json::to_string_pretty(&new).map_err(|e| Bad(e.to_string()))? + "\n";
    Ok(Counterpart { text, left, same: false })
}
