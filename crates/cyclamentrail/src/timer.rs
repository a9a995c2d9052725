//! The timer service that the parts of a process subscribe to.

use std::time::Duration;

use slab::Slab;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Longest sleep of the service while nobody subscribes.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// Hands out periodic ticks; one task serves all subscribers.
#[derive(Debug, Clone)]
pub(crate) struct Timer {
    requests: mpsc::UnboundedSender<Subscription>,
}

/// Receives the ticks of one subscription; ticks that were missed are merged.
#[derive(Debug)]
pub(crate) struct Ticks {
    receiver: watch::Receiver<u64>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    due: Instant,
    sender: watch::Sender<u64>,
}

impl Timer {
    /// Starts the service on the current runtime.
    pub(crate) fn start() -> Self {
        let (requests, receiver) = mpsc::unbounded_channel();
        tokio::spawn(serve(receiver));
        Self { requests }
    }

    /// Subscribes to a tick every `period`; the first one comes after one period.
    pub(crate) fn every(&self, period: Duration) -> Ticks {
        let (sender, receiver) = watch::channel(0);
        let subscription = Subscription {
            period,
            due: Instant::now() + period,
            sender,
        };
        // The service ends only with its runtime, when no tick is wanted any more.
        drop(self.requests.send(subscription));
        Ticks { receiver }
    }
}

impl Ticks {
    /// Waits for the next tick; never returns once the service has ended.
    pub(crate) async fn next(&mut self) {
        if self.receiver.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn serve(mut requests: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Slab<Subscription> = Slab::new();
    loop {
        let due = subscriptions
            .iter()
            .map(|(_, subscription)| subscription.due)
            .min()
            .unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
        tokio::select! {
            request = requests.recv() => match request {
                Some(subscription) => {
                    subscriptions.insert(subscription);
                }
                None => return,
            },
            () = tokio::time::sleep_until(due) => fire(&mut subscriptions),
        }
    }
}

fn fire(subscriptions: &mut Slab<Subscription>) {
    let now = Instant::now();
    subscriptions.retain(|_, subscription| {
        if subscription.due > now {
            return true;
        }
        subscription.due = now + subscription.period;
        subscription.sender.send_modify(|count| *count += 1);
        !subscription.sender.is_closed()
    });
}
