//! Tests that each test named in `docs/PROOF.md` exists.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the file and test of each `file::test` name in backquotes on a page.
fn named_tests(page: &str) -> BTreeSet<(String, String)> {
    page.split('`')
        .skip(1)
        .step_by(2)
        .filter_map(|quoted| quoted.split_once("::"))
        .filter(|(file, test)| is_identifier(file) && is_identifier(test))
        .map(|(file, test)| (file.to_owned(), test.to_owned()))
        .collect()
}

fn is_identifier(text: &str) -> bool {
    text.chars()
        .all(|character| character.is_ascii_lowercase() || character == '_')
}

/// Returns the concatenated text of all test files called `name`, over all crates.
fn test_sources(name: &str) -> Result<String> {
    let mut sources = String::new();
    for entry in fs::read_dir(repository_root().join("crates"))? {
        let tests = entry?.path().join("tests");
        let mut folders = vec![tests.clone()];
        if tests.is_dir() {
            for entry in fs::read_dir(&tests)? {
                folders.push(entry?.path());
            }
        }
        for folder in folders {
            let file = folder.join(format!("{name}.rs"));
            if file.is_file() {
                sources.push_str(&fs::read_to_string(file)?);
            }
        }
    }
    Ok(sources)
}

#[test]
fn named_tests_exist() -> Result<()> {
    let page =
        fs::read_to_string(repository_root().join("docs/PROOF.md")).context("docs/PROOF.md")?;
    let named = named_tests(&page);
    assert!(named.len() > 40, "only {} tests are named", named.len());
    for (file, test) in named {
        let sources = test_sources(&file)?;
        assert!(
            sources.contains(&format!("fn {test}(")),
            "docs/PROOF.md names {file}::{test}, which doesn't exist"
        );
    }
    Ok(())
}
