//! Assembles one request from the FastCGI records that a gateway sends: CGI parameters first, then the body.
//!
//! This is the only place where the gateways' CGI variables become the engine's terms. A name-value pair that
//! lies in one record is parsed in place; only a pair that is split across records is copied. All sizes are
//! bounded. A parameter that is missing, malformed or too long fails only its own request, with a 4xx status,
//! and without waiting for the rest of the request where the records read so far already show the error. This
//! module makes no decision about well-formed requests.

use super::fastcgi;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, UnixTime};
use serde::{Deserialize, Serialize};

/// Maximum size of a request's body, in bytes. Bookings are small, and the node keeps each body until its
/// run.
pub const MAX_BODY_BYTES: usize = 2048;
/// Maximum size of all parameters of a request together, in bytes. Gateways send a few hundred bytes; the
/// rest of a request that exceeds the limit is not read.
const MAX_PARAMS_BYTES: usize = 16 * 1024;
/// Maximum number of bytes kept of a name-value pair that is split across records and is therefore copied. A
/// longer pair must lie in one record.
const MAX_SPLIT_PAIR_BYTES: usize = 4096;
/// Maximum length of the path, in bytes. The path of an attempt is a short prefix and the name of a class; a
/// longer path is that of no class, and is not kept.
const MAX_PATH_BYTES: usize = 1024;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 64;
/// Limit, in milliseconds, below which work hints and caller timeouts must be; about eleven days: no request
/// works, and no caller waits, that long.
const MAX_DURATION_MS: f64 = 1e9;
/// Limit, in kilobytes, below which the memory must be that a request states for its time in the queue: no
/// request takes that much.
const MAX_QUEUED_KB: f64 = 2000.0;

/// Names of the CGI variables that the node reads, as gateways send them.
mod cgi {
    pub(super) const METHOD: &[u8] = b"REQUEST_METHOD";
    pub(super) const PATH: &[u8] = b"SCRIPT_NAME";
    pub(super) const QUERY: &[u8] = b"QUERY_STRING";
    pub(super) const ATTEMPT_ID: &[u8] = b"HTTP_X_TXN";
    pub(super) const REPEAT_KEY: &[u8] = b"HTTP_X_TXN_KEY";
    pub(super) const INGRESS_TIME: &[u8] = b"HTTP_X_INGRESS_TIME";
    pub(super) const CALLER: &[u8] = b"HTTP_X_ROUTER";
    pub(super) const WORK_HINT: &[u8] = b"HTTP_X_CPU_HINT";
    pub(super) const QUEUED_KB: &[u8] = b"HTTP_X_WORKING_SET_KB";
    pub(super) const SHED_ORDER: &[u8] = b"HTTP_X_SHED_ORDER";
    pub(super) const CALLER_TIMEOUT: &[u8] = b"HTTP_X_TTL_MS";
    pub(super) const IS_RETRY: &[u8] = b"HTTP_X_SECOND_TRY";
    pub(super) const RESOURCE_KEY: &[u8] = b"HTTP_X_ROW";
}

/// Path of a health check.
const HEALTH_CHECK_PATH: &str = "/status/live";
/// Element of a health check's query string that requests a deep check.
const DEEP_CHECK_QUERY: &[u8] = b"engine=1";
/// Prefix of the path of an attempt; the name of the class follows it.
const CLASS_PATH_PREFIX: &str = "/svc/";

/// Why the node answers a request with a 4xx status: the request is invalid, or it conflicts with an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A parameter is missing or malformed. Contains the HTTP header that the parameter comes from, or a
    /// description of the malformed part.
    #[error("{0} is missing or malformed")]
    Malformed(&'static str),
    /// The path is neither that of health checks nor that of a class of the settings.
    #[error("the path is neither that of health checks nor that of a known class")]
    NotFound,
    /// The request is an attempt, and its method is not POST.
    #[error("the method is not POST")]
    MethodNotAllowed,
    /// The body, the parameters together or a split parameter exceed their maximum size.
    #[error("the body or the parameters exceed their maximum size")]
    TooLong,
    /// The request has the idempotency key of an earlier request, but another body.
    #[error("the idempotency key belongs to an earlier request with another body")]
    KeyConflict,
    /// The rest of the request did not arrive in time.
    #[error("the rest of the request did not come in time")]
    Incomplete,
}

