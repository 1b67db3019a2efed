//! JSON messages of the etcd v3 gateway, as far as they are used. Fields that have their default
//! are absent in responses.

use crate::store::{
    Change, Compare, Key, KeyValue, LeaseId, Listing, Op, Outcome, Put, Range, Revision, Test, Txn,
};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// A 64-bit number, serialised as text.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Int(pub(super) u64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        text.parse().map(Int).map_err(D::Error::custom)
    }
}

/// Bytes, serialised in base64.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Blob(pub(super) Bytes);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text.as_bytes()).map_err(D::Error::custom)?;
        Ok(Blob(bytes.into()))
    }
}

impl From<&Key> for Blob {
    fn from(key: &Key) -> Blob {
        Blob(Bytes::copy_from_slice(key.0.as_bytes()))
    }
}

impl TryFrom<Blob> for Key {
    type Error = crate::Error;

    fn try_from(blob: Blob) -> Result<Key, crate::Error> {
        std::str::from_utf8(&blob.0).map(Key::from).map_err(|_| crate::Error::Malformed)
    }
}

/// Returns the first key after all keys with the prefix; empty for a single key.
fn range_end(range: &Range) -> Blob {
    let Range::Prefix(prefix) = range else { return Blob::default() };
    let mut end = prefix.0.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        // UTF-8 has no byte 0xff, so this does not overflow.
        *last += 1;
    }
    Blob(end.into())
}

fn start(range: &Range) -> Blob {
    match range {
        Range::Key(key) | Range::Prefix(key) => key.into(),
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    pub(super) revision: Int,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Record {
    key: Blob,
    value: Blob,
    create_revision: Int,
    pub(super) mod_revision: Int,
    lease: Int,
}

impl TryFrom<Record> for KeyValue {
    type Error = crate::Error;

    fn try_from(record: Record) -> Result<KeyValue, crate::Error> {
        Ok(KeyValue {
            key: record.key.try_into()?,
            value: record.value.0,
            create_revision: Revision(record.create_revision.0),
            mod_revision: Revision(record.mod_revision.0),
            lease: (record.lease.0 != 0).then_some(LeaseId(record.lease.0)),
        })
    }
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct RangeRequest {
    key: Blob,
    range_end: Blob,
    serializable: bool,
    keys_only: bool,
}

impl RangeRequest {
    pub(super) fn new(range: &Range, serializable: bool) -> RangeRequest {
        let (key, range_end) = (start(range), range_end(range));
        RangeRequest { key, range_end, serializable, keys_only: false }
    }

    pub(super) fn without_values(self) -> RangeRequest {
        RangeRequest { keys_only: true, ..self }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    header: Header,
    kvs: Vec<Record>,
}

impl TryFrom<RangeResponse> for Listing {
    type Error = crate::Error;

    fn try_from(response: RangeResponse) -> Result<Listing, crate::Error> {
        let values = response.kvs.into_iter().map(KeyValue::try_from).collect::<Result<_, _>>()?;
        Ok(Listing { revision: Revision(response.header.revision.0), values })
    }
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct PutRequest {
    key: Blob,
    value: Blob,
    lease: Int,
}

impl From<Put> for PutRequest {
    fn from(put: Put) -> PutRequest {
        PutRequest {
            key: (&put.key).into(),
            value: Blob(put.value),
            lease: Int(put.lease.map_or(0, |lease| lease.0)),
        }
    }
}

/// Response of which only the header is used.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct HeaderResponse {
    pub(super) header: Header,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct DeleteRequest {
    key: Blob,
    range_end: Blob,
}

impl From<&Range> for DeleteRequest {
    fn from(range: &Range) -> DeleteRequest {
        DeleteRequest { key: start(range), range_end: range_end(range) }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct DeleteResponse {
    pub(super) deleted: Int,
}

#[derive(Clone, Debug, Serialize)]
#[serde(tag = "target", rename_all = "UPPERCASE")]
enum Target {
    Mod { mod_revision: Int },
    Create { create_revision: Int },
    Value { value: Blob },
}

#[derive(Clone, Debug, Serialize)]
struct CompareRequest {
    key: Blob,
    result: &'static str,
    #[serde(flatten)]
    target: Target,
}

impl From<Compare> for CompareRequest {
    fn from(compare: Compare) -> CompareRequest {
        let target = match compare.test {
            Test::Modified(revision) => Target::Mod { mod_revision: Int(revision.0) },
            Test::Created(revision) => Target::Create { create_revision: Int(revision.0) },
            Test::Value(value) => Target::Value { value: Blob(value) },
        };
        CompareRequest { key: (&compare.key).into(), result: "EQUAL", target }
    }
}

#[derive(Clone, Debug, Serialize)]
enum RequestOp {
    #[serde(rename = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "requestDeleteRange")]
    Delete(DeleteRequest),
}

impl From<Op> for RequestOp {
    fn from(op: Op) -> RequestOp {
        match op {
            Op::Get(range) => RequestOp::Range(RangeRequest::new(&range, false)),
            Op::Put(put) => RequestOp::Put(put.into()),
            Op::Delete(range) => RequestOp::Delete((&range).into()),
        }
    }
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<RequestOp>,
    failure: Vec<RequestOp>,
}

impl From<Txn> for TxnRequest {
    fn from(txn: Txn) -> TxnRequest {
        TxnRequest {
            compare: txn.compares.into_iter().map(CompareRequest::from).collect(),
            success: txn.success.into_iter().map(RequestOp::from).collect(),
            failure: txn.failure.into_iter().map(RequestOp::from).collect(),
        }
    }
}

/// Result of one operation; only those of reads are used.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct ResponseOp {
    #[serde(alias = "responseRange")]
    response_range: Option<RangeResponse>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    header: Header,
    succeeded: bool,
    responses: Vec<ResponseOp>,
}

impl TryFrom<TxnResponse> for Outcome {
    type Error = crate::Error;

    fn try_from(response: TxnResponse) -> Result<Outcome, crate::Error> {
        let listings = response.responses.into_iter().filter_map(|op| op.response_range);
        Ok(Outcome {
            succeeded: response.succeeded,
            revision: Revision(response.header.revision.0),
            listings: listings.map(Listing::try_from).collect::<Result<_, _>>()?,
        })
    }
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(super) ttl: Int,
    #[serde(rename = "ID")]
    pub(super) id: Int,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: Int,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "TTL")]
    pub(super) ttl: Int,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Clone, Debug, Serialize)]
struct WatchCreate {
    key: Blob,
    range_end: Blob,
    start_revision: Int,
}

impl WatchRequest {
    pub(super) fn new(range: &Range, from: Revision) -> WatchRequest {
        let start_revision = Int(from.0);
        let create_request =
            WatchCreate { key: start(range), range_end: range_end(range), start_revision };
        WatchRequest { create_request }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    #[serde(rename = "type")]
    kind: EventKind,
    pub(super) kv: Record,
}

impl TryFrom<Event> for Change {
    type Error = crate::Error;

    fn try_from(event: Event) -> Result<Change, crate::Error> {
        match event.kind {
            EventKind::Put => event.kv.try_into().map(Change::Put),
            EventKind::Delete => event.kv.key.try_into().map(Change::Delete),
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) created: bool,
    pub(super) canceled: bool,
    pub(super) compact_revision: Int,
    pub(super) events: Vec<Event>,
}

/// One message of a stream.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Streamed<T> {
    Result(T),
    Error(StreamError),
}

/// Error message in a stream.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct StreamError {
    #[serde(alias = "code")]
    pub(super) grpc_code: u64,
}

/// Body of an error response.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Refusal {
    pub(super) code: u64,
}
