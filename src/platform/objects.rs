//! The proxies' own objects in the platform's store: the addresses of proxies and the quarantined requests.

use std::net::SocketAddr;

use hyper::{Method, StatusCode, body::Bytes};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::store::{CALL_TIMEOUT, Consistency, Object, Page, Revision, Store, StoreFailure, decode_text, encode_name};
use crate::{
    decide::{fingerprint::Fingerprint, quarantine::CrashRecord},
    proxy::directory::ProxyName,
};

/// The name, address and location of a proxy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceObject {
    /// The proxy's name.
    pub name: Box<str>,
    /// Address to which other proxies connect.
    pub peers: SocketAddr,
    /// Its data centre; empty in an object that an earlier release wrote.
    #[serde(default)]
    pub data_centre: Box<str>,
    /// The service of its VM; empty in an object that an earlier release wrote.
    #[serde(default)]
    pub service: Box<str>,
}

/// A quarantined request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineObject {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Evidence that the request crashes endpoints.
    #[serde(rename = "case")]
    pub crash_record: CrashRecord,
    /// The proxy that wrote this object.
    #[serde(rename = "by")]
    pub written_by: ProxyName,
}

/// Result of claiming a quarantine trial: only one proxy may run each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialClaim {
    /// The calling proxy runs the trial; holds the crash record that counts it.
    Claimed(CrashRecord),
    /// Another proxy has claimed the trial; holds the crash record as far as it is known here.
    ClaimedByOther(CrashRecord),
}

/// An object that proxies write to the store.
trait StoreObject: Serialize + DeserializeOwned {
    /// The kind under which the store keeps it.
    const KIND: &'static str;

    /// The name under which the store must keep it.
    fn name(&self) -> Box<str>;
}

impl StoreObject for PresenceObject {
    const KIND: &'static str = "jayreach-proxies";

    fn name(&self) -> Box<str> {
        self.name.clone()
    }
}

impl StoreObject for QuarantineObject {
    const KIND: &'static str = "jayreach-quarantine";

    fn name(&self) -> Box<str> {
        self.fingerprint.to_string().into()
    }
}

/// All objects of one kind.
#[derive(Debug)]
pub struct Listing<T> {
    /// The valid objects.
    pub objects: Vec<T>,
    /// The invalid objects: malformed, or written by others.
    pub skipped: Vec<SkippedObject>,
}

/// An invalid object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedObject {
    /// Its name; empty if that is missing or malformed.
    pub name: Box<str>,
    /// Why it is invalid.
    pub reason: Box<str>,
}

#[derive(Serialize)]
struct NewObject<'a, T> {
    metadata: NewMetadata<'a>,
    spec: &'a T,
}

#[derive(Serialize)]
struct NewMetadata<'a> {
    name: &'a str,
    /// If given, the store refuses the write unless the object is still at this revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

