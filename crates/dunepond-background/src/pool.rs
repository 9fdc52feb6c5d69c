//! A fixed number of threads for jobs that may block on the disk.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;

use crossbeam_channel::{Sender, unbounded};

use crate::job::{JobId, Outcome, ResourceUse};

/// Result of a job that ran on the pool.
#[derive(Clone, Copy, Debug)]
pub struct FinishedJob {
    /// Number of the job.
    pub id: JobId,
    /// How the run ended.
    pub outcome: Outcome,
    /// Resources that the run used.
    pub used: ResourceUse,
}

/// The work of a job; returns its outcome and the bytes written.
type Work = Box<dyn FnOnce() -> (Outcome, u64) + Send>;

struct QueuedJob {
    id: JobId,
    work: Work,
}

impl QueuedJob {
    fn run(self) -> FinishedJob {
        // A panic counts as a failure of the job; it must not end the thread.
        let (outcome, bytes) = catch_unwind(AssertUnwindSafe(self.work)).unwrap_or((Outcome::Failed, 0));
        FinishedJob { id: self.id, outcome, used: ResourceUse { seconds: 0.0, bytes } }
    }
}

/// A pool of threads that run queued jobs. The threads end when the pool is dropped and the queue is empty.
pub struct Pool {
    queue: Sender<QueuedJob>,
}

impl Pool {
    /// Starts `threads` threads, but at least one; each is named after `name` and its number. The threads call `report`
    /// with the result of each job.
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

    /// Queues the work of a job, which returns its outcome and the bytes written. The queue has no limit of its own:
    /// the scheduler limits the number of blocking jobs.
    pub fn run(&self, id: JobId, work: impl FnOnce() -> (Outcome, u64) + Send + 'static) {
        // Sending cannot fail: the threads keep the receiving end open until the pool, and with it `self.queue`, is
        // dropped.
        let _ = self.queue.send(QueuedJob { id, work: Box::new(work) });
    }
}
