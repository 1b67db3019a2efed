//! JSON messages of the gateway, as in the published etcd v3 API. Fields with default
//! values are omitted from responses, as the gateway does.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// A 64-bit number. Serialized as a JSON string; read from a string or a number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Int(number)),
            Form::Text(text) => text.parse().map(Int).map_err(D::Error::custom),
        }
    }
}

/// Bytes, serialized in base64.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Blob).map_err(D::Error::custom)
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// The header of every response.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Header {
    /// The store's revision at the time of the response.
    pub revision: Int,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// Revision that created the key.
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Int,
    /// Revision of the last write.
    pub mod_revision: Int,
    /// Number of writes since the key was created.
    #[serde(skip_serializing_if = "is_default")]
    pub version: Int,
    /// The value.
    #[serde(skip_serializing_if = "is_default")]
    pub value: Blob,
    /// The lease that the key is attached to; 0 if none.
    #[serde(skip_serializing_if = "is_default")]
    pub lease: Int,
}

/// Reads a key, or the keys from `key` up to `range_end`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for a single key.
    pub range_end: Blob,
    /// Maximum number of values to return; unlimited if 0.
    pub limit: Int,
    /// Whether one member may respond without consensus. Ignored by the stand-in.
    pub serializable: bool,
    /// Whether values are omitted.
    pub keys_only: bool,
}

/// Response to [`RangeRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct RangeResponse {
    /// The response header.
    pub header: Header,
    /// The values, ordered by key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether values were omitted because of the limit.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// Number of values in the range, regardless of the limit.
    #[serde(skip_serializing_if = "is_default")]
    pub count: Int,
}

/// Writes a key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Lease to attach the key to; 0 for none.
    pub lease: Int,
}

/// Response to [`PutRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct PutResponse {
    /// The response header.
    pub header: Header,
}

/// Removes a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for a single key.
    pub range_end: Blob,
}

/// Response to [`DeleteRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct DeleteResponse {
    /// The response header.
    pub header: Header,
    /// Number of keys removed.
    #[serde(skip_serializing_if = "is_default")]
    pub deleted: Int,
}

/// The property of a key that a comparison uses.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Number of writes since the key was created.
    #[default]
    Version,
    /// Revision that created the key.
    Create,
    /// Revision of the last write.
    Mod,
    /// The value.
    Value,
}

/// The relation that a comparison requires.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The stored property equals the given one.
    #[default]
    Equal,
    /// The stored property is greater than the given one.
    Greater,
    /// The stored property is less than the given one.
    Less,
    /// The stored property differs from the given one.
    NotEqual,
}

/// A condition on one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The property that is compared.
    pub target: Target,
    /// The required relation.
    pub result: Relation,
    /// The key.
    pub key: Blob,
    /// Compared for [`Target::Version`].
    pub version: Int,
    /// Compared for [`Target::Create`].
    pub create_revision: Int,
    /// Compared for [`Target::Mod`].
    pub mod_revision: Int,
    /// Compared for [`Target::Value`].
    pub value: Blob,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// A read.
    #[serde(alias = "requestRange")]
    RequestRange(RangeRequest),
    /// A write.
    #[serde(alias = "requestPut")]
    RequestPut(PutRequest),
    /// A removal.
    #[serde(alias = "requestDeleteRange")]
    RequestDeleteRange(DeleteRequest),
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions that select `success` if all of them hold.
    pub compare: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations if a condition doesn't hold.
    pub failure: Vec<RequestOp>,
}

/// Result of one operation of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// The result of a read.
    ResponseRange(RangeResponse),
    /// The result of a write.
    ResponsePut(PutResponse),
    /// The result of a removal.
    ResponseDeleteRange(DeleteResponse),
}

/// Response to [`TxnRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct TxnResponse {
    /// The response header.
    pub header: Header,
    /// Whether all comparisons held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// The results, in the order of the operations.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Discards the history up to a revision.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct CompactRequest {
    /// The last revision to discard.
    pub revision: Int,
}

/// Grants a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct GrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int,
    /// Requested lease identifier; chosen by the store if 0.
    #[serde(rename = "ID")]
    pub id: Int,
}

/// Response to [`GrantRequest`] and to [`LeaseRequest`] of a keep-alive.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseResponse {
    /// The response header.
    pub header: Header,
    /// Identifier of the lease.
    #[serde(rename = "ID")]
    pub id: Int,
    /// Time to live, in seconds; 0 if the lease doesn't exist.
    #[serde(rename = "TTL", skip_serializing_if = "is_default")]
    pub ttl: Int,
}

/// Keeps a lease alive or revokes it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Identifier of the lease.
    #[serde(rename = "ID")]
    pub id: Int,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The keys to watch.
    pub create_request: WatchCreate,
}

/// The range and the first revision of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for a single key.
    pub range_end: Blob,
    /// First revision to report; the next one if 0.
    pub start_revision: Int,
}

/// Kind of an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// A key was written.
    #[default]
    Put,
    /// A key was removed.
    Delete,
}

/// A change of one key.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Whether the key was written or removed.
    #[serde(rename = "type", skip_serializing_if = "is_default")]
    pub kind: EventKind,
    /// The key and, when written, its value.
    pub kv: KeyValue,
}

/// One message of a watch.
#[derive(Clone, Debug, Serialize)]
pub struct WatchResponse {
    /// The response header.
    pub header: Header,
    /// True in the first message.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// True if the watch has ended.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// The last discarded revision, if the watch started at a discarded one.
    #[serde(skip_serializing_if = "is_default")]
    pub compact_revision: Int,
    /// Changes, ordered by revision.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// Wraps each message of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// The body of an error response.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// The error message.
    pub error: String,
    /// The gRPC status code.
    pub code: u16,
}
