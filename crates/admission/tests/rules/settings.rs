//! Tests of the rules for settings and input at the limits of their range.

use crate::common::{Host, request, settings};
use crate::id;
use gaugestand_admission::*;

// A gauge has an invalid value, and events name requests that are long over. Neither may stop the worker or
// cause an action.
#[test]
fn invalid_gauges_and_unknown_ids_are_ignored() {
    let mut host = Host::new(settings());
    host.gauges =
        Gauges { cpu_busy: Some(f64::NAN), runnable: Some(-5.0), mem_used: None, sockets: Some(1e300) };
    host.arrive(request(1, 0));
    host.advance(200);
    let mut actions = vec![];
    let events = [
        Event::CallerGone(id(77)),
        Event::RunEnded(id(78), Outcome::Ok),
        Event::CallRequested(id(79)),
        Event::CallEnded(id(80), Outcome::Reset, Span(1)),
    ];
    host.controller.step(host.now, &events, &mut actions);
    assert!(actions.is_empty());
}

// A site has one core, a thousand callers or no quota. A division or a bound at the limit must not shut out
// all callers.
#[test]
fn requests_within_capacity_are_served_under_extreme_settings() {
    type Extreme = (&'static str, fn(&mut Settings));
    let extremes: [Extreme; 6] = [
        ("a thousand callers", |config| config.callers = 1000),
        ("no caller known", |config| config.callers = 0),
        ("one core", |config| config.cores = 1),
        ("a cluster of one", |config| config.cluster_size = 1),
        ("an outbound call limit of 0.1", |config| {
            config.downstream = Downstream::Shared;
            config.outbound_call_limit = 0.1;
        }),
        ("no quota", |config| config.tenants = vec![Tenant { quota_per_s: 0.0, share: 0.0 }]),
    ];
    for (name, set) in extremes {
        let mut config = settings();
        set(&mut config);
        let mut host = Host::new(config);
        host.gauges = Gauges { cpu_busy: Some(0.1), runnable: Some(0.0), ..Gauges::default() };
        for n in 1..=30 {
            assert!(
                host.arrive(request(n, 0)).contains(&Action::Run(id(n))),
                "{name}: request {n} must start at once"
            );
            host.advance(100);
            host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
        }
        host.arrive(request(99, 0));
        let actions = host.step(vec![Event::CallRequested(id(99))]);
        assert!(actions.iter().any(|a| matches!(a, Action::Call(..))), "{name}: a first call must be made");
    }
}

// An operator sets a divisor to zero. The program must name the setting before it serves requests.
#[test]
fn the_error_names_the_unusable_setting() {
    let error = |break_settings: fn(&mut Settings)| {
        let mut settings = settings();
        break_settings(&mut settings);
        Controller::new(settings, 1).expect_err("the settings are unusable")
    };
    let cases: [(SettingsError, &str); 5] = [
        (error(|config| config.cores = 0), "setting cores: must be at least 1"),
        (error(|config| config.classes.clear()), "setting classes: must not be empty"),
        (error(|config| config.tick = Span(0)), "setting tick: must be above 0"),
        (
            error(|config| config.classes[1].latency_objective = Span(0)),
            "setting classes.1: aim and deadline must be above 0",
        ),
        (
            error(|config| config.classes[2].deadline = Span(0)),
            "setting classes.2: aim and deadline must be above 0",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
