//! Tests of the rules for the bounds of the concurrency limit; formula (5) itself is tested in
//! `tests/law.rs`.

use crate::common::{Host, request, settings};
use gaugestand_admission::*;

// A cold worker survives fewer concurrent runs than a warm one. The limit must not exceed that number while
// cores idle.
#[test]
fn concurrency_stays_below_what_a_cold_worker_survives() {
    let mut config = settings();
    config.cold = true;
    config.warmup_duration = Span::millis(600_000);
    config.classes[0].latency_objective = Span::millis(20_000);
    config.classes[0].deadline = Span::millis(60_000);
    config.memory_kb = 1e6;
    let mut host = Host::new(config.clone());
    host.gauges.cpu_busy = Some(0.1);
    host.gauges.runnable = Some(0.0);
    let survives =
        f64::from(config.cores) * (1.0 + (config.survivable_runs_per_core - 1.0) * config.cold_speed_share);
    for n in 1..=2000 {
        host.arrive(request(n, 0));
        host.advance(20);
        assert!((host.running() as f64) < survives, "{} requests run", host.running());
    }
}
