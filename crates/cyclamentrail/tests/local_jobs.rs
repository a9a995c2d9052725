//! Tests the command `local` in its jobs mode, and without the settings that its other mode needs.

use std::process::Command;

use anyhow::{Result, ensure};

#[test]
fn jobs_mode_loses_nothing() -> Result<()> {
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamentrail"))
        .args(["local", "--jobs", "--seconds", "2"])
        .output()?;
    let text = String::from_utf8(output.stdout)?;
    ensure!(output.status.success(), "{text}");
    assert!(text.contains("lost 0, doubled 0"), "{text}");
    Ok(())
}

#[test]
fn missing_settings_rejected() -> Result<()> {
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamentrail"))
        .arg("local")
        .output()?;
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr)?;
    assert!(text.contains("--settings is missing"), "{text}");
    Ok(())
}
