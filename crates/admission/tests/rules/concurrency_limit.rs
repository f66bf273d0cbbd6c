//! The bounds of the concurrency limit; the law itself is in `tests/law.rs`.

use crate::common::{Host, request, settings};
use gaugestand_admission::*;

// A cold worker survives fewer runs at once than a warm one. The limit must not climb over that while cores idle.
#[test]
fn concurrency_stays_below_what_the_worker_survives_even_cold() {
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
        assert!((host.running() as f64) < survives, "{} on the cores", host.running());
    }
}
