//! One entry process: its listeners and its threads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cyclamentrail_core::{
    EntryName, LoadError, Offset, SecretSource, Settings, Version, ZoneName, load_settings,
};
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{oneshot, watch};

use crate::control::{
    Actor, ControlHandle, Follower, Identity, Parts, PeerAddresses, PlatformClient, Recovery,
    SnapshotStore, Writer, follow_log, poll_list,
};
use crate::operator::Operator;
use crate::peer::PeerClient;
use crate::serve::Audience;
use crate::timer::Timer;
use crate::traffic::Traffic;
use crate::view::SharedView;
use crate::{metrics, operator, peer, serve, traffic};

/// Interval between two looks at drains.
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// Interval between two upkeeps of the metrics.
const METRICS_UPKEEP: Duration = Duration::from_secs(5);
/// Parts of the dispatch lease: one long poll of the log takes at most one.
const POLLS_PER_LEASE: u32 = 4;
/// Parts of the dispatch lease: one call of a peer takes at most one.
const CALLS_PER_LEASE: u32 = 4;

/// What differs between the entry processes of a site.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the entry instance.
    pub name: EntryName,
    /// Availability zone that it stands in.
    pub zone: ZoneName,
    /// Listener for callers; port 0 takes a free one.
    pub caller_address: SocketAddr,
    /// Listener for the other entries.
    pub peer_address: SocketAddr,
    /// Listener for operators.
    pub operator_address: SocketAddr,
}

/// Why an entry can't start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] LoadError),
    /// The entry isn't listed in the settings.
    #[error(
        "entry \"{0}\" is not in the settings; add it under entries or give its addresses as flags"
    )]
    UnknownEntry(EntryName),
    /// A secret can't be read.
    #[error("secret can't be read from {place}: {problem}; set it before starting the entry")]
    Secret {
        /// Where the settings say it is.
        place: String,
        /// What went wrong.
        problem: String,
    },
    /// A listener can't be opened, or a thread can't be started.
    #[error("{what} can't be opened: {source}; choose a free address")]
    Io {
        /// What can't be opened.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
}

/// A running entry process.
#[derive(Debug)]
pub struct Entry {
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
    control: ControlHandle,
    stop: watch::Sender<bool>,
    traffic_ended: oneshot::Receiver<()>,
    callers: Arc<Traffic>,
    traffic: Option<Runtime>,
    control_thread: Option<std::thread::JoinHandle<()>>,
    end_control: Option<oneshot::Sender<()>>,
    shared: Arc<SharedView>,
}

impl Entry {
    /// Starts an entry with a merged settings document.
    ///
    /// # Errors
    ///
    /// Returns why the entry can't start; nothing is left running then.
    pub async fn start(document: Value, options: EntryOptions) -> Result<Self, EntryError> {
        let settings = Arc::new(load_settings(&document)?);
        metrics::install();
        let token: Arc<str> = Arc::from(read_secret(&settings.token)?);
        let callers = bind(options.caller_address).await?;
        let peers = bind(options.peer_address).await?;
        let operators = bind(options.operator_address).await?;
        let incarnation = Identity::fresh_incarnation();
        let identity = Identity {
            entry: options.name,
            incarnation,
            zone: options.zone,
            peer_address: address_of(&peers)?,
        };
        let shared = Arc::new(SharedView::default());
        let (control, messages) = ControlHandle::new();
        let operator = Operator {
            control: control.clone(),
            shared: Arc::clone(&shared),
            token: Arc::clone(&token),
        };
        let (stop, stopped) = watch::channel(false);
        let caller_address = address_of(&callers)?;
        let peer_address = address_of(&peers)?;
        let operator_address = address_of(&operators)?;

        let runtime = tokio::runtime::Builder::new_multi_thread()
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|source| io_error("the traffic threads", source))?;
        let callers_state = Arc::new(Traffic::new(
            Arc::clone(&shared),
            control.clone(),
            &token,
            incarnation,
            runtime.handle().clone(),
        ));
        let (end_control, control_end) = oneshot::channel();
        let parts = ControlParts {
            identity,
            document,
            settings: Arc::clone(&settings),
            shared: Arc::clone(&shared),
            control: control.clone(),
            operator,
            callers: Arc::clone(&callers_state),
        };
        let peers = into_std(peers)?;
        let operators = into_std(operators)?;
        let control_thread = std::thread::Builder::new()
            .name(String::from("control"))
            .spawn(move || run_control(parts, messages, peers, operators, control_end))
            .map_err(|source| io_error("the control thread", source))?;

        let router = traffic::router(Arc::clone(&callers_state));
        let (ended, traffic_ended) = oneshot::channel();
        let limits = settings.caller_limits.clone();
        let callers = into_std(callers)?;
        runtime.spawn(async move {
            if let Ok(callers) = TcpListener::from_std(callers) {
                serve::serve(Audience::Callers, callers, router, limits, stopped).await;
            }
            ended.send(()).unwrap_or_default();
        });
        Ok(Self {
            caller_address,
            peer_address,
            operator_address,
            control,
            stop,
            traffic_ended,
            callers: callers_state,
            traffic: Some(runtime),
            control_thread: Some(control_thread),
            end_control: Some(end_control),
            shared,
        })
    }

    /// Returns the address of the listener for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the listener for the other entries.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the listener for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns whether the entry may dispatch.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.may_dispatch()
    }

    /// Returns the settings in force, or `None` before the first.
    #[must_use]
    pub fn settings(&self) -> Option<Arc<Settings>> {
        self.shared.load().settings.clone()
    }

    /// Returns the version of the settings in force.
    #[must_use]
    pub fn settings_version(&self) -> Version {
        self.shared.load().settings_version
    }

    /// Stops in order: turns unready, lets the balancer see it, takes no new connections, lets the
    /// requests in flight end, then leaves.
    pub async fn stop(mut self) {
        let view = self.shared.load();
        let timing = view
            .settings
            .as_ref()
            .map(|settings| settings.stop.clone())
            .unwrap_or_default();
        drop(view);
        self.shared.begin_stop();
        log::info!("stop_begun");
        tokio::time::sleep(timing.balancer_ms).await;
        self.stop.send_replace(true);
        let ended = tokio::time::timeout(timing.limit_ms, self.requests_ended()).await;
        if ended.is_err() {
            log::warn!("requests_cut_at_limit");
        }
        if let Err(error) = self.control.leave().await {
            log::warn!(error:% = error; "leave_not_recorded");
        }
        log::info!("entry_stopped");
    }

    async fn requests_ended(&mut self) {
        if (&mut self.traffic_ended).await.is_err() {
            log::warn!("traffic_ended_early");
        }
        self.callers.detached_ended().await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(end) = self.end_control.take() {
            end.send(()).unwrap_or_default();
        }
        if let Some(runtime) = self.traffic.take() {
            runtime.shutdown_background();
        }
        if let Some(thread) = self.control_thread.take() {
            drop(thread.join());
        }
    }
}

