//! A fixed number of threads for jobs that may wait for a disk.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;

use crossbeam_channel::{Sender, unbounded};

use crate::job::{JobId, Outcome, ResourceUse};

/// The end of a job on the pool.
#[derive(Clone, Copy, Debug)]
pub struct FinishedJob {
    /// The job's number.
    pub id: JobId,
    /// How it ended.
    pub outcome: Outcome,
    /// What it has taken.
    pub used: ResourceUse,
}

type Work = Box<dyn FnOnce() -> (Outcome, u64) + Send>;

struct QueuedJob {
    id: JobId,
    work: Work,
}

impl QueuedJob {
    fn run(self) -> FinishedJob {
        // A job that panics has failed, and must not end its thread.
        let (outcome, bytes) = catch_unwind(AssertUnwindSafe(self.work)).unwrap_or((Outcome::Failed, 0));
        FinishedJob { id: self.id, outcome, used: ResourceUse { seconds: 0.0, bytes } }
    }
}

/// The threads' queue; they end when it is dropped.
pub struct Pool {
    queue: Sender<QueuedJob>,
}

impl Pool {
    /// Starts the threads. They call `report` with the end of each job.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(
        name: &str,
        threads: usize,
        report: impl Fn(FinishedJob) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, jobs) = unbounded::<QueuedJob>();
        for number in 0..threads.max(1) {
            let (jobs, report) = (jobs.clone(), report.clone());
            let run = move || {
                for job in jobs {
                    report(job.run());
                }
            };
            thread::Builder::new().name(format!("{name}-{number}")).spawn(run)?;
        }
        Ok(Self { queue })
    }

    /// Runs work that gives its outcome and the bytes it wrote. The scheduler limits how much is queued.
    pub fn run(&self, id: JobId, work: impl FnOnce() -> (Outcome, u64) + Send + 'static) {
        // The threads live as long as the queue does.
        let _ = self.queue.send(QueuedJob { id, work: Box::new(work) });
    }
}
