//! The platform's store: topics of keyed records with fencing epochs, and consumer groups.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Query, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, extract::Request};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::MAX_BODY_BYTES;
use crate::Served;

mod group;
mod view;

use group::Group;
pub use view::StoreView;

/// Number of partitions of each topic that are assigned to group members, unless it is set.
const PARTITIONS: u32 = 24;
/// Most items on a page of newest records.
const PAGE_ITEMS: usize = 500;

/// A running stand-in of the store, which can be made to reject calls.
#[derive(Debug)]
pub struct JobStore {
    shared: Arc<Shared>,
    served: Served,
}

/// State that the request handlers share.
#[derive(Debug, Default)]
struct Shared {
    state: Mutex<StoreState>,
    /// Notified after each append to any topic.
    appended: Notify,
    is_down: AtomicBool,
    /// Delay of each response, in milliseconds.
    delay_ms: AtomicU64,
    /// Whether calls are carried out and get no response.
    loses_responses: AtomicBool,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    /// Consumer groups by name.
    groups: HashMap<String, Group>,
    /// Number of partitions of each topic.
    partitions: u32,
    /// Topics whose reads are rejected.
    unreadable: HashSet<String>,
    /// Topics of which reads are cut off before the first record.
    cut_off: HashSet<String>,
    /// Longest value in bytes that the store accepts under a key.
    longest_values: HashMap<String, usize>,
    /// The same for all keys with a prefix.
    longest_values_by_prefix: HashMap<String, usize>,
    /// Time that an append takes to topics whose names begin so, in milliseconds.
    append_delays_ms: HashMap<String, u64>,
}

#[derive(Debug, Default)]
struct Topic {
    /// Keys and values in the order of their offsets; an empty value deletes the key.
    records: Vec<(String, Vec<u8>)>,
    /// Highest epoch of any append; appends with a lower one are rejected.
    epoch: u64,
    /// Sequence number of the epoch's last append.
    sequence: Option<u64>,
    /// Sequence number, first offset and record count of the last numbered append.
    ///
    /// A repetition of this append gets the same response.
    last_append: Option<(u64, u64, usize)>,
}

impl JobStore {
    /// Starts a store on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.lock().partitions = PARTITIONS;
        let served = Served::start(address, router(&shared)).await?;
        Ok(Self { shared, served })
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Sets whether the store rejects all calls with the status 503.
    pub fn set_down(&self, is_down: bool) {
        self.shared.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Delays each response by `delay_ms`.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Sets whether calls are carried out and get no response.
    pub fn set_losing_responses(&self, loses_responses: bool) {
        let lost = &self.shared.loses_responses;
        lost.store(loses_responses, Ordering::Relaxed);
    }

    /// Sets the number of partitions of each topic that the group assigns.
    pub fn set_partitions(&self, partitions: u32) {
        self.shared.lock().partitions = partitions;
    }

    /// Sets whether the store rejects the reads of a topic with the status 503.
    pub fn set_unreadable(&self, topic: &str, is_unreadable: bool) {
        let mut state = self.shared.lock();
        if is_unreadable {
            state.unreadable.insert(topic.to_owned());
        } else {
            state.unreadable.remove(topic);
        }
    }

    /// Sets whether responses to reads of a topic are cut off before their first record; the newest
    /// records of keys are still returned.
    pub fn set_cut_off(&self, topic: &str, is_cut_off: bool) {
        let mut state = self.shared.lock();
        if is_cut_off {
            state.cut_off.insert(topic.to_owned());
        } else {
            state.cut_off.remove(topic);
        }
    }

    /// Makes the store refuse each append with a value of more than `max_bytes` under a key.
    pub fn limit_value(&self, key: &str, max_bytes: usize) {
        let mut state = self.shared.lock();
        state.longest_values.insert(key.to_owned(), max_bytes);
    }

    /// Makes the store refuse each append with a value of more than `max_bytes` under a key that begins
    /// with a prefix.
    pub fn limit_values(&self, prefix: &str, max_bytes: usize) {
        let mut state = self.shared.lock();
        let limits = &mut state.longest_values_by_prefix;
        limits.insert(prefix.to_owned(), max_bytes);
    }

    /// Makes each append to topics whose names begin with `prefix` take `delay_ms`; other calls don't.
    pub fn delay_appends(&self, prefix: &str, delay_ms: u64) {
        let mut state = self.shared.lock();
        state.append_delays_ms.insert(prefix.to_owned(), delay_ms);
    }

    /// Appends a record without an epoch, as operators and workers do; a null value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let value = if value.is_null() {
            Vec::new()
        } else {
            value.to_string().into_bytes()
        };
        self.put_bytes(topic, key, value);
    }

    /// Appends a record as [`JobStore::put`] does, whose value may be anything.
    pub fn put_bytes(&self, topic: &str, key: &str, value: Vec<u8>) {
        let mut state = self.shared.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value));
        drop(state);
        self.shared.appended.notify_waiters();
    }

    /// Returns the number of records that were appended to a topic.
    #[must_use]
    pub fn count(&self, topic: &str) -> usize {
        let state = self.shared.lock();
        state
            .topics
            .get(topic)
            .map_or(0, |topic| topic.records.len())
    }

    /// Returns the newest value of a key; nothing if the key is missing or deleted.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        let records = &state.topics.get(topic)?.records;
        let newest = records.iter().rev().find(|(other, _)| other == key);
        newest
            .map(|(_, value)| value.clone())
            .filter(|value| !value.is_empty())
    }

    /// Returns the last record under a key that begins with a prefix, with its key, unless it is a
    /// deletion.
    #[must_use]
    pub fn newest_of(&self, topic: &str, prefix: &str) -> Option<(String, Vec<u8>)> {
        let state = self.shared.lock();
        let records = &state.topics.get(topic)?.records;
        let mut newest = records.iter().rev();
        newest
            .find(|(key, value)| key.starts_with(prefix) && !value.is_empty())
            .cloned()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time that an append to a topic takes.
    fn append_delay(&self, topic: &str) -> Duration {
        let state = self.lock();
        let mut delays = state.append_delays_ms.iter();
        let delay_ms = delays.find(|(prefix, _)| topic.starts_with(prefix.as_str()));
        Duration::from_millis(delay_ms.map_or(0, |(_, &delay_ms)| delay_ms))
    }
}

