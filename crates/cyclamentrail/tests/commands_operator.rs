//! Tests the operators' commands against running entries, and the exit codes of all commands.

use std::process::{Command, Output};

use anyhow::Result;
use cyclamentrail_testkit::{Site, TOKEN};
use rstest::rstest;
use serde_json::Value;

fn run_command(arguments: &[&str]) -> Result<Output> {
    Ok(Command::new(env!("CARGO_BIN_EXE_cyclamentrail"))
        .args(arguments)
        .env("CYCLAMENTRAIL_TOKEN", TOKEN)
        .output()?)
}

/// Runs a command with `--entry` set to the first entry of the site.
fn run_on_entry(site: &Site, arguments: &[&str]) -> Result<Output> {
    let address = site.entries[0].address("operators")?.to_string();
    let mut all_arguments = arguments.to_vec();
    all_arguments.extend(["--entry", &address]);
    run_command(&all_arguments)
}

/// Returns the JSON on standard output of a command that succeeded.
fn stdout_json(output: &Output) -> Result<Value> {
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[rstest]
fn commands_print_help(
    #[values(
        "check", "entry", "local", "publish", "state", "explain", "wave", "pool"
    )]
    command: &str,
    #[values("--help", "-h", "--version")] flag: &str,
) -> Result<()> {
    let output = run_command(&[command, flag])?;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8(output.stdout)?;
    let start = if flag == "--version" {
        String::from("cyclamentrail 0.")
    } else {
        format!("Usage: cyclamentrail {command}")
    };
    assert!(text.starts_with(&start), "{text}");
    Ok(())
}

#[rstest]
#[case::no_arguments(&[], 2)]
#[case::help(&["--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::unknown_command(&["dance"], 2)]
#[case::missing_flags(&["check"], 2)]
#[case::unknown_flag(&["state", "--entry", "127.0.0.1:1", "--loud"], 2)]
#[case::malformed_address(&["state", "--entry", "here"], 2)]
#[case::unexpected_argument(&["state", "--entry", "127.0.0.1:1", "more"], 2)]
#[case::missing_patch(&["publish", "--entry", "127.0.0.1:1"], 2)]
#[case::missing_kind(&["explain", "--entry", "127.0.0.1:1"], 2)]
#[case::unknown_kind(&["explain", "rack", "r1", "--entry", "127.0.0.1:1"], 2)]
#[case::unknown_wave_action(&["wave", "dance", "--entry", "127.0.0.1:1"], 2)]
#[case::missing_wave(&["wave", "create", "--entry", "127.0.0.1:1"], 2)]
#[case::unknown_pool_action(&["pool", "dance", "--entry", "127.0.0.1:1"], 2)]
#[case::missing_instance(&["pool", "move", "--to", "a", "--entry", "127.0.0.1:1"], 2)]
#[case::missing_target(&["pool", "move", "--instance", "i", "--entry", "127.0.0.1:1"], 2)]
#[case::missing_file(&["check", "--settings", "/none", "--overlay", "/none"], 1)]
#[case::unreachable_entry(&["state", "--entry", "127.0.0.1:1"], 1)]
#[case::malformed_patch(&["publish", "--entry", "127.0.0.1:1", "--patch", "{"], 1)]
fn exit_code_matches(#[case] arguments: &[&str], #[case] code: i32) -> Result<()> {
    let output = run_command(arguments)?;
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    Ok(())
}

#[tokio::test]
async fn publish_waits_for_entries() -> Result<()> {
    let site = Site::builder().entries(3).instances(4).start().await?;
    let patch = r#"{"requests": {"max_waiting": 99}}"#;
    let report = stdout_json(&run_on_entry(
        &site,
        &["publish", "--operator", "ana", "--patch", patch, "--json"],
    )?)?;
    assert_eq!(report["version"], 2, "{report}");
    assert_eq!(report["lagging"], serde_json::json!([]));
    assert_eq!(report["in_force_on"].as_array().map(Vec::len), Some(3));
    assert!(report["in_force_ms"].is_u64());
    for entry in 0..3 {
        let state = site.state(entry).await?;
        assert_eq!(state["settings_version"], 2);
    }
    let text = run_on_entry(&site, &["publish", "--patch", patch])?;
    let text = String::from_utf8(text.stdout)?;
    assert!(
        text.starts_with("version 3 in force on 3 of 3 live entries after "),
        "{text}"
    );
    Ok(())
}

