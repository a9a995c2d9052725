//! Publication of the queues that an owner has jobs of.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cyclamentrail_adapter::Configuration;
use cyclamentrail_core::RouteName;
use tokio::time::Instant;

use super::Owner;
use crate::edge::process_state::ProcessState;
use crate::edge::queue_directory::{self, Queue};

/// Time between two comparisons of the published queues with those of the shard.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// When an owner compares and writes its queues.
pub(super) struct QueueReview {
    process: Arc<ProcessState>,
    next_check: Instant,
    /// Each queue that was configured for the service, or published, during this ownership.
    known: BTreeSet<Queue>,
    /// Whether a write is under way.
    is_writing: Arc<AtomicBool>,
}

impl QueueReview {
    pub(super) fn new(process: &Arc<ProcessState>) -> Self {
        Self {
            process: Arc::clone(process),
            next_check: Instant::now(),
            known: BTreeSet::new(),
            is_writing: Arc::default(),
        }
    }
}

impl Owner {
    /// Remembers the queues by which the shard accepts jobs from now on, and makes the next round
    /// compare them.
    pub(super) fn remember_queues(&mut self, configuration: &Configuration) {
        let configured = self.configured_queues(configuration);
        self.queue_review.known.extend(configured);
        self.queue_review.next_check = Instant::now();
    }

    /// Writes the queues of the shard if the published ones differ. A queue that leads to the service
    /// no longer stays as long as the shard has jobs of its route, even if it was never published, or
    /// an older record has replaced it.
    pub(super) fn publish_queues_if_due(&mut self) {
        let is_writing = self.queue_review.is_writing.load(Ordering::Relaxed);
        if is_writing || Instant::now() < self.queue_review.next_check {
            return;
        }
        self.queue_review.next_check = Instant::now() + CHECK_INTERVAL;
        let process = Arc::clone(&self.queue_review.process);
        let Some(configuration) = process.configuration() else {
            return;
        };
        let published = process.queue_directory.queues(&self.service);
        self.queue_review.known.extend(published.iter().cloned());
        let mut queues = self.configured_queues(&configuration);
        let former: Vec<Queue> = self
            .queue_review
            .known
            .difference(&queues)
            .filter(|queue| self.shard.has_jobs_of(&queue.route))
            .cloned()
            .collect();
        let former_count = former.len();
        queues.extend(former);
        if queues == published || !self.confirmation.is_valid() {
            return;
        }
        log::info!(
            shard:% = self.service, queues = queues.len(), former = former_count;
            "queues_published"
        );
        self.write_queues(process, queues);
    }

    /// Logs the routes that are no longer configured and whose jobs go on.
    pub(super) fn log_left_routes(&self, known_before: &BTreeSet<RouteName>) {
        let left = self.shard.former_routes();
        for route in left.filter(|route| !known_before.contains(*route)) {
            log::info!(shard:% = self.service, route:% = route; "route_left");
        }
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

    fn write_queues(&self, process: Arc<ProcessState>, queues: BTreeSet<Queue>) {
        let is_writing = Arc::clone(&self.queue_review.is_writing);
        let service = self.service.clone();
        is_writing.store(true, Ordering::Relaxed);
        tokio::spawn(async move {
            let result = queue_directory::publish(&process, &service, queues).await;
            if let Err(error) = result {
                log::warn!(shard:% = service, error:% = error; "queues_unwritten");
            }
            is_writing.store(false, Ordering::Relaxed);
        });
    }
}
