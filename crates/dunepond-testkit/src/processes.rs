//! Real brokers as processes that are killed, stopped and restarted, with and without their folders. Each is killed when its
//! value is dropped, and prints the end of its log if its test fails.

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

/// Longest wait for an event that must come, generous for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// How much is printed of the log of a broker whose test fails.
const MAX_LOG_BYTES_SHOWN: usize = 6_000;

/// Waits until a condition holds; false where it does not in time.
pub fn wait_until(until: impl FnMut() -> bool) -> bool {
    wait_until_within(WAIT_TIMEOUT, until)
}

/// Waits at most so long until a condition holds; false where it does not in time.
pub fn wait_until_within(longest: Duration, mut until: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !until() {
        if start.elapsed() > longest {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

/// One broker through all of its incarnations.
pub struct BrokerProcess {
    /// Its name among brokers.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    environment: Vec<(String, String)>,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// Its folder, which outlasts an incarnation.
    pub folder: PathBuf,
    /// Where its output goes, of all its incarnations.
    pub log: PathBuf,
    child: Option<Child>,
}

impl BrokerProcess {
    /// Not started yet. Its address must be its own, so that it is the same in each incarnation.
    pub fn new(program: &Path, name: &str, address: SocketAddr, folder: &Path) -> Self {
        Self {
            name: name.to_string(),
            program: program.to_path_buf(),
            arguments: Vec::new(),
            environment: Vec::new(),
            address,
            folder: folder.to_path_buf(),
            log: stand_ins::scratch_path("log"),
            child: None,
        }
    }

    /// Sets its command line.
    pub fn arguments(mut self, arguments: &[&str]) -> Self {
        self.arguments = arguments.iter().map(|argument| argument.to_string()).collect();
        self
    }

    /// Adds an environment variable; there are no others.
    pub fn environment(mut self, name: &str, value: &str) -> Self {
        self.environment.push((name.to_string(), value.to_string()));
        self
    }

    /// Starts an incarnation, whose log goes on behind that of the last.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} runs already", self.name);
        fs::create_dir_all(&self.folder).unwrap();
        let log = OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).env_clear().envs(self.environment.iter().cloned());
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        self.child = Some(command.spawn().unwrap_or_else(|e| panic!("{}: {e}", self.program.display())));
    }

    /// Whether it says that it is ready.
    pub fn ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(&head == b"HTTP/1.1 200")
        };
        ask().unwrap_or(false)
    }

    /// Its process id.
    ///
    /// # Panics
    /// Where it does not run.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Whether its process is there.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.pid() as i32), signal).unwrap_or_else(|e| panic!("{}: {e}", self.name));
    }

    /// Kills it, if it is there.
    pub fn kill(&mut self) {
        // By its handle, which knows whether it has been reaped already and its number is another's.
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends it by SIGTERM; its exit code, or none where it had to be killed.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        let child = self.child.as_mut().expect("it runs");
        let mut code = None;
        wait_until(|| {
            code = child.try_wait().ok().flatten();
            code.is_some()
        });
        self.kill();
        code.and_then(|code| code.code())
    }

    /// Stops its process until [`BrokerProcess::resume`]; returns once it has stopped.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.pid());
        let still = || fs::read_to_string(&stat).is_ok_and(|s| s.contains(") T ") || s.contains(") t "));
        assert!(wait_until(still), "{} does not stand still", self.name);
    }

    /// Lets it go on after [`BrokerProcess::suspend`].
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Has its files read again.
    pub fn reload_config(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// All that it has logged, in all its incarnations.
    pub fn log_text(&self) -> String {
        fs::read(&self.log).map_or(String::new(), |bytes| String::from_utf8_lossy(&bytes).into_owned())
    }

    /// A copy of its folder as it is, for [`BrokerProcess::restore_folder`].
    pub fn copy_folder_to_scratch(&self) -> PathBuf {
        let copy = stand_ins::scratch_path("copy");
        copy_folder(&self.folder, &copy).unwrap();
        copy
    }

    /// Replaces its folder by an old copy, as from a backup.
    pub fn restore_folder(&self, copy: &Path) {
        assert!(self.child.is_none(), "{} runs on its folder", self.name);
        self.remove_folder();
        fs::rename(copy, &self.folder).unwrap();
    }

    /// Restores the contents of its files, which stay where they are, as from an image of the whole disk.
    pub fn restore_image(&self, copy: &Path) {
        assert!(self.child.is_none(), "{} runs on its folder", self.name);
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

    /// Removes its folder.
    ///
    /// # Panics
    /// Where it runs.
    pub fn remove_folder(&self) {
        assert!(self.child.is_none(), "{} runs on its folder", self.name);
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Takes the last bytes off its journals, as a crash in the middle of a write does; how many were truncated.
    pub fn truncate_journals(&self) -> usize {
        assert!(self.child.is_none(), "{} runs on its folder", self.name);
        let entries = fs::read_dir(&self.folder).unwrap().flatten().map(|entry| entry.path());
        let journals = entries.filter(|path| path.extension().is_some_and(|ending| ending == "journal"));
        let torn = journals.filter(|path| {
            let file = OpenOptions::new().write(true).open(path).unwrap();
            let length = file.metadata().unwrap().len();
            length > 64 && file.set_len(length - 3).is_ok()
        });
        torn.count()
    }

    /// Processor time that its loop, the first thread, has used in this incarnation.
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
            let from = text.floor_char_boundary(text.len().saturating_sub(MAX_LOG_BYTES_SHOWN));
            println!(
                "---- {} ({} of {} bytes of its log)\n{}",
                self.name,
                text.len() - from,
                text.len(),
                &text[from..]
            );
        }
        let _ = fs::remove_file(&self.log);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let into = to.join(entry.file_name());
        match entry.file_type()?.is_dir() {
            true => copy_folder(&entry.path(), &into)?,
            false => drop(fs::copy(entry.path(), into)?),
        }
    }
    Ok(())
}

/// An address on loopback that only this process uses: of the network 127.0.0.0/8 by our own number, so that a broker
/// finds it free in each of its lives, which port 0 cannot promise.
pub fn unique_loopback_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU16, Ordering};
    static PORT: AtomicU16 = AtomicU16::new(7_400);
    let [_, b, c, d] = std::process::id().to_be_bytes();
    // Neither the ordinary address, which others use, nor the network's first and last.
    let b = if b == 0 { 77 } else { b };
    let d = d.clamp(1, 254);
    SocketAddr::from(([127, b, c, d], PORT.fetch_add(1, Ordering::Relaxed)))
}
