//! A request as its records come in: CGI parameters, then the body.
//!
//! The one place where the gateways' CGI variables become the engine's terms. Parameters are parsed in place as far as each pair
//! lies in one record. Everything is bounded; what is missing, malformed or too long fails that request with a 4xx status, at
//! once where the rest need not be waited for. It decides nothing about a request that is well-formed.

use super::fastcgi;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, UnixTime};
use serde::{Deserialize, Serialize};

/// Most bytes of a body: bookings are small, and each body is kept until its run.
pub const MAX_BODY_BYTES: usize = 2048;
/// Most bytes of all parameters. Gateways send a few hundred; the rest of a request beyond this is not read.
const MAX_PARAMS_BYTES: usize = 16 * 1024;
/// Most bytes of a name-value pair that lies across records, and has to be copied; longer ones must come in one record.
const MAX_SPLIT_PAIR_BYTES: usize = 4096;
/// Most bytes of an idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// No caller waits, and no request works, for as long as this, in milliseconds: some eleven days.
const MAX_DURATION_MS: f64 = 1e9;
/// No request takes as much memory as this while it is queued, in kilobytes.
const MAX_QUEUED_KB: f64 = 2000.0;

/// The CGI variables that matter here, as gateways name them.
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

/// The path of health checks.
const HEALTH_CHECK_PATH: &str = "/status/live";
/// The part of a health check's query that asks for a deep one.
const DEEP_CHECK_QUERY: &[u8] = b"engine=1";
/// What comes before the class in the path of an attempt.
const CLASS_PATH_PREFIX: &str = "/svc/";

/// Why a request fails before the engine decides on it, or as it turns out to contradict an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A parameter is missing or cannot be read; the header that it came from, or what is wrong.
    #[error("{0} is missing or malformed")]
    Malformed(&'static str),
    /// No such path or class.
    #[error("no such path or class")]
    NotFound,
    /// The method is not POST.
    #[error("the method is not POST")]
    MethodNotAllowed,
    /// The body or a parameter is too long.
    #[error("the body or the parameters are too long")]
    TooLong,
    /// Its idempotency key is that of a request with another body.
    #[error("the idempotency key is that of a request with another body")]
    KeyConflict,
    /// The rest of it does not come.
    #[error("the rest of the request did not come in time")]
    Incomplete,
}

impl RequestError {
    /// The CGI status of the answer. None of them is that of a rejection, which would promise that the request never ran.
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

/// The parameters that have come so far. Serialised with an incomplete request in a hand-over.
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

/// What a complete request asks for.
#[derive(Debug, PartialEq)]
pub enum ParsedRequest {
    /// Whether this node is in service; `true` if it is to show that work gets done.
    HealthCheck(bool),
    /// An attempt of a request.
    Attempt(Box<AttemptParams>),
}

/// The checked parameters of an attempt.
#[derive(Debug, PartialEq)]
pub struct AttemptParams {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// When it reached the machine, in Unix time.
    pub ingress: UnixTime,
    /// The number of the gateway it came through.
    pub caller: u64,
    /// Expected work.
    pub work_hint: Option<Micros>,
    /// Memory that it takes while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Its place in the order of shedding, from 0 to under 1.
    pub shed_order: f64,
    /// For keyed classes: the key.
    pub repeat_key: Option<String>,
    /// How long its gateway waits, counted from `ingress`, where it says so.
    pub caller_timeout: Option<Micros>,
    /// Whether it is marked as a retry or a second copy.
    pub is_retry: bool,
    /// What a read is about, where it says so.
    pub resource_key: Option<u64>,
}

/// A request of which not all records have come. Passed on in a hand-over: names and order of the fields are its bytes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IncomingRequest {
    params: Params,
    /// The start of a pair whose rest lies in the next record.
    #[serde(rename = "carry")]
    partial_pair: Vec<u8>,
    #[serde(rename = "params_size")]
    params_bytes: usize,
    params_ended: bool,
    body: Vec<u8>,
    /// What is wrong with it. Answered with the record that shows it, so that none is there between two records.
    #[serde(skip)]
    #[serde(rename = "fault")]
    error: Option<RequestError>,
}

