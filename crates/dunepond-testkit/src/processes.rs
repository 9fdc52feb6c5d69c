//! Process control for real brokers: tests start, kill, suspend and restart them, with or without their folders. A
//! broker is killed when its [`BrokerProcess`] is dropped; if the test fails, the end of its log is printed.

use std::fs::{self, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::stand_ins;

/// Longest wait for an expected event. It is long enough for a machine under load.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of bytes at the end of a broker's log that are printed when a test fails.
const MAX_LOG_BYTES_SHOWN: usize = 6_000;

/// Waits until a condition holds, for at most [`WAIT_TIMEOUT`]. Returns whether it holds.
pub fn wait_until(condition: impl FnMut() -> bool) -> bool {
    wait_until_within(WAIT_TIMEOUT, condition)
}

/// Waits until a condition holds, for at most `timeout`. Returns whether it holds.
pub fn wait_until_within(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > timeout {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

/// A broker, which runs as one process after another, its incarnations.
pub struct BrokerProcess {
    /// Name of the broker.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    environment: Vec<(String, String)>,
    /// Address at which the broker listens for clients.
    pub address: SocketAddr,
    /// Folder of the broker, which is kept between incarnations.
    pub folder: PathBuf,
    /// Path of the log file, with the output of all incarnations.
    pub log_file: PathBuf,
    /// The process of the current incarnation; `None` before the start and after the end.
    child: Option<Child>,
}

impl BrokerProcess {
    /// Creates a broker without starting it. No other process may use the address, since every incarnation listens
    /// there.
    pub fn new(program: &Path, name: &str, address: SocketAddr, folder: &Path) -> Self {
        Self {
            name: name.to_string(),
            program: program.to_path_buf(),
            arguments: Vec::new(),
            environment: Vec::new(),
            address,
            folder: folder.to_path_buf(),
            log_file: stand_ins::scratch_path("log"),
            child: None,
        }
    }

    /// Sets the command-line arguments.
    pub fn arguments(mut self, arguments: &[&str]) -> Self {
        self.arguments = arguments.iter().map(|argument| argument.to_string()).collect();
        self
    }

    /// Adds an environment variable. The broker does not inherit any from the test.
    pub fn environment(mut self, name: &str, value: &str) -> Self {
        self.environment.push((name.to_string(), value.to_string()));
        self
    }

    /// Starts an incarnation, which appends to the log of the earlier ones.
    ///
    /// # Panics
    /// Panics if the broker is running or cannot be started.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} is already running", self.name);
        fs::create_dir_all(&self.folder).unwrap();
        let log = OpenOptions::new().create(true).append(true).open(&self.log_file).unwrap();
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).env_clear().envs(self.environment.iter().cloned());
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        self.child =
            Some(command.spawn().unwrap_or_else(|e| panic!("cannot start {}: {e}", self.program.display())));
    }

    /// Whether the broker answers a request to `/ready` with status 200.
    pub fn is_ready(&self) -> bool {
        let request_ready = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut status_line = [0; 12];
            stream.read_exact(&mut status_line)?;
            Ok(&status_line == b"HTTP/1.1 200")
        };
        request_ready().unwrap_or(false)
    }

    /// Returns the process id.
    ///
    /// # Panics
    /// Panics if the broker has not been started, or has been killed or terminated.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the broker has been started").id()
    }

    /// Whether the broker's process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.pid() as i32), signal)
            .unwrap_or_else(|e| panic!("{}: cannot send {signal}: {e}", self.name));
    }

    /// Kills the broker with SIGKILL, if it has been started.
    pub fn kill(&mut self) {
        // `Child::kill` does nothing if the process has been reaped already. Its id might be that of another process by
        // then.
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends the broker with SIGTERM. Returns its exit code; `None` if it had to be killed because it did not end within
    /// [`WAIT_TIMEOUT`], or if a signal ended it.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        let child = self.child.as_mut().expect("the broker has been started");
        let mut status = None;
        wait_until(|| {
            status = child.try_wait().ok().flatten();
            status.is_some()
        });
        self.kill();
        status.and_then(|status| status.code())
    }

    /// Suspends the process with SIGSTOP until [`BrokerProcess::resume`]. Returns once it has stopped.
    ///
    /// # Panics
    /// Panics if the process does not stop within [`WAIT_TIMEOUT`].
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.pid());
        let has_stopped =
            || fs::read_to_string(&stat).is_ok_and(|s| s.contains(") T ") || s.contains(") t "));
        assert!(wait_until(has_stopped), "{} was not suspended within {WAIT_TIMEOUT:?}", self.name);
    }

    /// Resumes the process with SIGCONT after [`BrokerProcess::suspend`].
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Makes the broker read its configuration again, with SIGHUP.
    pub fn reload_config(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns the log of all incarnations; empty if it cannot be read.
    pub fn log_text(&self) -> String {
        fs::read(&self.log_file).map_or(String::new(), |bytes| String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Copies the broker's folder to a scratch folder, for [`BrokerProcess::restore_folder`] or
    /// [`BrokerProcess::restore_image`]. Returns the path of the copy.
    pub fn copy_folder_to_scratch(&self) -> PathBuf {
        let copy = stand_ins::scratch_path("copy");
        copy_folder(&self.folder, &copy).unwrap();
        copy
    }

    /// Replaces the broker's folder with an earlier copy, as when a backup is restored.
    ///
    /// # Panics
    /// Panics if the broker has been started and not ended, or if the copy cannot be moved.
    pub fn restore_folder(&self, copy: &Path) {
        assert!(self.child.is_none(), "{} is still running; end it before its folder is changed", self.name);
        self.remove_folder();
        fs::rename(copy, &self.folder).unwrap();
    }

    /// Restores the contents of the files in the broker's folder from an earlier copy, as when an image of the whole
    /// disk is restored. Files are overwritten in place; files that the copy lacks are removed. Removes the copy.
    ///
    /// # Panics
    /// Panics if the broker has been started and not ended, or if a file cannot be restored.
    pub fn restore_image(&self, copy: &Path) {
        assert!(self.child.is_none(), "{} is still running; end it before its folder is changed", self.name);
        let names = |folder: &Path| -> Vec<_> {
            fs::read_dir(folder).unwrap().flatten().map(|entry| entry.file_name()).collect()
        };
        for name in names(&self.folder) {
            if !copy.join(&name).exists() {
                fs::remove_file(self.folder.join(&name)).unwrap();
            }
        }
        for name in names(copy) {
            fs::write(self.folder.join(&name), fs::read(copy.join(&name)).unwrap()).unwrap();
        }
        let _ = fs::remove_dir_all(copy);
    }

    /// Removes the broker's folder.
    ///
    /// # Panics
    /// Panics if the broker has been started and not ended.
    pub fn remove_folder(&self) {
        assert!(self.child.is_none(), "{} is still running; end it before its folder is changed", self.name);
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Removes the last 3 bytes of each of the broker's journals that is longer than 64 bytes, as a crash in the middle
    /// of a write may do. Returns the number of truncated journals.
    ///
    /// # Panics
    /// Panics if the broker has been started and not ended.
    pub fn truncate_journals(&self) -> usize {
        assert!(self.child.is_none(), "{} is still running; end it before its folder is changed", self.name);
        let entries = fs::read_dir(&self.folder).unwrap().flatten().map(|entry| entry.path());
        let journals =
            entries.filter(|path| path.extension().is_some_and(|extension| extension == "journal"));
        let truncated = journals.filter(|path| {
            let file = OpenOptions::new().write(true).open(path).unwrap();
            let length = file.metadata().unwrap().len();
            length > 64 && file.set_len(length - 3).is_ok()
        });
        truncated.count()
    }

    /// Returns the CPU time that the broker's event loop, its first thread, has used in this incarnation, in seconds;
    /// NaN if it is unknown.
    pub fn loop_cpu_seconds(&self) -> f64 {
        let path = format!("/proc/{0}/task/{0}/schedstat", self.pid());
        let text = fs::read_to_string(path).unwrap_or_default();
        text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(f64::NAN) / 1e9
    }
}

impl Drop for BrokerProcess {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            let text = self.log_text();
            let start = text.floor_char_boundary(text.len().saturating_sub(MAX_LOG_BYTES_SHOWN));
            println!(
                "---- {} (last {} of {} bytes of its log)\n{}",
                self.name,
                text.len() - start,
                text.len(),
                &text[start..]
            );
        }
        let _ = fs::remove_file(&self.log_file);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Copies a folder with all files and folders in it.
fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        match entry.file_type()?.is_dir() {
            true => copy_folder(&entry.path(), &target)?,
            false => drop(fs::copy(entry.path(), target)?),
        }
    }
    Ok(())
}

/// Returns a loopback address that no other process uses, and no other call in this process. Its IP address is derived
/// from the id of this process, within 127.0.0.0/8. A broker can thus use the same address in each incarnation; a port
/// that the system assigns could be taken by another process between two of them.
pub fn unique_loopback_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU16, Ordering};
    static PORT: AtomicU16 = AtomicU16::new(7_400);
    let [_, b, c, d] = std::process::id().to_be_bytes();
    // Avoids 127.0.x.x, which other programs use, and addresses that end in 0 or 255.
    let b = if b == 0 { 77 } else { b };
    let d = d.clamp(1, 254);
    SocketAddr::from(([127, b, c, d], PORT.fetch_add(1, Ordering::Relaxed)))
}