impl Store {
    /// Lists the presence objects of all proxies, this one included.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn list_presences(&self, consistency: Consistency) -> Result<Listing<PresenceObject>, StoreFailure> {
        self.list(consistency).await
    }

    /// Writes the presence object of a proxy and replaces an earlier one.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn put_presence(&self, presence: &PresenceObject) -> Result<(), StoreFailure> {
        self.put(presence).await
    }

    /// Deletes the presence object of the proxy `name`; succeeds if there is none.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn remove_presence(&self, name: &str) -> Result<(), StoreFailure> {
        self.remove::<PresenceObject>(name).await
    }

    /// Lists the quarantined requests.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn list_quarantined(&self, consistency: Consistency) -> Result<Listing<QuarantineObject>, StoreFailure> {
        self.list(consistency).await
    }

    /// Stores that a request is quarantined; leaves an object that exists unchanged.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn add_quarantined(&self, quarantined: &QuarantineObject) -> Result<(), StoreFailure> {
        let status = self.create(quarantined).await?;
        if status == StatusCode::CONFLICT { Ok(()) } else { check_status(status) }
    }

    /// Claims the next trial of a quarantined request for this proxy by a compare-and-swap: succeeds only if the stored
    /// object counts as many trials as `known`, or does not exist.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`]. The store may then have counted the trial; it must not be run.
    pub async fn claim_trial(&self, known: &QuarantineObject) -> Result<TrialClaim, StoreFailure> {
        let name = known.name();
        let path = format!("/objects/{}/{}", QuarantineObject::KIND, encode_name(&name));
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
        let next = QuarantineObject { crash_record: known.crash_record.with_trial(), ..known.clone() };
        if status == StatusCode::NOT_FOUND {
            let status = self.create(&next).await?;
            return claim_result(status, next.crash_record, known.crash_record);
        }
        if status != StatusCode::OK {
            return Err(StoreFailure::Refused(status.as_u16()));
        }
        let text = decode_text(&body);
        let object: Object<'_> = serde_json::from_str(&text)?;
        let stored: QuarantineObject = serde_json::from_str(object.spec.get())?;
        if stored.crash_record.trials() != known.crash_record.trials() {
            return Ok(TrialClaim::ClaimedByOther(stored.crash_record));
        }
        let body = encode(&next, Some(object.metadata.revision))?;
        let (status, _) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        claim_result(status, next.crash_record, known.crash_record)
    }

    /// Deletes a request from the stored quarantine; succeeds if it is not there.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn remove_quarantined(&self, fingerprint: Fingerprint) -> Result<(), StoreFailure> {
        self.remove::<QuarantineObject>(&fingerprint.to_string()).await
    }

    async fn list<T: StoreObject>(&self, consistency: Consistency) -> Result<Listing<T>, StoreFailure> {
        let mut list = Listing { objects: Vec::new(), skipped: Vec::new() };
        let mut after: Option<Box<str>> = None;
        loop {
            let after_param = after.as_ref().map_or_else(String::new, |it| format!("&after={}", encode_name(it)));
            let path = format!("/objects/{}?{}{after_param}", T::KIND, consistency.query());
            let (status, body) = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
            if status != StatusCode::OK {
                return Err(StoreFailure::Refused(status.as_u16()));
            }
            let text = decode_text(&body);
            let page: Page<'_> = serde_json::from_str(&text)?;
            let mut last = None;
            for it in &page.items {
                match decode_object::<T>(it.get()) {
                    Ok(object) => {
                        last = Some(object.name());
                        list.objects.push(object);
                    }
                    Err(skipped) => {
                        last = Some(skipped.name.clone()).filter(|it| !it.is_empty()).or(last);
                        list.skipped.push(skipped);
                    }
                }
            }
            if !page.has_more || last <= after {
                return Ok(list);
            }
            after = last;
        }
    }

    async fn put<T: StoreObject>(&self, spec: &T) -> Result<(), StoreFailure> {
        let status = self.create(spec).await?;
        if status != StatusCode::CONFLICT {
            return check_status(status);
        }
        let path = format!("/objects/{}/{}", T::KIND, encode_name(&spec.name()));
        let (status, _) = self.call(Method::PUT, &path, encode(spec, None)?, CALL_TIMEOUT).await?;
        check_status(status)
    }

    async fn create<T: StoreObject>(&self, spec: &T) -> Result<StatusCode, StoreFailure> {
        let path = format!("/objects/{}", T::KIND);
        Ok(self.call(Method::POST, &path, encode(spec, None)?, CALL_TIMEOUT).await?.0)
    }

    async fn remove<T: StoreObject>(&self, name: &str) -> Result<(), StoreFailure> {
        let path = format!("/objects/{}/{}", T::KIND, encode_name(name));
        let (status, _) = self.call(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT).await?;
        if status == StatusCode::NOT_FOUND { Ok(()) } else { check_status(status) }
    }
}

/// Encodes an object for a write. With a `revision` the store refuses the write unless the object is still at it.
fn encode<T: StoreObject>(spec: &T, revision: Option<Revision>) -> Result<Bytes, StoreFailure> {
    let object = NewObject { metadata: NewMetadata { name: &spec.name(), revision }, spec };
    Ok(Bytes::from(serde_json::to_vec(&object)?))
}

fn claim_result(status: StatusCode, next: CrashRecord, known: CrashRecord) -> Result<TrialClaim, StoreFailure> {
    if status == StatusCode::CONFLICT {
        Ok(TrialClaim::ClaimedByOther(known))
    } else {
        check_status(status).map(|()| TrialClaim::Claimed(next))
    }
}

/// Decodes an object; its `metadata` and its `spec` must give the same name.
fn decode_object<T: StoreObject>(raw: &str) -> Result<T, SkippedObject> {
    let skipped = |name: &str, reason: String| SkippedObject { name: name.into(), reason: reason.into() };
    let object: Object<'_> = serde_json::from_str(raw).map_err(|it| skipped("", it.to_string()))?;
    let name = &object.metadata.name;
    let spec: T = serde_json::from_str(object.spec.get()).map_err(|it| skipped(name, it.to_string()))?;
    if spec.name() != *name {
        return Err(skipped(name, format!("its spec gives the name `{}`", spec.name())));
    }
    Ok(spec)
}

fn check_status(status: StatusCode) -> Result<(), StoreFailure> {
    if status.is_success() { Ok(()) } else { Err(StoreFailure::Refused(status.as_u16())) }
}
