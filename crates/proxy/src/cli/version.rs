//! `aldermill version`: prints the version of the program.

/// Prints the name and the version of the program.
pub fn run() {
    println!("aldermill {}", env!("CARGO_PKG_VERSION"));
}
