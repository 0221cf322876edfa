//! Receives the answers of other proxies' endpoints. A long one stays at its guard, from which the ingress fetches it in
//! parts as fast as the caller reads.

use std::{rc::Rc, time::Duration};

use hyper::body::Bytes;
use tokio::{
    sync::mpsc,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{GuardRef, Reservation, attempt::RUN_QUERY_PAUSE};
use crate::proxy::{
    Proxy,
    body::{Body, BoxError, OutBody, SEGMENT},
    body_memory::Room,
    clock,
    directory::ProxyName,
    message::{AnswerNeed, Grant, HttpContent, RunEnd, RunQuery, UnknownReason},
    peer_link::Link,
};

/// An answer up to this length is received completely before it is passed on, so that the request can run again if its
/// guard is lost. In bytes.
const MAX_WHOLE_ANSWER: usize = 1 << 20;
/// How often the guard is told that the caller of an answer is slow; it forgets answers that nobody asks for.
const LATER_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of one query for a part, for links of a few megabits a second; a broken link is detected sooner.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a part is sought in vain.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// An answer that another proxy holds.
#[derive(Clone)]
pub(super) struct HeldAnswer {
    pub(super) guard: ProxyName,
    pub(super) link: Rc<Link>,
    pub(super) grant: Grant,
}

impl HeldAnswer {
    fn query(&self, need: AnswerNeed) -> RunQuery {
        RunQuery { grant: self.grant.clone(), need }
    }
}

impl Proxy {
    /// Keeps the first part of an answer in `room`, and fetches the others if the answer is short.
    pub(super) async fn receive_answer(self: &Rc<Self>, held: &HeldAnswer, end: RunEnd, room: Room) -> RunEnd {
        let RunEnd::Answered { status, mut content, took } = end else { return end };
        content.body = room.fill(content.body.into_vec()).into();
        if content.left > 0 && content.len() <= MAX_WHOLE_ANSWER {
            match self.fetch_rest(held, &content).await {
                Some(body) => (content.body, content.left) = (body, 0),
                None => return RunEnd::Unknown(UnknownReason::GuardStateLost),
            }
        }
        RunEnd::Answered { status, content, took }
    }

    /// The whole body of an answer; `None` if its guard lost it.
    async fn fetch_rest(self: &Rc<Self>, held: &HeldAnswer, content: &HttpContent) -> Option<Body> {
        let mut room = self.body_memory.parts.take(content.left).await.ok()?;
        let mut segments = content.body.segments().to_vec();
        let mut offset = content.body.len();
        while offset < content.len() {
            let part = self.fetch_part(held, offset).await?;
            offset += part.len();
            segments.push(room.split(part.len().min(room.bytes())).fill(part));
        }
        self.finish_answer(held.clone());
        Some(segments.into())
    }

    /// The body of the response to the caller.
    pub(super) fn answer_body(self: &Rc<Self>, content: HttpContent, reservation: Reservation) -> OutBody {
        match reservation.guard {
            GuardRef::Remote(guard, link) if content.left > 0 => {
                let (tx, rx) = mpsc::channel(1);
                let body = OutBody::Parts { rx, left: content.len() };
                let held = HeldAnswer { guard, link, grant: reservation.grant };
                spawn_local(Rc::clone(self).pass_on_parts(held, content, tx));
                body
            }
            GuardRef::Remote(..) | GuardRef::Local => OutBody::from(&content.body),
        }
    }

    /// Passes on an answer part by part until it is complete or its caller has gone.
    async fn pass_on_parts(
        self: Rc<Self>,
        held: HeldAnswer,
        content: HttpContent,
        tx: mpsc::Sender<Result<Bytes, BoxError>>,
    ) {
        let len = content.len();
        let mut offset = content.body.len();
        for it in content.body.segments() {
            // A caller that has gone is noticed below.
            _ = tx.send(Ok(it.clone())).await;
        }
        drop(content);
        while offset < len {
            let Some((slot, room)) = self.wait_for_caller(&held, &tx, SEGMENT.min(len - offset)).await else { break };
            let Some(part) = self.fetch_part(&held, offset).await else {
                metrics::counter!("jayreach_answers_cut_total").increment(1);
                slot.send(Err("the guard of the answer lost the rest".into()));
                return;
            };
            offset += part.len();
            slot.send(Ok(room.fill(part)));
        }
        self.finish_answer(held);
    }

    /// Waits until the caller takes the next part and there is memory for it; `None` if the caller has gone.
    async fn wait_for_caller<'a>(
        &self,
        held: &HeldAnswer,
        tx: &'a mpsc::Sender<Result<Bytes, BoxError>>,
        len: usize,
    ) -> Option<(mpsc::Permit<'a, Result<Bytes, BoxError>>, Room)> {
        let next = async {
            let slot = tx.reserve().await.ok()?;
            let room = self.body_memory.parts.take(len).await.ok()?;
            Some((slot, room))
        };
        tokio::pin!(next);
        loop {
            if let Ok(it) = timeout(LATER_INTERVAL, &mut next).await {
                return it;
            }
            self.query_guard(&held.guard, &held.link, &held.query(AnswerNeed::Later), PART_TIMEOUT).await;
        }
    }

    /// The part of an answer's body from `offset` on; `None` if its guard lost it.
    async fn fetch_part(&self, held: &HeldAnswer, offset: usize) -> Option<Vec<u8>> {
        let query = held.query(AnswerNeed::From(offset));
        let give_up_at = clock::now() + GIVE_UP_AFTER;
        while clock::now() < give_up_at {
            match self.query_guard(&held.guard, &held.link, &query, PART_TIMEOUT).await.1 {
                Some(RunEnd::Answered { content, .. }) if !content.body.is_empty() => {
                    return Some(content.body.into_vec());
                }
                Some(RunEnd::Unknown(UnknownReason::TimedOut)) | None => sleep(RUN_QUERY_PAUSE).await,
                Some(_) => return None,
            }
        }
        None
    }

    /// Tells the guard that it may forget an answer. If that doesn't reach it, the guard does so after a while.
    fn finish_answer(self: &Rc<Self>, held: HeldAnswer) {
        let proxy = Rc::clone(self);
        spawn_local(async move {
            proxy.query_guard(&held.guard, &held.link, &held.query(AnswerNeed::Done), PART_TIMEOUT).await;
        });
    }
}
