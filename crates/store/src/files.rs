//! The few calls that the store makes to a file system, and the real one.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Result, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The file that is locked while a process has the directory open for writing.
const LOCK_FILE: &str = "LOCK";

/// One directory of files. A name is a plain file name. Errors are the system's.
pub trait Files {
    /// The names of all files.
    fn list(&self) -> Result<Vec<String>>;
    /// All bytes of a file.
    fn read(&self, name: &str) -> Result<Vec<u8>>;
    /// Makes a new, empty file, open for `append`; an earlier one of that name is replaced.
    fn create(&mut self, name: &str) -> Result<()>;
    /// Writes behind the end of a file. After an error any number of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Brings what was appended to the file to the disk. After an error it may be there or not.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Renames a file and replaces `to`, whole or not at all.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<()>;
    /// Brings the names that were created, renamed and removed to the disk.
    fn sync_directory(&mut self) -> Result<()>;
}

/// A directory on the disk.
pub struct Disk {
    directory: PathBuf,
    /// The files that are open for appending, by name.
    open_files: HashMap<String, File>,
    /// Keeps other processes from writing; the system releases it when this process ends, however it does. None for
    /// reading only.
    lock: Option<Arc<File>>,
}

impl Disk {
    /// Opens a directory for writing, and makes it where there is none. Fails where another process has it open.
    pub fn open(directory: &Path) -> Result<Disk> {
        std::fs::create_dir_all(directory)?;
        let path = directory.join(LOCK_FILE);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        lock.try_lock().map_err(|_| std::io::Error::other("another process has this folder open"))?;
        Ok(Disk { directory: directory.to_owned(), open_files: HashMap::new(), lock: Some(Arc::new(lock)) })
    }

    /// Names a directory to be read, also while another process writes to it. Touches nothing.
    pub fn open_read_only(directory: &Path) -> Disk {
        Disk { directory: directory.to_owned(), open_files: HashMap::new(), lock: None }
    }

    /// The same directory under the same lock, which is held until all that share it are dropped.
    pub fn share_lock(&self) -> Disk {
        Disk { directory: self.directory.clone(), open_files: HashMap::new(), lock: self.lock.clone() }
    }

    /// The file, open for appending.
    fn file(&mut self, name: &str) -> Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.directory.join(name))?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files.get_mut(name).ok_or_else(|| std::io::Error::other("not open"))
    }
}

impl Files for Disk {
    fn list(&self) -> Result<Vec<String>> {
        let names =
            std::fs::read_dir(&self.directory)?.map(|entry| Ok(entry?.file_name().into_string().ok()));
        Ok(names.collect::<Result<Vec<_>>>()?.into_iter().flatten().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.directory.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> Result<()> {
        let path = self.directory.join(name);
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(path)?;
        self.open_files.insert(name.to_owned(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        std::fs::rename(self.directory.join(from), self.directory.join(to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.open_files.remove(name);
        std::fs::remove_file(self.directory.join(name))
    }

    fn sync_directory(&mut self) -> Result<()> {
        File::open(&self.directory)?.sync_all()
    }
}
