//! Tests of the parsers of what comes from outside: random cuts of valid messages, and random garbage. Both go
//! through [`alike`], from fixed seeds.

use super::request::{Incoming, id_of, id_text};
use super::{fastcgi, kernel, store};
use gaugestand_admission::RequestId;
use quickcheck::{Arbitrary, Gen};

/// What a parser makes of the start of a buffer: nothing yet, nothing ever, or something of that many bytes.
enum Step<T> {
    Part,
    Lost,
    Whole(usize, T),
}

/// Everything that `parse` makes of `bytes` if they come in these pieces, and whether the framing was lost.
fn fed<T>(bytes: &[u8], cuts: &[usize], parse: impl Fn(&[u8]) -> Step<T>) -> (Vec<T>, bool) {
    let (mut buf, mut out) = (Vec::new(), Vec::new());
    let ends = cuts.iter().copied().chain([bytes.len()]);
    let mut from = 0;
    for to in ends {
        buf.extend(&bytes[from..to]);
        from = to;
        loop {
            match parse(&buf) {
                Step::Part => break,
                Step::Lost => return (out, true),
                Step::Whole(len, item) => {
                    assert!(0 < len && len <= buf.len(), "takes {len} of {} bytes", buf.len());
                    buf.drain(..len);
                    out.push(item);
                }
            }
        }
    }
    (out, false)
}

/// The one helper: makes messages with `make`, and checks that `parse` reads them alike cut and whole, finds
/// as many as were made, and bears garbage alone, behind a message and in the middle of one.
fn alike<T: PartialEq + std::fmt::Debug>(
    make: impl Fn(&mut Gen) -> Vec<u8>,
    parse: impl Fn(&[u8]) -> Step<T>,
    sound: impl Fn(&T) -> bool,
) {
    for seed in 0..400 {
        let g = &mut Gen::from_size_and_seed(64, seed);
        let made: Vec<Vec<u8>> = (0..1 + seed % 5).map(|_| make(g)).collect();
        let mut bytes = made.concat();
        let whole = fed(&bytes, &[], &parse);
        assert_eq!((whole.0.len(), whole.1), (made.len(), false), "seed {seed}");
        assert!(whole.0.iter().all(&sound), "seed {seed}: {:?}", whole.0);
        assert_eq!(fed(&bytes, &cuts(g, bytes.len()), &parse), whole, "seed {seed}");
        // Each place to cut there is, and a byte at a time.
        for cut in (0..=bytes.len()).filter(|_| seed < 40) {
            assert_eq!(fed(&bytes, &[cut], &parse), whole, "seed {seed}, cut at {cut}");
        }
        assert_eq!(fed(&bytes, &(0..bytes.len()).collect::<Vec<_>>(), &parse), whole, "seed {seed}");
        let garbage = Vec::<u8>::arbitrary(g);
        for at in [0, bytes.len(), usize::arbitrary(g) % bytes.len()] {
            bytes.splice(at..(at + garbage.len()).min(bytes.len()), garbage.iter().copied());
            assert_eq!(fed(&bytes, &cuts(g, bytes.len()), &parse), fed(&bytes, &[], &parse), "seed {seed}");
        }
    }
}

fn cuts(g: &mut Gen, len: usize) -> Vec<usize> {
    let mut cuts: Vec<usize> =
        (0..usize::arbitrary(g) % 12).map(|_| usize::arbitrary(g) % (len + 1)).collect();
    cuts.sort_unstable();
    cuts
}

fn id(g: &mut Gen) -> String {
    format!("{:016x}", u64::arbitrary(g))
}

fn pick<'a>(g: &mut Gen, words: &[&'a str]) -> &'a str {
    g.choose(words).copied().unwrap_or_default()
}

#[test]
fn fastcgi_records() {
    let make = |g: &mut Gen| {
        let (kind, id, content) = (u8::arbitrary(g), u16::arbitrary(g), Vec::<u8>::arbitrary(g));
        let padding = usize::arbitrary(g) % 256;
        let mut out = fastcgi::header(kind, id, content.len() as u16).to_vec();
        out[6] = padding as u8;
        out.extend(&content);
        out.resize(out.len() + padding, 7);
        out
    };
    let parse = |buf: &[u8]| match fastcgi::record(buf) {
        Ok(None) => Step::Part,
        Err(_) => Step::Lost,
        Ok(Some(r)) => Step::Whole(r.len, (r.kind, r.id, r.content.to_vec())),
    };
    alike(make, parse, |_| true);
}

#[test]
fn fastcgi_pairs() {
    let make = |g: &mut Gen| {
        let (name, value) = (Vec::<u8>::arbitrary(g), Vec::<u8>::arbitrary(g));
        let mut out = vec![name.len() as u8];
        out.extend((value.len() as u32 | 1 << 31).to_be_bytes());
        out.extend(name.into_iter().chain(value));
        out
    };
    let parse = |buf: &[u8]| match fastcgi::pair(buf) {
        None => Step::Part,
        Some((name, value, rest)) => Step::Whole(buf.len() - rest.len(), (name.to_vec(), value.to_vec())),
    };
    alike(make, parse, |_| true);
}

