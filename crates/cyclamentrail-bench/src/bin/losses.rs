//! Prints where jobs were late or rejected, from the logs of a site's processes on standard input.

use std::io::Read;
use std::process::ExitCode;

use cyclamentrail_bench::losses::{Loss, LossCounts, LossTable};

/// Seconds that one row of the second table covers.
const SPAN_S: i64 = 2;

fn main() -> ExitCode {
    let mut text = Vec::new();
    if let Err(error) = std::io::stdin().read_to_end(&mut text) {
        eprintln!("losses: standard input can't be read: {error}");
        return ExitCode::FAILURE;
    }
    let table = LossTable::from_logs(&String::from_utf8_lossy(&text));
    if table.total() == LossCounts::default() {
        eprintln!("losses: no owner_activity lines with counts of jobs on standard input");
        return ExitCode::FAILURE;
    }
    print_heading("shard");
    for (shard, counts) in table.by_shard() {
        print_row(&shard, &counts);
    }
    print_row("all", &table.total());
    print_heading("second");
    for (second, counts) in table.by_span(SPAN_S) {
        print_row(&second.to_string(), &counts);
    }
    ExitCode::SUCCESS
}

fn print_heading(first: &str) {
    let headings = Loss::ALL.map(Loss::heading).join(" | ");
    println!("\n| {first} | on time | {headings} |");
    println!("|---|---|{}", "---|".repeat(Loss::ALL.len()));
}

fn print_row(name: &str, counts: &LossCounts) {
    let losses = Loss::ALL.map(|loss| counts.losses.get(&loss).copied().unwrap_or(0).to_string());
    println!("| {name} | {} | {} |", counts.on_time, losses.join(" | "));
}