#[tokio::test]
async fn stale_publish_rejected() -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    let publish = |operator: &str, max_waiting: u32| {
        let patch = format!(r#"{{"requests": {{"max_waiting": {max_waiting}}}}}"#);
        run_on_entry(
            &site,
            &[
                "publish",
                "--operator",
                operator,
                "--presumes",
                "1",
                "--patch",
                &patch,
            ],
        )
    };
    assert_eq!(publish("ana", 10)?.status.code(), Some(0));
    let late = publish("bela", 20)?;
    assert_eq!(late.status.code(), Some(1), "{late:?}");
    let text = stderr_text(&late);
    assert!(text.contains("version 2 by ana is in force"), "{text}");
    assert!(text.contains("publish again"), "{text}");
    let explanation = stdout_json(&run_on_entry(&site, &["explain", "change", "2", "--json"])?)?;
    assert_eq!(explanation["change"]["operator"], "ana");
    assert_eq!(
        explanation["change"]["patch"]["requests"]["max_waiting"],
        10
    );
    assert_eq!(explanation["rivals"][0]["operator"], "bela");
    assert_eq!(explanation["members"].as_array().map(Vec::len), Some(2));
    Ok(())
}

#[tokio::test]
async fn invalid_publish_rejected() -> Result<()> {
    let site = Site::builder().entries(1).instances(4).start().await?;
    let patch = r#"{"control": {"heartbeat_ms": 0}}"#;
    let refused = run_on_entry(&site, &["publish", "--patch", patch])?;
    assert_eq!(refused.status.code(), Some(1));
    assert!(stderr_text(&refused).contains("/control/heartbeat_ms"));
    assert_eq!(site.state(0).await?["settings_version"], 1);
    Ok(())
}

#[tokio::test]
async fn lagging_entry_named() -> Result<()> {
    let site = Site::builder()
        .entries(3)
        .instances(4)
        .patch(serde_json::json!({"control": {"dispatch_lease_ms": 60000}}))
        .start()
        .await?;
    site.entries[2].pause()?;
    let arguments = ["publish", "--timeout", "1", "--patch", r#"{"region": "x"}"#];
    let output = run_on_entry(&site, &arguments)?;
    site.entries[2].resume()?;
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        stderr_text(&output)
    );
    assert!(text.contains("e3"), "{text}");
    Ok(())
}

#[tokio::test]
async fn state_printed() -> Result<()> {
    let site = Site::builder().entries(2).instances(4).start().await?;
    let whole = stdout_json(&run_on_entry(&site, &["state", "--json"])?)?;
    for key in ["entry", "incarnation", "settings_version", "fleet", "links"] {
        assert!(!whole[key].is_null(), "{key} in {whole}");
    }
    let text = String::from_utf8(run_on_entry(&site, &["state"])?.stdout)?;
    for part in [
        "entry e1 ",
        "settings version 1 by ",
        "members:",
        "checks",
        "serving",
    ] {
        assert!(text.contains(part), "{part:?} in {text}");
    }
    Ok(())
}

#[tokio::test]
async fn wrong_token_refused() -> Result<()> {
    let site = Site::builder().entries(1).instances(4).start().await?;
    let address = site.entries[0].address("operators")?.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamentrail"))
        .args(["state", "--entry", &address])
        .env("CYCLAMENTRAIL_TOKEN", "wrong")
        .output()?;
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_text(&output).contains("token"));
    Ok(())
}

#[tokio::test]
async fn hangup_signal_ignored() -> Result<()> {
    let mut site = Site::builder().entries(1).instances(4).start().await?;
    for number in 0..5 {
        site.entries[0].send_sighup()?;
        let reply = site.call(0, "checks", &format!("call-{number}")).await?;
        assert_eq!(reply.outcome, "answered");
    }
    assert!(site.entries[0].try_wait()?.is_none());
    Ok(())
}

#[rstest]
#[case::instance("instance", "w01", "pool: checks")]
#[case::wave("wave", "spring", "operator: ana")]
#[tokio::test]
async fn subject_explained(#[case] kind: &str, #[case] id: &str, #[case] part: &str) -> Result<()> {
    let site = Site::builder().entries(1).instances(4).start().await?;
    let create = ["wave", "create", "--wave", "spring", "--operator", "ana"];
    assert_eq!(run_on_entry(&site, &create)?.status.code(), Some(0));
    let explained = run_on_entry(&site, &["explain", kind, id])?;
    let text = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(text.contains(part), "{explained:?}");
    let unknown = run_on_entry(&site, &["explain", kind, "nobody"])?;
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
    Ok(())
}

#[tokio::test]
async fn request_explained() -> Result<()> {
    let site = Site::builder().entries(1).instances(4).start().await?;
    let reply = site.call(0, "checks", "call").await?;
    assert_eq!(reply.outcome, "answered");
    let state = site.state(0).await?;
    let request_id = format!("{}-0", state["incarnation"]);
    let explained = run_on_entry(&site, &["explain", "request", &request_id])?;
    let text = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(text.contains("Answered"), "{explained:?}");
    Ok(())
}
