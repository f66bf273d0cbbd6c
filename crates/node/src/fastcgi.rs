//! FastCGI 1.0: parses records and name-value pairs in place, and encodes records.
//!
//! The parsers read from the start of a buffer and return `None` until the item is complete. They keep no
//! state and copy nothing. The only error is a record of another protocol version; the caller judges
//! everything else.

/// The only protocol version that the node accepts and sends.
const VERSION: u8 = 1;
/// Size of a record's header, in bytes.
pub const HEADER_BYTES: usize = 8;
/// Size of the content of END_REQUEST, BEGIN_REQUEST and UNKNOWN_TYPE records, in bytes.
const FIXED_BODY_BYTES: usize = 8;
/// Maximum size of a record, in bytes: header, content and padding.
pub const MAX_RECORD_BYTES: usize = HEADER_BYTES + 0xffff + 0xff;
/// Size of the content of a GET_VALUES_RESULT record, in bytes, above which no further variable is added. The
/// few variables that exist take far less; the limit bounds the answer to a request that repeats them.
const MAX_VALUES_BYTES: usize = 512;

/// Types of records, as in the type byte of the header.
pub mod record_type {
    /// FCGI_BEGIN_REQUEST: the gateway starts a request.
    pub const BEGIN_REQUEST: u8 = 1;
    /// FCGI_ABORT_REQUEST: the gateway no longer waits for the answer to a request.
    pub const ABORT_REQUEST: u8 = 2;
    /// FCGI_END_REQUEST: the node ends a request.
    pub const END_REQUEST: u8 = 3;
    /// FCGI_PARAMS: name-value pairs of a request's CGI variables.
    pub const PARAMS: u8 = 4;
    /// FCGI_STDIN: a part of a request's body.
    pub const STDIN: u8 = 5;
    /// FCGI_STDOUT: a part of the CGI response.
    pub const STDOUT: u8 = 6;
    /// FCGI_GET_VALUES: the gateway asks for variables of the node.
    pub const GET_VALUES: u8 = 9;
    /// FCGI_GET_VALUES_RESULT: the answer of the node to FCGI_GET_VALUES.
    pub const GET_VALUES_RESULT: u8 = 10;
    /// FCGI_UNKNOWN_TYPE: the answer of the node to a connection's record of unknown type.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// The role FCGI_RESPONDER, the only one that the node takes: it answers requests.
pub const RESPONDER: u16 = 1;
/// The flag FCGI_KEEP_CONN of BEGIN_REQUEST: the node keeps the connection open after the request.
const KEEP_CONN: u8 = 1;

/// Protocol statuses of END_REQUEST records.
pub mod protocol_status {
    /// FCGI_REQUEST_COMPLETE: the request has been answered.
    pub const REQUEST_COMPLETE: u8 = 0;
    /// FCGI_OVERLOADED: the node cannot take a further request on the connection.
    pub const OVERLOADED: u8 = 2;
    /// FCGI_UNKNOWN_ROLE: the request asks for a role other than FCGI_RESPONDER.
    pub const UNKNOWN_ROLE: u8 = 3;
}

/// A record of another protocol version was read: the input cannot be split into records from there on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("FastCGI record of version {version}, expected version 1")]
pub struct FramingError {
    /// Version byte of the record.
    pub version: u8,
}

/// One record, borrowed from the read buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Type of the record: one of [`record_type`], or a type that the node does not know.
    pub record_type: u8,
    /// FastCGI id of the request that the record belongs to; 0 if it concerns the connection itself.
    pub id: u16,
    /// Content of the record, without the padding.
    pub content: &'a [u8],
    /// Size of the record in bytes, with header and padding.
    pub total_bytes: usize,
}

/// Parses the record at the start of `buffer`. Returns `None` if the record is not complete yet.
///
/// # Errors
/// The record has another protocol version. Where the next record begins is unknown, so nothing more can be
/// read from this connection.
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

