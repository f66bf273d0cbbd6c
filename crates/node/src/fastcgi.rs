//! FastCGI 1.0: records and name-value pairs, parsed in place and written whole.
//!
//! Parsers take the start of a buffer and return nothing until the item is there completely; they keep no state and copy
//! nothing. A record of another version is the only error: everything else that can come is left to the caller to judge.

/// The only protocol version.
const VERSION: u8 = 1;
/// Bytes of a record's header.
pub const HEADER_BYTES: usize = 8;
/// Bytes of the body of END_REQUEST, BEGIN_REQUEST and UNKNOWN_TYPE.
const FIXED_BODY_BYTES: usize = 8;
/// Most bytes of a record: header, content and padding.
pub const MAX_RECORD_BYTES: usize = HEADER_BYTES + 0xffff + 0xff;
/// Most bytes of a GET_VALUES_RESULT: the few variables that exist take far less, however often they are asked for.
const MAX_VALUES_BYTES: usize = 512;

/// Record types.
pub mod record_type {
    /// FCGI_BEGIN_REQUEST.
    pub const BEGIN_REQUEST: u8 = 1;
    /// FCGI_ABORT_REQUEST.
    pub const ABORT_REQUEST: u8 = 2;
    /// FCGI_END_REQUEST.
    pub const END_REQUEST: u8 = 3;
    /// FCGI_PARAMS.
    pub const PARAMS: u8 = 4;
    /// FCGI_STDIN.
    pub const STDIN: u8 = 5;
    /// FCGI_STDOUT.
    pub const STDOUT: u8 = 6;
    /// FCGI_GET_VALUES.
    pub const GET_VALUES: u8 = 9;
    /// FCGI_GET_VALUES_RESULT.
    pub const GET_VALUES_RESULT: u8 = 10;
    /// FCGI_UNKNOWN_TYPE.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// The role FCGI_RESPONDER.
pub const RESPONDER: u16 = 1;
/// The flag FCGI_KEEP_CONN.
const KEEP_CONN: u8 = 1;

/// Protocol statuses of END_REQUEST.
pub mod protocol_status {
    /// FCGI_REQUEST_COMPLETE.
    pub const REQUEST_COMPLETE: u8 = 0;
    /// FCGI_OVERLOADED.
    pub const OVERLOADED: u8 = 2;
    /// FCGI_UNKNOWN_ROLE.
    pub const UNKNOWN_ROLE: u8 = 3;
}

/// What is read cannot be cut into records any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record of version {version}")]
pub struct FramingError {
    /// The version byte that was found.
    pub version: u8,
}

/// One record, in place in the read buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Its type, one of [`record_type`] or unknown.
    pub record_type: u8,
    /// The request it belongs to; 0 for the connection itself.
    pub id: u16,
    /// Its content.
    pub content: &'a [u8],
    /// Bytes that it takes, with header and padding.
    pub total_bytes: usize,
}

/// The record at the start of `buffer`, if it is there completely.
///
/// # Errors
/// The record has another protocol version. Where the next one begins is unknown, so nothing more can be read
/// from this connection.
pub fn parse_record(buffer: &[u8]) -> Result<Option<Record<'_>>, FramingError> {
    match buffer.first() {
        None => return Ok(None),
        Some(&VERSION) => {}
        Some(&version) => return Err(FramingError { version }),
    }
    let &[_, record_type, id_high, id_low, length_high, length_low, padding_bytes, _, ref rest @ ..] = buffer
    else {
        return Ok(None);
    };
    let id = u16::from_be_bytes([id_high, id_low]);
    let content_bytes = usize::from(u16::from_be_bytes([length_high, length_low]));
    let total_bytes = HEADER_BYTES + content_bytes + usize::from(padding_bytes);
    let complete = buffer.len() >= total_bytes;
    let content = rest.get(..content_bytes).filter(|_| complete);
    Ok(content.map(|content| Record { record_type, id, content, total_bytes }))
}

