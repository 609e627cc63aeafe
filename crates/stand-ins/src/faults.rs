//! System calls of the program that fail as a test says.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The rules of one program, as `crates/driver/src/system/faults.rs` reads them before each call. Nothing fails at first.
pub struct Faults {
    path: PathBuf,
}

impl Default for Faults {
    fn default() -> Faults {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("aldermill-faults-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::SeqCst));
        Faults { path: std::env::temp_dir().join(name) }
    }
}

impl Faults {
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// From now on calls fail by these rules, one a line: call, error, chance in percent, most failures or `-`.
    pub fn set(&self, rules: &str) {
        let draft = self.path.with_extension("draft");
        std::fs::write(&draft, rules).unwrap();
        std::fs::rename(&draft, &self.path).unwrap();
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
