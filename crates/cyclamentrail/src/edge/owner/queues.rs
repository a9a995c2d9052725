//! Publication and opening of the queues that an owner accepts jobs of.
//!
//! Before a queue is opened, its record stands in the directory, so that all processes find the jobs
//! that are accepted by it, and all other services that the directory names for it have closed it
//! ([`QueueGate`]).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::Configuration;
use cyclamentrail_core::{RouteName, ServiceName};
use cyclamentrail_jobs::{
    CallerId, CallerReply, ConfigurationOrder, KeyedRecord, QueueClosing, QueueGate, QueueId,
};
use futures_util::future::join_all;
use tokio::time::Instant;

use super::{Owner, OwnerMessage};
use crate::edge::internal::call_owner;
use crate::edge::messages::{OwnerCall, OwnerRequest, Reply};
use crate::edge::process_state::ProcessState;
use crate::edge::queue_directory::{self, Queue, RecordName};
use crate::edge::takeover::Takeover;

/// Time between two comparisons of the published queues with those of the shard.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time until the process has read a record that it has written to the directory.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time that another owner takes to close a queue.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(800);

/// When an owner compares, writes and opens its queues.
pub(super) struct QueueReview {
    process: Arc<ProcessState>,
    next_check: Instant,
    /// Each queue that was configured for the service, or published, during this ownership.
    known: BTreeSet<Queue>,
    gate: QueueGate,
    /// Number of the last record that this owner began to write to the directory.
    last_number: u64,
    /// The last record of this owner that the directory has.
    written: Option<WrittenQueues>,
    /// Whether a publication is under way.
    is_publishing: bool,
}

impl QueueReview {
    pub(super) fn new(process: &Arc<ProcessState>, takeover: &Takeover) -> Self {
        Self {
            process: Arc::clone(process),
            next_check: Instant::now(),
            known: BTreeSet::new(),
            gate: restore_gate(&takeover.records),
            last_number: 0,
            written: None,
            is_publishing: false,
        }
    }

    /// Returns what decides on new jobs, as far as their queues are concerned.
    pub(super) fn gate(&mut self) -> &QueueGate {
        let directory = &self.process.queue_directory;
        self.gate.retain_former(|queue, service| {
            directory.is_named(&queue.host, &queue.path_prefix, service)
        });
        &self.gate
    }
}

/// A record of an owner in the directory.
#[derive(Debug, Clone)]
struct WrittenQueues {
    queues: BTreeSet<Queue>,
    offset: u64,
}

/// Queues to be published, and those of them to be opened.
struct Publication {
    name: RecordName,
    queues: BTreeSet<Queue>,
    /// The record, if an earlier publication has written it and not all queues could be opened.
    written: Option<WrittenQueues>,
    due: BTreeSet<QueueId>,
    /// The configuration that gives the due ones to the service.
    order: ConfigurationOrder,
}

/// Result of a publication.
#[derive(Debug)]
pub(crate) struct PublishedQueues {
    order: ConfigurationOrder,
    /// Queues that may be opened, with the services that have closed them.
    opened: Vec<(QueueId, BTreeSet<ServiceName>)>,
    /// The record that was written or had been before.
    written: Option<WrittenQueues>,
    /// Whether all that was due is done.
    is_complete: bool,
}

impl Owner {
    /// Puts the queues of a configuration in force, and makes the next round compare them.
    pub(super) fn configure_queues(&mut self, configuration: &Configuration) {
        let configured = self.configured_queues(configuration);
        let routes = configured
            .iter()
            .map(|queue| (queue.route.clone(), queue.id()));
        let gate = &mut self.queue_review.gate;
        let order = ConfigurationOrder {
            version: configuration.version,
            offset: configuration.offset,
        };
        let closed = gate.configure(order, routes);
        if !closed.is_empty() {
            log::info!(
                shard:% = self.service, version = configuration.version, queues = closed.len();
                "queues_left"
            );
        }
        for record in closed {
            self.shard.store(record);
        }
        self.queue_review.known.extend(configured);
        self.queue_review.next_check = Instant::now();
    }

