//! The one role on the users' platform: takes jobs from callers and owns a part of the work.
//!
//! Every process is the same. Callers' requests go to the owner of their service, which is this
//! process or another one. Which process owns which service is dealt by the platform's consumer
//! group; what makes an owner is its claim in the store, whose offset is the fencing token for
//! workers and the epoch for the service's records.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use cyclamentrail_adapter::{Caller, NodeSettings, Store};
use cyclamentrail_core::{LogLevel, LogSettings};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::logging::Logging;
use crate::metrics;
use crate::serve::{self, Audience};

mod boot_clock;
mod commits;
mod configuration;
mod describe;
mod front;
mod internal;
mod journal;
mod lanes;
mod machines;
mod membership;
mod messages;
mod node;
mod owner;
mod owners;
mod peers;
mod registry;
mod takeover;
mod topic;

use node::Node;

/// Time limit for connecting to anything.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit of a call of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two foldings of recorded times.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Part of the grace period after which no new requests are taken, as a divisor.
const LINGER_PART: u32 = 2;
/// Part of the grace period at whose end the process is gone, in percent.
const END_PERCENT: u64 = 80;

/// Runs the process until it is told to stop.
///
/// # Errors
///
/// Returns why the process can't start.
pub(crate) async fn run(settings: NodeSettings) -> Result<()> {
    let log_settings = LogSettings {
        level: LogLevel::Info,
        destination: String::from("stdout"),
    };
    let started = start(settings).await?;
    let node = Arc::clone(&started.node);
    println!(
        "listening callers={} ready={} peers={} metrics={}",
        node.settings.front, node.settings.ready, node.settings.internal, node.settings.metrics
    );
    let logging = Arc::new(Logging::start(&log_settings, &node.settings.name)?);
    tokio::spawn(keep_metrics(Arc::clone(&logging)));
    log::info!(zone:% = node.settings.zone, store:% = node.settings.store; "started");
    let mut signals = Signals::new()?;
    started
        .until(async move { signals.wait(&node).await })
        .await;
    log::info!("stopped");
    Ok(())
}

/// A process that listens.
pub(crate) struct Started {
    node: Arc<Node>,
    front: TcpListener,
    ready: TcpListener,
    internal: TcpListener,
    metrics: TcpListener,
}

/// Listens on the addresses of the settings.
///
/// # Errors
///
/// Returns which address can't be had.
pub(crate) async fn start(settings: NodeSettings) -> Result<Started> {
    let caller = Caller::new(CONNECT_TIMEOUT);
    let store = Store::new(caller.clone(), settings.store, STORE_TIMEOUT);
    let node = Arc::new(Node::new(settings, caller, store));
    // Counts before the first look at the metrics are kept.
    metrics::install();
    Ok(Started {
        front: bind(node.settings.front).await?,
        ready: bind(node.settings.ready).await?,
        internal: bind(node.settings.internal).await?,
        metrics: bind(node.settings.metrics).await?,
        node,
    })
}

impl Started {
    /// Serves until `stop`, then stops in order.
    pub(crate) async fn until(self, stop: impl Future<Output = ()>) {
        let (front_stop, front_stopped) = watch::channel(false);
        let (all_stop, all_stopped) = watch::channel(false);
        let node = self.node;
        let limits = node.limits();
        let front = tokio::spawn(serve::serve(
            Audience::Callers,
            self.front,
            front::router(Arc::clone(&node)),
            limits.clone(),
            front_stopped,
        ));
        let operators =
            internal::metrics_router(Arc::clone(&node)).merge(describe::router(Arc::clone(&node)));
        let ready_router = front::ready_router(Arc::clone(&node));
        let others = [
            (Audience::Operators, self.ready, ready_router),
            (
                Audience::Peers,
                self.internal,
                internal::router(Arc::clone(&node)),
            ),
            (Audience::Operators, self.metrics, operators),
        ];
        for (audience, listener, router) in others {
            let stop = all_stopped.clone();
            tokio::spawn(serve::serve(
                audience,
                listener,
                router,
                limits.clone(),
                stop,
            ));
        }
        tokio::spawn(configuration::follow(Arc::clone(&node)));
        tokio::spawn(owners::follow(Arc::clone(&node)));
        tokio::spawn(registry::follow(Arc::clone(&node)));
        let members = tokio::spawn(membership::keep(Arc::clone(&node), all_stopped));

        stop.await;
        log::info!("stopping");
        node.stop();
        let grace_ms = node.settings.bounds.grace_ms;
        let now = tokio::time::Instant::now();
        let end = now + Duration::from_millis(grace_ms * END_PERCENT / 100);
        node.leave().await;
        tokio::time::sleep_until(now + Duration::from_millis(grace_ms) / LINGER_PART).await;
        front_stop.send_replace(true);
        drop(tokio::time::timeout_at(end, front).await);
        all_stop.send_replace(true);
        drop(tokio::time::timeout_at(end, members).await);
    }
}

/// Folds recorded times into the exported ones, so that they don't pile up between scrapes.
async fn keep_metrics(logging: Arc<Logging>) {
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        metrics::install().run_upkeep();
        metrics::show_dropped_lines(logging.dropped_lines());
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("can't listen on {address}; free the address or change it"))
}

/// The signals that a process listens to.
struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM; reads the settings again at each SIGHUP.
    async fn wait(&mut self, node: &Node) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hang_up.recv() => reload(node),
            }
        }
    }
}

fn reload(node: &Node) {
    match NodeSettings::load() {
        Ok(settings) if settings == node.settings => log::info!("settings_unchanged"),
        Ok(_) => log::warn!(remedy = "restart the process"; "settings_changed"),
        Err(error) => log::warn!(error:% = error; "settings_kept"),
    }
}