impl RequestError {
    /// Status line of the answer to a request that failed with this error. It is never the status of a
    /// rejection (503), which would promise that the request never ran.
    pub fn status(self) -> &'static str {
        match self {
            RequestError::Malformed(_) => "400 Bad Request",
            RequestError::NotFound => "404 Not Found",
            RequestError::MethodNotAllowed => "405 Method Not Allowed",
            RequestError::TooLong => "413 Content Too Large",
            RequestError::KeyConflict => "409 Conflict",
            RequestError::Incomplete => "408 Request Timeout",
        }
    }
}

/// The parameters of a request that have been read so far. Serialised with an incomplete request in a
/// hand-over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Params {
    #[serde(rename = "method_post")]
    is_post: bool,
    path: String,
    #[serde(rename = "deep")]
    is_deep_check: bool,
    #[serde(rename = "txn")]
    attempt_id: Option<RequestId>,
    ingress: Option<UnixTime>,
    #[serde(rename = "router")]
    caller: u64,
    #[serde(rename = "hint")]
    work_hint: Option<Micros>,
    #[serde(rename = "held_kb")]
    queued_kb: Option<f64>,
    #[serde(rename = "rank")]
    shed_order: Option<f64>,
    repeat_key: Option<String>,
    #[serde(rename = "patience")]
    caller_timeout: Option<Micros>,
    #[serde(rename = "again")]
    is_retry: bool,
    #[serde(rename = "row")]
    resource_key: Option<u64>,
}

/// A complete and valid request.
#[derive(Debug, PartialEq)]
pub enum ParsedRequest {
    /// A health check, which asks whether this node is in service. `true` for a deep check, which also asks
    /// for proof that work gets done.
    HealthCheck(bool),
    /// An attempt, with its parameters.
    Attempt(Box<AttemptParams>),
}

/// The checked parameters of an attempt.
#[derive(Debug, PartialEq)]
pub struct AttemptParams {
    /// Id of the attempt.
    pub id: RequestId,
    /// Index of the attempt's class in the engine's settings.
    pub class: usize,
    /// Unix time at which the attempt reached the machine, as the gateway states it.
    pub ingress: UnixTime,
    /// Number of the gateway that sent the attempt; 0 if the gateway does not state it.
    pub caller: u64,
    /// Expected work on one core; `None` if the gateway states none, or 0.
    pub work_hint: Option<Micros>,
    /// Memory that the attempt takes while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Position in the shedding order, from 0 to below 1; 0 if the gateway does not state it.
    pub shed_order: f64,
    /// Idempotency key; always there for a keyed class, never for another.
    pub repeat_key: Option<String>,
    /// How long the gateway waits for the answer, counted from `ingress`; `None` if the gateway does not
    /// state it.
    pub caller_timeout: Option<Micros>,
    /// Whether the gateway marked the attempt as a retry or a second copy.
    pub is_retry: bool,
    /// Key of the resource that a read is about; `None` if the gateway does not state it, or for a keyed
    /// class.
    pub resource_key: Option<u64>,
}

/// A request of which not all records have been read. Serialised in a hand-over, whose format includes the
/// names and the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IncomingRequest {
    params: Params,
    /// The start of a name-value pair whose rest comes in the next record.
    #[serde(rename = "carry")]
    partial_pair: Vec<u8>,
    #[serde(rename = "params_size")]
    params_bytes: usize,
    params_ended: bool,
    body: Vec<u8>,
    /// The first error found in the request. Not part of a hand-over: the request is answered as soon as the
    /// record that shows the error has been read, so that no request with an error is left between two
    /// records.
    #[serde(skip)]
    #[serde(rename = "fault")]
    error: Option<RequestError>,
}

/// Parses a request id of sixteen hexadecimal digits. The ASCII digits themselves are the id, so that upper
/// and lower case differ, and answers spell the id as the request did. Returns `None` for any other text.
pub fn parse_request_id(text: &[u8]) -> Option<RequestId> {
    let digits: [u8; 16] = text.try_into().ok()?;
    digits.iter().all(u8::is_ascii_hexdigit).then(|| RequestId(u128::from_be_bytes(digits)))
}

/// Returns the sixteen hexadecimal digits of an id, spelled as in the request.
pub fn format_request_id(id: RequestId) -> String {
    String::from_utf8_lossy(&id.0.to_be_bytes()).into_owned()
}

/// Parses a decimal number from `min` to below `limit`.
fn parse_number(value: &[u8], min: f64, limit: f64) -> Option<f64> {
    let number: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    (min..limit).contains(&number).then_some(number)
}

