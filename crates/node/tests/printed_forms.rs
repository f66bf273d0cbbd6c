//! The texts that operators' programs read stay the same: the counters that SIGUSR1 prints and the answer to
//! `INFO`.

use gaugestand_node::counters::Counters;
use gaugestand_node::request_metrics::{ReplyOutcome, RequestMetrics};

// Dashboards and alerts select counters by these names. If a counter were renamed in the code and printed
// under its new name, they would receive no values.
#[test]
fn counters_are_printed_under_the_names_that_dashboards_use() {
    assert_eq!(Counters::default().to_string(), include_str!("fixtures/counters-d61e325.txt"));
}

#[test]
fn an_info_answer_keeps_the_text_that_operators_programs_read() {
    let mut metrics = RequestMetrics::default();
    metrics.register_classes(&["quote".to_string(), "booking".to_string()]);
    for _ in 0..5 {
        metrics.record_admitted();
    }
    metrics.record_end("quote", ReplyOutcome::Success);
    metrics.record_end("booking", ReplyOutcome::Overload);
    metrics.record_end("booking", ReplyOutcome::Error);
    metrics.record_reply("quote", ReplyOutcome::Overload);
    let others = [("dispatches", 7), ("reload_success", 2), ("reload_failure", 1)];
    let answer = metrics.render(2, &others) + "end\n";
    assert_eq!(answer, include_str!("fixtures/info-d61e325.txt"));
}
