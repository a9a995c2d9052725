//! Tests of the stand-in binary.
//!
//! The process tests of other crates run the binary, and this test makes `cargo test` build it.

use std::process::Command;

#[test]
fn missing_role_prints_usage() {
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamentrail-standin"))
        .output()
        .expect("the binary starts");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("log|list|backend"), "{text}");
}
