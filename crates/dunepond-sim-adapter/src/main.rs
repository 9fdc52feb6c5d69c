//! Carries dunepond's decisions on the simulator's wire: one line of JSON in, one line out.
//! Decides nothing; what it cannot read it names on standard error and stops.

mod desk;
mod read;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use desk::Seat;
use dunepond_config::{Bad, Fields};
use serde_json::{Value, json};

/// The numbered node lists last registered; one set for the whole process.
pub type Lists = BTreeMap<u64, Vec<read::Row>>;

#[derive(Default)]
struct Process {
    lists: Lists,
    seats: BTreeMap<String, Seat>,
}

impl Process {
    fn batch(&mut self, line: &str) -> Result<Value, Bad> {
        let batch: Value = serde_json::from_str(line).map_err(|e| Bad(format!("batch: not JSON: {e}")))?;
        let batch = Fields::of("batch", &batch)?;
        let now = batch.number("clockMs")? / 1000.0;
        let turn = batch.raw("turn")?;
        let mut replies = Vec::new();
        for part in batch.list("parts")? {
            let part = Fields::of("batch part", part)?;
            let who = part.optional_text("who")?.unwrap_or_default();
            for event in part.list("input")? {
                self.event(now, who, event)?;
            }
            if let Some(seat) = self.seats.get_mut(who) {
                seat.settle()?;
                let orders = seat.take_orders();
                if !orders.is_empty() {
                    replies.push(json!({"who": who, "orders": orders}));
                }
            }
        }
        Ok(json!({"turn": turn, "parts": replies}))
    }

    fn event(&mut self, now: f64, who: &str, event: &Value) -> Result<(), Bad> {
        let what = Fields::of("event", event)?.text("what")?;
        let event = Fields::of(what, event)?;
        match what {
            "register" => {
                self.lists.insert(event.count("setId")?, read::rows(&event)?);
            }
            "init" => {
                self.seats.insert(who.to_string(), Seat::open(now, &event)?);
            }
            "shutdown" => {
                self.seats.remove(who);
            }
            _ => match self.seats.get_mut(who) {
                Some(seat) => seat.event(now, what, &event, &self.lists)?,
                None => return Err(Bad(format!("{what}: who: '{who}' was never started"))),
            },
        }
        Ok(())
    }
}

fn serve() -> Result<(), Bad> {
    let mut process = Process::default();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| Bad(format!("batch: cannot be read: {e}")))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = process.batch(&line)?;
        // A reader that has gone needs no more replies and is no fault of ours.
        if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
            break;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Bad(line)) => {
            eprintln!("dunepond-sim-adapter: {line}");
            ExitCode::FAILURE
        }
    }
}
