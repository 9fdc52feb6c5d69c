//! Structured logging to standard error, as text or JSON lines, held back where a peer could cause a flood.

use std::collections::HashMap;
use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Layer, Registry, reload};

/// Lines of one place in the code per second.
const MOST: u32 = 20;

/// A pipe that is ready for writing takes a page at least without waiting (pipe(7), PIPE_BUF); a line end is left of it.
const PIPE_ROOM: usize = 4096 - 1;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Form {
    #[default]
    Text,
    Json,
}

impl FromStr for Form {
    type Err = ();

    fn from_str(word: &str) -> Result<Self, ()> {
        match word {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(()),
        }
    }
}

/// Seconds since the start, the broker's name, the level, the words, then the fields.
struct Lines {
    name: String,
    start: Instant,
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, context: &FmtContext<S, N>, mut to: Writer, event: &Event) -> fmt::Result {
        let at = self.start.elapsed().as_secs_f64();
        write!(to, "{at:10.4} {} {} ", self.name, event.metadata().level())?;
        context.field_format().format_fields(to.by_ref(), event)?;
        writeln!(to)
    }
}

/// Lines that were left out because there was no room for them, until the next one that is written tells of them.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Standard error, to which no line waits to be written: it may be a pipe that nobody reads, and whoever waited there would
/// answer nobody.
struct WithoutWaiting;

impl WithoutWaiting {
    /// Whether a line can be written at once; what cannot be asked is taken to have room, as a file has.
    fn has_room(stderr: &io::Stderr) -> bool {
        let mut asked = [PollFd::new(stderr, PollFlags::OUT)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut asked, Some(&at_once)).map_or(true, |count| count > 0)
    }
}

impl Write for WithoutWaiting {
    /// A line at a time. A pipe that is told to have room has it for as much as is written to it in one piece.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stderr = io::stderr();
        if !Self::has_room(&stderr) {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let mut out = stderr.lock();
        let left_out = LEFT_OUT.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let told = format!("{left_out} lines left out, as nobody read them\n");
            out.write_all(told.as_bytes())?;
        }
        // Longer than what a pipe surely takes, it could wait after all.
        let most = if left_out > 0 { PIPE_ROOM / 2 } else { PIPE_ROOM };
        out.write_all(&line[..line.len().min(most)])?;
        if line.len() > most {
            out.write_all(b"\n")?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The lines that each place in the code wrote in the present second.
#[derive(Default)]
struct Seen {
    second: u64,
    lines: HashMap<Identifier, u32>,
}

struct Guard {
    name: String,
    start: Instant,
    seen: Mutex<Seen>,
}

impl Guard {
    /// Whether this line is one too many, and how many were held back in the second that is over.
    fn held_back(&self, metadata: &Metadata) -> (bool, u32) {
        let second = self.start.elapsed().as_secs();
        let Ok(mut seen) = self.seen.lock() else { return (false, 0) };
        let mut over = 0;
        if seen.second != second {
            over = seen.lines.values().map(|lines| lines.saturating_sub(MOST)).sum();
            *seen = Seen { second, lines: HashMap::new() };
        }
        let lines = seen.lines.entry(metadata.callsite()).or_default();
        *lines += 1;
        (*lines > MOST, over)
    }
}

impl<S> Filter<S> for Guard {
    fn enabled(&self, metadata: &Metadata, _: &Context<S>) -> bool {
        metadata.target().starts_with("dunepond")
    }

    fn event_enabled(&self, event: &Event, _: &Context<S>) -> bool {
        // Who asks for debugging wants all of it.
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        let (held_back, over) = self.held_back(event.metadata());
        if over > 0 {
            let at = self.start.elapsed().as_secs_f64();
            let line = format!("{at:10.4} {} WARN {over} lines held back\n", self.name);
            let _ = WithoutWaiting.write_all(line.as_bytes());
        }
        !held_back
    }
}

static LEVEL: OnceLock<reload::Handle<LevelFilter, Registry>> = OnceLock::new();

pub fn start(name: &str, level: LevelFilter, form: Form) {
    let (level, handle) = reload::Layer::new(level);
    let start = Instant::now();
    let guard = Guard { name: name.to_string(), start, seen: Mutex::default() };
    let lines = tracing_subscriber::fmt::layer().with_writer(|| WithoutWaiting).with_ansi(false);
    let lines = match form {
        Form::Text => lines.event_format(Lines { name: name.to_string(), start }).boxed(),
        Form::Json => lines.json().flatten_event(true).with_current_span(false).boxed(),
    };
    let subscriber = Registry::default().with(level).with(lines.with_filter(guard));
    // A second start can only happen in tests, and the first one serves them as well.
    if tracing::subscriber::set_global_default(subscriber).is_ok() {
        let _ = LEVEL.set(handle);
    }
}

pub fn set_level(level: LevelFilter) {
    if let Some(handle) = LEVEL.get() {
        let _ = handle.reload(level);
    }
}
