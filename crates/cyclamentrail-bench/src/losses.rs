//! Where jobs are lost or late, by the reason, from the logs of a site's processes.
//!
//! Owners write one `owner_activity` line a second, which counts the jobs that completed on time and
//! late and the rejected attempts. Lines about owners and machines tell what happened around that
//! second: after a takeover, late jobs are counted as delayed by the change of the owner, and while
//! machines are on their way to the pool, jobs that waited are counted as waiting for these.

use std::collections::{BTreeMap, HashMap};

use chrono::DateTime;

/// Time after the takeover of a shard in which late jobs are counted as delayed by it, in
/// milliseconds.
const TAKEOVER_EFFECT_MS: i64 = 3_000;
/// Time after a command to move a machine in which late jobs are counted as waiting for it, in
/// milliseconds.
const MOVE_EFFECT_MS: i64 = 3_000;

/// Why a job was late, or an attempt to submit one was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// An attempt was rejected for the backlog while the pool had room.
    RejectedWithRoom,
    /// An attempt was rejected for the backlog while the pool was full.
    RejectedFull,
    /// An attempt was rejected because the store was away or the owner wasn't ready.
    RejectedNotReady,
    /// A job was late after its owner had changed.
    LateByTakeover,
    /// A job waited too long while machines were on their way to its pool.
    LateByMoves,
    /// A job waited too long in the queue.
    LateByWaiting,
    /// A run of the job failed, was stopped or was lost.
    LateByRepetition,
    /// Tasks waited between steps or took longer than expected.
    LateByRunning,
}

impl Loss {
    /// All reasons, in the order of the table's columns.
    pub const ALL: [Self; 8] = [
        Self::RejectedWithRoom,
        Self::RejectedFull,
        Self::RejectedNotReady,
        Self::LateByTakeover,
        Self::LateByMoves,
        Self::LateByWaiting,
        Self::LateByRepetition,
        Self::LateByRunning,
    ];

    /// Returns the heading of the reason's column.
    #[must_use]
    pub const fn heading(self) -> &'static str {
        match self {
            Self::RejectedWithRoom => "rejected, room",
            Self::RejectedFull => "rejected, full",
            Self::RejectedNotReady => "rejected, not ready",
            Self::LateByTakeover => "late, owner changed",
            Self::LateByMoves => "late, machines moving",
            Self::LateByWaiting => "late, queue",
            Self::LateByRepetition => "late, run repeated",
            Self::LateByRunning => "late, running",
        }
    }
}

/// Jobs on time and losses by their reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// Jobs that completed on time.
    pub on_time: u64,
    /// Late jobs and rejected attempts.
    pub losses: BTreeMap<Loss, u64>,
}

impl LossCounts {
    fn add(&mut self, loss: Loss, count: u64) {
        if count > 0 {
            *self.losses.entry(loss).or_default() += count;
        }
    }

    /// Adds the counts of another.
    fn merge(&mut self, other: &Self) {
        self.on_time += other.on_time;
        for (&loss, &count) in &other.losses {
            self.add(loss, count);
        }
    }
}

/// Losses of a site, by shard and second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossTable {
    /// Counts by shard and by the second since the first line.
    cells: BTreeMap<(String, i64), LossCounts>,
}

/// A log line that has a time.
struct Line<'a> {
    at_ms: i64,
    pairs: HashMap<&'a str, &'a str>,
}

