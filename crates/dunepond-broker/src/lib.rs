//! A dunepond broker, for the program of that name and for whoever hosts it among stand-ins.

mod api;
pub mod ask;
mod asking;
mod background;
mod bodies;
mod body;
pub mod buffers;
pub mod clients;
pub mod clock;
pub mod config;
mod desk;
mod ending;
mod fleet;
mod frames;
mod http;
pub mod keeping;
mod list;
pub mod logger;
pub mod migrate;
mod questions;
mod reread;
mod servers;
mod signals;
pub mod turn;
mod world;

pub use fleet::check as check_fleet;
pub use signals::{CaughtSignals, catch_signals};
pub use world::{Hooks, serve};