/// Rejects, delays or loses calls as the tests have set.
/// Returns the calls of the store.
fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route("/log-append", post(append))
        .route("/log-read", get(read))
        .route("/log-newest", get(newest))
        .route("/log-join", post(join))
        .route("/log-leave", post(leave))
        .route("/log-owners", get(owners))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(middleware::from_fn_with_state(
            Arc::clone(shared),
            misbehave,
        ))
        .with_state(Arc::clone(shared))
}

async fn misbehave(State(shared): State<Arc<Shared>>, request: Request, next: Next) -> Response {
    if shared.is_down.load(Ordering::Relaxed) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let delay_ms = shared.delay_ms.load(Ordering::Relaxed);
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let response = next.run(request).await;
    if shared.loses_responses.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    response
}

#[derive(Debug, Deserialize)]
struct AppendQuery {
    #[serde(rename = "Topic")]
    topic: String,
    epoch: Option<u64>,
    #[serde(rename = "Seq")]
    sequence: Option<u64>,
}

/// Appends records; rejects a lower epoch and a sequence number that leaves a gap.
///
/// A repetition of the last append has no effect and gets the same response.
async fn append(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<AppendQuery>,
    body: Bytes,
) -> Response {
    tokio::time::sleep(shared.append_delay(&query.topic)).await;
    let records = decode_records(&body);
    let mut state = shared.lock();
    let is_refused = |(key, value): &(String, Vec<u8>)| {
        let prefixes = state.longest_values_by_prefix.iter();
        let mut by_prefix = prefixes.filter(|(prefix, _)| key.starts_with(prefix.as_str()));
        let longest = state.longest_values.get(key);
        longest.is_some_and(|max_bytes| value.len() > *max_bytes)
            || by_prefix.any(|(_, max_bytes)| value.len() > *max_bytes)
    };
    if records.iter().any(is_refused) {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let topic = state.topics.entry(query.topic).or_default();
    if let Some(epoch) = query.epoch {
        if epoch < topic.epoch {
            let rejection = Json(json!({"Reason": "fenced"}));
            return (StatusCode::CONFLICT, rejection).into_response();
        }
        if epoch > topic.epoch {
            topic.epoch = epoch;
            topic.sequence = None;
        }
    }
    if records.is_empty() {
        return Json(json!({})).into_response();
    }
    if let Some(sequence) = query.sequence {
        if let Some((last, offset, count)) = topic.last_append
            && topic.sequence == Some(sequence)
            && last == sequence
        {
            return append_response(offset, count);
        }
        let expected = topic.sequence.map_or(sequence, |last| last + 1);
        if sequence != expected {
            let rejection = Json(json!({"Reason": "seq", "Seq": expected}));
            return (StatusCode::CONFLICT, rejection).into_response();
        }
        topic.sequence = Some(sequence);
        topic.last_append = Some((sequence, topic.records.len() as u64, records.len()));
    }
    let offset = topic.records.len() as u64;
    let count = records.len();
    topic.records.extend(records);
    drop(state);
    shared.appended.notify_waiters();
    append_response(offset, count)
}

/// Returns the response to an append of `count` records from `offset` on.
fn append_response(offset: u64, count: usize) -> Response {
    Json(json!({"Offset": offset, "End": offset + count as u64})).into_response()
}

/// Decodes records, each a 4-byte length, a 1-byte key length, the key and the value.
fn decode_records(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some((record, rest)) = rest.split_at_checked(length) else {
            break;
        };
        body = rest;
        if let Some((&key_length, rest)) = record.split_first()
            && let Some((key, value)) = rest.split_at_checked(usize::from(key_length))
        {
            let key = String::from_utf8_lossy(key).into_owned();
            records.push((key, value.to_vec()));
        }
    }
    records
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    #[serde(rename = "Topic")]
    topic: String,
    #[serde(rename = "From", default)]
    from: u64,
    #[serde(rename = "WaitMs", default)]
    wait_ms: u64,
}

