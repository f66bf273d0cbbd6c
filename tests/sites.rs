//! The real program on sites of no operator, drawn by seed: what a site tells, allows or leaves out decides, and nothing
//! depends on the form of one.

mod peers;

use gaugestand_simulation::site::{Kind, Site};
use peers::*;
use serde_json::json;
use std::time::{Duration, Instant};

const SITES: u64 = 10;

/// What a try of this class tells at this site.
fn told<'a>(site: &Site, kind: &Kind, key: &'a str, further: bool, ttl: &'a str) -> Vec<(&'a str, &'a str)> {
    let mut told = Vec::new();
    told.extend((!site.hints).then_some(("HTTP_X_CPU_HINT", "")));
    told.extend(site.patience.then_some(("HTTP_X_TTL_MS", ttl)));
    told.extend((site.marks && further).then_some(("HTTP_X_SECOND_TRY", "1")));
    told.extend((site.rows && !kind.keyed).then_some(("HTTP_X_ROW", "7f3a9c21e0b4d655")));
    told.extend(kind.keyed.then_some(("HTTP_X_TXN_KEY", key)));
    told
}

/// Plays one request of each class through all that the site allows; what is wrong names the seed.
fn play(seed: u64) {
    let site = Site::draw(seed);
    let scene = Scene::new(|c| {
        c["settings"] = site.settings(2);
        if !site.below {
            c.as_object_mut().expect("an object").remove("store");
        }
    });
    let mut kernel = scene.link();
    scene.await_good();
    let mut gateway = scene.gateway();
    for (i, kind) in site.kinds.iter().enumerate() {
        let what = format!("seed {seed}, {} of {site}", kind.name);
        let txn = |n: usize| format!("{:016x}", i * 16 + n);
        let key = format!("{i:032x}");
        let mut say = |n: usize, further: bool, ttl: &str, body: &[u8]| {
            let told = told(&site, kind, &key, further, ttl);
            gateway.send(&try_records(1, &kind.name, &txn(n), &told, body));
        };
        say(1, false, "9000", b"body");
        assert_eq!(kernel.expect("SCHED", &txn(1)), b"body", "{what}");
        if kind.calls && kind.skip_worth > 0.0 {
            // Nobody listens below.
            kernel.io_req(&txn(1), b"call");
            let on = json!({"event": "NOIO", "handle": txn(1), "cursor": kernel.cursor});
            assert_eq!(kernel.command(), on, "{what}");
        }
        kernel.reap(&txn(1), "good", b"result");
        let answer = gateway.answer();
        assert_eq!((&answer.status[..3], &answer.body[..]), ("200", &b"result"[..]), "{what}");
        assert!(site.signal != "silent" || answer.field("X-Capacity").is_none(), "{what}");
        let mut say = |n: usize, further: bool, ttl: &str, body: &[u8]| {
            let told = told(&site, kind, &key, further, ttl);
            gateway.send(&try_records(1, &kind.name, &txn(n), &told, body));
            gateway.answer()
        };
        if kind.keyed {
            let again = say(2, true, "9000", b"body");
            assert_eq!((&again.status[..3], &again.body[..]), ("200", &b"result"[..]), "{what}");
            assert_eq!(&say(3, true, "9000", b"other").status[..3], "409", "{what}");
        } else if site.patience {
            let spent = say(4, false, "0", b"body");
            assert_eq!(&spent.status[..3], "503", "{what}");
            assert_eq!(spent.field("X-Throttle-Ms").is_some(), site.advice, "{what}");
            let began = Instant::now();
            assert_eq!(&say(5, false, "400", b"body").status[..3], "500", "{what}");
            assert!(began.elapsed() < Duration::from_millis(1_500), "{what}: {:?}", began.elapsed());
            kernel.expect("SCHED", &txn(5));
            if site.halt != "silent" {
                kernel.expect("PREEMPT", &txn(5));
            }
            kernel.reap(&txn(5), "cut", b"");
        }
        kernel.expect_nothing(3);
    }
}

#[test]
fn sites_of_every_form_are_served() {
    let forms: Vec<Site> = (0..SITES).map(Site::draw).collect();
    // They differ in all that a site may be.
    let both = |of: fn(&Site) -> bool| forms.iter().any(of) && !forms.iter().all(of);
    assert!(both(|s| s.patience) && both(|s| s.marks) && both(|s| s.hints) && both(|s| s.rows));
    assert!(both(|s| s.below) && both(|s| s.advice) && both(|s| s.halt == "silent"));
    assert!(both(|s| s.kinds.len() == 1) && both(|s| s.kinds.iter().any(|k| k.keyed)));
    assert!(both(|s| s.kinds.iter().any(|k| k.calls && k.skip_worth > 0.0)));
    (0..SITES).for_each(play);
}
