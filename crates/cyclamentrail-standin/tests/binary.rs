//! The stand-in binary; this test also makes `cargo test` build it for the process tests.

use std::process::Command;

#[test]
fn usage_names_roles() {
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamentrail-standin"))
        .output()
        .expect("the binary starts");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("log|list|backend"), "{text}");
}
