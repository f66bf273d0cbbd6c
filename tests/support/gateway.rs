//! A gateway's connection to the node, over which a test sends attempts and health checks and reads
//! responses.

use super::fastcgi::{END_REQUEST, HEADER_LEN, STDOUT, VERSION, request_records};
use super::{unix_ms, with_read_timeout};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Four different transaction ids (`X-Txn`) for the attempts of a test.
pub const TXN_A: &str = "9b1f03aa5c7e2d41";
pub const TXN_B: &str = "9b1f03aa5c7e2d42";
pub const TXN_C: &str = "9b1f03aa5c7e2d43";
pub const TXN_D: &str = "9b1f03aa5c7e2d44";

/// All records of an attempt of the class `class`. Each pair in `changes` replaces or adds a parameter, or
/// removes it if the value is empty.
pub fn attempt_records(id: u16, class: &str, txn: &str, changes: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let path = format!("/svc/{class}");
    let ingress_time = unix_ms().to_string();
    let mut params = vec![
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", path.as_str()),
        ("HTTP_X_TXN", txn),
        ("HTTP_X_INGRESS_TIME", ingress_time.as_str()),
        ("HTTP_X_ROUTER", "1"),
        ("HTTP_X_CPU_HINT", "12.50"),
        ("HTTP_X_WORKING_SET_KB", "24.5"),
        ("HTTP_X_SHED_ORDER", "0.6250"),
    ];
    if class == "booking" {
        params.push(("HTTP_X_TXN_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    }
    for change in changes {
        params.retain(|(name, _)| *name != change.0);
        params.push(*change);
    }
    params.retain(|(_, value)| !value.is_empty());
    request_records(id, &params, body)
}

/// A response, decoded from the FastCGI records in which the gateway received it.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The FastCGI request id.
    pub id: u16,
    /// The protocol status of the FastCGI end record; 0 is a complete request.
    pub protocol_status: u8,
    /// The status line, such as `200 OK`; empty if the response has no header.
    pub status: String,
    /// The other header fields, as names and values.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    /// The value of the header field `name`, which is matched with its case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// The request id, the status code and the body of a response.
pub fn status_and_body(response: &Response) -> (u16, &str, &[u8]) {
    (response.id, &response.status[..3], &response.body)
}

/// A gateway's connection to the node.
pub struct Gateway {
    pub stream: TcpStream,
}

impl Gateway {
    /// Connects to the address on which a node listens for gateways.
    pub fn connect(address: &str) -> Self {
        Gateway { stream: with_read_timeout(TcpStream::connect(address).expect("connecting to the node")) }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("sending to the node");
    }

    /// Sends the records of an attempt with the default parameters of its class.
    pub fn request(&mut self, id: u16, class: &str, txn: &str, body: &[u8]) {
        self.send(&attempt_records(id, class, txn, &[], body));
    }

    /// Sends a health check with the query string `query` and reads its response.
    pub fn health_check(&mut self, query: &str) -> Response {
        self.send(&request_records(1, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", query)], &[]));
        self.response()
    }

    /// Sends a keyed attempt of the class `booking` and reads the status code and the body of its response.
    /// An error if the connection ends before the response is complete.
    pub fn book(&mut self, txn: &str, key: &str, body: &str) -> std::io::Result<(String, Vec<u8>)> {
        let records = attempt_records(1, "booking", txn, &[("HTTP_X_TXN_KEY", key)], body.as_bytes());
        self.stream.write_all(&records)?;
        let response = self.read_response()?;
        Ok((response.status[..3].to_string(), response.body))
    }

    /// Sends an attempt of the class `quote`, which has no key, and reads the status code of its response. An
    /// error if the connection ends before the response is complete.
    pub fn quote(&mut self, txn: &str) -> std::io::Result<String> {
        self.stream.write_all(&attempt_records(1, "quote", txn, &[], b"q"))?;
        Ok(self.read_response()?.status[..3].to_string())
    }

    /// Reads one record: its type, request id and content.
    pub fn next_record(&mut self) -> std::io::Result<(u8, u16, Vec<u8>)> {
        let mut header = [0; HEADER_LEN];
        self.stream.read_exact(&mut header)?;
        let content_len = usize::from(u16::from_be_bytes([header[4], header[5]]));
        let padding_len = usize::from(header[6]);
        let mut content = vec![0; content_len + padding_len];
        self.stream.read_exact(&mut content)?;
        content.truncate(content_len);
        assert_eq!(header[0], VERSION);
        Ok((header[1], u16::from_be_bytes([header[2], header[3]]), content))
    }

    /// Reads the next response. The records of several responses must not interleave.
    pub fn response(&mut self) -> Response {
        self.read_response().expect("a complete response from the node")
    }

    fn read_response(&mut self) -> std::io::Result<Response> {
        let mut output = Vec::new();
        let (id, protocol_status) = loop {
            match self.next_record()? {
                (STDOUT, _, content) => output.extend(content),
                (END_REQUEST, id, content) => break (id, content[4]),
                other => panic!("expected an output or end record, got {other:?}"),
            }
        };
        let end = output.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap_or(output.len());
        let head = String::from_utf8_lossy(&output[..end]).into_owned();
        let mut fields: Vec<(String, String)> = head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let status = if fields.is_empty() { String::new() } else { fields.remove(0).1 };
        let body = output.get(end + 4..).unwrap_or_default().to_vec();
        Ok(Response { id, protocol_status, status, fields, body })
    }

    /// Waits for the end of the connection; false if the node sends anything more or resets the connection,
    /// or if the read times out.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}
