//! Tests of the parsers of data from outside. A network splits messages anywhere, and a broken or hostile
//! peer may send any bytes: [`check_parser`] feeds each parser valid messages, split at random places, and
//! random garbage, from fixed seeds.

use super::request::{IncomingRequest, format_request_id, parse_request_id};
use super::{fastcgi, kernel, store};
use gaugestand_admission::RequestId;
use quickcheck::{Arbitrary, Gen};

/// Result of a parser for the start of a buffer: the item is incomplete, the input cannot be split into items
/// any more, or an item that takes this many bytes.
enum Parsed<T> {
    Incomplete,
    FramingLost,
    Complete(usize, T),
}

/// Parses `bytes` as if they arrived in pieces, split at the positions `cuts`. Returns the parsed items, and
/// whether the framing was lost.
fn parse_in_pieces<T>(bytes: &[u8], cuts: &[usize], parse: impl Fn(&[u8]) -> Parsed<T>) -> (Vec<T>, bool) {
    let mut buffer = Vec::new();
    let mut items = Vec::new();
    let ends = cuts.iter().copied().chain([bytes.len()]);
    let mut from = 0;
    for to in ends {
        buffer.extend(&bytes[from..to]);
        from = to;
        loop {
            match parse(&buffer) {
                Parsed::Incomplete => break,
                Parsed::FramingLost => return (items, true),
                Parsed::Complete(len, item) => {
                    assert!(
                        0 < len && len <= buffer.len(),
                        "the parser consumed {len} of {} bytes",
                        buffer.len()
                    );
                    buffer.drain(..len);
                    items.push(item);
                }
            }
        }
    }
    (items, false)
}

/// Generates messages with `generate`, and checks that `parse` returns the same items for split and for
/// unsplit input, as many items as there are messages, and only items for which `is_valid` is true. Also
/// checks that `parse` returns the same for split and for unsplit input with garbage at the start, at the end
/// and at a random place.
fn check_parser<T: PartialEq + std::fmt::Debug>(
    generate: impl Fn(&mut Gen) -> Vec<u8>,
    parse: impl Fn(&[u8]) -> Parsed<T>,
    is_valid: impl Fn(&T) -> bool,
) {
    for seed in 0..400 {
        let g = &mut Gen::from_size_and_seed(64, seed);
        let messages: Vec<Vec<u8>> = (0..1 + seed % 5).map(|_| generate(g)).collect();
        let mut bytes = messages.concat();
        let unsplit = parse_in_pieces(&bytes, &[], &parse);
        assert_eq!((unsplit.0.len(), unsplit.1), (messages.len(), false), "seed {seed}");
        assert!(unsplit.0.iter().all(&is_valid), "seed {seed}: {:?}", unsplit.0);
        assert_eq!(parse_in_pieces(&bytes, &random_cuts(g, bytes.len()), &parse), unsplit, "seed {seed}");
        // One cut at every possible place (only for the first 40 seeds), then one byte at a time.
        for cut in (0..=bytes.len()).filter(|_| seed < 40) {
            assert_eq!(parse_in_pieces(&bytes, &[cut], &parse), unsplit, "seed {seed}, cut at {cut}");
        }
        assert_eq!(
            parse_in_pieces(&bytes, &(0..bytes.len()).collect::<Vec<_>>(), &parse),
            unsplit,
            "seed {seed}"
        );
        let garbage = Vec::<u8>::arbitrary(g);
        for at in [0, bytes.len(), usize::arbitrary(g) % bytes.len()] {
            bytes.splice(at..(at + garbage.len()).min(bytes.len()), garbage.iter().copied());
            assert_eq!(
                parse_in_pieces(&bytes, &random_cuts(g, bytes.len()), &parse),
                parse_in_pieces(&bytes, &[], &parse),
                "seed {seed}"
            );
        }
    }
}

/// Up to 11 random positions from 0 to `len`, sorted.
fn random_cuts(g: &mut Gen, len: usize) -> Vec<usize> {
    let mut cuts: Vec<usize> =
        (0..usize::arbitrary(g) % 12).map(|_| usize::arbitrary(g) % (len + 1)).collect();
    cuts.sort_unstable();
    cuts
}

/// A random request id.
fn random_id(g: &mut Gen) -> String {
    format!("{:016x}", u64::arbitrary(g))
}

fn random_word<'a>(g: &mut Gen, words: &[&'a str]) -> &'a str {
    g.choose(words).copied().unwrap_or_default()
}

#[test]
fn fastcgi_records_are_parsed_the_same_however_they_are_split() {
    let generate = |g: &mut Gen| {
        let record_type = u8::arbitrary(g);
        let id = u16::arbitrary(g);
        let content = Vec::<u8>::arbitrary(g);
        let padding = usize::arbitrary(g) % 256;
        let mut out = fastcgi::record_header(record_type, id, content.len() as u16).to_vec();
        out[6] = padding as u8;
        out.extend(&content);
        out.resize(out.len() + padding, 7);
        out
    };
    let parse = |buffer: &[u8]| match fastcgi::parse_record(buffer) {
        Ok(None) => Parsed::Incomplete,
        Err(_) => Parsed::FramingLost,
        Ok(Some(record)) => {
            Parsed::Complete(record.total_bytes, (record.record_type, record.id, record.content.to_vec()))
        }
    };
    check_parser(generate, parse, |_| true);
}