/// The body of a BEGIN_REQUEST record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeginRequest {
    /// The role asked for, of which only [`RESPONDER`] is known here.
    pub role: u16,
    /// Whether the connection is kept after the request.
    pub keeps_connection: bool,
}

/// The body of a BEGIN_REQUEST, if it is long enough for one.
pub fn parse_begin_request(content: &[u8]) -> Option<BeginRequest> {
    match *content {
        [role_high, role_low, flags, ..] if content.len() >= FIXED_BODY_BYTES => Some(BeginRequest {
            role: u16::from_be_bytes([role_high, role_low]),
            keeps_connection: flags & KEEP_CONN != 0,
        }),
        _ => None,
    }
}

/// A name-value pair, in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair<'a> {
    /// The name.
    pub name: &'a [u8],
    /// The value.
    pub value: &'a [u8],
    /// The bytes behind the pair.
    pub rest: &'a [u8],
}

/// The length at the start of a name-value pair: one byte, or four with the high bit set.
fn parse_length(buffer: &[u8]) -> Option<(usize, &[u8])> {
    match *buffer {
        [a, ref rest @ ..] if a < 0x80 => Some((usize::from(a), rest)),
        [a, b, c, d, ref rest @ ..] => Some((u32::from_be_bytes([a & 0x7f, b, c, d]) as usize, rest)),
        _ => None,
    }
}

/// The name-value pair at the start of `buffer` with the bytes after it, if it is there completely.
pub fn parse_pair(buffer: &[u8]) -> Option<Pair<'_>> {
    let (name_bytes, rest) = parse_length(buffer)?;
    let (value_bytes, rest) = parse_length(rest)?;
    let (name, rest) = rest.split_at_checked(name_bytes)?;
    let (value, rest) = rest.split_at_checked(value_bytes)?;
    Some(Pair { name, value, rest })
}

/// The header of a record with that much content and no padding.
pub fn record_header(record_type: u8, id: u16, content_bytes: u16) -> [u8; HEADER_BYTES] {
    let [id_high, id_low] = id.to_be_bytes();
    let [length_high, length_low] = content_bytes.to_be_bytes();
    [VERSION, record_type, id_high, id_low, length_high, length_low, 0, 0]
}

/// A record with a body of fixed length: the header, and zeros.
fn fixed_record(record_type: u8, id: u16) -> [u8; HEADER_BYTES + FIXED_BODY_BYTES] {
    let mut record = [0; HEADER_BYTES + FIXED_BODY_BYTES];
    record[..HEADER_BYTES].copy_from_slice(&record_header(record_type, id, FIXED_BODY_BYTES as u16));
    record
}

/// A complete END_REQUEST record, with 0 as the application's status.
pub fn end_request(id: u16, protocol_status: u8) -> [u8; HEADER_BYTES + FIXED_BODY_BYTES] {
    let mut record = fixed_record(record_type::END_REQUEST, id);
    record[HEADER_BYTES + 4] = protocol_status;
    record
}

/// A complete UNKNOWN_TYPE record, for a record of the connection whose type is not known here.
pub fn unknown_type(unknown: u8) -> [u8; HEADER_BYTES + FIXED_BODY_BYTES] {
    let mut record = fixed_record(record_type::UNKNOWN_TYPE, 0);
    record[HEADER_BYTES] = unknown;
    record
}

/// A complete GET_VALUES_RESULT record for those of the requested variables that are known here.
pub fn values_result(requested: &[u8], known: &[(&str, String)]) -> Vec<u8> {
    let mut content = Vec::new();
    let mut rest = requested;
    while let Some(pair) = parse_pair(rest) {
        rest = pair.rest;
        // Names and values of what is known are short: their lengths take one byte.
        if let Some((name, value)) = known.iter().find(|(name, _)| name.as_bytes() == pair.name) {
            content.extend([name.len() as u8, value.len() as u8]);
            content.extend(name.bytes().chain(value.bytes()));
        }
        if content.len() > MAX_VALUES_BYTES {
            break;
        }
    }
    let mut record = record_header(record_type::GET_VALUES_RESULT, 0, content.len() as u16).to_vec();
    record.extend(content);
    record
}