/// Returns records, waiting up to `wait_ms` while there are none from the requested offset on.
async fn read(State(shared): State<Arc<Shared>>, Query(query): Query<ReadQuery>) -> Response {
    if shared.lock().unreadable.contains(&query.topic) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let next_append = shared.appended.notified();
        if let Some(body) = read_response(&shared, &query, Instant::now() >= deadline) {
            return body.into_response();
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        drop(tokio::time::timeout(remaining, next_append).await);
    }
}

/// Returns the encoded records from an offset on.
///
/// Returns nothing while there are no records and the wait isn't over.
fn read_response(shared: &Shared, query: &ReadQuery, is_wait_over: bool) -> Option<Vec<u8>> {
    let state = shared.lock();
    let records = state
        .topics
        .get(&query.topic)
        .map_or(&[][..], |topic| topic.records.as_slice());
    let from = usize::try_from(query.from).unwrap_or(usize::MAX);
    let new = records.get(from..).unwrap_or(&[]);
    if new.is_empty() && !is_wait_over {
        return None;
    }
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    if state.cut_off.contains(&query.topic) {
        return Some(body);
    }
    for (key, value) in new {
        let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(0);
        body.extend(length.to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap_or(0));
        body.extend(key.as_bytes());
        body.extend(value);
    }
    Some(body)
}

#[derive(Debug, Deserialize)]
struct NewestQuery {
    #[serde(rename = "Topic")]
    topic: String,
    #[serde(rename = "After", default)]
    after: String,
}

/// Returns a page with the newest record of each key after `after`, without deleted keys.
async fn newest(State(shared): State<Arc<Shared>>, Query(query): Query<NewestQuery>) -> Response {
    let state = shared.lock();
    if state.unreadable.contains(&query.topic) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let records = state
        .topics
        .get(&query.topic)
        .map_or(&[][..], |topic| topic.records.as_slice());
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    let items: Vec<Value> = newest
        .into_iter()
        .filter(|(key, (_, value))| *key > query.after.as_str() && !value.is_empty())
        .map(|(key, (offset, value))| json!({"Key": key, "Value": base64(value), "Offset": offset}))
        .collect();
    let more = items.len() > PAGE_ITEMS;
    let items: Vec<Value> = items.into_iter().take(PAGE_ITEMS).collect();
    Json(json!({"items": items, "More": more, "End": records.len()})).into_response()
}

/// Encodes bytes in base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4_usize {
            if index > chunk.len() {
                text.push('=');
            } else {
                let sextet = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(ALPHABET[sextet as usize]));
            }
        }
    }
    text
}

/// Body of a join or leave call.
#[derive(Debug, Deserialize)]
struct MemberBody {
    #[serde(default)]
    group: String,
    #[serde(rename = "Member")]
    member: String,
    #[serde(rename = "Topics", default)]
    topics: Vec<String>,
    #[serde(rename = "TtlMs", default)]
    ttl_ms: u64,
}

/// Adds a member to a group or renews the membership, and returns the member's partitions.
async fn join(State(shared): State<Arc<Shared>>, Json(body): Json<MemberBody>) -> Json<Value> {
    let mut state = shared.lock();
    let all_partitions = state.partitions;
    let group = state.groups.entry(body.group).or_default();
    let ttl = Duration::from_millis(body.ttl_ms);
    let generation = group.join(&body.member, body.topics, ttl);
    let partitions: Vec<Value> = group
        .assignments(all_partitions)
        .filter(|assignment| assignment.member == body.member)
        .map(|assignment| json!([assignment.topic, assignment.partition, 0]))
        .collect();
    Json(json!({"Generation": generation, "parts": partitions}))
}

#[derive(Debug, Deserialize)]
struct OwnersQuery {
    #[serde(default)]
    group: String,
}

/// Returns the partitions of a group with the members that hold them.
async fn owners(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<OwnersQuery>,
) -> Json<Value> {
    let mut state = shared.lock();
    let all_partitions = state.partitions;
    let group = state.groups.entry(query.group).or_default();
    group.remove_expired();
    let rows: Vec<Value> = group
        .listed(all_partitions)
        .map(|held| json!([held.topic, held.partition, held.member, 0]))
        .collect();
    Json(json!({"parts": rows}))
}

async fn leave(State(shared): State<Arc<Shared>>, Json(body): Json<MemberBody>) -> Json<Value> {
    let mut state = shared.lock();
    state
        .groups
        .entry(body.group)
        .or_default()
        .leave(&body.member);
    Json(json!({}))
}
