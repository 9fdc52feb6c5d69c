//! Structured logging to standard error, as text or JSON lines, rate-limited per call site so that no peer can flood it.

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

/// Lines per second that one call site may write.
const MAX_LINES_PER_SECOND: u32 = 20;

/// A pipe that is ready for writing takes a page at least without waiting (pipe(7), PIPE_BUF); a line end is left of it.
const PIPE_LINE_BYTES: usize = 4096 - 1;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LogFormat {
    /// One line of text for an event.
    #[default]
    Text,
    /// One JSON object for an event.
    Json,
}

impl FromStr for LogFormat {
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
struct TextFormat {
    name: String,
    start: Instant,
}

impl<S, N> FormatEvent<S, N> for TextFormat
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

/// Lines that were dropped for lack of room; the next line that is written reports and resets it.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Standard error without blocking: lines are dropped if it has no room. Guards against a pipe that nobody reads, which would stop the
/// event loop.
struct NonBlockingStderr;

impl NonBlockingStderr {
    /// Whether a line can be written at once; a file, which cannot be polled, has room.
    fn has_room(stderr: &io::Stderr) -> bool {
        let mut polled = [PollFd::new(stderr, PollFlags::OUT)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut polled, Some(&at_once)).map_or(true, |count| count > 0)
    }
}

impl Write for NonBlockingStderr {
    /// Writes one line. A pipe that reports room has it for `PIPE_LINE_BYTES` in one write.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stderr = io::stderr();
        if !Self::has_room(&stderr) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let mut out = stderr.lock();
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let report = format!("{dropped} log lines dropped, as standard error was not read\n");
            out.write_all(report.as_bytes())?;
        }
        // A longer write could block.
        let max_bytes = if dropped > 0 { PIPE_LINE_BYTES / 2 } else { PIPE_LINE_BYTES };
        out.write_all(&line[..line.len().min(max_bytes)])?;
        if line.len() > max_bytes {
            out.write_all(b"\n")?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines that each call site wrote in the current second.
#[derive(Default)]
struct LinesThisSecond {
    second: u64,
    lines: HashMap<Identifier, u32>,
}

/// What counting a line has shown.
#[derive(Default)]
struct LineCount {
    is_over_limit: bool,
    /// Lines that were suppressed in the previous second, if this line is the first of a new one.
    suppressed_before: u32,
}

/// Suppresses lines of a call site beyond the limit.
struct RateLimit {
    name: String,
    start: Instant,
    seen: Mutex<LinesThisSecond>,
}

impl RateLimit {
    /// Counts a line of a call site.
    fn count_line(&self, metadata: &Metadata) -> LineCount {
        let second = self.start.elapsed().as_secs();
        let Ok(mut seen) = self.seen.lock() else { return LineCount::default() };
        let mut suppressed_before = 0;
        if seen.second != second {
            suppressed_before =
                seen.lines.values().map(|lines| lines.saturating_sub(MAX_LINES_PER_SECOND)).sum();
            *seen = LinesThisSecond { second, lines: HashMap::new() };
        }
        let lines = seen.lines.entry(metadata.callsite()).or_default();
        *lines += 1;
        LineCount { is_over_limit: *lines > MAX_LINES_PER_SECOND, suppressed_before }
    }
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata, _: &Context<S>) -> bool {
        metadata.target().starts_with("dunepond")
    }

    fn event_enabled(&self, event: &Event, _: &Context<S>) -> bool {
        // Debug lines are not limited.
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        let LineCount { is_over_limit, suppressed_before } = self.count_line(event.metadata());
        if suppressed_before > 0 {
            let at = self.start.elapsed().as_secs_f64();
            let line = format!(
                "{at:10.4} {} WARN {suppressed_before} log lines suppressed by the rate limit\n",
                self.name
            );
            let _ = NonBlockingStderr.write_all(line.as_bytes());
        }
        !is_over_limit
    }
}

static LEVEL: OnceLock<reload::Handle<LevelFilter, Registry>> = OnceLock::new();

/// Installs the logger for the whole process. `name`: the broker's name in each line.
pub fn start(name: &str, level: LevelFilter, form: LogFormat) {
    let (level, handle) = reload::Layer::new(level);
    let start = Instant::now();
    let guard = RateLimit { name: name.to_string(), start, seen: Mutex::default() };
    let lines = tracing_subscriber::fmt::layer().with_writer(|| NonBlockingStderr).with_ansi(false);
    let lines = match form {
        LogFormat::Text => lines.event_format(TextFormat { name: name.to_string(), start }).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).with_current_span(false).boxed(),
    };
    let subscriber = Registry::default().with(level).with(lines.with_filter(guard));
    // Only tests install it twice; the first logger serves them as well.
    if tracing::subscriber::set_global_default(subscriber).is_ok() {
        let _ = LEVEL.set(handle);
    }
}

/// Changes the level of the installed logger.
pub fn set_level(level: LevelFilter) {
    if let Some(handle) = LEVEL.get() {
        let _ = handle.reload(level);
    }
}
