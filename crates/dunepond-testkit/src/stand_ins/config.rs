//! Default settings and broker configuration for tests: a small deployment with one replica group.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Connection timeout in the settings, in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Ratio of the latency objective to the query timeout in [`set_timeouts`].
const OBJECTIVE_RATIO: f64 = 0.6;

/// Returns settings with one replica group, so that every node holds every shard, and two query classes: `find` is idempotent,
/// `fix` is not.
pub fn settings() -> Value {
    let query_class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "aimMs": 400.0, "deadlineMs": 3000.0, "value": 1.0,
            "lateWorth": 0.5, "repeatWindowMs": 0.0, "group": "all", "stream": false})
    };
    json!({
        "balancers": 1, "countedBy": "request", "projects": [], "tickMs": 5.0, "zones": ["a", "b"],
        "services": [query_class("find", "pure"), query_class("fix", "side_effect")],
        "familyInfo": {"cells": 1, "span": 1, "slabs": 6, "partsACall": 1, "leastShare": [0.5, 1.0],
            "wholeAt": [1.0, 1.0], "secondStep": [0, 0]},
        "ceilings": {"attemptsCap": 4, "cancel": true, "connectTimeoutMs": CONNECT_TIMEOUT_MS,
            "idleCloseMs": 30000.0, "maxRetryAfterMs": 2000.0, "mayProbe": false, "mostHeld": 60,
            "retryAfter": true, "secondCopies": true, "streamsPerConn": 8},
        "rules": {"coldFrom": 0.3, "coldMs": 5000.0, "overloadFactor": 2.0, "fallMs": 1000.0,
            "repeatRatio": 0.1, "budgetWindowMs": 2000.0, "freeResends": 20.0}
    })
}

/// Returns a broker configuration with [`settings`], the discovery server's address, and the endpoints known at startup.
pub fn config(discovery: SocketAddr, known: Vec<Value>) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "5e6f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "whole": true, "hosts": known}, "settings": settings(), "log": "debug"})
}

/// Sets the query timeout of all query classes, in milliseconds, and their latency objective to 60 % of it.
pub fn set_timeouts(config: &mut Value, timeout_ms: f64) {
    for service in config["settings"]["services"].as_array_mut().into_iter().flatten() {
        service["deadlineMs"] = json!(timeout_ms);
        service["aimMs"] = json!(OBJECTIVE_RATIO * timeout_ms);
    }
}