/// Parses the key of the resource that a read is about: sixteen hexadecimal digits.
fn parse_resource_key(value: &[u8]) -> Option<u64> {
    parse_request_id(value)?;
    u64::from_str_radix(std::str::from_utf8(value).ok()?, 16).ok()
}

/// Parses a path of at most [`MAX_PATH_BYTES`].
fn parse_path(value: &[u8]) -> Option<String> {
    let path = std::str::from_utf8(value).ok()?;
    (path.len() <= MAX_PATH_BYTES).then(|| path.to_string())
}

/// Parses a non-negative integer.
fn parse_integer(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Parses an idempotency key: visible ASCII characters, at least 1 and at most [`MAX_KEY_BYTES`] of them.
fn parse_repeat_key(value: &[u8]) -> Option<String> {
    let key = std::str::from_utf8(value).ok()?;
    let length_fits = (1..=MAX_KEY_BYTES).contains(&key.len());
    let is_valid = length_fits && key.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then(|| key.to_string())
}

impl Params {
    /// Parses one parameter and keeps its value. Parameters that the node does not read are ignored.
    fn apply(&mut self, name: &[u8], value: &[u8]) -> Result<(), RequestError> {
        let malformed = RequestError::Malformed;
        match name {
            cgi::METHOD => self.is_post = value == b"POST",
            cgi::PATH => self.path = parse_path(value).ok_or(RequestError::NotFound)?,
            cgi::QUERY => {
                self.is_deep_check = value.split(|byte| *byte == b'&').any(|part| part == DEEP_CHECK_QUERY);
            }
            cgi::ATTEMPT_ID => {
                self.attempt_id = Some(parse_request_id(value).ok_or(malformed("X-Txn"))?);
            }
            cgi::REPEAT_KEY => {
                self.repeat_key = parse_repeat_key(value);
                if self.repeat_key.is_none() {
                    return Err(malformed("X-Txn-Key"));
                }
            }
            cgi::INGRESS_TIME => {
                let unix_ms = parse_integer(value).ok_or(malformed("X-Ingress-Time"))?;
                self.ingress = Some(UnixTime::millis(unix_ms));
            }
            cgi::CALLER => self.caller = parse_integer(value).ok_or(malformed("X-Router"))?,
            cgi::WORK_HINT => {
                let ms = parse_number(value, 0.0, MAX_DURATION_MS).ok_or(malformed("X-Cpu-Hint"))?;
                self.work_hint = Some(Micros((ms * 1e3) as u64)).filter(|hint| hint.0 > 0);
            }
            cgi::QUEUED_KB => {
                let kb = parse_number(value, 0.0, MAX_QUEUED_KB).ok_or(malformed("X-Working-Set-Kb"))?;
                self.queued_kb = Some(kb);
            }
            cgi::SHED_ORDER => {
                self.shed_order = Some(parse_number(value, 0.0, 1.0).ok_or(malformed("X-Shed-Order"))?);
            }
            cgi::CALLER_TIMEOUT => {
                let ms = parse_number(value, 0.0, MAX_DURATION_MS).ok_or(malformed("X-Ttl-Ms"))?;
                self.caller_timeout = Some(Micros((ms * 1e3) as u64));
            }
            cgi::IS_RETRY => {
                self.is_retry = match value {
                    b"1" => true,
                    b"0" => false,
                    _ => return Err(malformed("X-Second-Try")),
                };
            }
            cgi::RESOURCE_KEY => {
                self.resource_key = Some(parse_resource_key(value).ok_or(malformed("X-Row"))?);
            }
            _ => {}
        }
        Ok(())
    }

    /// Turns the parameters into a request, once all of them have been read. `class_of` returns the index of
    /// the class with a name; `keyed` tells for each index whether the class is keyed.
    fn finish(
        self,
        class_of: impl Fn(&str) -> Option<usize>,
        keyed: &[bool],
    ) -> Result<ParsedRequest, RequestError> {
        if self.path == HEALTH_CHECK_PATH {
            return Ok(ParsedRequest::HealthCheck(self.is_deep_check));
        }
        let class = self.path.strip_prefix(CLASS_PATH_PREFIX).and_then(class_of);
        let class = class.ok_or(RequestError::NotFound)?;
        if !self.is_post {
            return Err(RequestError::MethodNotAllowed);
        }
        let missing = RequestError::Malformed;
        let needs_key = keyed.get(class).copied().unwrap_or(false);
        if needs_key && self.repeat_key.is_none() {
            return Err(missing("X-Txn-Key"));
        }
        Ok(ParsedRequest::Attempt(Box::new(AttemptParams {
            id: self.attempt_id.ok_or(missing("X-Txn"))?,
            class,
            ingress: self.ingress.ok_or(missing("X-Ingress-Time"))?,
            caller: self.caller,
            work_hint: self.work_hint,
            queued_kb: self.queued_kb.ok_or(missing("X-Working-Set-Kb"))?,
            shed_order: self.shed_order.unwrap_or(0.0),
            repeat_key: self.repeat_key.filter(|_| needs_key),
            caller_timeout: self.caller_timeout,
            is_retry: self.is_retry,
            resource_key: self.resource_key.filter(|_| !needs_key),
        })))
    }
}

impl IncomingRequest {
    /// Bytes of memory that the request takes.
    pub fn memory_bytes(&self) -> usize {
        let key_bytes = self.params.repeat_key.as_ref().map_or(0, String::capacity);
        let buffer_bytes = self.partial_pair.capacity() + self.body.capacity();
        size_of::<IncomingRequest>() + self.params.path.capacity() + key_bytes + buffer_bytes
    }

    /// Adds the content of a PARAMS record. An empty content ends the parameters.
    pub fn params(&mut self, content: &[u8]) {
        self.params_bytes += content.len();
        if content.is_empty() {
            if !self.partial_pair.is_empty() {
                self.fail(RequestError::Malformed("the rest of the last parameter"));
            }
            self.partial_pair = Vec::new();
            self.params_ended = true;
        } else if self.params_ended {
            self.fail(RequestError::Malformed("a PARAMS record after the end of the parameters"));
        } else if self.partial_pair.is_empty() {
            self.partial_pair = self.apply_pairs(content).to_vec();
        } else {
            let mut joined = std::mem::take(&mut self.partial_pair);
            joined.extend(content);
            self.partial_pair = self.apply_pairs(&joined).to_vec();
        }
        if self.partial_pair.len() > MAX_SPLIT_PAIR_BYTES || self.params_bytes > MAX_PARAMS_BYTES {
            self.fail(RequestError::TooLong);
        }
        if self.error.is_some() {
            self.partial_pair = Vec::new();
        }
    }

    /// Applies the complete name-value pairs at the start of `buffer`, and returns the bytes after them.
    fn apply_pairs<'a>(&mut self, buffer: &'a [u8]) -> &'a [u8] {
        let mut rest = buffer;
        while let Some(pair) = fastcgi::parse_pair(rest) {
            rest = pair.rest;
            if let Err(error) = self.params.apply(pair.name, pair.value) {
                self.fail(error);
            }
        }
        rest
    }

    /// Adds the content of a STDIN record if `stdin` is true, and of a PARAMS record otherwise. Returns
    /// whether the record ends the request.
    pub fn take(&mut self, stdin: bool, content: &[u8]) -> bool {
        if stdin {
            return self.stdin(content);
        }
        self.params(content);
        false
    }

    /// Adds the content of a STDIN record. Returns whether the record ends the request, which an empty one
    /// does.
    pub fn stdin(&mut self, content: &[u8]) -> bool {
        if self.body.len() + content.len() > MAX_BODY_BYTES {
            self.fail(RequestError::TooLong);
        } else {
            self.body.extend(content);
        }
        content.is_empty()
    }

    /// The first error found in the records read so far. A request with an error is answered without waiting
    /// for the rest of it.
    pub fn error(&self) -> Option<RequestError> {
        self.error
    }

    fn fail(&mut self, error: RequestError) {
        self.error.get_or_insert(error);
    }

    /// Returns the complete request and its body. `class_of` returns the index of the class with a name;
    /// `keyed` tells for each index whether the class is keyed.
    ///
    /// # Errors
    /// The first error that was found while the records were read, or else an error of the parameters: one is
    /// missing, the path is unknown, or the method is not POST. The request is answered with
    /// [`RequestError::status`] and never reaches the engine.
    pub fn finish(
        self,
        class_of: impl Fn(&str) -> Option<usize>,
        keyed: &[bool],
    ) -> Result<(ParsedRequest, Vec<u8>), RequestError> {
        match self.error {
            Some(error) => Err(error),
            None if !self.params_ended => Err(RequestError::Malformed("the end of the parameters")),
            None => Ok((self.params.finish(class_of, keyed)?, self.body)),
        }
    }
}
