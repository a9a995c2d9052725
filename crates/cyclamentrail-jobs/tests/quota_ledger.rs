//! Tests of the quota's ledger and of the allowances that shards hold, without a network.

use cyclamentrail_core::{ServiceName, TeamName};
use cyclamentrail_jobs::{
    Allowances, Ledger, QuotaReply, QuotaReport, Resources, TeamConfig, TeamReport, WHOLE_CAP,
    base_share, cap_share, largest_allowance, may_start,
};
use rstest::rstest;

#[path = "quota_ledger/bytes.rs"]
mod bytes;
#[path = "quota_ledger/cost.rs"]
mod cost;
#[path = "quota_ledger/faults.rs"]
mod faults;

/// Cap of the team at the start.
const CAP_MILLI: u64 = 100_000;
const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];

fn team() -> TeamName {
    TeamName::from("team")
}

fn team_config(cap: Resources) -> TeamConfig {
    TeamConfig {
        name: team(),
        weight: 1.0,
        cap,
    }
}

fn services() -> Vec<ServiceName> {
    SERVICES.into_iter().map(ServiceName::from).collect()
}

fn new_ledger(token: u64) -> Ledger {
    let mut ledger = Ledger::new(token);
    configure(&mut ledger, CAP_MILLI);
    ledger
}

/// Sets the team's cap at a ledger; 0 removes the team.
fn configure(ledger: &mut Ledger, cap_milli: u64) {
    let team = team_config(Resources::new(cap_milli, 0, 0));
    ledger.configure(services(), Some(&team).filter(|_| cap_milli > 0));
}

/// A shard's side, with the usage and the demand that the test sets.
struct Holder {
    service: ServiceName,
    owner: u64,
    allowances: Allowances,
    usage: u64,
    wanted: u64,
    needed: u64,
}

impl Holder {
    fn new(service: &str, owner: u64) -> Self {
        let mut allowances = Allowances::default();
        allowances.set_services(SERVICES.len());
        allowances.set_caps([&team_config(Resources::new(CAP_MILLI, 0, 0))]);
        Self {
            service: ServiceName::from(service),
            owner,
            allowances,
            usage: 0,
            wanted: 0,
            needed: 0,
        }
    }

    fn allowance(&self) -> u64 {
        self.allowances.of(&team())
    }

    /// Lets the shard learn of the team's cap; 0 removes the team.
    fn set_cap(&mut self, cap_milli: u64) {
        let team = team_config(Resources::new(cap_milli, 0, 0));
        self.allowances
            .set_caps(Some(&team).filter(|_| cap_milli > 0));
    }

    fn begin(&mut self, ledger: u64) -> Option<QuotaReport> {
        let allowance = self.allowance();
        let report = TeamReport {
            team: team(),
            usage: self.usage,
            allowance,
            wanted: self.wanted.max(self.usage).max(self.needed),
            needed: self.needed,
        };
        let base = self.allowances.base();
        let is_at_base = allowance == base && report.usage.max(report.wanted) <= base;
        let teams = if is_at_base { vec![] } else { vec![report] };
        self.allowances
            .begin_report(&self.service, self.owner, ledger, teams)
    }

    /// Reports to a ledger and applies its reply.
    fn report(&mut self, ledger: &mut Ledger) {
        if let Some(report) = self.begin(ledger.token()) {
            let reply = ledger.handle_report(&report);
            self.finish(&report, reply.as_ref());
        }
    }

    fn finish(&mut self, report: &QuotaReport, reply: Option<&QuotaReply>) {
        self.allowances.finish_report(report.sequence, reply);
    }
}

fn holders() -> Vec<Holder> {
    SERVICES
        .into_iter()
        .map(|name| Holder::new(name, 1))
        .collect()
}

fn report_all(holders: &mut [Holder], ledger: &mut Ledger, rounds: usize) {
    for _ in 0..rounds {
        for holder in holders.iter_mut() {
            holder.report(ledger);
        }
    }
}

/// The bases take a quarter of the cap, and one shard can borrow all that the other bases leave.
#[rstest]
#[case(1)]
#[case(4)]
#[case(214)]
fn shares_fit_cap(#[case] services: usize) {
    let count = services as u64;
    assert!(base_share(services) * count <= WHOLE_CAP / 4);
    assert_eq!(
        largest_allowance(services) + base_share(services) * (count - 1),
        WHOLE_CAP
    );
}

