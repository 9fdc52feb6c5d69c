//! A file store in memory with fault injection. A simulated machine crash loses any combination of writes and name
//! changes that were not synced, as on a real disk. Any call can be made to fail, or to be the one at which the process
//! stops.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use dunepond_storage::{FileStore, WritableFile};

/// Faults to inject. Calls are numbered from 1 on when the plan is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultPlan {
    /// No fault is injected.
    NoFault,
    /// The process stops during the call with this number, which may have taken effect partly. All later calls fail.
    StopAtCall(usize),
    /// The call with this number fails with `EIO`; no other call fails.
    FailCall(usize),
    /// The disk is full: creating files and writing fails with `ENOSPC`.
    DiskFull,
}

/// The content of a file.
#[derive(Clone, Debug, Default)]
struct Inode {
    /// Content as the process sees it.
    current: Vec<u8>,
    /// Content at the last sync, which a crash does not lose.
    synced: Vec<u8>,
}

#[derive(Debug)]
struct State {
    plan: FaultPlan,
    /// Number of calls since the plan was set.
    call_count: usize,
    /// Whether the process has stopped, so that all calls fail.
    stopped: bool,
    inodes: Vec<Inode>,
    /// Names of the files as the process sees them, with indexes into `inodes`.
    current_names: BTreeMap<String, usize>,
    /// Names of the files at the last sync of the names, which a crash does not lose.
    synced_names: BTreeMap<String, usize>,
    /// Name changes since the last sync of the names; `None` for a removed name. A crash may keep or lose each of them
    /// on its own.
    unsynced_changes: Vec<(String, Option<usize>)>,
    /// Number of bytes written so far.
    bytes_written: u64,
}

/// A file store in memory. Clones share the same files.
#[derive(Clone, Debug)]
pub struct MemoryStore(Arc<Mutex<State>>);

impl Default for MemoryStore {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State {
            plan: FaultPlan::NoFault,
            call_count: 0,
            stopped: false,
            inodes: Vec::new(),
            current_names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            unsynced_changes: Vec::new(),
            bytes_written: 0,
        })))
    }
}

/// Draws a number below `below` with a linear congruential generator, and advances the seed.
fn draw_below(seed: &mut u64, below: u64) -> u64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) % below.max(1)
}

impl State {
    /// Counts a call and injects the planned fault. Returns `Ok(true)` if the process stops during this call.
    fn begin_call(&mut self, writes: bool) -> io::Result<bool> {
        if self.stopped {
            return Err(io::Error::other("the process has stopped"));
        }
        self.call_count += 1;
        match self.plan {
            FaultPlan::StopAtCall(call) if call == self.call_count => {
                self.stopped = true;
                Ok(true)
            }
            FaultPlan::FailCall(call) if call == self.call_count => {
                Err(io::Error::from_raw_os_error(libc::EIO))
            }
            FaultPlan::DiskFull if writes => Err(io::Error::from_raw_os_error(libc::ENOSPC)),
            _ => Ok(false),
        }
    }

    fn stopped_error<T>() -> io::Result<T> {
        Err(io::Error::other("the process has stopped"))
    }

    /// Lets a name refer to a file, or removes the name if `inode` is `None`.
    fn set_name(&mut self, name: &str, inode: Option<usize>) {
        match inode {
            Some(inode) => self.current_names.insert(name.to_string(), inode),
            None => self.current_names.remove(name),
        };
        self.unsynced_changes.push((name.to_string(), inode));
    }
}

impl MemoryStore {
    /// Sets the faults to inject, and restarts the count of calls.
    pub fn set_plan(&self, plan: FaultPlan) {
        let mut state = self.0.lock().unwrap();
        (state.plan, state.call_count) = (plan, 0);
    }

    /// Returns the number of calls since the plan was set.
    pub fn call_count(&self) -> usize {
        self.0.lock().unwrap().call_count
    }

    /// Returns the number of bytes that have been written so far.
    pub fn bytes_written(&self) -> u64 {
        self.0.lock().unwrap().bytes_written
    }

