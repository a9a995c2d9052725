//! The ledger of the teams' quota, in the process that holds the machine duties.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamentrail_adapter::Configuration;
use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{Ledger, QuotaReport, is_limited};
use tokio::sync::{mpsc, oneshot};

use super::claims;
use super::messages::{FLEET_SHARD, OwnerRequest, Reply};
use super::owner::OwnerMessage;
use super::process_state::ProcessState;
use crate::metrics;

/// Returns the number of services that share the bases of the teams' quota.
pub(super) fn service_count(configuration: &Configuration) -> usize {
    services(configuration).len()
}

/// Returns the services of a configuration that have a shard.
fn services(configuration: &Configuration) -> BTreeSet<ServiceName> {
    configuration
        .routes
        .iter()
        .map(|route| route.config.service.clone())
        .collect()
}

/// Serves the reports of the owners of shards.
pub(super) struct QuotaLedger {
    process: Arc<ProcessState>,
    ledger: Ledger,
    /// Whether the owners at the time of this ledger's claim are known.
    knows_owners: bool,
    /// Signals that the claims have been read after this ledger's own claim.
    claims_read: Option<oneshot::Receiver<()>>,
    /// Configuration that the ledger applies.
    configuration: Option<Arc<Configuration>>,
}

impl Drop for QuotaLedger {
    fn drop(&mut self) {
        if self.ledger.is_lending() {
            metrics::set_quota_lending(false);
        }
    }
}

impl QuotaLedger {
    /// Creates a ledger that waits for the reports of all shards; `token` is the fencing token of the
    /// shard's owner.
    pub(super) fn new(process: Arc<ProcessState>, token: u64) -> Self {
        let mut ledger = Self {
            process,
            ledger: Ledger::new(token),
            knows_owners: false,
            claims_read: None,
            configuration: None,
        };
        let has_caps = ledger.process.configuration().is_some_and(|configuration| {
            let mut teams = configuration.teams.iter();
            teams.any(|team| is_limited(&team.config.cap))
        });
        if has_caps {
            ledger.learn_owners();
        }
        ledger
    }

    /// Serves reports until the shard is given up.
    pub(super) async fn serve_until_stop(
        &mut self,
        receiver: &mut mpsc::UnboundedReceiver<OwnerMessage>,
    ) {
        while let Some(message) = receiver.recv().await {
            if matches!(message, OwnerMessage::Stop) {
                return;
            }
            self.handle(message);
        }
    }

    /// Replies to a report. Other messages are dropped, so that their senders get no reply.
    pub(super) fn handle(&mut self, message: OwnerMessage) {
        if let OwnerMessage::Request(OwnerRequest::ReportQuota(report), reply) = message {
            let response = self.handle_report(&report);
            drop(reply.send(response.unwrap_or(Reply::NotOwner)));
        }
    }

    fn handle_report(&mut self, report: &QuotaReport) -> Option<Reply> {
        let newest = self.process.owner(FLEET_SHARD)?;
        if newest.token != self.ledger.token() || !self.learn_owners() {
            return None;
        }
        self.apply_configuration()?;
        let was_lending = self.ledger.is_lending();
        let reply = self.ledger.handle_report(report)?;
        if !was_lending && self.ledger.is_lending() {
            log::info!(token = self.ledger.token(); "quota_ledger_lends");
            metrics::set_quota_lending(true);
        }
        Some(Reply::Quota(reply))
    }

    /// Reads the claims once after this ledger's own claim, so that no earlier owner's report counts.
    /// Returns whether they have been read; the read runs in a task of its own, because the duties
    /// can't wait for the store.
    fn learn_owners(&mut self) -> bool {
        if self.knows_owners {
            return true;
        }
        let outcome = self.claims_read.as_mut().map(oneshot::Receiver::try_recv);
        match outcome {
            Some(Ok(())) => {}
            Some(Err(oneshot::error::TryRecvError::Empty)) => return false,
            None | Some(Err(oneshot::error::TryRecvError::Closed)) => {
                let (sender, receiver) = oneshot::channel();
                self.claims_read = Some(receiver);
                let process = Arc::clone(&self.process);
                tokio::spawn(async move {
                    if claims::refresh(&process).await.is_ok() {
                        let _ = sender.send(());
                    }
                });
                return false;
            }
        }
        for (shard, owner) in self.process.owners.borrow().iter() {
            self.ledger
                .ignore_earlier_owners(ServiceName::from(shard.as_str()), owner.token);
        }
        self.knows_owners = true;
        log::info!(token = self.ledger.token(); "quota_ledger_new");
        true
    }

    /// Applies the newest configuration; `None` if there is none.
    fn apply_configuration(&mut self) -> Option<()> {
        let newest = self.process.configuration()?;
        let is_applied = self
            .configuration
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &newest));
        if !is_applied {
            let teams = newest.teams.iter().map(|team| &team.config);
            self.ledger.configure(services(&newest), teams);
            self.configuration = Some(newest);
        }
        Some(())
    }
}