    /// Publishes the queues of the shard if the published ones differ, and begins to open those that are
    /// due. A queue that leads to the service no longer stays published until its closing is durable and
    /// the shard has no jobs of its route.
    pub(super) fn publish_queues_if_due(&mut self) {
        let review = &mut self.queue_review;
        if review.is_publishing || Instant::now() < review.next_check {
            return;
        }
        review.next_check = Instant::now() + CHECK_INTERVAL;
        let process = Arc::clone(&review.process);
        let Some(configuration) = process.configuration() else {
            return;
        };
        if !self.shard.has_stored_all() || !self.confirmation.is_valid() {
            return;
        }
        let published = process.queue_directory.queues(&self.service);
        self.queue_review.known.extend(published.iter().cloned());
        let mut queues = self.configured_queues(&configuration);
        let former = self.former_queues(&queues);
        let former_count = former.len();
        queues.extend(former);
        let due = self.queue_review.gate.due_openings();
        let records = process.queue_directory.record_names(&self.service);
        if due.is_empty() && queues == published && records.len() <= 1 {
            return;
        }
        log::info!(
            shard:% = self.service, queues = queues.len(), former = former_count, due = due.len();
            "queues_published"
        );
        self.publish(process, queues, due);
    }

    /// Logs the routes that are no longer configured and whose jobs go on.
    pub(super) fn log_left_routes(&self, known_before: &BTreeSet<RouteName>) {
        let left = self.shard.former_routes();
        for route in left.filter(|route| !known_before.contains(*route)) {
            log::info!(shard:% = self.service, route:% = route; "route_left");
        }
    }

    /// Opens the queues that no other service accepts jobs of any more.
    pub(super) fn open_queues(&mut self, published: PublishedQueues) {
        self.queue_review.is_publishing = false;
        self.queue_review.written = published.written;
        if published.is_complete {
            self.queue_review.next_check = Instant::now();
        }
        for (queue, former) in published.opened {
            let former_count = former.len();
            let gate = &mut self.queue_review.gate;
            let Some(record) = gate.open(&queue, published.order, former) else {
                continue;
            };
            self.shard.store(record);
            log::info!(
                shard:% = self.service, host = &*queue.host, prefix = &*queue.path_prefix,
                version = published.order.version, former = former_count;
                "queue_opened"
            );
        }
    }

    /// Closes a queue for another owner, and replies once the closing is durable.
    pub(super) fn close_queue(
        &mut self,
        queue: &QueueId,
        order: ConfigurationOrder,
        caller: CallerId,
    ) -> Option<Reply> {
        let QueueClosing::Closed(record) = self.queue_review.gate.close(queue, order) else {
            return Some(Reply::QueueKept);
        };
        log::info!(
            shard:% = self.service, host = &*queue.host, prefix = &*queue.path_prefix,
            version = order.version;
            "queue_closed"
        );
        self.shard
            .store_for(record, caller, CallerReply::QueueClosed);
        None
    }

    /// Returns whether the closing of a queue, for its opening elsewhere, is durable.
    pub(super) fn has_closed(&self, queue: &QueueId, opening: ConfigurationOrder) -> bool {
        self.queue_review.gate.is_closed_for(queue, opening) && self.shard.has_stored_all()
    }

    /// Returns the queues that lead elsewhere and that the shard has jobs of.
    fn former_queues(&self, configured: &BTreeSet<Queue>) -> Vec<Queue> {
        let known = self.queue_review.known.difference(configured);
        known
            .filter(|queue| self.shard.has_jobs_of(&queue.route))
            .cloned()
            .collect()
    }

    fn configured_queues(&self, configuration: &Configuration) -> BTreeSet<Queue> {
        let routes = configuration.routes.iter();
        routes
            .filter(|route| route.config.service == self.service)
            .map(|route| Queue {
                host: route.host.clone(),
                path_prefix: route.path_prefix.clone(),
                route: route.config.name.clone(),
            })
            .collect()
    }