#[test]
fn fastcgi_name_value_pairs_are_parsed_the_same_however_they_are_split() {
    let generate = |g: &mut Gen| {
        let name = Vec::<u8>::arbitrary(g);
        let value = Vec::<u8>::arbitrary(g);
        let mut out = vec![name.len() as u8];
        out.extend((value.len() as u32 | 1 << 31).to_be_bytes());
        out.extend(name.into_iter().chain(value));
        out
    };
    let parse = |buffer: &[u8]| match fastcgi::parse_pair(buffer) {
        None => Parsed::Incomplete,
        Some(pair) => {
            Parsed::Complete(buffer.len() - pair.rest.len(), (pair.name.to_vec(), pair.value.to_vec()))
        }
    };
    check_parser(generate, parse, |_| true);
}

#[test]
fn parameters_are_parsed_the_same_however_records_split_them() {
    for seed in 0..400 {
        let g = &mut Gen::from_size_and_seed(64, seed);
        let mut bytes = Vec::new();
        for name in ["HTTP_X_TXN", "SCRIPT_NAME", "HTTP_X_CPU_HINT", "HTTP_X_ROUTER", "REQUEST_METHOD", "X"] {
            let value = if bool::arbitrary(g) { random_id(g) } else { String::arbitrary(g) };
            bytes.extend([name.len() as u8, value.len().min(127) as u8]);
            bytes.extend(name.bytes().chain(value.bytes().take(127)));
        }
        let garbage = Vec::<u8>::arbitrary(g);
        bytes.extend(garbage.into_iter().filter(|_| seed % 2 == 0));
        let parse = |cuts: &[usize]| {
            let mut incoming = IncomingRequest::default();
            let mut from = 0;
            for to in cuts.iter().copied().chain([bytes.len()]) {
                // An empty record would end the parameters.
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
        assert_eq!(parse(&random_cuts(g, bytes.len())), parse(&[]), "seed {seed}");
    }
}

#[test]
fn kernel_lines_are_parsed_the_same_however_they_are_split() {
    let generate = |g: &mut Gen| {
        let event = random_word(g, &["REAP", "IOREQ", "INFO", "POSTED", "EINVAL", "DMESG", "BOOTED"]);
        let fate = match event {
            "REAP" => random_word(g, &["good", "bad", "cut", "gone"]),
            "POSTED" => random_word(g, &["good", "bad"]),
            "BOOTED" => random_word(g, &["new", "old"]),
            _ => random_word(g, &["SCHED", "PREEMPT", "a \"remark\" \\ \u{1f686}"]),
        };
        let line = serde_json::json!({"event": event, "fate": fate, "handle": random_id(g), "arg": "AP8KIoA=",
            "cursor": u32::arbitrary(g), "ticket": u32::arbitrary(g).to_string(), "lasted": 3.5,
            "figures": [0.5, u8::arbitrary(g)], "novel": String::arbitrary(g)});
        format!("{line}\n").into_bytes()
    };
    let parse = |buffer: &[u8]| match kernel::parse_line(buffer) {
        kernel::Line::Incomplete => Parsed::Incomplete,
        kernel::Line::TooLong => Parsed::FramingLost,
        kernel::Line::Complete(len, cursor, notice) => Parsed::Complete(len, (cursor, notice)),
    };
    check_parser(generate, parse, |(cursor, notice)| cursor.is_some() && notice.is_ok());
}

#[test]
fn store_replies_are_parsed_the_same_however_they_are_split() {
    let generate = |g: &mut Gen| {
        let id = random_id(g);
        match random_word(g, &["OK", "BUSY", "ERR", "LATE", "VOID"]) {
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
    let parse = |buffer: &[u8]| match store::parse_reply(buffer) {
        store::Reply::Incomplete => Parsed::Incomplete,
        store::Reply::Invalid => Parsed::FramingLost,
        store::Reply::Complete(len, id, status) => Parsed::Complete(len, (id, status)),
    };
    check_parser(
        generate,
        parse,
        |(_, status)| !matches!(status, store::ReplyStatus::Succeeded(body) if body.len() > 4096),
    );
}

#[test]
fn a_message_with_a_length_out_of_bounds_does_not_count_as_incomplete() {
    assert_eq!(store::parse_reply(&[b'0'; store::MAX_LINE_BYTES]), store::Reply::Invalid);
    assert_eq!(store::parse_reply(b"9b1f03aa5c7e2d41 OK 99999999999999999999\r\n"), store::Reply::Invalid);
    assert_eq!(store::parse_reply(b"9b1f03aa5c7e2d41 OK 65537\r\n"), store::Reply::Invalid);
    assert_eq!(store::parse_reply(b"9b1f03aa5c7e2d41 OK 3\r\nabcd"), store::Reply::Invalid);
    assert_eq!(kernel::parse_line(&[b'{'; kernel::MAX_LINE_BYTES]), kernel::Line::TooLong);
    // A name-value pair has no bound of its own and does count as incomplete, without an overflow;
    // `IncomingRequest` limits how much of it is kept.
    assert_eq!(fastcgi::parse_pair(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1]), None);
}

#[test]
fn request_ids_are_formatted_as_they_were_spelled() {
    for text in ["9b1f03aa5c7e2d41", "9B1F03AA5C7E2D41", "0000000000000000"] {
        assert_eq!(parse_request_id(text.as_bytes()).map(format_request_id).as_deref(), Some(text));
    }
    for text in ["9b1f03aa5c7e2d4", "9b1f03aa5c7e2d4g", "9b1f03aa5c7e2d410", ""] {
        assert_eq!(parse_request_id(text.as_bytes()), None::<RequestId>, "{text}");
    }
}
