//! A client that closes its connection: no attempt is sent for it any more, whatever else arrives at the same time.

mod attempts;
mod detection;
mod harness;
mod late_connection;
