//! Files in memory that lose in a crash whatever a real disk may: unsynced writes and unsynced names, in any mixture; and that
//! fail any call, or stop the process at it.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use dunepond_storage::{FileStore, WritableFile};

/// Which calls fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultPlan {
    /// All calls succeed.
    Serve,
    /// The process stops at this call, of which a part may be done.
    StopAt(usize),
    /// This call fails, and no other.
    FailAt(usize),
    /// All calls that write fail.
    Full,
}

/// A file: its bytes now, and how many of them, in which state, are there for good.
#[derive(Clone, Debug, Default)]
struct Inode {
    now: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug)]
struct State {
    plan: FaultPlan,
    calls: usize,
    stopped: bool,
    inodes: Vec<Inode>,
    /// Names as they are, and as they are there for good.
    now: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    /// Changes of names since: what a crash may keep or lose, each by itself.
    changes: Vec<(String, Option<usize>)>,
    bytes: u64,
}

/// Files in memory; clones share them.
#[derive(Clone, Debug)]
pub struct MemoryStore(Arc<Mutex<State>>);

impl Default for MemoryStore {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State {
            plan: FaultPlan::Serve,
            calls: 0,
            stopped: false,
            inodes: Vec::new(),
            now: BTreeMap::new(),
            synced: BTreeMap::new(),
            changes: Vec::new(),
            bytes: 0,
        })))
    }
}

/// A small generator of its own: which of the lost things are lost.
fn draw(seed: &mut u64, below: u64) -> u64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) % below.max(1)
}

impl State {
    /// What the next call is to do: `Ok(true)` where it stops half way.
    fn call(&mut self, writes: bool) -> io::Result<bool> {
        if self.stopped {
            return Err(io::Error::other("the process has stopped"));
        }
        self.calls += 1;
        match self.plan {
            FaultPlan::StopAt(call) if call == self.calls => {
                self.stopped = true;
                Ok(true)
            }
            FaultPlan::FailAt(call) if call == self.calls => Err(io::Error::from_raw_os_error(libc::EIO)),
            FaultPlan::Full if writes => Err(io::Error::from_raw_os_error(libc::ENOSPC)),
            _ => Ok(false),
        }
    }

    fn stop<T>() -> io::Result<T> {
        Err(io::Error::other("the process has stopped"))
    }

    fn name(&mut self, name: &str, inode: Option<usize>) {
        match inode {
            Some(inode) => self.now.insert(name.to_string(), inode),
            None => self.now.remove(name),
        };
        self.changes.push((name.to_string(), inode));
    }
}

impl MemoryStore {
    /// What becomes of the calls from now on, which are counted from 0 again.
    pub fn set_plan(&self, plan: FaultPlan) {
        let mut state = self.0.lock().unwrap();
        (state.plan, state.calls) = (plan, 0);
    }

    /// Calls since the plan was set.
    pub fn calls(&self) -> usize {
        self.0.lock().unwrap().calls
    }

    /// Bytes that were ever written.
    pub fn bytes_written(&self) -> u64 {
        self.0.lock().unwrap().bytes
    }

    /// The process has crashed, and with `machine` the machine too: then `seed` draws what is lost of that which was not synced.
    pub fn crash(&self, machine: bool, mut seed: u64) {
        let mut state = self.0.lock().unwrap();
        (state.stopped, state.plan, state.calls) = (false, FaultPlan::Serve, 0);
        if !machine {
            return;
        }
        let changes = std::mem::take(&mut state.changes);
        let mut names = state.synced.clone();
        for (name, inode) in changes {
            if draw(&mut seed, 2) == 0 {
                match inode {
                    Some(inode) => names.insert(name, inode),
                    None => names.remove(&name),
                };
            }
        }
        for inode in &mut state.inodes {
            // Of what was not synced, any beginning is there, and what is not may read as zeros.
            let whole = inode.now.starts_with(&inode.synced);
            let kept = match (whole, draw(&mut seed, 3)) {
                (true, 0) => inode.now.len(),
                (true, 1) => {
                    inode.synced.len()
                        + draw(&mut seed, (inode.now.len() - inode.synced.len() + 1) as u64) as usize
                }
                _ => inode.synced.len(),
            };
            let zeros = whole && draw(&mut seed, 4) == 0;
            let length = inode.now.len();
            let base = if whole { inode.now.clone() } else { inode.synced.clone() };
            inode.now = base[..kept.min(base.len())].to_vec();
            if zeros {
                inode.now.resize(length.max(inode.now.len()), 0);
            }
            inode.synced = inode.now.clone();
        }
        state.synced = names.clone();
        state.now = names;
    }

    /// The bytes of a file.
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.0.lock().unwrap();
        state.now.get(name).map(|inode| state.inodes[*inode].now.clone())
    }

    /// Puts a file there, as if it had been synced, behind everybody's back.
    pub fn overwrite(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.0.lock().unwrap();
        let inode = state.inodes.len();
        state.inodes.push(Inode { now: bytes.clone(), synced: bytes });
        state.now.insert(name.to_string(), inode);
        state.synced.insert(name.to_string(), inode);
    }

    /// The names of all files.
    pub fn names(&self) -> Vec<String> {
        self.0.lock().unwrap().now.keys().cloned().collect()
    }
}

struct Open {
    files: MemoryStore,
    inode: usize,
}

impl FileStore for MemoryStore {
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let mut state = self.0.lock().unwrap();
        let stops = state.call(true)?;
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.name(name, Some(inode));
        if stops { State::stop() } else { Ok(Box::new(Open { files: self.clone(), inode })) }
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let mut state = self.0.lock().unwrap();
        if state.call(false)? {
            return State::stop();
        }
        let inode = *state.now.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(Open { files: self.clone(), inode }))
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        let mut state = self.0.lock().unwrap();
        if state.call(false)? {
            return State::stop();
        }
        let inode = *state.now.get(name).ok_or(io::ErrorKind::NotFound)?;
        let bytes = &state.inodes[inode].now;
        if bytes.len() as u64 > most { Err(io::ErrorKind::FileTooLarge.into()) } else { Ok(bytes.clone()) }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let stops = state.call(false)?;
        let inode = *state.now.get(from).ok_or(io::ErrorKind::NotFound)?;
        if stops && state.calls.is_multiple_of(2) {
            return State::stop();
        }
        state.name(to, Some(inode));
        state.name(from, None);
        if stops { State::stop() } else { Ok(()) }
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.call(false)? {
            return State::stop();
        }
        state.now.get(name).ok_or(io::ErrorKind::NotFound)?;
        state.name(name, None);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.call(false)? {
            return State::stop();
        }
        state.synced = state.now.clone();
        state.changes.clear();
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut state = self.0.lock().unwrap();
        if state.call(false)? {
            return State::stop();
        }
        Ok(state.now.keys().cloned().collect())
    }
}

impl WritableFile for Open {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.files.0.lock().unwrap();
        let stops = state.call(true)?;
        // Torn in the middle where the process stops in it.
        let count = if stops { bytes.len() / 2 } else { bytes.len() };
        state.bytes += count as u64;
        state.inodes[self.inode].now.extend_from_slice(&bytes[..count]);
        if stops { State::stop() } else { Ok(()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.files.0.lock().unwrap();
        if state.call(false)? {
            return State::stop();
        }
        state.inodes[self.inode].now.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.files.0.lock().unwrap();
        if state.call(false)? {
            return State::stop();
        }
        let inode = &mut state.inodes[self.inode];
        inode.synced = inode.now.clone();
        Ok(())
    }
}
