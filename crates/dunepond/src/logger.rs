//! A small logger: lines to standard error, held back where a peer could cause a flood of them.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Lines of one place in the code per second.
const MOST: u32 = 20;

struct Logger {
    name: String,
    start: Instant,
    seen: Mutex<Seen>,
}

/// The lines that each place in the code wrote in the present second.
#[derive(Default)]
struct Seen {
    second: u64,
    lines: HashMap<(&'static str, u32), u32>,
}

impl Logger {
    /// Whether this line is one too many, and how many were held back in the second that is over.
    fn held_back(&self, record: &Record) -> (bool, u32) {
        if record.level() > Level::Info {
            return (false, 0);
        }
        let second = self.start.elapsed().as_secs();
        let Ok(mut seen) = self.seen.lock() else { return (false, 0) };
        let mut over = 0;
        if seen.second != second {
            over = seen.lines.values().map(|lines| lines.saturating_sub(MOST)).sum();
            *seen = Seen { second, lines: HashMap::new() };
        }
        let place = (record.file_static().unwrap_or_default(), record.line().unwrap_or_default());
        let lines = seen.lines.entry(place).or_default();
        *lines += 1;
        (*lines > MOST, over)
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("dunepond")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let (held_back, over) = self.held_back(record);
        let mut err = std::io::stderr().lock();
        let at = self.start.elapsed().as_secs_f64();
        if over > 0 {
            let _ = writeln!(err, "{at:10.4} {} WARN {over} lines held back", self.name);
        }
        if !held_back {
            let _ = writeln!(err, "{at:10.4} {} {} {}", self.name, record.level(), record.args());
        }
    }

    fn flush(&self) {}
}

pub fn start(name: &str, level: LevelFilter) {
    let logger = Logger { name: name.to_string(), start: Instant::now(), seen: Mutex::default() };
    // A second start can only happen in tests, and the first logger serves them as well.
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
}
