//! The table of late and rejected jobs, from log lines.

use cyclamentrail_bench::losses::{Loss, LossTable};

/// A queue whose owner changes and that then gets machines, and another one without trouble.
const LOGS: &str = "\
0.1 edge-1 time=2026-01-01T00:00:00.100Z level=INFO event=owner_activity shard=a on_time=5 late_waiting=1 late_running=1
1.0 edge-2 time=2026-01-01T00:00:01.000Z level=INFO event=takeover_done shard=a token=2
1.1 edge-2 time=2026-01-01T00:00:01.100Z level=INFO event=owner_activity shard=a on_time=1 late_waiting=4 late_repeated=2 rejected_other=3
5.0 edge-3 time=2026-01-01T00:00:05.000Z level=INFO event=machine_ordered machine=m purpose=\"Move(ServiceName(\\\"a\\\"))\" outcome=Done
6.1 edge-2 time=2026-01-01T00:00:06.100Z level=INFO event=owner_activity shard=a late_waiting=6 rejected_overload=9 rejected_with_room=2
6.2 edge-1 time=2026-01-01T00:00:06.200Z level=INFO event=owner_activity shard=b on_time=7
a line without pairs
6.3 edge-1 time=yesterday event=owner_activity shard=b on_time=7
";

#[test]
fn reasons_told_apart() {
    let table = LossTable::from_logs(LOGS);
    let shards = table.by_shard();
    assert_eq!(shards["b"].on_time, 7);
    let counts = &shards["a"];
    assert_eq!(counts.on_time, 6);
    let expected = [
        (Loss::RejectedWithRoom, 2),
        (Loss::RejectedFull, 7),
        (Loss::RejectedNotReady, 3),
        (Loss::LateByTakeover, 4),
        (Loss::LateByMoves, 6),
        (Loss::LateByWaiting, 1),
        (Loss::LateByRepetition, 2),
        (Loss::LateByRunning, 1),
    ];
    assert_eq!(
        counts.losses.clone().into_iter().collect::<Vec<_>>(),
        expected
    );
}

#[test]
fn spans_add_up() {
    let table = LossTable::from_logs(LOGS);
    let spans = table.by_span(2);
    assert_eq!(spans.keys().copied().collect::<Vec<_>>(), [0, 6]);
    assert_eq!(spans[&0].on_time + spans[&6].on_time, table.total().on_time);
}
