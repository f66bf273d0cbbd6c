//! Tests of parsing the lines that operators send, complete and in parts.

use super::*;

// An operator's line arrives in parts, or is not a call. Every input has to be incomplete, a call or the
// right error.
#[test]
fn a_line_parses_as_a_call_an_error_or_incomplete() {
    let long = [b'P'; MAX_LINE_BYTES];
    let cases: [(&[u8], bool, CallerInput); 10] = [
        (b"PING\n", false, CallerInput::Call(Call::Ping)),
        (b"INFO\r\n", true, CallerInput::Call(Call::Info)),
        (b"", false, CallerInput::Incomplete),
        (b"PIN", false, CallerInput::Incomplete),
        (b"PIN", true, CallerInput::Invalid(CallError::NoEnd)),
        (b"ping\n", false, CallerInput::Invalid(CallError::Unknown)),
        (b"\n", false, CallerInput::Invalid(CallError::Unknown)),
        (b"\xff\xfe\n", false, CallerInput::Invalid(CallError::NotText)),
        (b"PING\nPING\n", false, CallerInput::Invalid(CallError::MoreThanOneLine)),
        (&long, false, CallerInput::Invalid(CallError::TooLong)),
    ];
    for (input, ended, expected) in cases {
        assert_eq!(parse_call(input, ended, false), expected, "{input:?}");
    }
    let propose = [b"FLEET PROPOSE - - ".to_vec(), vec![b'x'; 4096], b"\n".to_vec()].concat();
    assert_eq!(parse_call(&propose, false, false), CallerInput::Invalid(CallError::TooLong));
    assert_eq!(parse_call(&propose[..99], false, true), CallerInput::Incomplete);
    assert!(
        matches!(parse_call(&propose, false, true), CallerInput::Call(Call::Cluster(words)) if words.len() == 4108)
    );
    let endless = vec![b'F'; 99];
    assert_eq!(parse_call(&endless, false, true), CallerInput::Invalid(CallError::TooLong));
}

#[test]
fn error_texts_of_the_second_address_do_not_change() {
    let texts = [
        (CallError::NoEnd, "the line has no end"),
        (CallError::Unknown, "no such call; there are PING and INFO"),
        (CallError::NotText, "the line is not text"),
        (CallError::MoreThanOneLine, "one line a connection"),
        (CallError::TooLong, "the line is too long"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
