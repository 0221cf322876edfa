//! Our own objects in the platform's store: where proxies are, and which requests are held back.

use std::net::SocketAddr;

use hyper::{Method, StatusCode, body::Bytes};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::store::{CALL_TIMEOUT, Consistency, Object, Page, Revision, Store, StoreFailure, text};
use crate::{
    decide::{fingerprint::Fingerprint, quarantine::CrashRecord},
    proxy::directory::ProxyName,
};

/// Where a proxy can be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceObject {
    /// The proxy's name.
    pub name: Box<str>,
    /// Where other proxies connect to it.
    pub peers: SocketAddr,
    /// Its data centre; empty in objects of earlier releases, until its proxy says it.
    #[serde(default)]
    pub data_centre: Box<str>,
    /// The service of its VM; empty as above.
    #[serde(default)]
    pub service: Box<str>,
}

/// A request that is held back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineObject {
    /// Which request.
    pub fingerprint: Fingerprint,
    /// What is known against it.
    #[serde(rename = "case")]
    pub crash_record: CrashRecord,
    /// The proxy that wrote this.
    #[serde(rename = "by")]
    pub written_by: ProxyName,
}

/// Whose a trial is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialClaim {
    /// The asking proxy's; the case with it.
    Claimed(CrashRecord),
    /// Another proxy's; the case as far as known.
    ClaimedByOther(CrashRecord),
}

/// An object of a kind of ours.
trait StoreObject: Serialize + DeserializeOwned {
    /// The kind.
    const KIND: &'static str;

    /// The name it must stand under.
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

/// The objects of a kind.
#[derive(Debug)]
pub struct Listing<T> {
    /// What is understood.
    pub objects: Vec<T>,
    /// What is not: someone else's, or broken.
    pub skipped: Vec<SkippedObject>,
}

/// An object of the store that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedObject {
    /// Its name; empty if that can't be read.
    pub name: Box<str>,
    /// What is wrong with it.
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
    /// The change is made only while this is the object's revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

impl Store {
    /// Lists the proxies that said where they are, this one included.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn list_presences(&self, consistency: Consistency) -> Result<Listing<PresenceObject>, StoreFailure> {
        self.list(consistency).await
    }

    /// Says where a proxy is. An object that is there already is replaced.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn put_presence(&self, presence: &PresenceObject) -> Result<(), StoreFailure> {
        self.put(presence).await
    }

    /// Takes back where a proxy is.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn remove_presence(&self, name: &str) -> Result<(), StoreFailure> {
        self.remove::<PresenceObject>(name).await
    }

    /// Lists the requests that are held back.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn list_quarantined(&self, consistency: Consistency) -> Result<Listing<QuarantineObject>, StoreFailure> {
        self.list(consistency).await
    }

    /// Says that a request is held back, unless that is said already.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`].
    pub async fn add_quarantined(&self, quarantined: &QuarantineObject) -> Result<(), StoreFailure> {
        let status = self.create(quarantined).await?;
        if status == StatusCode::CONFLICT { Ok(()) } else { check_status(status) }
    }

    /// Begins a trial of a request that is held back, in the name of one proxy only: as long as the object there is of as
    /// many trials as `known` is.
    ///
    /// # Errors
    ///
    /// See [`StoreFailure`]; then the trial may count as begun, and must not be made.
    pub async fn claim_trial(&self, known: &QuarantineObject) -> Result<TrialClaim, StoreFailure> {
        let name = known.name();
        let path = format!("/objects/{}/{name}", QuarantineObject::KIND);
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
        let next = QuarantineObject { crash_record: known.crash_record.with_trial(), ..known.clone() };
        if status == StatusCode::NOT_FOUND {
            let status = self.create(&next).await?;
            return claim_result(status, next.crash_record, known.crash_record);
        }
        if status != StatusCode::OK {
            return Err(StoreFailure::Refused(status.as_u16()));
        }
        let text = text(&body);
        let object: Object<'_> = serde_json::from_str(&text)?;
        let stored: QuarantineObject = serde_json::from_str(object.spec.get())?;
        if stored.crash_record.trials() != known.crash_record.trials() {
            return Ok(TrialClaim::ClaimedByOther(stored.crash_record));
        }
        let body = encode(&next, Some(object.metadata.revision))?;
        let (status, _) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        claim_result(status, next.crash_record, known.crash_record)
    }

    /// Says that a request is no longer held back.
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
            let from = after.as_ref().map_or_else(String::new, |it| format!("&after={it}"));
            let path = format!("/objects/{}?{}{from}", T::KIND, consistency.query());
            let (status, body) = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
            if status != StatusCode::OK {
                return Err(StoreFailure::Refused(status.as_u16()));
            }
            let text = text(&body);
            let page: Page<'_> = serde_json::from_str(&text)?;
            let mut last = None;
            for it in &page.items {
                match decode_object::<T>(it.get()) {
                    Ok(it) => {
                        last = Some(it.name());
                        list.objects.push(it);
                    }
                    Err(it) => {
                        last = Some(it.name.clone()).filter(|it| !it.is_empty()).or(last);
                        list.skipped.push(it);
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
        let path = format!("/objects/{}/{}", T::KIND, spec.name());
        let (status, _) = self.call(Method::PUT, &path, encode(spec, None)?, CALL_TIMEOUT).await?;
        check_status(status)
    }

    async fn create<T: StoreObject>(&self, spec: &T) -> Result<StatusCode, StoreFailure> {
        let kind = format!("/objects/{}", T::KIND);
        Ok(self.call(Method::POST, &kind, encode(spec, None)?, CALL_TIMEOUT).await?.0)
    }

    async fn remove<T: StoreObject>(&self, name: &str) -> Result<(), StoreFailure> {
        let path = format!("/objects/{}/{name}", T::KIND);
        let (status, _) = self.call(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT).await?;
        if status == StatusCode::NOT_FOUND { Ok(()) } else { check_status(status) }
    }
}

/// Encodes an object; a change is made only while `revision` is the object's, if that is given.
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

/// Decodes an object, which must be under the name of what it tells of.
fn decode_object<T: StoreObject>(raw: &str) -> Result<T, SkippedObject> {
    let skipped = |name: &str, why: String| SkippedObject { name: name.into(), reason: why.into() };
    let object: Object<'_> = serde_json::from_str(raw).map_err(|it| skipped("", it.to_string()))?;
    let name = &object.metadata.name;
    let spec: T = serde_json::from_str(object.spec.get()).map_err(|it| skipped(name, it.to_string()))?;
    if spec.name() != *name {
        return Err(skipped(name, format!("it tells of `{}`", spec.name())));
    }
    Ok(spec)
}

fn check_status(status: StatusCode) -> Result<(), StoreFailure> {
    if status.is_success() { Ok(()) } else { Err(StoreFailure::Refused(status.as_u16())) }
}