/// The id that these sixteen hexadecimal digits spell. The digits themselves are the id, so that upper and lower case differ
/// and answers spell it as it came.
pub fn parse_request_id(text: &[u8]) -> Option<RequestId> {
    let digits: [u8; 16] = text.try_into().ok()?;
    digits.iter().all(u8::is_ascii_hexdigit).then(|| RequestId(u128::from_be_bytes(digits)))
}

/// The sixteen digits of an id.
pub fn format_request_id(id: RequestId) -> String {
    String::from_utf8_lossy(&id.0.to_be_bytes()).into_owned()
}

/// A decimal number from `min` to under `limit`.
fn parse_number(value: &[u8], min: f64, limit: f64) -> Option<f64> {
    let number: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    (min..limit).contains(&number).then_some(number)
}

/// What a read is about: sixteen hexadecimal digits.
fn parse_resource_key(value: &[u8]) -> Option<u64> {
    parse_request_id(value)?;
    u64::from_str_radix(std::str::from_utf8(value).ok()?, 16).ok()
}

/// A whole number.
fn parse_integer(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// An idempotency key: visible ASCII, not empty, not too long.
fn parse_repeat_key(value: &[u8]) -> Option<String> {
    let key = std::str::from_utf8(value).ok()?;
    let length_fits = (1..=MAX_KEY_BYTES).contains(&key.len());
    let sound = length_fits && key.bytes().all(|byte| byte.is_ascii_graphic());
    sound.then(|| key.to_string())
}

impl Params {
    /// Takes in one parameter; those that do not matter here are passed over.
    fn apply(&mut self, name: &[u8], value: &[u8]) -> Result<(), RequestError> {
        let malformed = RequestError::Malformed;
        match name {
            cgi::METHOD => self.is_post = value == b"POST",
            cgi::PATH => self.path = String::from_utf8(value.to_vec()).or(Err(RequestError::NotFound))?,
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

    /// What the parameters ask for once all are there. `class_of` finds the slot of a class, `keyed` says which are keyed.
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
    /// The content of a PARAMS record; an empty one ends the parameters.
    pub fn params(&mut self, content: &[u8]) {
        self.params_bytes += content.len();
        if content.is_empty() {
            if !self.partial_pair.is_empty() {
                self.fail(RequestError::Malformed("a parameter cut short"));
            }
            self.partial_pair = Vec::new();
            self.params_ended = true;
        } else if self.params_ended {
            self.fail(RequestError::Malformed("parameters after their end"));
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

    /// Takes in the complete pairs of `buffer`; returns what is left.
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

    /// The content of a STDIN record, or else of a PARAMS record; returns true if it ends the request.
    pub fn take(&mut self, stdin: bool, content: &[u8]) -> bool {
        if stdin {
            return self.stdin(content);
        }
        self.params(content);
        false
    }

    /// The content of a STDIN record; returns true if it ends the request.
    pub fn stdin(&mut self, content: &[u8]) -> bool {
        if self.body.len() + content.len() > MAX_BODY_BYTES {
            self.fail(RequestError::TooLong);
        } else {
            self.body.extend(content);
        }
        content.is_empty()
    }

    /// What is wrong with it so far: it is answered without waiting for its end.
    pub fn error(&self) -> Option<RequestError> {
        self.error
    }

    fn fail(&mut self, error: RequestError) {
        self.error.get_or_insert(error);
    }

    /// What the complete request asks for, and its body; `class_of` finds the slot of a class, `keyed` says which are keyed.
    ///
    /// # Errors
    /// The error that was found while the request was read, or one of its parameters: missing, malformed, or
    /// naming no known path or class. The request is answered with [`RequestError::status`] and never reaches
    /// the engine.
    pub fn finish(
        self,
        class_of: impl Fn(&str) -> Option<usize>,
        keyed: &[bool],
    ) -> Result<(ParsedRequest, Vec<u8>), RequestError> {
        match self.error {
            Some(error) => Err(error),
            None if !self.params_ended => Err(RequestError::Malformed("parameters without an end")),
            None => Ok((self.params.finish(class_of, keyed)?, self.body)),
        }
    }
}
