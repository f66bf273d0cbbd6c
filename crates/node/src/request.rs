//! A request as its records come in: parameters, then the body.

use super::fastcgi;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Micros;
use serde::{Deserialize, Serialize};

/// Longest body.
pub const MOST_BODY: usize = 2048;
/// Most bytes of parameters.
const MOST_PARAMS: usize = 16 * 1024;
/// No patience is as long as this, in milliseconds: some eleven days.
const MOST_TTL: f64 = 1e9;
/// Longest name-value pair that may lie across records; longer ones must come in one piece.
const MOST_PAIR: usize = 4096;

/// Why a request is failed before anything is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A parameter is missing or cannot be read.
    Malformed(&'static str),
    /// No such path or class.
    NotFound,
    /// The method is not POST.
    Method,
    /// The body or a parameter is too long.
    TooLong,
    /// The key of a request with another body.
    Conflict,
    /// The rest of it does not come.
    Unfinished,
}

impl Fault {
    /// The CGI status that tells of it; none of them says 'refused'.
    pub fn status(self) -> &'static str {
        match self {
            Fault::Malformed(_) => "400 Bad Request",
            Fault::NotFound => "404 Not Found",
            Fault::Method => "405 Method Not Allowed",
            Fault::TooLong => "413 Content Too Large",
            Fault::Conflict => "409 Conflict",
            Fault::Unfinished => "408 Request Timeout",
        }
    }
}

/// The parameters that matter here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Params {
    method_post: bool,
    path: String,
    deep: bool,
    txn: Option<RequestId>,
    ingress: Option<Micros>,
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

/// What a whole request asks for.
#[derive(Debug, PartialEq)]
pub enum Asked {
    /// Whether this node is well; `true` if it is to show that work gets done.
    Check(bool),
    /// A try of a request.
    Attempt(Box<AttemptParams>),
}

/// The checked parameters of a try.
#[derive(Debug, PartialEq)]
pub struct AttemptParams {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// When it reached the machine, in Unix time.
    pub ingress: Micros,
    /// The number of its gateway.
    pub caller: u64,
    /// Expected work.
    pub work_hint: Option<Micros>,
    /// Memory while held.
    pub queued_kb: f64,
    /// Its rank.
    pub shed_order: f64,
    /// For keyed classes: the key.
    pub repeat_key: Option<String>,
    /// How long its gateway waits, counted from `ingress`, where that is told.
    pub caller_timeout: Option<Micros>,
    /// Whether it is marked as a further try or a second copy.
    pub is_retry: bool,
    /// What a read is about, where that is told.
    pub resource_key: Option<u64>,
}

/// A request of which not all records have come.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Incoming {
    params: Params,
    /// The start of a pair whose rest lies in the next record.
    #[serde(rename = "carry")]
    snapshot: Vec<u8>,
    params_size: usize,
    params_ended: bool,
    body: Vec<u8>,
    /// Told at once, so that none is there between two records.
    #[serde(skip)]
    fault: Option<Fault>,
}

/// The id whose sixteen hexadecimal digits these are; it keeps them as they are spelled.
pub fn id_of(text: &[u8]) -> Option<RequestId> {
    let digits: [u8; 16] = text.try_into().ok()?;
    digits.iter().all(u8::is_ascii_hexdigit).then(|| RequestId(u128::from_be_bytes(digits)))
}

/// The digits of an id.
pub fn id_text(id: RequestId) -> String {
    String::from_utf8_lossy(&id.0.to_be_bytes()).into_owned()
}

fn number(value: &[u8], least: f64, below: f64) -> Option<f64> {
    let x: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    (least..below).contains(&x).then_some(x)
}

/// The subject of a read, sixteen hexadecimal digits.
fn resource_key(value: &[u8]) -> Option<u64> {
    id_of(value)?;
    u64::from_str_radix(std::str::from_utf8(value).ok()?, 16).ok()
}

