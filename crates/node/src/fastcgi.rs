//! FastCGI 1.0 records and name-value pairs, parsed where they lie in the read buffer.

use std::fmt;

/// The only protocol version.
pub const VERSION: u8 = 1;
/// Length of a record's header.
pub const HEADER: usize = 8;
/// Longest record: header, content and padding.
pub const LONGEST: usize = HEADER + 0xffff + 0xff;

/// Record types.
pub mod kind {
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
pub const KEEP_CONN: u8 = 1;

/// Protocol statuses of END_REQUEST.
pub mod status {
    /// FCGI_REQUEST_COMPLETE.
    pub const REQUEST_COMPLETE: u8 = 0;
    /// FCGI_OVERLOADED.
    pub const OVERLOADED: u8 = 2;
    /// FCGI_UNKNOWN_ROLE.
    pub const UNKNOWN_ROLE: u8 = 3;
}

/// What is read cannot be cut into records any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FramingError {
    /// The version byte that was found.
    pub version: u8,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record of version {}", self.version)
    }
}

/// One record, lying in the read buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Its type.
    pub kind: u8,
    /// The request it belongs to; 0 for the connection itself.
    pub id: u16,
    /// Its content.
    pub content: &'a [u8],
    /// Bytes it takes, with header and padding.
    pub len: usize,
}

/// The record at the start of `buf`, if it is there whole.
pub fn record(buf: &[u8]) -> Result<Option<Record<'_>>, FramingError> {
    match buf.first() {
        None => return Ok(None),
        Some(&VERSION) => {}
        Some(&version) => return Err(FramingError { version }),
    }
    let &[_, kind, id1, id0, len1, len0, padding, _, ref rest @ ..] = buf else { return Ok(None) };
    let content = usize::from(u16::from_be_bytes([len1, len0]));
    let len = HEADER + content + usize::from(padding);
    let whole = buf.len() >= len;
    let content = rest.get(..content).filter(|_| whole);
    Ok(content.map(|content| Record { kind, id: u16::from_be_bytes([id1, id0]), content, len }))
}

/// Role and flags of a BEGIN_REQUEST, if it is long enough to have them.
pub fn begin(content: &[u8]) -> Option<(u16, u8)> {
    match *content {
        [role1, role0, flags, ..] if content.len() >= 8 => Some((u16::from_be_bytes([role1, role0]), flags)),
        _ => None,
    }
}

/// The length at the start of a name-value pair: one byte, or four with the high bit set.
fn length(buf: &[u8]) -> Option<(usize, &[u8])> {
    match *buf {
        [a, ref rest @ ..] if a < 0x80 => Some((usize::from(a), rest)),
        [a, b, c, d, ref rest @ ..] => Some((u32::from_be_bytes([a & 0x7f, b, c, d]) as usize, rest)),
        _ => None,
    }
}

/// The name-value pair at the start of `buf` with the bytes after it, if it is there whole.
pub fn pair(buf: &[u8]) -> Option<(&[u8], &[u8], &[u8])> {
    let (name, rest) = length(buf)?;
    let (value, rest) = length(rest)?;
    let (name, rest) = rest.split_at_checked(name)?;
    let (value, rest) = rest.split_at_checked(value)?;
    Some((name, value, rest))
}

/// The header of a record with that much content and no padding.
pub fn header(kind: u8, id: u16, content: u16) -> [u8; HEADER] {
    let ([id1, id0], [len1, len0]) = (id.to_be_bytes(), content.to_be_bytes());
    [VERSION, kind, id1, id0, len1, len0, 0, 0]
}

/// A whole END_REQUEST record.
pub fn end_request(id: u16, app_status: u32, protocol_status: u8) -> [u8; 16] {
    let mut out = [0; 16];
    out[..HEADER].copy_from_slice(&header(kind::END_REQUEST, id, 8));
    out[HEADER..HEADER + 4].copy_from_slice(&app_status.to_be_bytes());
    out[HEADER + 4] = protocol_status;
    out
}

/// A whole UNKNOWN_TYPE record, for a record of the connection that is not known here.
pub fn unknown_type(kind: u8) -> [u8; 16] {
    let mut out = [0; 16];
    out[..HEADER].copy_from_slice(&header(kind::UNKNOWN_TYPE, 0, 8));
    out[HEADER] = kind;
    out
}

/// A GET_VALUES_RESULT record for those of the asked-for variables that are known here.
pub fn values_result(asked: &[u8], known: &[(&str, String)]) -> Vec<u8> {
    let mut content = Vec::new();
    let mut rest = asked;
    while let Some((name, _, after)) = pair(rest) {
        rest = after;
        // Names and values of what is known are short: their lengths take one byte.
        if let Some((name, value)) = known.iter().find(|(n, _)| n.as_bytes() == name) {
            content.extend([name.len() as u8, value.len() as u8]);
            content.extend(name.bytes().chain(value.bytes()));
        }
        if content.len() > 512 {
            break;
        }
    }
    let mut out = header(kind::GET_VALUES_RESULT, 0, content.len() as u16).to_vec();
    out.extend(content);
    out
}