impl LossTable {
    /// Reads the logs of all processes of a site; lines without a time or an event are skipped.
    #[must_use]
    pub fn from_logs(text: &str) -> Self {
        let mut lines: Vec<Line<'_>> = text.lines().filter_map(Line::parse).collect();
        lines.sort_by_key(|line| line.at_ms);
        let first_ms = lines.first().map_or(0, |line| line.at_ms);
        let mut table = Self::default();
        let mut takeovers: HashMap<&str, i64> = HashMap::new();
        let mut moves: HashMap<&str, i64> = HashMap::new();
        for line in &lines {
            match line.text("event") {
                "takeover_done" => {
                    takeovers.insert(line.text("shard"), line.at_ms);
                }
                "machine_ordered" => {
                    if let Some(pool) = line.move_target() {
                        moves.insert(pool, line.at_ms);
                    }
                }
                "owner_activity" => {
                    let shard = line.text("shard");
                    let is_recent = |times: &HashMap<&str, i64>, effect_ms: i64| {
                        let at_ms = times.get(shard);
                        at_ms.is_some_and(|at_ms| line.at_ms < at_ms + effect_ms)
                    };
                    let has_new_owner = is_recent(&takeovers, TAKEOVER_EFFECT_MS);
                    let awaits_machines = is_recent(&moves, MOVE_EFFECT_MS);
                    let second = (line.at_ms - first_ms) / 1_000;
                    let cell = table.cells.entry((shard.to_owned(), second));
                    let counts = line.counts(has_new_owner, awaits_machines);
                    cell.or_default().merge(&counts);
                }
                _ => {}
            }
        }
        table
    }

    /// Returns the counts of each shard over the whole time.
    #[must_use]
    pub fn by_shard(&self) -> BTreeMap<String, LossCounts> {
        let mut shards: BTreeMap<String, LossCounts> = BTreeMap::new();
        for ((shard, _), counts) in &self.cells {
            shards.entry(shard.clone()).or_default().merge(counts);
        }
        shards
    }

    /// Returns the counts of all shards in each span of `span_s` seconds, by its begin.
    #[must_use]
    pub fn by_span(&self, span_s: i64) -> BTreeMap<i64, LossCounts> {
        let mut by_begin: BTreeMap<i64, LossCounts> = BTreeMap::new();
        for ((_, second), counts) in &self.cells {
            let begin_s = second / span_s * span_s;
            by_begin.entry(begin_s).or_default().merge(counts);
        }
        by_begin
    }

    /// Returns the counts of all shards over the whole time.
    #[must_use]
    pub fn total(&self) -> LossCounts {
        let mut total = LossCounts::default();
        for counts in self.cells.values() {
            total.merge(counts);
        }
        total
    }
}

impl<'a> Line<'a> {
    /// Parses the `key=value` pairs of a line, whatever stands before them.
    fn parse(line: &'a str) -> Option<Self> {
        let pairs: HashMap<&str, &str> = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .collect();
        let time = DateTime::parse_from_rfc3339(pairs.get("time")?).ok()?;
        pairs.contains_key("event").then(|| Self {
            at_ms: time.timestamp_millis(),
            pairs,
        })
    }

    fn text(&self, key: &str) -> &'a str {
        self.pairs.get(key).copied().unwrap_or_default()
    }

    fn number(&self, key: &str) -> u64 {
        self.text(key).parse().unwrap_or(0)
    }

    /// Returns the pool that a machine moves to, if the line tells of a move.
    fn move_target(&self) -> Option<&'a str> {
        let purpose = self.text("purpose").trim_matches('"');
        let pool = purpose.strip_prefix("Move(ServiceName(")?;
        Some(pool.trim_matches(['\\', '"', ')', '(']))
    }

    /// Returns the counts of an `owner_activity` line.
    fn counts(&self, has_new_owner: bool, awaits_machines: bool) -> LossCounts {
        let mut counts = LossCounts {
            on_time: self.number("on_time"),
            ..LossCounts::default()
        };
        let with_room = self.number("rejected_with_room");
        let full = self.number("rejected_overload").saturating_sub(with_room);
        counts.add(Loss::RejectedWithRoom, with_room);
        counts.add(Loss::RejectedFull, full);
        counts.add(Loss::RejectedNotReady, self.number("rejected_other"));
        let or_takeover = |loss| {
            if has_new_owner {
                Loss::LateByTakeover
            } else {
                loss
            }
        };
        let waiting = if awaits_machines {
            Loss::LateByMoves
        } else {
            Loss::LateByWaiting
        };
        counts.add(or_takeover(waiting), self.number("late_waiting"));
        counts.add(Loss::LateByRepetition, self.number("late_repeated"));
        counts.add(
            or_takeover(Loss::LateByRunning),
            self.number("late_running"),
        );
        counts
    }
}
