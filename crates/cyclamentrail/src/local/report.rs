//! The report of a run of `local`, which is written as JSON and printed as a summary.

use std::collections::BTreeMap;
use std::fmt;

use cyclamentrail_core::{ServiceName, Settings, SiteName};
use serde::Serialize;

use super::LocalOptions;
use super::changes::ChangeResults;
use super::load::LoadGenerator;
use super::tally::{CallCounts, Contradictions, EndedCall};

/// Results of a run. The callers and the backend servers counted the calls; field names are the keys
/// of the JSON report.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LocalReport {
    site: SiteName,
    seed: u64,
    seconds: u64,
    #[serde(flatten)]
    counts: CallCounts,
    #[serde(flatten)]
    contradictions: Contradictions,
    services: BTreeMap<ServiceName, CallCounts>,
    answer_p50_ms: u64,
    answer_p99_ms: u64,
    answer_max_ms: u64,
    moves: u64,
    wave_ms: Option<u64>,
    settings_in_force_ms: Option<u64>,
    problems: Vec<String>,
}

impl LocalReport {
    /// Builds the report from the ended calls of `load`, the number of runs of each call id, and the
    /// results of the operator's changes.
    pub(super) fn new(
        settings: &Settings,
        options: LocalOptions,
        load: &LoadGenerator,
        runs: &BTreeMap<String, u32>,
        change_results: &ChangeResults,
    ) -> Self {
        let calls = load.calls();
        let mut by_service: BTreeMap<ServiceName, Vec<EndedCall>> = BTreeMap::new();
        for call in &calls {
            by_service
                .entry(call.service.clone())
                .or_default()
                .push(call.clone());
        }
        Self {
            site: settings.site.clone(),
            seed: options.seed,
            seconds: options.seconds,
            counts: CallCounts::from(calls.as_slice()),
            contradictions: Contradictions::new(&calls, runs),
            services: by_service
                .into_iter()
                .map(|(service, calls)| (service, CallCounts::from(calls.as_slice())))
                .collect(),
            answer_p50_ms: load.latency_ms(0.5),
            answer_p99_ms: load.latency_ms(0.99),
            answer_max_ms: load.latency_ms(1.0),
            moves: change_results.finished_moves,
            wave_ms: change_results.wave_ms,
            settings_in_force_ms: change_results.settings_in_force_ms,
            problems: change_results.problems.clone(),
        }
    }

    /// Returns a text for each count that must be 0 and isn't; the run passed when there is none.
    pub(crate) fn faults(&self) -> Vec<String> {
        [
            ("lost", self.counts.lost),
            ("doubled", self.contradictions.doubled),
            ("crossed", self.counts.crossed),
            (
                "ran though told \"not run\"",
                self.contradictions.ran_though_not_run,
            ),
            (
                "answered though never run",
                self.contradictions.answered_though_not_run,
            ),
        ]
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .map(|(fault, count)| format!("{count} {fault}"))
        .collect()
    }
}

impl fmt::Display for LocalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CallCounts {
            requests_sent,
            answered_whole,
            not_run,
            outcome_unknown,
            lost,
            crossed,
        } = self.counts;
        writeln!(
            f,
            "{:<28} {:>8} {:>8} {:>8} {:>8}",
            "service", "sent", "answered", "not run", "unknown"
        )?;
        for (service, counts) in &self.services {
            writeln!(
                f,
                "{:<28} {:>8} {:>8} {:>8} {:>8}",
                service.as_str(),
                counts.requests_sent,
                counts.answered_whole,
                counts.not_run,
                counts.outcome_unknown
            )?;
        }
        writeln!(
            f,
            "{:<28} {requests_sent:>8} {answered_whole:>8} {not_run:>8} {outcome_unknown:>8}",
            "all"
        )?;
        writeln!(
            f,
            "lost {lost}, doubled {}, crossed {crossed} (counted by callers and backend servers)",
            self.contradictions.doubled
        )?;
        writeln!(
            f,
            "answer times from the intended start: median {} ms, 99% {} ms, longest {} ms",
            self.answer_p50_ms, self.answer_p99_ms, self.answer_max_ms
        )?;
        writeln!(
            f,
            "settings in force on all entries after {}; wave took {}; moves {}",
            format_millis(self.settings_in_force_ms),
            format_millis(self.wave_ms),
            self.moves
        )?;
        for problem in &self.problems {
            writeln!(f, "problem: {problem}")?;
        }
        Ok(())
    }
}

/// Formats a time in milliseconds, or its absence.
fn format_millis(millis: Option<u64>) -> String {
    millis.map_or_else(
        || String::from("(not done)"),
        |millis| format!("{millis} ms"),
    )
}
