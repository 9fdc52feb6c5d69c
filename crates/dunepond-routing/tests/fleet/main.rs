//! Limits that many brokers respect in sum without communicating: slow start, probation attempts, retries and closed
//! connections, added up over all brokers of a fleet in simulated time.

mod harness;
mod lost_zone;
mod nodes;
mod slow_start;
mod slow_start_events;
mod transport;