/// Guards against a dimension without a limit that counts, and against shares that are rounded down.
#[test]
fn dominant_share() {
    let cap = Resources::new(3_000, 0, 2);
    assert_eq!(cap_share(&Resources::new(1_000, 1 << 40, 0), &cap), 333_334);
    assert_eq!(cap_share(&Resources::new(1_000, 0, 2), &cap), WHOLE_CAP);
    assert_eq!(
        cap_share(&Resources::new(1, 1, 1), &Resources::default()),
        0
    );
}

/// Guards against a task that can never start because it is larger than what can be lent, and
/// against several such tasks at once.
#[test]
fn oversized_starts_alone() {
    let largest = largest_allowance(4);
    assert!(may_start(0, 1_500_000, 1_500_000, largest, 4));
    assert!(!may_start(1, 1_500_001, 1_500_000, largest, 4));
    assert!(!may_start(0, 1_500_000, 1_500_000, largest - 1, 4));
    assert!(
        may_start(0, 900_000, 300_000, largest, 4),
        "gang within a task of the cap"
    );
    assert!(
        !may_start(0, 1_500_000, 300_000, largest, 4),
        "gang above it"
    );
}

/// Nothing is lent before each shard has reported to a new ledger.
#[test]
fn waits_for_all_shards() {
    let mut ledger = new_ledger(1);
    let mut holders = holders();
    holders[0].wanted = WHOLE_CAP;
    report_all(&mut holders[..3], &mut ledger, 1);
    holders[0].report(&mut ledger);
    assert!(!ledger.is_lending());
    assert_eq!(holders[0].allowance(), base_share(4));
    assert_eq!(ledger.missing_services().count(), 1);
    holders[3].report(&mut ledger);
    holders[0].report(&mut ledger);
    assert_eq!(holders[0].allowance(), largest_allowance(4));
}

/// A shard whose teams are all at their base reports once to a ledger, and then no more.
#[test]
fn quiet_at_base() {
    let mut ledger = new_ledger(1);
    let mut holder = Holder::new("s0", 1);
    holder.report(&mut ledger);
    assert!(holder.begin(1).is_none());
    assert!(holder.begin(2).is_some(), "a new ledger hears of it");
}

/// A loan that isn't used comes back and can be lent to another shard.
#[test]
fn loans_come_back() {
    let mut ledger = new_ledger(1);
    let mut holders = holders();
    holders[0].wanted = WHOLE_CAP;
    report_all(&mut holders, &mut ledger, 2);
    assert_eq!(holders[0].allowance(), largest_allowance(4));
    holders[0].wanted = 0;
    holders[1].wanted = WHOLE_CAP;
    report_all(&mut holders, &mut ledger, 3);
    assert_eq!(holders[0].allowance(), base_share(4));
    assert_eq!(holders[1].allowance(), largest_allowance(4));
    holders[1].wanted = 0;
    report_all(&mut holders, &mut ledger, 2);
    assert!(holders.iter_mut().all(|holder| holder.begin(1).is_none()));
    assert_eq!(ledger.reserved(&team()), WHOLE_CAP / 4);
}

/// A shard that wants some gets at least an equal part, though another one uses the whole cap.
#[test]
fn equal_part_for_each() {
    let mut ledger = new_ledger(1);
    let mut holders = holders();
    holders[0].wanted = WHOLE_CAP;
    report_all(&mut holders, &mut ledger, 2);
    holders[0].usage = holders[0].allowance();
    holders[1].wanted = WHOLE_CAP;
    report_all(&mut holders, &mut ledger, 2);
    assert!(holders[0].allowance() < holders[0].usage);
    assert_eq!(holders[1].allowance(), base_share(4), "nothing is free yet");
    holders[0].usage = holders[0].allowance();
    report_all(&mut holders, &mut ledger, 2);
    let (one, other) = (holders[0].allowance(), holders[1].allowance());
    assert!(one.abs_diff(other) <= 1, "{one} and {other}");
}

/// Guards against two shards that each hold a half of the cap, of which neither can start its task.
#[test]
fn large_tasks_take_turns() {
    let mut ledger = new_ledger(1);
    let mut holders = holders();
    for holder in &mut holders[..2] {
        holder.wanted = WHOLE_CAP;
        holder.needed = 600_000;
    }
    report_all(&mut holders, &mut ledger, 4);
    let fitting = |holders: &[Holder]| {
        let fits = |holder: &&Holder| holder.allowance() >= 600_000;
        holders.iter().filter(fits).count()
    };
    assert_eq!(fitting(&holders), 1);
}