#[test]
fn parameters_cut_over_records() {
    for seed in 0..400 {
        let g = &mut Gen::from_size_and_seed(64, seed);
        let mut bytes = Vec::new();
        for name in ["HTTP_X_TXN", "SCRIPT_NAME", "HTTP_X_CPU_HINT", "HTTP_X_ROUTER", "REQUEST_METHOD", "X"] {
            let value = if bool::arbitrary(g) { id(g) } else { String::arbitrary(g) };
            bytes.extend([name.len() as u8, value.len().min(127) as u8]);
            bytes.extend(name.bytes().chain(value.bytes().take(127)));
        }
        let garbage = Vec::<u8>::arbitrary(g);
        bytes.extend(garbage.into_iter().filter(|_| seed % 2 == 0));
        let read = |cuts: &[usize]| {
            let (mut incoming, mut from) = (Incoming::default(), 0);
            for to in cuts.iter().copied().chain([bytes.len()]) {
                // An empty record would end them.
                if from < to {
                    incoming.params(&bytes[from..to]);
                }
                from = to;
            }
            incoming.params(&[]);
            let ends = incoming.stdin(&[]);
            assert!(ends);
            incoming.finish(|name| (name == "quote").then_some(0), &[false])
        };
        assert_eq!(read(&cuts(g, bytes.len())), read(&[]), "seed {seed}");
    }
}

#[test]
fn kernel_lines() {
    let make = |g: &mut Gen| {
        let event = pick(g, &["REAP", "IOREQ", "INFO", "POSTED", "EINVAL", "DMESG", "BOOTED"]);
        let fate = match event {
            "REAP" => pick(g, &["good", "bad", "cut", "gone"]),
            "POSTED" => pick(g, &["good", "bad"]),
            "BOOTED" => pick(g, &["new", "old"]),
            _ => pick(g, &["SCHED", "PREEMPT", "a \"remark\" \\ \u{1f686}"]),
        };
        let line = serde_json::json!({"event": event, "fate": fate, "handle": id(g), "arg": "AP8KIoA=",
            "cursor": u32::arbitrary(g), "ticket": u32::arbitrary(g).to_string(), "lasted": 3.5,
            "figures": [0.5, u8::arbitrary(g)], "novel": String::arbitrary(g)});
        format!("{line}\n").into_bytes()
    };
    let parse = |buf: &[u8]| match kernel::line(buf) {
        kernel::Line::Part => Step::Part,
        kernel::Line::TooLong => Step::Lost,
        kernel::Line::Whole(len, cursor, notice) => Step::Whole(len, (cursor, notice)),
    };
    alike(make, parse, |(cursor, notice)| cursor.is_some() && notice.is_ok());
}

#[test]
fn store_replies() {
    let make = |g: &mut Gen| {
        let id = id(g);
        match pick(g, &["OK", "BUSY", "ERR", "LATE", "VOID"]) {
            "OK" => {
                let body = Vec::<u8>::arbitrary(g);
                let mut out = format!("{id} OK {}\r\n", body.len()).into_bytes();
                out.extend(body);
                out.extend(b"\r\n");
                out
            }
            word => format!("{id} {word}\r\n").into_bytes(),
        }
    };
    let parse = |buf: &[u8]| match store::reply(buf) {
        store::Reply::Part => Step::Part,
        store::Reply::Bad => Step::Lost,
        store::Reply::Whole(len, id, word) => Step::Whole(len, (id, word)),
    };
    alike(make, parse, |(_, word)| !matches!(word, store::Word::Ok(body) if body.len() > 4096));
}

#[test]
fn lengths_beyond_all_bounds_are_told_from_what_is_still_to_come() {
    assert_eq!(store::reply(&[b'0'; store::MOST_LINE]), store::Reply::Bad);
    assert_eq!(store::reply(b"9b1f03aa5c7e2d41 OK 99999999999999999999\r\n"), store::Reply::Bad);
    assert_eq!(store::reply(b"9b1f03aa5c7e2d41 OK 65537\r\n"), store::Reply::Bad);
    assert_eq!(store::reply(b"9b1f03aa5c7e2d41 OK 3\r\nabcd"), store::Reply::Bad);
    assert_eq!(kernel::line(&[b'{'; kernel::MOST_LINE]), kernel::Line::TooLong);
    assert_eq!(fastcgi::pair(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1]), None);
}

#[test]
fn ids_keep_their_spelling() {
    for text in ["9b1f03aa5c7e2d41", "9B1F03AA5C7E2D41", "0000000000000000"] {
        assert_eq!(id_of(text.as_bytes()).map(id_text).as_deref(), Some(text));
    }
    for text in ["9b1f03aa5c7e2d4", "9b1f03aa5c7e2d4g", "9b1f03aa5c7e2d410", ""] {
        assert_eq!(id_of(text.as_bytes()), None::<RequestId>, "{text}");
    }
}
