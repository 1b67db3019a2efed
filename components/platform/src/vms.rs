//! The platform's list of VMs, which lags behind their actual state.

use crate::{
    Error, Mirror, Store, path,
    store::{Consistency, Key, Range},
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM runs.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// IP address of the VM.
    pub address: IpAddr,
    /// State of the VM.
    pub state: State,
}

/// Returns the VMs by name.
///
/// # Errors
///
/// The store is unavailable.
pub async fn list(store: &dyn Store) -> Result<BTreeMap<CompactString, Vm>, Error> {
    let listing = store.range(range(), Consistency::Serializable).await?;
    let vm = |key, value| Some((name(&key)?, decode(&key, &value)?));
    Ok(listing.values.into_iter().filter_map(|item| vm(item.key, item.value)).collect())
}

/// Returns a mirror of the VMs. Its keys are full store keys; [`name`] extracts the VM's name.
pub fn watch(store: Arc<dyn Store>) -> Mirror<Vm> {
    Mirror::new(store, range(), decode)
}

/// Returns the name of the VM with this store key; `None` if the key is not one of a VM.
pub fn name(key: &Key) -> Option<CompactString> {
    key.0.strip_prefix(path::VMS).map(CompactString::from)
}

/// Returns the store key of a VM.
pub fn key(name: &str) -> Key {
    Key::from(path::VMS).join(name)
}

fn range() -> Range {
    Range::Prefix(path::VMS.into())
}

fn decode(_: &Key, value: &Bytes) -> Option<Vm> {
    serde_json::from_slice(value).ok()
}
