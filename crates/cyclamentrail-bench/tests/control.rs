//! Checks the counted cost of control against its regression bounds.

use anyhow::Result;
use cyclamentrail_bench::{Bounds, ControlSize, count_control_day, heartbeat_figures};

/// Seed of the trace of control records.
const SEED: u64 = 5;
/// Number of entries, the largest that a current site has.
const ENTRIES: u64 = 9;

#[test]
fn day_within_bounds() -> Result<()> {
    let bounds = Bounds::load()?;
    let mut figures = heartbeat_figures(&[6, 9, 16, 32])?;
    println!("{figures:#?}");
    for size in &ControlSize::ALL {
        let report = count_control_day(size, ENTRIES, SEED)?;
        println!("{} {ENTRIES} entries: {report:?}", size.name);
        figures.extend(report.figures(size));
    }
    let violations = bounds.violations(&figures);
    assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}

#[test]
fn same_seed_same_report() -> Result<()> {
    let size = &ControlSize::ALL[0];
    assert_eq!(
        count_control_day(size, 6, SEED)?,
        count_control_day(size, 6, SEED)?
    );
    Ok(())
}
