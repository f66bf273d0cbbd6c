//! A gateway's connection: sends attempts and health checks, reads responses.

use super::fastcgi::{END_REQUEST, HEADER_LEN, STDOUT, VERSION, request_records};
use super::{unix_ms, with_read_timeout};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Transaction ids of attempts (`X-Txn`).
pub const TXN_A: &str = "9b1f03aa5c7e2d41";
pub const TXN_B: &str = "9b1f03aa5c7e2d42";
pub const TXN_C: &str = "9b1f03aa5c7e2d43";
pub const TXN_D: &str = "9b1f03aa5c7e2d44";

/// All records of an attempt of this class. `changes` replaces or adds parameters; an empty value removes one.
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

/// A response as a gateway reads it.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The FastCGI request id.
    pub id: u16,
    pub protocol_status: u8,
    pub status: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    /// The value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// The request id, the status code and the body of a response.
pub fn status_and_body(response: &Response) -> (u16, &str, &[u8]) {
    (response.id, &response.status[..3], &response.body)
}

/// A gateway's connection.
pub struct Gateway {
    pub stream: TcpStream,
}

impl Gateway {
    /// Connects to a node.
    pub fn connect(address: &str) -> Self {
        Gateway { stream: with_read_timeout(TcpStream::connect(address).expect("accepted")) }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the node reads");
    }

    /// Sends an attempt.
    pub fn request(&mut self, id: u16, class: &str, txn: &str, body: &[u8]) {
        self.send(&attempt_records(id, class, txn, &[], body));
    }

    /// Sends a health check and reads its response.
    pub fn health_check(&mut self, query: &str) -> Response {
        self.send(&request_records(1, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", query)], &[]));
        self.response()
    }

    /// Sends an attempt of a keyed request and reads the status code and the body of its response; an error if the connection ends first.
    pub fn book(&mut self, txn: &str, key: &str, body: &str) -> std::io::Result<(String, Vec<u8>)> {
        let records = attempt_records(1, "booking", txn, &[("HTTP_X_TXN_KEY", key)], body.as_bytes());
        self.stream.write_all(&records)?;
        let response = self.read_response()?;
        Ok((response.status[..3].to_string(), response.body))
    }

    /// Sends an attempt of a request without a key and reads the status code of its response; an error if the connection ends first.
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

    /// Reads the next response. Records of several responses must not interleave.
    pub fn response(&mut self) -> Response {
        self.read_response().expect("an answer")
    }

    fn read_response(&mut self) -> std::io::Result<Response> {
        let mut output = Vec::new();
        let (id, protocol_status) = loop {
            match self.next_record()? {
                (STDOUT, _, content) => output.extend(content),
                (END_REQUEST, id, content) => break (id, content[4]),
                other => panic!("record {other:?}"),
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

    /// True if the node closes the connection with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}
