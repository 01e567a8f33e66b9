//! In-memory file system that loses unsynced data in a simulated crash and injects faults.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use radishpaddle_storage::{DataFile, FileSystem};

/// Fault that is injected at one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The operation fails; a failed write stores the first half of its bytes.
    Error(io::ErrorKind),
    /// The operation and all later ones fail, as if the process had been stopped.
    Stop,
}

/// Content of a file in the page cache and on the disk.
#[derive(Debug, Clone, Default)]
struct Inode {
    cached: Vec<u8>,
    durable: Vec<u8>,
    /// Byte range that a failed sync marked as clean although it is not on the disk, so that a
    /// later sync does not write it.
    unwritten_clean_range: Option<(usize, usize)>,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    operations: u64,
    fault: Option<(u64, Fault)>,
    stopped: bool,
    capacity: Option<usize>,
    locked: bool,
}

/// The file system. Clones share the same simulated disk.
#[derive(Debug, Clone, Default)]
pub struct MemoryFileSystem(Arc<Mutex<State>>);

impl State {
    /// Counts an operation that changes the file system, and fails when a fault is set for it or
    /// the process is stopped.
    fn count_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.fault {
            Some((at, fault)) if at == self.operations => {
                self.stopped = fault == Fault::Stop;
                Err(match fault {
                    Fault::Error(kind) => kind.into(),
                    Fault::Stop => io::ErrorKind::Other.into(),
                })
            }
            _ if self.stopped => Err(io::ErrorKind::Other.into()),
            _ => Ok(()),
        }
    }

    fn used_bytes(&self) -> usize {
        let sizes = self.names.values().map(|inode| &self.inodes[*inode]);
        sizes.map(|inode| inode.cached.len()).sum()
    }
}

impl Inode {
    fn sync(&mut self) {
        self.durable = self.cached.clone();
        if let Some((start, end)) = self.unwritten_clean_range {
            let end = end.min(self.durable.len());
            self.durable[start.min(end)..end].fill(0);
        }
    }
}

impl MemoryFileSystem {
    /// Injects a fault at the operation with this number, counted from this call on, starting at 1.
    pub fn fail_at(&self, operation: u64, fault: Fault) {
        let mut state = self.0.lock().unwrap();
        state.operations = 0;
        state.fault = Some((operation, fault));
    }

    /// Whether the operation with the fault was reached.
    pub fn fault_triggered(&self) -> bool {
        let state = self.0.lock().unwrap();
        state.fault.is_some_and(|(at, _)| state.operations >= at)
    }

    pub fn clear_faults(&self) {
        let mut state = self.0.lock().unwrap();
        state.fault = None;
        state.stopped = false;
        state.capacity = None;
    }

    /// Limits the size of all files together to the current size plus `bytes`.
    pub fn limit_additional_bytes(&self, bytes: usize) {
        let mut state = self.0.lock().unwrap();
        state.capacity = Some(state.used_bytes() + bytes);
    }

    /// Simulates a crash, which loses unsynced data. `kept_share` returns, for each file and file
    /// name, the share of the unsynced bytes that reached the disk, from 0 (none) to 1 (all); an
    /// unsynced name is kept from 0.5 on.
    pub fn crash(&self, mut kept_share: impl FnMut() -> f64) {
        let mut state = self.0.lock().unwrap();
        state.locked = false;
        for inode in &mut state.inodes {
            let unsynced = inode.cached.len().saturating_sub(inode.durable.len());
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            #[expect(clippy::cast_precision_loss)]
            let kept = (unsynced as f64 * kept_share()) as usize;
            let end = inode.durable.len() + kept;
            let start = inode.durable.len().min(end);
            let tail: Vec<u8> = inode.cached.get(start..end).unwrap_or(&[]).to_vec();
            inode.durable.extend(tail);
            inode.cached = inode.durable.clone();
            inode.unwritten_clean_range = None;
        }
        let State {
            names,
            durable_names,
            ..
        } = &mut *state;
        let mut paths: Vec<_> = names.keys().chain(durable_names.keys()).cloned().collect();
        paths.sort_unstable();
        paths.dedup();
        for path in paths.into_iter().filter(|_| kept_share() >= 0.5) {
            match names.get(&path) {
                Some(inode) => durable_names.insert(path, *inode),
                None => durable_names.remove(&path),
            };
        }
        names.clone_from(durable_names);
    }