    /// Simulates a restart after a crash of the process, or of the machine if `machine_crashed` is set. A crash of the
    /// machine loses some of the data that was not synced, as drawn from `seed`. Removes the fault plan.
    pub fn restart_after_crash(&self, machine_crashed: bool, mut seed: u64) {
        let mut state = self.0.lock().unwrap();
        (state.stopped, state.plan, state.call_count) = (false, FaultPlan::NoFault, 0);
        if !machine_crashed {
            return;
        }
        let changes = std::mem::take(&mut state.unsynced_changes);
        let mut names = state.synced_names.clone();
        for (name, inode) in changes {
            if draw_below(&mut seed, 2) == 0 {
                match inode {
                    Some(inode) => names.insert(name, inode),
                    None => names.remove(&name),
                };
            }
        }
        for inode in &mut state.inodes {
            // Any prefix of the bytes appended since the last sync may be kept; the lost bytes may read as zeros. If
            // the content was changed in another way, the synced content is restored.
            let only_appended = inode.current.starts_with(&inode.synced);
            let kept = match (only_appended, draw_below(&mut seed, 3)) {
                (true, 0) => inode.current.len(),
                (true, 1) => {
                    inode.synced.len()
                        + draw_below(&mut seed, (inode.current.len() - inode.synced.len() + 1) as u64)
                            as usize
                }
                _ => inode.synced.len(),
            };
            let zero_filled = only_appended && draw_below(&mut seed, 4) == 0;
            let length = inode.current.len();
            let base = if only_appended { inode.current.clone() } else { inode.synced.clone() };
            inode.current = base[..kept.min(base.len())].to_vec();
            if zero_filled {
                inode.current.resize(length.max(inode.current.len()), 0);
            }
            inode.synced = inode.current.clone();
        }
        state.synced_names = names.clone();
        state.current_names = names;
    }

    /// Returns the content of a file; `None` if there is no file of this name.
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.0.lock().unwrap();
        state.current_names.get(name).map(|inode| state.inodes[*inode].current.clone())
    }

    /// Replaces or creates a file as if it had been synced, without counting a call. Files that are already open are
    /// not affected.
    pub fn overwrite(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.0.lock().unwrap();
        let inode = state.inodes.len();
        state.inodes.push(Inode { current: bytes.clone(), synced: bytes });
        state.current_names.insert(name.to_string(), inode);
        state.synced_names.insert(name.to_string(), inode);
    }

    /// Returns the names of all files.
    pub fn file_names(&self) -> Vec<String> {
        self.0.lock().unwrap().current_names.keys().cloned().collect()
    }
}

/// A file that is open for appending.
struct OpenFile {
    store: MemoryStore,
    inode: usize,
}

impl FileStore for MemoryStore {
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let mut state = self.0.lock().unwrap();
        let stops = state.begin_call(true)?;
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.set_name(name, Some(inode));
        if stops { State::stopped_error() } else { Ok(Box::new(OpenFile { store: self.clone(), inode })) }
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let mut state = self.0.lock().unwrap();
        if state.begin_call(false)? {
            return State::stopped_error();
        }
        let inode = *state.current_names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(OpenFile { store: self.clone(), inode }))
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut state = self.0.lock().unwrap();
        if state.begin_call(false)? {
            return State::stopped_error();
        }
        let inode = *state.current_names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let bytes = &state.inodes[inode].current;
        if bytes.len() as u64 > max_bytes {
            Err(io::ErrorKind::FileTooLarge.into())
        } else {
            Ok(bytes.clone())
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let stops = state.begin_call(false)?;
        let inode = *state.current_names.get(from).ok_or(io::ErrorKind::NotFound)?;
        // A process that stops during a rename has not renamed the file if the call's number is even, and has renamed
        // it otherwise.
        if stops && state.call_count.is_multiple_of(2) {
            return State::stopped_error();
        }
        state.set_name(to, Some(inode));
        state.set_name(from, None);
        if stops { State::stopped_error() } else { Ok(()) }
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.begin_call(false)? {
            return State::stopped_error();
        }
        state.current_names.get(name).ok_or(io::ErrorKind::NotFound)?;
        state.set_name(name, None);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.begin_call(false)? {
            return State::stopped_error();
        }
        state.synced_names = state.current_names.clone();
        state.unsynced_changes.clear();
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut state = self.0.lock().unwrap();
        if state.begin_call(false)? {
            return State::stopped_error();
        }
        Ok(state.current_names.keys().cloned().collect())
    }
}

impl WritableFile for OpenFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.store.0.lock().unwrap();
        let stops = state.begin_call(true)?;
        // A process that stops during a write has written half of the bytes.
        let count = if stops { bytes.len() / 2 } else { bytes.len() };
        state.bytes_written += count as u64;
        state.inodes[self.inode].current.extend_from_slice(&bytes[..count]);
        if stops { State::stopped_error() } else { Ok(()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.store.0.lock().unwrap();
        if state.begin_call(false)? {
            return State::stopped_error();
        }
        state.inodes[self.inode].current.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.store.0.lock().unwrap();
        if state.begin_call(false)? {
            return State::stopped_error();
        }
        let inode = &mut state.inodes[self.inode];
        inode.synced = inode.current.clone();
        Ok(())
    }
}
