//! Structured logging to standard error, as text or JSON lines. Lines are rate-limited per call site, so that no peer
//! can flood the log.

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

/// How many lines per second one call site may write.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Longest line that is written, in bytes without its line end. A pipe that is ready for writing accepts at least one
/// page without blocking (pipe(7), PIPE_BUF), and one byte of it is needed for the line end.
const PIPE_LINE_BYTES: usize = 4096 - 1;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LogFormat {
    /// Each event is a line of text.
    #[default]
    Text,
    /// Each event is a line with a JSON object.
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

/// The text format: seconds since the start, the broker's name, the level, the message, and the fields.
struct TextFormat {
    name: String,
    start: Instant,
}

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, context: &FmtContext<S, N>, mut writer: Writer, event: &Event) -> fmt::Result {
        let at = self.start.elapsed().as_secs_f64();
        write!(writer, "{at:10.4} {} {} ", self.name, event.metadata().level())?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// How many lines were dropped because a write to standard error would have blocked. The next line that is written
/// reports and resets the count.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes to standard error without blocking. Lines are dropped if it has no room: otherwise a pipe that nobody reads
/// would block the event loop.
struct NonBlockingStderr;

impl NonBlockingStderr {
    /// Returns whether a line can be written at once. A file, which cannot be polled, always has room.
    fn has_room(stderr: &io::Stderr) -> bool {
        let mut polled = [PollFd::new(stderr, PollFlags::OUT)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut polled, Some(&no_wait)).map_or(true, |count| count > 0)
    }
}

impl Write for NonBlockingStderr {
    /// Writes one line. A pipe that reports room accepts at least `PIPE_LINE_BYTES` in one write.
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
        // Truncates the line, as a longer write to a pipe could block. A report of dropped lines takes up part of the
        // limit.
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

/// How many lines each call site has written in the current second.
#[derive(Default)]
struct LinesThisSecond {
    second: u64,
    lines: HashMap<Identifier, u32>,
}

/// The result of counting a line.
#[derive(Default)]
struct LineCount {
    /// Whether the line is over the limit of its call site.
    is_over_limit: bool,
    /// How many lines were suppressed in the previous second, if this line is the first of a new second; otherwise 0.
    suppressed_before: u32,
}

/// Suppresses the lines of a call site that are over the limit.
struct RateLimit {
    name: String,
    start: Instant,
    seen: Mutex<LinesThisSecond>,
}

impl RateLimit {
    /// Counts a line of the call site that `metadata` describes.
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
        // Lines of the levels debug and trace are not limited.
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

/// The handle that changes the level of the installed logger.
static LEVEL: OnceLock<reload::Handle<LevelFilter, Registry>> = OnceLock::new();

/// Installs the logger for the whole process. `name` is the broker's name, which is in each line.
pub fn start(name: &str, level: LevelFilter, format: LogFormat) {
    let (level, handle) = reload::Layer::new(level);
    let start = Instant::now();
    let rate_limit = RateLimit { name: name.to_string(), start, seen: Mutex::default() };
    let lines = tracing_subscriber::fmt::layer().with_writer(|| NonBlockingStderr).with_ansi(false);
    let lines = match format {
        LogFormat::Text => lines.event_format(TextFormat { name: name.to_string(), start }).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).with_current_span(false).boxed(),
    };
    let subscriber = Registry::default().with(level).with(lines.with_filter(rate_limit));
    // Only tests install a logger twice. The first one stays in use.
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
