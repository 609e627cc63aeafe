//! The little that the store asks of a file system, and the real one.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Result, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// One folder of files. A name is a plain file name.
pub trait Files {
    fn list(&self) -> Result<Vec<String>>;
    fn read(&self, name: &str) -> Result<Vec<u8>>;
    /// A new, empty file, open for `append`; one of that name before is gone.
    fn create(&mut self, name: &str) -> Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// What was appended to the file is on the disk once this returns well. After an error it may or may not be.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Replaces `to`, whole or not at all.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    fn remove(&mut self, name: &str) -> Result<()>;
    /// Names created, renamed and removed are on the disk once this returns well.
    fn sync_names(&mut self) -> Result<()>;
}

/// A folder on the disk, which no other process uses meanwhile.
pub struct Disk {
    folder: PathBuf,
    open: HashMap<String, File>,
    /// Held as long as this lives; the system lets go of it when the process ends, however it does.
    lock: Option<Arc<File>>,
}

impl Disk {
    /// Opens a folder for writing; refused where another process has it open.
    pub fn open(folder: &Path) -> Result<Disk> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("LOCK"))?;
        lock.try_lock().map_err(|_| std::io::Error::other("another process has this folder open"))?;
        Ok(Disk { folder: folder.to_owned(), open: HashMap::new(), lock: Some(Arc::new(lock)) })
    }

    /// Opens a folder for reading, whoever writes to it.
    pub fn look(folder: &Path) -> Disk {
        Disk { folder: folder.to_owned(), open: HashMap::new(), lock: None }
    }

    /// The same folder under the same lock, which is held until all of them are gone.
    pub fn again(&self) -> Disk {
        Disk { folder: self.folder.clone(), open: HashMap::new(), lock: self.lock.clone() }
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.folder.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| std::io::Error::other("not open"))
    }
}

impl Files for Disk {
    fn list(&self) -> Result<Vec<String>> {
        let names = std::fs::read_dir(&self.folder)?.map(|entry| Ok(entry?.file_name().into_string().ok()));
        Ok(names.collect::<Result<Vec<_>>>()?.into_iter().flatten().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> Result<()> {
        let path = self.folder.join(name);
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(path)?;
        self.open.insert(name.to_owned(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        std::fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.open.remove(name);
        std::fs::remove_file(self.folder.join(name))
    }

    fn sync_names(&mut self) -> Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