    pub fn files(&self) -> Vec<PathBuf> {
        self.0.lock().unwrap().names.keys().cloned().collect()
    }

    /// Changes the durable content of a file.
    pub fn edit(&self, path: &Path, edit: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.lock().unwrap();
        let inode = state.names[path];
        edit(&mut state.inodes[inode].durable);
        let content = state.inodes[inode].durable.clone();
        state.inodes[inode].cached = content;
    }

    /// Returns an independent copy that holds only the durable names and content.
    pub fn copy(&self) -> Self {
        let state = self.0.lock().unwrap();
        Self(Arc::new(Mutex::new(State {
            inodes: state.inodes.clone(),
            names: state.durable_names.clone(),
            durable_names: state.durable_names.clone(),
            ..State::default()
        })))
    }
}

#[derive(Debug)]
struct Lock(Arc<Mutex<State>>);

impl Drop for Lock {
    fn drop(&mut self) {
        self.0.lock().unwrap().locked = false;
    }
}

impl FileSystem for MemoryFileSystem {
    fn create_directory(&self, _path: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let state = self.0.lock().unwrap();
        let inside = state
            .names
            .keys()
            .filter(|path| path.parent() == Some(directory));
        let name = |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().to_owned();
        Ok(inside.map(name).collect())
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.0.lock().unwrap();
        let inode = state.names.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok(state.inodes[*inode].cached.clone())
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn DataFile>> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        let inode = if let Some(inode) = state.names.get(path) {
            *inode
        } else {
            state.inodes.push(Inode::default());
            let inode = state.inodes.len() - 1;
            state.names.insert(path.to_owned(), inode);
            inode
        };
        Ok(Box::new(MemoryFile {
            disk: Arc::clone(&self.0),
            inode,
        }))
    }

    fn lock(&self, _path: &Path) -> io::Result<Box<dyn fmt::Debug + Send>> {
        let mut state = self.0.lock().unwrap();
        if std::mem::replace(&mut state.locked, true) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(Box::new(Lock(Arc::clone(&self.0))))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        let inode = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        state.names.remove(path).ok_or(io::ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_directory(&self, _path: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        state.durable_names = state.names.clone();
        Ok(())
    }
}

#[derive(Debug)]
struct MemoryFile {
    disk: Arc<Mutex<State>>,
    inode: usize,
}

impl DataFile for MemoryFile {
    /// Writes at most 100 bytes per call, so that short writes are common.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.disk.lock().unwrap();
        let part = &bytes[..bytes.len().min(100)];
        if state
            .capacity
            .is_some_and(|capacity| state.used_bytes() + part.len() > capacity)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let result = state.count_operation();
        let part = if result.is_ok() {
            part
        } else {
            &part[..part.len() / 2]
        };
        state.inodes[self.inode].cached.extend_from_slice(part);
        result.map(|()| part.len())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.disk.lock().unwrap();
        state.count_operation()?;
        let content = &mut state.inodes[self.inode].cached;
        let start = usize::try_from(offset).unwrap();
        let end = start + bytes.len();
        content.resize(content.len().max(end), 0);
        content[start..end].copy_from_slice(bytes);
        Ok(bytes.len())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.disk.lock().unwrap();
        state.count_operation()?;
        let length = usize::try_from(length).unwrap();
        state.inodes[self.inode].cached.resize(length, 0);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.lock().unwrap();
        let result = state.count_operation();
        let inode = &mut state.inodes[self.inode];
        if result.is_ok() {
            inode.sync();
        } else {
            let start = inode.durable.len().min(inode.cached.len());
            inode.unwritten_clean_range = Some((start, inode.cached.len()));
        }
        result
    }
}