    fn publish(
        &mut self,
        process: Arc<ProcessState>,
        queues: BTreeSet<Queue>,
        due: BTreeSet<QueueId>,
    ) {
        let review = &mut self.queue_review;
        review.is_publishing = true;
        let written = review.written.take();
        let written = written.filter(|written| written.queues == queues);
        if written.is_none() {
            review.last_number += 1;
        }
        let publication = Publication {
            name: RecordName {
                service: self.service.clone(),
                token: self.token,
                number: review.last_number,
            },
            queues,
            written,
            due,
            order: review.gate.in_force().unwrap_or_default(),
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let published = publication.carry_out(&process).await;
            drop(sender.send(OwnerMessage::QueuesPublished(published)));
        });
    }
}

impl Publication {
    /// Writes the record, waits until the process has read the directory up to it, and asks the other
    /// services to close the due queues. What another service publishes later meets this record, and
    /// that service asks in turn.
    async fn carry_out(self, process: &ProcessState) -> PublishedQueues {
        let mut published = PublishedQueues {
            order: self.order,
            opened: Vec::new(),
            written: self.written.clone(),
            is_complete: false,
        };
        let service = &self.name.service;
        if published.written.is_none() {
            published.written = self.write(process).await;
        }
        let Some(written) = &published.written else {
            return published;
        };
        if !self.due.is_empty() {
            let deadline = Instant::now() + READ_TIMEOUT;
            let directory = &process.queue_directory;
            if !directory.wait_position(written.offset, deadline).await {
                log::warn!(shard:% = service, offset = written.offset; "queues_unread");
                return published;
            }
        }
        let closings = self
            .due
            .iter()
            .map(|queue| close_elsewhere(process, service, queue, self.order));
        let closings = join_all(closings).await;
        published.is_complete = closings.iter().all(Option::is_some);
        let opened = self.due.into_iter().zip(closings);
        published.opened = opened
            .filter_map(|(queue, former)| Some((queue, former?)))
            .collect();
        if let Err(error) = queue_directory::delete_replaced(process, &self.name).await {
            log::warn!(shard:% = self.name.service, error:% = error; "queues_undeleted");
        }
        published
    }

    /// Writes the record; returns it if the directory has it.
    async fn write(&self, process: &ProcessState) -> Option<WrittenQueues> {
        match queue_directory::publish(process, &self.name, self.queues.clone()).await {
            Ok(offset) => Some(WrittenQueues {
                queues: self.queues.clone(),
                offset,
            }),
            Err(error) => {
                log::warn!(shard:% = self.name.service, error:% = error; "queues_unwritten");
                None
            }
        }
    }
}

/// Asks all other services that the directory names for a queue to close it; returns them, or `None`
/// if one hasn't.
async fn close_elsewhere(
    process: &ProcessState,
    service: &ServiceName,
    queue: &QueueId,
    order: ConfigurationOrder,
) -> Option<BTreeSet<ServiceName>> {
    let directory = &process.queue_directory;
    let others = directory.other_services(&queue.host, &queue.path_prefix, service);
    let closings = others.iter().map(|other| async move {
        let call = OwnerCall {
            service: other.clone(),
            request: OwnerRequest::CloseQueue {
                queue: queue.clone(),
                order,
            },
        };
        let reply = call_owner(process, call, CLOSE_TIMEOUT).await;
        let is_closed = matches!(reply, Some(Reply::QueueClosed));
        if !is_closed {
            log::warn!(
                shard:% = service, other:% = other, prefix = &*queue.path_prefix, version = order.version,
                is_kept = matches!(reply, Some(Reply::QueueKept));
                "queue_open_elsewhere"
            );
        }
        is_closed
    });
    let all_closed = join_all(closings).await.into_iter().all(|closed| closed);
    all_closed.then_some(others)
}

/// Returns the state of the queues that the records of the shard hold. A queue whose record can't be
/// read is opened anew.
fn restore_gate(records: &[KeyedRecord]) -> QueueGate {
    let mut gate = QueueGate::default();
    for record in records {
        if let Err(error) = gate.restore(record) {
            log::warn!(key = record.key, error:% = error; "queue_unreadable");
        }
    }
    gate
}