#[derive(Debug)]
struct ControlParts {
    identity: Identity,
    document: Value,
    settings: Arc<Settings>,
    shared: Arc<SharedView>,
    control: ControlHandle,
    operator: Operator,
    callers: Arc<Traffic>,
}

fn run_control(
    parts: ControlParts,
    messages: tokio::sync::mpsc::Receiver<crate::control::ControlMessage>,
    peers: std::net::TcpListener,
    operators: std::net::TcpListener,
    end: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!(error:% = error; "control_not_started");
            return;
        }
    };
    runtime.block_on(async move {
        let timer = Timer::start();
        tokio::spawn(metrics::keep_up(timer.every(METRICS_UPKEEP)));
        let settings = &parts.settings;
        let control_settings = &settings.control;
        let platform = PlatformClient::new(
            settings.platform.clone(),
            control_settings.platform_timeout_ms,
        );
        let writer = Writer::start(
            platform.clone(),
            parts.control.clone(),
            control_settings.append_delay_ms,
        );
        let snapshots = SnapshotStore::new(platform.clone());
        let peer_client = PeerClient::new(
            Arc::clone(&parts.operator.token),
            control_settings.dispatch_lease_ms / CALLS_PER_LEASE,
        );
        let peer_addresses = listed_peers(settings, &parts.identity);
        let recovery = Recovery::new(
            snapshots.clone(),
            peer_client.clone(),
            Arc::clone(&peer_addresses),
        );
        let (folded, next_offset) = watch::channel(Offset::default());
        let follower = Follower {
            platform: platform.clone(),
            control: parts.control.clone(),
            recovery,
            folded: next_offset,
            wait: control_settings.dispatch_lease_ms / POLLS_PER_LEASE,
        };
        let actor = Actor::new(Parts {
            identity: parts.identity,
            start_document: parts.document,
            start_settings: Arc::clone(settings),
            shared: parts.shared,
            control: parts.control.clone(),
            writer,
            platform: platform.clone(),
            snapshots,
            peers: peer_client,
            peer_addresses,
            folded,
        });
        tokio::spawn(follow_log(follower));
        let list_ticks = timer.every(control_settings.list_interval_ms);
        tokio::spawn(poll_list(platform, parts.control.clone(), list_ticks));
        let (_keep_open, never) = watch::channel(false);
        for (audience, listener, router) in [
            (
                Audience::Peers,
                peers,
                peer::router(parts.operator.clone(), parts.callers),
            ),
            (
                Audience::Operators,
                operators,
                operator::router(parts.operator.clone()),
            ),
        ] {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    let limits = settings.caller_limits.clone();
                    tokio::spawn(serve::serve(
                        audience,
                        listener,
                        router,
                        limits,
                        never.clone(),
                    ));
                }
                Err(error) => log::error!(error:% = error; "listener_not_started"),
            }
        }
        tokio::select! {
            () = actor.run(messages, timer.every(DRAIN_CHECK)) => {}
            _ = end => {}
        }
    });
}

/// Returns the addresses of the other entries as the settings list them.
fn listed_peers(settings: &Settings, identity: &Identity) -> PeerAddresses {
    let addresses = settings
        .entries
        .iter()
        .filter(|(name, _)| **name != identity.entry)
        .map(|(_, entry)| entry.peer_address)
        .filter(|address| address.port() != 0)
        .collect();
    Arc::new(Mutex::new(addresses))
}

fn read_secret(source: &SecretSource) -> Result<String, EntryError> {
    let (place, read) = match source {
        SecretSource::Environment(name) => (
            format!("environment variable {name}"),
            std::env::var(name).map_err(|error| error.to_string()),
        ),
        SecretSource::File(path) => (
            format!("file {path}"),
            std::fs::read_to_string(path).map_err(|error| error.to_string()),
        ),
    };
    match read {
        Ok(text) if !text.trim().is_empty() => Ok(text.trim().to_owned()),
        Ok(_) => Err(EntryError::Secret {
            place,
            problem: String::from("it is empty"),
        }),
        Err(problem) => Err(EntryError::Secret { place, problem }),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| io_error(&format!("listener {address}"), source))
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, EntryError> {
    listener
        .local_addr()
        .map_err(|source| io_error("listener", source))
}

fn into_std(listener: TcpListener) -> Result<std::net::TcpListener, EntryError> {
    listener
        .into_std()
        .map_err(|source| io_error("listener", source))
}

fn io_error(what: &str, source: std::io::Error) -> EntryError {
    EntryError::Io {
        what: what.to_owned(),
        source,
    }
}
