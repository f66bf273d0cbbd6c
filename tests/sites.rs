//! Runs the real program with the settings of sites, which are drawn at random from seeds. The sites differ
//! in the fields that requests carry and in what each site allows; the program must not depend on the form of
//! a particular site.

mod support;

use gaugestand_simulation::site::{RequestClass, Site};
use serde_json::json;
use std::time::{Duration, Instant};
use support::*;

/// Number of sites that are checked, which are drawn from the seeds 0 to `SITES` - 1.
const SITES: u64 = 10;

/// The parameters of an attempt of this class as this site's gateways send them. `key` is its idempotency
/// key, `ttl` its caller timeout in milliseconds; an empty value removes a parameter that the test's gateway
/// would send by default.
fn params<'a>(
    site: &Site,
    class: &RequestClass,
    key: &'a str,
    is_retry: bool,
    ttl: &'a str,
) -> Vec<(&'a str, &'a str)> {
    let mut params = Vec::new();
    params.extend((!site.sends_work_hints).then_some(("HTTP_X_CPU_HINT", "")));
    params.extend(site.sends_timeout.then_some(("HTTP_X_TTL_MS", ttl)));
    params.extend((site.marks_retries && is_retry).then_some(("HTTP_X_SECOND_TRY", "1")));
    params.extend((site.sends_resource_keys && !class.keyed).then_some(("HTTP_X_ROW", "7f3a9c21e0b4d655")));
    params.extend(class.keyed.then_some(("HTTP_X_TXN_KEY", key)));
    params
}

/// Sends requests of each class of the site with this seed, and checks that the node does only what the site
/// allows. The message of a failed check names the seed and the class.
fn check_site(seed: u64) {
    let site = Site::draw(seed);
    let scene = Scene::new(|c| {
        c["settings"] = site.settings(2);
        if !site.has_downstream {
            c.as_object_mut().expect("the configuration is an object").remove("store");
        }
    });
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    for (index, class) in site.classes.iter().enumerate() {
        let context = format!("seed {seed}, {} of {site}", class.name);
        let txn = |n: usize| format!("{:016x}", index * 16 + n);
        let key = format!("{index:032x}");
        let mut attempt = |n: usize, is_retry: bool, ttl: &str, body: &[u8]| {
            let params = params(&site, class, &key, is_retry, ttl);
            gateway.send(&attempt_records(1, &class.name, &txn(n), &params, body));
        };
        attempt(1, false, "9000", b"body");
        assert_eq!(kernel.expect("SCHED", &txn(1)), b"body", "{context}");
        if class.calls && class.skipped_call_weight > 0.0 {
            // The store does not listen, so the node tells the kernel to go on without the call.
            kernel.request_call(&txn(1), b"call");
            let skip_command = json!({"event": "NOIO", "handle": txn(1), "cursor": kernel.cursor});
            assert_eq!(kernel.command(), skip_command, "{context}");
        }
        kernel.reap(&txn(1), "good", b"result");
        let response = gateway.response();
        assert_eq!((&response.status[..3], &response.body[..]), ("200", &b"result"[..]), "{context}");
        assert!(site.backpressure_signal != "silent" || response.field("X-Capacity").is_none(), "{context}");
        let mut attempt = |n: usize, is_retry: bool, ttl: &str, body: &[u8]| {
            let params = params(&site, class, &key, is_retry, ttl);
            gateway.send(&attempt_records(1, &class.name, &txn(n), &params, body));
            gateway.response()
        };
        if class.keyed {
            let retried = attempt(2, true, "9000", b"body");
            assert_eq!((&retried.status[..3], &retried.body[..]), ("200", &b"result"[..]), "{context}");
            assert_eq!(&attempt(3, true, "9000", b"other").status[..3], "409", "{context}");
        } else if site.sends_timeout {
            let timed_out = attempt(4, false, "0", b"body");
            assert_eq!(&timed_out.status[..3], "503", "{context}");
            assert_eq!(timed_out.field("X-Throttle-Ms").is_some(), site.accepts_retry_after, "{context}");
            let began = Instant::now();
            assert_eq!(&attempt(5, false, "400", b"body").status[..3], "500", "{context}");
            assert!(began.elapsed() < Duration::from_millis(1_500), "{context}: {:?}", began.elapsed());
            kernel.expect("SCHED", &txn(5));
            if site.preemption != "silent" {
                kernel.expect("PREEMPT", &txn(5));
            }
            kernel.reap(&txn(5), "cut", b"");
        }
        kernel.expect_nothing(3);
    }
}

/// Guards against code that depends on the form of a particular site: on the fields of its requests, or on
/// what it allows.
#[test]
fn sites_with_different_request_fields_and_permissions_are_served() {
    let sites: Vec<Site> = (0..SITES).map(Site::draw).collect();
    // Among the drawn sites, each property must be true for some sites and false for others.
    let varies = |of: fn(&Site) -> bool| sites.iter().any(of) && !sites.iter().all(of);
    assert!(
        varies(|s| s.sends_timeout)
            && varies(|s| s.marks_retries)
            && varies(|s| s.sends_work_hints)
            && varies(|s| s.sends_resource_keys)
    );
    assert!(
        varies(|s| s.has_downstream)
            && varies(|s| s.accepts_retry_after)
            && varies(|s| s.preemption == "silent")
    );
    assert!(varies(|s| s.classes.len() == 1) && varies(|s| s.classes.iter().any(|k| k.keyed)));
    assert!(varies(|s| s.classes.iter().any(|k| k.calls && k.skipped_call_weight > 0.0)));
    (0..SITES).for_each(check_site);
}