/// The content of a BEGIN_REQUEST record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeginRequest {
    /// Role that the gateway asks for; the node supports only [`RESPONDER`].
    pub role: u16,
    /// Whether the node keeps the connection open after the request.
    pub keeps_connection: bool,
}

/// Parses the content of a BEGIN_REQUEST record. Returns `None` if the content is too short.
pub fn parse_begin_request(content: &[u8]) -> Option<BeginRequest> {
    match *content {
        [role_high, role_low, flags, ..] if content.len() >= FIXED_BODY_BYTES => Some(BeginRequest {
            role: u16::from_be_bytes([role_high, role_low]),
            keeps_connection: flags & KEEP_CONN != 0,
        }),
        _ => None,
    }
}

/// A name-value pair, borrowed from a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair<'a> {
    /// Name of the CGI variable or of the requested variable.
    pub name: &'a [u8],
    /// Value that belongs to the name; may be empty.
    pub value: &'a [u8],
    /// The bytes of the buffer after the pair.
    pub rest: &'a [u8],
}

/// Parses a length of a name-value pair: one byte, or four bytes with the high bit set. Returns the length
/// and the bytes after it.
fn parse_length(buffer: &[u8]) -> Option<(usize, &[u8])> {
    match *buffer {
        [a, ref rest @ ..] if a < 0x80 => Some((usize::from(a), rest)),
        [a, b, c, d, ref rest @ ..] => Some((u32::from_be_bytes([a & 0x7f, b, c, d]) as usize, rest)),
        _ => None,
    }
}

/// Parses the name-value pair at the start of `buffer`. Returns `None` if the pair is not complete yet.
pub fn parse_pair(buffer: &[u8]) -> Option<Pair<'_>> {
    let (name_bytes, rest) = parse_length(buffer)?;
    let (value_bytes, rest) = parse_length(rest)?;
    let (name, rest) = rest.split_at_checked(name_bytes)?;
    let (value, rest) = rest.split_at_checked(value_bytes)?;
    Some(Pair { name, value, rest })
}

/// Encodes the header of a record with `content_bytes` bytes of content and no padding.
pub fn record_header(record_type: u8, id: u16, content_bytes: u16) -> [u8; HEADER_BYTES] {
    let [id_high, id_low] = id.to_be_bytes();
    let [length_high, length_low] = content_bytes.to_be_bytes();
    [VERSION, record_type, id_high, id_low, length_high, length_low, 0, 0]
}

/// Encodes a record with content of [`FIXED_BODY_BYTES`], all zero.
fn fixed_record(record_type: u8, id: u16) -> [u8; HEADER_BYTES + FIXED_BODY_BYTES] {
    let mut record = [0; HEADER_BYTES + FIXED_BODY_BYTES];
    record[..HEADER_BYTES].copy_from_slice(&record_header(record_type, id, FIXED_BODY_BYTES as u16));
    record
}

/// Encodes a complete END_REQUEST record, with 0 as the application's status.
pub fn end_request(id: u16, protocol_status: u8) -> [u8; HEADER_BYTES + FIXED_BODY_BYTES] {
    let mut record = fixed_record(record_type::END_REQUEST, id);
    record[HEADER_BYTES + 4] = protocol_status;
    record
}

/// Encodes a complete UNKNOWN_TYPE record, the answer to a connection's record of the unknown type `unknown`.
pub fn unknown_type(unknown: u8) -> [u8; HEADER_BYTES + FIXED_BODY_BYTES] {
    let mut record = fixed_record(record_type::UNKNOWN_TYPE, 0);
    record[HEADER_BYTES] = unknown;
    record
}

/// Encodes a complete GET_VALUES_RESULT record with the variables of `known` that are named in `requested`,
/// the content of a GET_VALUES record.
pub fn values_result(requested: &[u8], known: &[(&str, String)]) -> Vec<u8> {
    let mut content = Vec::new();
    let mut rest = requested;
    while let Some(pair) = parse_pair(rest) {
        rest = pair.rest;
        // The names and values in `known` are short: each length takes one byte.
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
