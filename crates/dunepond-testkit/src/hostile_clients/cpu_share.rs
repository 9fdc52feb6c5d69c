//! Gives a process a part of a core, by stopping and continuing it in turn.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Time for which the process runs and is stopped, together. Short compared with the 50 ms by which a broker may exceed a
/// time limit.
const PERIOD: Duration = Duration::from_millis(8);

/// Limits a process to a part of a core until it is dropped.
pub struct CpuShare {
    is_over: Arc<AtomicBool>,
    signaller: Option<JoinHandle<()>>,
}

impl CpuShare {
    /// Lets the process with this id run for `share` of the time, from 0 to 1.
    pub fn limit(pid: u32, share: f64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let signaller = thread::spawn(move || {
            let pid = Pid::from_raw(pid as i32);
            while !over.load(Ordering::SeqCst) {
                thread::sleep(PERIOD.mul_f64(share));
                let _ = kill(pid, Signal::SIGSTOP);
                thread::sleep(PERIOD.mul_f64(1.0 - share));
                let _ = kill(pid, Signal::SIGCONT);
            }
        });
        Self { is_over, signaller: Some(signaller) }
    }
}

impl Drop for CpuShare {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(signaller) = self.signaller.take() {
            let _ = signaller.join();
        }
    }
}