/// A cap that falls far below what runs: nothing new starts in any shard until enough has ended.
#[test]
fn lowered_cap() {
    let mut ledger = new_ledger(1);
    let mut holders = holders();
    holders[0].wanted = WHOLE_CAP;
    report_all(&mut holders, &mut ledger, 2);
    holders[0].usage = 800_000;
    report_all(&mut holders, &mut ledger, 1);
    configure(&mut ledger, CAP_MILLI / 5);
    holders[1].wanted = WHOLE_CAP;
    holders[1].report(&mut ledger);
    assert_eq!(
        holders[1].allowance(),
        base_share(4),
        "usage counts five times as much"
    );
    for holder in &mut holders {
        holder.set_cap(CAP_MILLI / 5);
    }
    holders[0].usage = 4_000_000;
    report_all(&mut holders, &mut ledger, 3);
    assert_eq!(holders[1].allowance(), 0);
    assert!(holders[0].allowance() <= WHOLE_CAP);
    holders[0].usage = 0;
    report_all(&mut holders, &mut ledger, 3);
    assert!(holders[1].allowance() >= 400_000);
}

/// Returns the ledger and shards of which the first two hold an equal part each.
fn equal_holders() -> (Ledger, Vec<Holder>) {
    let mut ledger = new_ledger(1);
    let mut holders = holders();
    holders[0].wanted = WHOLE_CAP;
    holders[1].wanted = WHOLE_CAP;
    report_all(&mut holders, &mut ledger, 4);
    assert_eq!(holders[0].allowance(), 437_500);
    assert_eq!(holders[1].allowance(), 437_500);
    (ledger, holders)
}

/// Guards against a shard that keeps its loan and its base, although another one alone uses more than
/// the lowered cap.
#[rstest]
#[case::ledger_first(true)]
#[case::shards_first(false)]
fn lowered_cap_lowers_others(#[case] is_ledger_first: bool) {
    let (mut ledger, mut holders) = equal_holders();
    holders[0].usage = 437_500;
    report_all(&mut holders, &mut ledger, 1);
    if is_ledger_first {
        configure(&mut ledger, CAP_MILLI / 3);
        report_all(&mut holders, &mut ledger, 1);
    }
    holders[0].usage = 1_312_500;
    for index in 0..SERVICES.len() {
        holders[index].set_cap(CAP_MILLI / 3);
        report_all(&mut holders, &mut ledger, 1);
    }
    configure(&mut ledger, CAP_MILLI / 3);
    report_all(&mut holders, &mut ledger, 4);
    assert!(holders[1..].iter().all(|holder| holder.allowance() == 0));
    assert!(holders[0].allowance() <= largest_allowance(4));
    holders[0].usage = 0;
    holders[0].wanted = 0;
    report_all(&mut holders, &mut ledger, 3);
    assert_eq!(holders[1].allowance(), largest_allowance(4));
    assert_eq!(holders[2].allowance(), base_share(4));
}

/// Guards against shards that keep their loans while another one uses more than it was lent.
#[test]
fn overuse_lowers_others() {
    let (mut ledger, mut holders) = equal_holders();
    holders[0].usage = 800_000;
    report_all(&mut holders, &mut ledger, 4);
    assert_eq!(holders[1].allowance(), 75_000, "the other bases are 125000");
    holders[0].usage = 1_312_500;
    report_all(&mut holders, &mut ledger, 4);
    assert_eq!(holders[1].allowance(), 0);
}

/// Guards against loans for a team that comes back, while a shard hasn't told what it started for the
/// team without a cap.
#[test]
fn returned_team_waits_for_all_shards() {
    let mut ledger = new_ledger(1);
    let mut holders = holders();
    report_all(&mut holders, &mut ledger, 1);
    configure(&mut ledger, 0);
    for holder in &mut holders {
        holder.set_cap(0);
    }
    report_all(&mut holders, &mut ledger, 1);
    configure(&mut ledger, CAP_MILLI);
    holders[1].wanted = WHOLE_CAP;
    for holder in &mut holders[1..] {
        holder.set_cap(CAP_MILLI);
    }
    report_all(&mut holders[1..], &mut ledger, 3);
    assert_eq!(holders[1].allowance(), 0);
    holders[0].usage = 900_000;
    holders[0].set_cap(CAP_MILLI);
    report_all(&mut holders, &mut ledger, 3);
    assert!(holders[1].allowance() <= 100_000);
    holders[0].usage = 0;
    report_all(&mut holders, &mut ledger, 3);
    assert_eq!(holders[1].allowance(), largest_allowance(4));
}
