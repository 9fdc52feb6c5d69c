//! What is known of a broker's process in a run: its log and, at each signal, how long its threads have run and have waited for a
//! processor. This distinguishes a broker that hangs from one that the machine did not run.

use std::fmt;
use std::fs;
use std::time::Duration;

use nix::sys::signal::Signal;

/// State of one thread of a process, from the Linux `proc` file system.
#[derive(Clone, Debug, PartialEq)]
pub struct ThreadState {
    /// Name of the thread.
    pub name: String,
    /// State as `/proc/<pid>/stat` gives it, such as `R` for runnable, `S` for sleeping and `T` for stopped.
    pub state: char,
    /// Time for which the thread has run since its start.
    pub run_time: Duration,
    /// Time for which the thread was runnable since its start and waited for a processor.
    pub wait_time: Duration,
}

impl ThreadState {
    /// Returns the states of all threads of a process, the main thread first; none if the process has ended. A thread that ends
    /// meanwhile is left out.
    pub fn read_all(process_id: u32) -> Vec<Self> {
        let Ok(entries) = fs::read_dir(format!("/proc/{process_id}/task")) else { return Vec::new() };
        let mut thread_ids: Vec<u32> =
            entries.flatten().filter_map(|entry| entry.file_name().to_str()?.parse().ok()).collect();
        thread_ids.sort_unstable();
        thread_ids.into_iter().filter_map(|thread_id| Self::read(process_id, thread_id)).collect()
    }

    fn read(process_id: u32, thread_id: u32) -> Option<Self> {
        let folder = format!("/proc/{process_id}/task/{thread_id}");
        let stat = fs::read_to_string(format!("{folder}/stat")).ok()?;
        // The name is in parentheses and may contain spaces and parentheses itself.
        let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
        let schedstat = fs::read_to_string(format!("{folder}/schedstat")).ok()?;
        let mut nanoseconds = schedstat.split(' ').map_while(|field| field.parse().ok());
        Some(Self {
            name: name.to_string(),
            state: rest.trim_start().chars().next()?,
            run_time: Duration::from_nanos(nanoseconds.next()?),
            wait_time: Duration::from_nanos(nanoseconds.next()?),
        })
    }
}

impl fmt::Display for ThreadState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (run, wait) = (self.run_time.as_secs_f64(), self.wait_time.as_secs_f64());
        write!(f, "{} {} ran {run:.3} s, waited {wait:.3} s", self.name, self.state)
    }
}

/// A signal that was sent to a broker.
#[derive(Clone, Debug)]
pub struct SentSignal {
    /// When the signal was sent, counted from the broker's first SIGTERM.
    pub after: Duration,
    /// The signal.
    pub signal: Signal,
    /// States of the broker's threads just before the signal.
    pub threads: Vec<ThreadState>,
}

/// What is known of one broker's process in a run.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// Index of the broker in the plan.
    pub broker_index: usize,
    /// Signals after the first SIGTERM, in the order in which they were sent.
    pub signals: Vec<SentSignal>,
    /// The broker's whole log.
    pub log: String,
}

impl fmt::Display for ProcessRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "broker {}:", self.broker_index)?;
        for sent in &self.signals {
            writeln!(f, "  {} {:.3} s after SIGTERM", sent.signal, sent.after.as_secs_f64())?;
            for thread in &sent.threads {
                writeln!(f, "    {thread}")?;
            }
        }
        write!(f, "{}", self.log)
    }
}
