//! Tests that `local` runs both example sites without a lost, doubled or crossed call, and rejects
//! flags with bad values.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use anyhow::Result;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

fn sites_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../sites")
}

fn run_local(site: &str, extra_args: &[&str]) -> Result<Output> {
    Ok(Command::new(env!("CARGO_BIN_EXE_cyclamentrail"))
        .arg("local")
        .arg("--settings")
        .arg(sites_folder().join("base.json"))
        .arg("--overlay")
        .arg(sites_folder().join(format!("{site}.json")))
        .args(extra_args)
        .output()?)
}

#[rstest]
#[case::garza("garza")]
#[case::corran("corran")]
fn site_runs_without_faults(#[case] site: &str) -> Result<()> {
    let folder = TempDir::new()?;
    let path = folder.path().join("report.json");
    let path_text = path.to_string_lossy();
    let output = run_local(
        site,
        &["--seconds", "5", "--seed", "7", "--report", &path_text],
    )?;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let report: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
    for key in [
        "lost",
        "doubled",
        "crossed",
        "ran_though_not_run",
        "answered_though_not_run",
    ] {
        assert_eq!(report[key], 0, "{key} in {report:#}");
    }
    let count = |key: &str| report[key].as_u64().unwrap_or_default();
    assert!(count("answered_whole") > 0, "{report:#}");
    let ended = count("answered_whole") + count("not_run") + count("outcome_unknown");
    assert_eq!(count("requests_sent"), ended);
    assert_eq!(report["seed"], 7);
    for key in ["settings_in_force_ms", "wave_ms", "moves"] {
        assert!(report[key].is_u64(), "{key} in {report:#}");
    }
    assert_eq!(report["problems"], serde_json::json!([]));
    let summary = String::from_utf8(output.stdout)?;
    assert!(
        summary.contains("lost 0, doubled 0, crossed 0"),
        "{summary}"
    );
    Ok(())
}

#[rstest]
#[case::seconds(&["--seconds", "0"])]
#[case::seed(&["--seed", "many"])]
fn bad_flags_rejected(#[case] flags: &[&str]) -> Result<()> {
    assert_eq!(run_local("garza", flags)?.status.code(), Some(2));
    Ok(())
}
