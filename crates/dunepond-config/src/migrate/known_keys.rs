//! Keys of the configuration file that a migration keeps: those that the broker reads or the platform documents.

use serde_json::{Map, Value};

/// Pairs of an object's path and the object's known keys, which are separated by spaces. An object whose path is not
/// listed keeps all its keys.
const KNOWN_KEYS: [(&str, &str); 12] = [
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

/// Removes unknown keys from the object at `path` and from the objects in it, and adds a line to `changes` for each
/// removed key.
pub(super) fn remove_unknown(path: &str, object: &mut Map<String, Value>, changes: &mut Vec<String>) {
    let Some((_, known)) = KNOWN_KEYS.iter().find(|(known_path, _)| *known_path == path) else { return };
    object.retain(|key, value| {
        let is_known = known.split_whitespace().any(|name| name == key);
        if !is_known {
            let path = child_path(path, key);
            changes.push(format!("{path}: not known, so it was removed (its value was {value})"));
        }
        is_known
    });
    for (key, value) in object.iter_mut() {
        let path = child_path(path, key);
        for entry in objects_in(value) {
            remove_unknown(&path, entry, changes);
        }
    }
}

fn child_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

/// Returns the objects in a value: the value itself if it is an object, or those entries of a list that are objects.
fn objects_in(value: &mut Value) -> Vec<&mut Map<String, Value>> {
    let values = match value {
        Value::Array(list) => list.iter_mut().collect(),
        single => vec![single],
    };
    values.into_iter().filter_map(Value::as_object_mut).collect()
}
