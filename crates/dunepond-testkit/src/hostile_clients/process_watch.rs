//! Watches what a process uses while it runs: memory and file descriptors.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::socket_memory::SocketMemory;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Stack of a thread in the operating system.
const KERNEL_STACK_BYTES: u64 = 16 * 1024;
/// What the operating system allocates for an open socket besides its buffers: the connection, file and event objects.
const KERNEL_BYTES_PER_DESCRIPTOR: u64 = 4 * 1024;

/// The most that a process used of each resource while it was watched.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakUsage {
    /// Resident memory in bytes, as the operating system recorded it.
    pub memory_bytes: u64,
    /// Resident memory in bytes without the pages of the program's file, of which a debug build has more.
    pub anonymous_bytes: u64,
    /// What a control group counts as the process's memory, in bytes: resident memory, and in the operating system page tables,
    /// stacks, descriptors and what the process's sockets hold.
    pub charged_bytes: u64,
    /// The same without the pages of the program's file.
    pub charged_anonymous_bytes: u64,
    /// What the process's sockets hold in the operating system, in bytes.
    pub socket_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Processor time of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessorTime {
    /// Time for which it ran.
    pub run: Duration,
    /// Time for which it could have run and had no processor.
    pub waited: Duration,
}

impl ProcessorTime {
    /// Returns the processor time of the process's first thread so far; zero if the system does not tell.
    pub fn of(pid: u32) -> Self {
        let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
        let mut nanoseconds = text.split(' ').map(|field| Duration::from_nanos(field.parse().unwrap_or(0)));
        Self { run: nanoseconds.next().unwrap_or_default(), waited: nanoseconds.next().unwrap_or_default() }
    }
}

/// Watches a process until [`ProcessWatch::finish`].
pub struct ProcessWatch {
    is_over: Arc<AtomicBool>,
    sampler: JoinHandle<PeakUsage>,
}

/// Returns a field of `/proc/PID/status` that is stated in KiB, in bytes; `None` if the process has ended.
pub fn status_bytes(pid: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kibibytes: u64 = line.trim_start_matches(':').trim().split(' ').next()?.parse().ok()?;
    Some(1024 * kibibytes)
}

/// Takes samples of what a process uses.
struct Sampler {
    pid: u32,
    descriptors: PathBuf,
    sockets: SocketMemory,
    /// The ports at which the process accepts connections.
    ports: BTreeSet<u16>,
    peak: PeakUsage,
}

impl Sampler {
    fn new(pid: u32, ports: &[u16]) -> std::io::Result<Self> {
        Ok(Self {
            pid,
            descriptors: PathBuf::from(format!("/proc/{pid}/fd")),
            sockets: SocketMemory::open()?,
            ports: ports.iter().copied().collect(),
            peak: PeakUsage::default(),
        })
    }

    /// Returns the targets of the process's descriptors.
    fn open_files(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.descriptors).into_iter().flatten().flatten();
        let targets = entries.filter_map(|entry| std::fs::read_link(entry.path()).ok());
        targets.map(|target| target.to_string_lossy().into_owned()).collect()
    }

    /// Takes a sample, and records what exceeds the peaks so far.
    fn sample(&mut self) {
        let field = |name| status_bytes(self.pid, name).unwrap_or(0);
        let open_files = self.open_files();
        let inode = |target: &String| target.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok();
        let inodes: BTreeSet<u32> = open_files.iter().filter_map(inode).collect();
        let socket_bytes =
            self.sockets.bytes_of(&inodes, &self.ports).expect("the system tells of its sockets");
        let (peak_bytes, file_bytes) = (field("VmHWM"), field("RssFile"));
        let kernel_bytes = field("VmPTE")
            + KERNEL_STACK_BYTES * thread_count(self.pid)
            + KERNEL_BYTES_PER_DESCRIPTOR * open_files.len() as u64
            + socket_bytes;
        let charged_bytes = field("VmRSS") + kernel_bytes;
        let peak = &mut self.peak;
        peak.descriptors = peak.descriptors.max(open_files.len());
        peak.memory_bytes = peak.memory_bytes.max(peak_bytes);
        peak.anonymous_bytes = peak.anonymous_bytes.max(peak_bytes.saturating_sub(file_bytes));
        peak.socket_bytes = peak.socket_bytes.max(socket_bytes);
        peak.charged_bytes = peak.charged_bytes.max(charged_bytes);
        peak.charged_anonymous_bytes =
            peak.charged_anonymous_bytes.max(charged_bytes.saturating_sub(file_bytes));
    }
}

/// Returns the number of a process's threads.
fn thread_count(pid: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{pid}/task")).map_or(0, |tasks| tasks.count() as u64)
}

impl ProcessWatch {
    /// Begins to watch the process with this id, which accepts connections at `ports`.
    ///
    /// # Panics
    /// If the operating system does not tell what its sockets hold.
    pub fn start(pid: u32, ports: &[u16]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let mut sampler = Sampler::new(pid, ports).expect("the system tells of its sockets");
        let sampler = thread::spawn(move || {
            loop {
                let is_last = over.load(Ordering::SeqCst);
                sampler.sample();
                if is_last {
                    return sampler.peak;
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { is_over, sampler }
    }

    /// Ends the watch and returns the peaks.
    ///
    /// # Panics
    /// If the thread that takes the samples has panicked.
    pub fn finish(self) -> PeakUsage {
        self.is_over.store(true, Ordering::SeqCst);
        self.sampler.join().expect("the watch of a process panicked")
    }
}
