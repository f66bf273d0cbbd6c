//! The open requests of a connection, and the references to them.
//!
//! A gateway chooses the FastCGI id of a request and may use it again once the request has ended. A reference
//! that outlives its request must then not lead to the later one. So each request also gets a serial number
//! when it begins, and [`RequestRef`], which only this module creates, contains both.

use super::{ConnectionId, OpenRequest};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;

/// Identifies a request on its connection, among all requests that the connection has ever had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    fcgi_id: u16,
    /// Position of the request among those of its connection; the first has number 1.
    serial: u64,
}

/// Size of a key of [`OpenRequests`], in bytes.
pub(super) const KEY_BYTES: usize = size_of::<RequestKey>();

/// Identifies a request of a gateway, while it is open and after it has ended: no other request ever has an
/// equal reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRef {
    /// The connection on which the request arrived.
    pub connection: ConnectionId,
    key: RequestKey,
}

impl RequestRef {
    /// The FastCGI request id, which the gateway has chosen; unique among the connection's open requests.
    pub fn fcgi_id(self) -> u16 {
        self.key.fcgi_id
    }

    /// A reference to a request of this connection that has ended.
    pub fn ended(connection: ConnectionId) -> Self {
        RequestRef { connection, key: RequestKey { fcgi_id: 0, serial: 0 } }
    }
}

/// The open requests of one connection. It is serialised as a map by FastCGI id: the serial numbers have a
/// meaning only within the process.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests {
    requests: BTreeMap<RequestKey, OpenRequest>,
    /// Serial number of the request that began last; 0 before the first.
    last_serial: u64,
}

impl OpenRequests {
    /// Adds a request that begins now.
    pub(super) fn begin(&mut self, fcgi_id: u16, request: OpenRequest) {
        self.last_serial += 1;
        self.requests.insert(RequestKey { fcgi_id, serial: self.last_serial }, request);
    }

    /// Puts a request back in its next state, after [`OpenRequests::take`].
    pub(super) fn put_back(&mut self, reference: RequestRef, request: OpenRequest) {
        self.requests.insert(reference.key, request);
    }

    /// Removes a request; none if it has ended.
    pub(super) fn take(&mut self, reference: RequestRef) -> Option<OpenRequest> {
        self.requests.remove(&reference.key)
    }

    /// Whether a request is open.
    pub(super) fn contains(&self, reference: RequestRef) -> bool {
        self.requests.contains_key(&reference.key)
    }

    /// The request that is open under this FastCGI id on the connection `connection`, which has these
    /// requests.
    pub(super) fn by_fcgi_id(
        &mut self,
        connection: ConnectionId,
        fcgi_id: u16,
    ) -> Option<(RequestRef, &mut OpenRequest)> {
        let all = RequestKey { fcgi_id, serial: 0 }..=RequestKey { fcgi_id, serial: u64::MAX };
        let (key, request) = self.requests.range_mut(all).next()?;
        Some((RequestRef { connection, key: *key }, request))
    }

    /// All requests, with their references.
    pub(super) fn iter(
        &self,
        connection: ConnectionId,
    ) -> impl Iterator<Item = (RequestRef, &OpenRequest)> + '_ {
        self.requests.iter().map(move |(key, request)| (RequestRef { connection, key: *key }, request))
    }

    /// All requests.
    pub(super) fn values(&self) -> impl Iterator<Item = &OpenRequest> + '_ {
        self.requests.values()
    }

    /// All requests, which are then no longer open.
    pub(super) fn into_values(self) -> impl Iterator<Item = OpenRequest> {
        self.requests.into_values()
    }

    /// Number of open requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

impl Serialize for OpenRequests {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.requests.iter().map(|(key, request)| (key.fcgi_id, request)))
    }
}

impl<'de> Deserialize<'de> for OpenRequests {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut requests = OpenRequests::default();
        for (fcgi_id, request) in BTreeMap::<u16, OpenRequest>::deserialize(deserializer)? {
            requests.begin(fcgi_id, request);
        }
        Ok(requests)
    }
}
