//! Times one routing decision at growing numbers of workers; the times have no bounds.

#![expect(
    missing_docs,
    reason = "the macro of criterion makes a public function"
)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use cyclamentrail_bench::requests::RoutingPool;

const SEED: u64 = 4;

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing");
    for load in [0.5, 1.0] {
        for workers in [10, 100, 1_400] {
            let id = BenchmarkId::new(format!("load {load}"), workers);
            let mut pool = RoutingPool::new(workers, load, SEED);
            group.bench_function(id, |bencher| bencher.iter(|| black_box(pool.decide())));
        }
    }
    group.finish();
}

criterion_group!(benches, routing);
criterion_main!(benches);
