//! Timer service: one task that sends periodic ticks to all subscribers.

use std::time::Duration;

use slab::Slab;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Longest sleep of the service while there are no subscriptions.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// Handle of the timer service; clones subscribe to the same service.
#[derive(Debug, Clone)]
pub(crate) struct Timer {
    subscription_sender: mpsc::UnboundedSender<Subscription>,
}

/// Receiver of the ticks of one subscription; missed ticks are merged into one.
#[derive(Debug)]
pub(crate) struct Ticks {
    receiver: watch::Receiver<u64>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    /// Time of the next tick.
    due: Instant,
    /// Sender of the number of ticks so far.
    sender: watch::Sender<u64>,
}

impl Timer {
    /// Starts the service on the current runtime.
    pub(crate) fn start() -> Self {
        let (subscription_sender, subscription_receiver) = mpsc::unbounded_channel();
        tokio::spawn(run_service(subscription_receiver));
        Self {
            subscription_sender,
        }
    }

    /// Subscribes to a tick every `period`; the first tick is due after one period.
    pub(crate) fn every(&self, period: Duration) -> Ticks {
        let (sender, receiver) = watch::channel(0);
        let subscription = Subscription {
            period,
            due: Instant::now() + period,
            sender,
        };
        // Sending fails only when the runtime, and with it the service, has ended.
        drop(self.subscription_sender.send(subscription));
        Ticks { receiver }
    }
}

impl Ticks {
    /// Waits for the next tick; never returns after the service has ended.
    pub(crate) async fn next(&mut self) {
        if self.receiver.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn run_service(mut subscription_receiver: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Slab<Subscription> = Slab::new();
    loop {
        let due = subscriptions
            .iter()
            .map(|(_, subscription)| subscription.due)
            .min()
            .unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
        tokio::select! {
            received = subscription_receiver.recv() => match received {
                Some(subscription) => {
                    subscriptions.insert(subscription);
                }
                None => return,
            },
            () = tokio::time::sleep_until(due) => send_due_ticks(&mut subscriptions),
        }
    }
}

fn send_due_ticks(subscriptions: &mut Slab<Subscription>) {
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
