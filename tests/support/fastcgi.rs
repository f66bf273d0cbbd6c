//! Encodes FastCGI records the way gateways send them.

/// Record types, by the names that the FastCGI specification gives them.
pub const BEGIN_REQUEST: u8 = 1;
pub const ABORT_REQUEST: u8 = 2;
pub const END_REQUEST: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;
/// Length of a record's header in bytes.
pub const HEADER_LEN: usize = 8;
/// `FCGI_VERSION_1`.
pub const VERSION: u8 = 1;
/// Content of a begin record with the responder role and the flag to keep the connection open.
const BEGIN_RESPONDER_KEEP_CONN: [u8; 8] = [0, 1, 1, 0, 0, 0, 0, 0];

/// A record whose content is padded to a multiple of 8 bytes, as some gateways send it.
pub fn fcgi_record(record_type: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let padding = (8 - content.len() % 8) % 8;
    let mut out = vec![VERSION, record_type];
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([padding as u8, 0]);
    out.extend(content);
    out.resize(out.len() + padding, 0);
    out
}

/// The record that begins a request: responder role, connection kept open.
pub fn begin_record(id: u16) -> Vec<u8> {
    fcgi_record(BEGIN_REQUEST, id, &BEGIN_RESPONDER_KEEP_CONN)
}

/// A name-value pair of a `PARAMS` record. The name's length takes one byte, the value's length four.
pub fn name_value_pair(name: &str, value: &str) -> Vec<u8> {
    let mut out = vec![name.len() as u8];
    // FastCGI allows the four-byte form for a length of any size.
    out.extend((value.len() as u32 | 0x8000_0000).to_be_bytes());
    out.extend(name.bytes().chain(value.bytes()));
    out
}

/// All records of a request with the given parameters and body, one after the other.
pub fn request_records(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let params: Vec<u8> = params.iter().flat_map(|(n, v)| name_value_pair(n, v)).collect();
    let mut out = begin_record(id);
    out.extend(fcgi_record(PARAMS, id, &params));
    out.extend(fcgi_record(PARAMS, id, &[]));
    if !body.is_empty() {
        out.extend(fcgi_record(STDIN, id, body));
    }
    out.extend(fcgi_record(STDIN, id, &[]));
    out
}
