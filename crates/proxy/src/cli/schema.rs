//! `aldermill schema`: prints the JSON schema of the operator's file.

use aldermill_operator_config::Operator;

/// Prints the JSON schema of the operator's file.
pub fn run() {
    print!("{}", Operator::schema());
}
