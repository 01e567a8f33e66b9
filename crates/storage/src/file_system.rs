//! File operations of the data directory, behind a trait so that tests can inject faults.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// File operations. Written content is durable after [`DataFile::sync`]; a created, renamed or
/// removed file name is durable after [`FileSystem::sync_directory`].
pub trait FileSystem: fmt::Debug + Send + Sync {
    /// Creates a directory and its missing parents.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn create_directory(&self, path: &Path) -> io::Result<()>;

    /// Lists the names in a directory. Names that are not valid UTF-8 are omitted.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn list(&self, directory: &Path) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Opens a file for appending; creates it when it does not exist.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn open(&self, path: &Path) -> io::Result<Box<dyn DataFile>>;

    /// Opens or creates a file and locks it exclusively until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// `WouldBlock` when another process holds the lock; the error of the operating system
    /// otherwise.
    fn lock(&self, path: &Path) -> io::Result<Box<dyn fmt::Debug + Send>>;

    /// Renames a file; an existing target is replaced.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Syncs a directory, which makes its created, renamed and removed file names durable.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;
}

/// A file that is open for writing.
pub trait DataFile: fmt::Debug + Send {
    /// Appends bytes to the file and returns how many were written, which may be fewer than given.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Writes at an offset from the start of the file and returns how many bytes were written,
    /// which may be fewer than given.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Truncates or extends the file to a length in bytes; later appends go to the new end.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Syncs the content and length of the file to the disk.
    ///
    /// # Errors
    ///
    /// The error of the operating system. It is then unknown which of the unsynced writes are
    /// durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// [`FileSystem`] on top of the operating system's file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalFileSystem;

impl FileSystem for LocalFileSystem {
    fn create_directory(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(directory)? {
            if let Ok(name) = item?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn DataFile>> {
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.seek(SeekFrom::End(0))?;
        Ok(Box::new(LocalFile(file)))
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn fmt::Debug + Send>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Box::new(file)),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

#[derive(Debug)]
struct LocalFile(File);

impl DataFile for LocalFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.0.seek(SeekFrom::Start(offset))?;
        let written = self.0.write(bytes);
        self.0.seek(SeekFrom::End(0))?;
        written
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)?;
        self.0.seek(SeekFrom::End(0))?;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}
