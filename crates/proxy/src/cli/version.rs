//! `aldermill version`.

/// Prints the version.
pub fn run() {
    println!("aldermill {}", env!("CARGO_PKG_VERSION"));
}
