//! A few threads, fixed in number, for what may wait for a disk.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;

use crossbeam_channel::{Sender, unbounded};

use crate::scheduler::{JobId, Outcome, Used};

/// The end of a job on the pool.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    pub id: JobId,
    pub outcome: Outcome,
    pub used: Used,
}

type Work = Box<dyn FnOnce() -> (Outcome, u64) + Send>;

pub struct Pool {
    jobs: Sender<(JobId, Work)>,
}

impl Pool {
    /// `tell` is called by the threads with the end of each job.
    pub fn start(
        name: &str,
        threads: usize,
        tell: impl Fn(Finished) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let (jobs, queue) = unbounded::<(JobId, Work)>();
        for number in 0..threads.max(1) {
            let (queue, tell) = (queue.clone(), tell.clone());
            let work = move || {
                for (id, work) in queue {
                    // A job that panics has failed, and takes no thread with it.
                    let (outcome, bytes) =
                        catch_unwind(AssertUnwindSafe(work)).unwrap_or((Outcome::Failed, 0));
                    tell(Finished { id, outcome, used: Used { seconds: 0.0, bytes } });
                }
            };
            thread::Builder::new().name(format!("{name}-{number}")).spawn(work)?;
        }
        Ok(Self { jobs })
    }

    /// Runs it, and tells its outcome and the bytes it wrote. The scheduler bounds how many there are.
    pub fn run(&self, id: JobId, work: impl FnOnce() -> (Outcome, u64) + Send + 'static) {
        // The threads live as long as the queue does.
        let _ = self.jobs.send((id, Box::new(work)));
    }
}
