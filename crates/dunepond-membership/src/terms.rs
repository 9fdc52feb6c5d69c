//! What nothing could work with.

use crate::error::PeerError;
use crate::wire::LONGEST_HEAD;
use crate::words::{Bounds, Pace};

/// Bounds and times with which nothing could work are refused at the start, each by its name.
pub(crate) fn check(bounds: &Bounds, pace: &Pace) -> Result<(), PeerError> {
    let wrong = |which, value| Err(PeerError::Bound { which, value });
    for (which, value) in [
        ("body", bounds.body),
        ("asks", bounds.asks),
        ("asks_each", bounds.asks_each),
        ("connections", bounds.connections),
        ("incoming", bounds.incoming),
        ("asked", bounds.asked),
        ("asked_each", bounds.asked_each),
        ("events", bounds.events),
        ("members", bounds.members),
    ] {
        if value == 0 {
            return wrong(which, 0.0);
        }
    }
    if bounds.datagram <= 2 * LONGEST_HEAD || bounds.datagram > 65_000 {
        return wrong("datagram", bounds.datagram as f64);
    }
    if bounds.bytes_in < bounds.body {
        return wrong("bytes_in", bounds.bytes_in as f64);
    }
    if bounds.bytes_out < bounds.body {
        return wrong("bytes_out", bounds.bytes_out as f64);
    }
    for (which, value) in [
        ("probe", pace.probe),
        ("rtt", pace.rtt),
        ("suspect", pace.suspect),
        ("announce", pace.announce),
        ("still", pace.still),
        ("connect", pace.connect),
        ("rest_first", pace.rest_first),
        ("rest_most", pace.rest_most),
        ("unproven", pace.unproven),
        ("idle", pace.idle),
        ("step", pace.step),
        ("within_most", pace.within_most),
    ] {
        if !(value > 0.0 && value < 1e6) {
            return wrong(which, value);
        }
    }
    if pace.rtt >= pace.probe {
        return wrong("rtt", pace.rtt);
    }
    if pace.rest_first > pace.rest_most {
        return wrong("rest_first", pace.rest_first);
    }
    Ok(())
}
