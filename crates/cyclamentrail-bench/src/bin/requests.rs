//! Prints the tables of `docs/design/requests.md`; the optional argument is the seed.

use cyclamentrail_bench::requests::{
    Load, Policy, RunReport, Scenario, Sharing, mean_examined, run,
};

/// Default seed of the traces.
const SEED: u64 = 4;

/// Compared ways of sharing slots, in the order of the table rows.
const SHARINGS: [Sharing; 5] = [
    Sharing::Static,
    Sharing::Exact,
    Sharing::Optimistic,
    Sharing::Home,
    Sharing::Learned,
];

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEED);
    println!("seed {seed}\n");
    let fault_free = |load| Scenario::new(load, seed).seconds(40);
    let policies = [
        ("round robin", Policy::Baseline),
        ("core", Policy::learned()),
    ];
    heading("Load, core against the baseline");
    for load in [
        Load::Steady(1.0),
        Load::Steady(2.0),
        Load::Steady(5.0),
        Load::Turns,
    ] {
        for (name, policy) in policies {
            row(&format!("{load:?} {name}"), &run(&fault_free(load), policy));
        }
    }
    heading("Brown-out: one server slow, one failing, one refusing");
    for load in [
        Load::Steady(1.0),
        Load::Steady(2.0),
        Load::Steady(5.0),
        Load::Turns,
    ] {
        for (name, policy) in policies {
            let scenario = fault_free(load).brown_out(true);
            row(&format!("{load:?} {name}"), &run(&scenario, policy));
        }
    }
    heading("Sharing of slots, by turns, an entry leaves and joins");
    for entries in [6, 9] {
        for sharing in SHARINGS {
            let scenario = fault_free(Load::Turns).entries(entries).churn(true);
            let report = run(&scenario, Policy::sharing(sharing));
            row(&format!("{entries} entries {sharing:?}"), &report);
        }
    }
    heading("Sharing of slots, half of the requests through one of six entries");
    for load in [Load::Steady(2.0), Load::Turns] {
        for sharing in SHARINGS {
            let scenario = fault_free(load).skewed(true);
            let report = run(&scenario, Policy::sharing(sharing));
            row(&format!("{load:?} {sharing:?}"), &report);
        }
    }
    println!("\nRouting: workers looked at in one decision\n");
    println!("| slots taken | 10 workers | 100 workers | 1,400 workers |");
    println!("|---|---|---|---|");
    for load in [0.0, 0.5, 0.9, 1.0] {
        let [ten, hundred, most] =
            [10, 100, 1_400].map(|workers| mean_examined(workers, load, seed));
        println!("| {load} | {ten:.2} | {hundred:.2} | {most:.2} |");
    }
    heading("Hedging");
    for brown_out in [false, true] {
        for load in [Load::Steady(1.0), Load::Steady(2.0), Load::Turns] {
            for (name, policy) in [("plain", Policy::learned()), ("hedged", Policy::hedged())] {
                let scenario = fault_free(load).brown_out(brown_out);
                let fault = if brown_out { "brown-out" } else { "calm" };
                row(&format!("{load:?} {fault} {name}"), &run(&scenario, policy));
            }
        }
    }
}

fn heading(title: &str) {
    println!("\n{title}\n");
    println!(
        "| run | good | late | refused | failed | tries/request | server refusals/try | use of slots | useful | p50 ms | p99 ms | refusal p50 ms | refusal p99 ms | worst small team | large team | long good | passed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

#[expect(clippy::cast_precision_loss, reason = "counts and times are small")]
fn row(name: &str, report: &RunReport) {
    let share = |count: u64| count as f64 / report.offered as f64;
    let ms = |time_us: u64| time_us as f64 / 1_000.0;
    println!(
        "| {name} | {:.4} | {:.4} | {:.4} | {:.4} | {:.3} | {:.4} | {:.3} | {:.3} | {:.1} | {:.1} | {:.1} | {:.1} | {:.3} | {:.3} | {:.3} | {} |",
        report.goodput(),
        report.late_share(),
        share(report.refused),
        share(report.failed),
        report.attempts_per_request(),
        report.refusal_share(),
        report.utilisation,
        report.useful,
        ms(report.response_us.value_at_quantile(0.5)),
        ms(report.response_us.value_at_quantile(0.99)),
        ms(report.refusal_us.value_at_quantile(0.5)),
        ms(report.refusal_us.value_at_quantile(0.99)),
        report.worst_small_team_goodput(),
        report.large_team_goodput(),
        report.long_goodput(),
        report.forwarded,
    );
}