fn whole(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

impl Params {
    fn take(&mut self, name: &[u8], value: &[u8]) -> Result<(), Fault> {
        let bad = |what| Fault::Malformed(what);
        match name {
            b"REQUEST_METHOD" => self.method_post = value == b"POST",
            b"SCRIPT_NAME" => self.path = String::from_utf8(value.to_vec()).or(Err(Fault::NotFound))?,
            b"QUERY_STRING" => self.deep = value.split(|b| *b == b'&').any(|q| q == b"engine=1"),
            b"HTTP_X_TXN" => self.txn = Some(id_of(value).ok_or(bad("X-Txn"))?),
            b"HTTP_X_INGRESS_TIME" => {
                self.ingress = Some(Micros::millis(whole(value).ok_or(bad("X-Ingress-Time"))?));
            }
            b"HTTP_X_ROUTER" => self.caller = whole(value).ok_or(bad("X-Router"))?,
            b"HTTP_X_CPU_HINT" => {
                let ms = number(value, 0.0, 1e9).ok_or(bad("X-Cpu-Hint"))?;
                self.work_hint = Some(Micros((ms * 1e3) as u64)).filter(|h| h.0 > 0);
            }
            b"HTTP_X_WORKING_SET_KB" => {
                self.queued_kb = Some(number(value, 0.0, 2000.0).ok_or(bad("X-Working-Set-Kb"))?);
            }
            b"HTTP_X_SHED_ORDER" => {
                self.shed_order = Some(number(value, 0.0, 1.0).ok_or(bad("X-Shed-Order"))?);
            }
            b"HTTP_X_TTL_MS" => {
                let ms = number(value, 0.0, MOST_TTL).ok_or(bad("X-Ttl-Ms"))?;
                self.caller_timeout = Some(Micros((ms * 1e3) as u64));
            }
            b"HTTP_X_SECOND_TRY" => {
                self.is_retry = match value {
                    b"1" => true,
                    b"0" => false,
                    _ => return Err(bad("X-Second-Try")),
                };
            }
            b"HTTP_X_ROW" => self.resource_key = Some(resource_key(value).ok_or(bad("X-Row"))?),
            b"HTTP_X_TXN_KEY" => {
                let key = std::str::from_utf8(value).or(Err(bad("X-Txn-Key")))?;
                let sound = !key.is_empty() && key.len() <= 64 && key.bytes().all(|b| b.is_ascii_graphic());
                self.repeat_key = Some(key.to_string()).filter(|_| sound);
                return self.repeat_key.as_ref().map(|_| ()).ok_or(bad("X-Txn-Key"));
            }
            _ => {}
        }
        Ok(())
    }

    fn asked(self, class_of: impl Fn(&str) -> Option<usize>, keyed: &[bool]) -> Result<Asked, Fault> {
        if self.path == "/status/live" {
            return Ok(Asked::Check(self.deep));
        }
        let class = self.path.strip_prefix("/svc/").and_then(class_of);
        let class = class.ok_or(Fault::NotFound)?;
        if !self.method_post {
            return Err(Fault::Method);
        }
        let missing = Fault::Malformed;
        let needs_key = keyed.get(class).copied().unwrap_or(false);
        if needs_key && self.repeat_key.is_none() {
            return Err(missing("X-Txn-Key"));
        }
        Ok(Asked::Attempt(Box::new(AttemptParams {
            id: self.txn.ok_or(missing("X-Txn"))?,
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

impl Incoming {
    /// The content of a PARAMS record; an empty one ends the parameters.
    pub fn params(&mut self, content: &[u8]) {
        self.params_size += content.len();
        if content.is_empty() {
            if !self.snapshot.is_empty() {
                self.fail(Fault::Malformed("a parameter cut short"));
            }
            self.snapshot = Vec::new();
            self.params_ended = true;
        } else if self.params_ended {
            self.fail(Fault::Malformed("parameters after their end"));
        } else if self.snapshot.is_empty() {
            self.snapshot = self.pairs(content).to_vec();
        } else {
            let mut joined = std::mem::take(&mut self.snapshot);
            joined.extend(content);
            self.snapshot = self.pairs(&joined).to_vec();
        }
        if self.snapshot.len() > MOST_PAIR || self.params_size > MOST_PARAMS {
            self.fail(Fault::TooLong);
        }
        if self.fault.is_some() {
            self.snapshot = Vec::new();
        }
    }

    /// Takes the whole pairs of `buf`; returns what is left.
    fn pairs<'a>(&mut self, buf: &'a [u8]) -> &'a [u8] {
        let mut rest = buf;
        while let Some((name, value, after)) = fastcgi::pair(rest) {
            rest = after;
            if let Err(fault) = self.params.take(name, value) {
                self.fail(fault);
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
        if self.body.len() + content.len() > MOST_BODY {
            self.fail(Fault::TooLong);
        } else {
            self.body.extend(content);
        }
        content.is_empty()
    }

    /// What is wrong with it so far: it is answered without waiting for its end.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    fn fail(&mut self, fault: Fault) {
        self.fault.get_or_insert(fault);
    }

    /// What the whole request asks for, and its body; `class_of` finds the slot of a class.
    pub fn finish(
        self,
        class_of: impl Fn(&str) -> Option<usize>,
        keyed: &[bool],
    ) -> Result<(Asked, Vec<u8>), Fault> {
        match self.fault {
            Some(fault) => Err(fault),
            None if !self.params_ended => Err(Fault::Malformed("parameters without an end")),
            None => Ok((self.params.asked(class_of, keyed)?, self.body)),
        }
    }
}
