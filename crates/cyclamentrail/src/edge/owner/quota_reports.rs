//! Reports of an owner to the ledger of the teams' quota.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{QuotaReply, QuotaReport};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Owner, OwnerMessage};
use crate::edge::claims;
use crate::edge::clocks::now;
use crate::edge::internal::call_owner;
use crate::edge::messages::{FLEET_SHARD, OwnerCall, OwnerRequest, Reply};
use crate::edge::process_state::ProcessState;
use crate::metrics;

/// Shortest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time until the next report after one without a reply, which has to name all teams.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Time limit of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest time between two checks whether there is anything to report.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What an owner knows of the ledger, and when it reports next.
pub(super) struct QuotaReports {
    process: Arc<ProcessState>,
    /// Whether the ledger that was the newest at this owner's claim is known.
    knows_ledger: bool,
    /// Fencing token of the ledger that the last report was for.
    reported_ledger: u64,
    /// Whether a call is under way.
    is_calling: bool,
    next_check: Instant,
    /// Whether the last check found something to report.
    is_active: bool,
}

impl QuotaReports {
    pub(super) fn new(process: &Arc<ProcessState>) -> Self {
        Self {
            process: Arc::clone(process),
            knows_ledger: false,
            reported_ledger: 0,
            is_calling: false,
            next_check: Instant::now(),
            is_active: false,
        }
    }

    /// Returns the fencing token of the newest ledger that this process knows of.
    fn newest_ledger(&self) -> Option<u64> {
        self.process.owner(FLEET_SHARD).map(|owner| owner.token)
    }
}

impl Owner {
    /// Reports to the ledger if a report is due; returns the time until the next one, if there may be
    /// something to report then.
    pub(super) fn report_quota_if_due(&mut self) -> Option<Duration> {
        if self.quota_reports.is_calling {
            return None;
        }
        let now = Instant::now();
        if now >= self.quota_reports.next_check {
            self.quota_reports.next_check = now + CHECK_INTERVAL;
            self.quota_reports.is_active = self.report_quota();
            if self.quota_reports.is_active {
                self.quota_reports.next_check = now + REPORT_INTERVAL;
            }
        }
        let may_have_more = self.quota_reports.is_active
            || self.shard.is_limited_by_quota()
            || self.has_new_ledger()
            || self.has_new_caps();
        (may_have_more && !self.quota_reports.is_calling)
            .then(|| self.quota_reports.next_check.saturating_duration_since(now))
    }

    /// Returns whether there is a ledger that this owner hasn't reported to. An idle owner has to wake
    /// for it, because the ledger lends nothing to others until then.
    fn has_new_ledger(&self) -> bool {
        let newest = self.quota_reports.newest_ledger();
        newest.is_some_and(|ledger| ledger > self.quota_reports.reported_ledger)
            && self.shard.has_quota()
    }

    /// Returns whether this owner hasn't reported to the ledger under the caps in force. An idle owner has
    /// to wake for it, because the ledger lends nothing of a lowered cap to others until then.
    fn has_new_caps(&self) -> bool {
        self.quota_reports.newest_ledger().is_some() && self.shard.needs_full_quota_report()
    }

    /// Begins a report, if there is anything to report; returns whether there was.
    fn report_quota(&mut self) -> bool {
        let Some(ledger) = self.quota_reports.newest_ledger() else {
            return false;
        };
        let process = Arc::clone(&self.quota_reports.process);
        let sender = self.sender.clone();
        if !self.quota_reports.knows_ledger {
            if !self.shard.has_quota() {
                return false;
            }
            self.quota_reports.is_calling = true;
            tokio::spawn(read_claims(process, sender));
            return true;
        }
        let report = self
            .shard
            .begin_quota_report(now(), &self.service, self.token, ledger);
        let Some(report) = report else {
            return false;
        };
        self.quota_reports.reported_ledger = ledger;
        metrics::set_quota_waiting(self.service.as_str(), self.shard.waiting_team_count());
        self.quota_reports.is_calling = true;
        tokio::spawn(send_report(process, report, sender));
        true
    }

    /// Handles the reply to a report; `None` if there was none in time.
    pub(super) fn handle_quota_reply(&mut self, sequence: u64, reply: Option<&QuotaReply>) {
        self.quota_reports.is_calling = false;
        metrics::count_quota_report(reply.is_some());
        if reply.is_none() {
            self.quota_reports.next_check = Instant::now() + RETRY_INTERVAL;
        }
        self.shard.finish_quota_report(sequence, reply);
    }

    /// Continues with the first report once the claims were read after this owner's own claim.
    pub(super) fn handle_ledger_read(&mut self, is_read: bool) {
        self.quota_reports.is_calling = false;
        if !is_read {
            self.quota_reports.next_check = Instant::now() + RETRY_INTERVAL;
            return;
        }
        self.quota_reports.knows_ledger = true;
        self.quota_reports.next_check = Instant::now();
        if let Some(ledger) = self.quota_reports.newest_ledger() {
            self.shard.ignore_earlier_ledgers(ledger);
        }
    }
}

async fn read_claims(process: Arc<ProcessState>, sender: mpsc::UnboundedSender<OwnerMessage>) {
    let is_read = claims::refresh(&process).await.is_ok();
    drop(sender.send(OwnerMessage::LedgerRead(is_read)));
}

async fn send_report(
    process: Arc<ProcessState>,
    report: QuotaReport,
    sender: mpsc::UnboundedSender<OwnerMessage>,
) {
    let sequence = report.sequence;
    let call = OwnerCall {
        service: ServiceName::from(FLEET_SHARD),
        request: OwnerRequest::ReportQuota(report),
    };
    let reply = match call_owner(&process, call, REPORT_TIMEOUT).await {
        Some(Reply::Quota(reply)) => Some(reply),
        _ => None,
    };
    drop(sender.send(OwnerMessage::QuotaReply(sequence, reply)));
}
