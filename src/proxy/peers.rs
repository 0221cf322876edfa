//! What other proxies ask of this one.

use std::rc::Rc;

use hyper::{
    Request, StatusCode,
    body::{Bytes, Incoming},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::proxy::{
    Proxy, client,
    message::{Ask, Hello, News, Ran, Relay, Reserve, Reserved, Run, RunEnd, Unknown, path},
    routes::{Config, Version},
    server::{Answer, answer},
    view::{Brief, Source},
};

/// The longest call, in bytes: a request with its body, and what is around it.
const CALL_LIMIT: usize = client::ANSWER_LIMIT + (1 << 20);

/// Answers one call of a peer.
pub(super) async fn handle(proxy: Rc<Proxy>, req: Request<Incoming>) -> Answer {
    let (head, body) = req.into_parts();
    let body = match client::collect(body, CALL_LIMIT).await {
        Ok(it) => it,
        Err(error) => {
            log::debug!("a peer's call broke off: {error}");
            return answer(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    match head.uri.path() {
        path::RESERVE => reply(&body, |it| proxy.reserve(it)).await,
        path::RUN => reply(&body, |it| proxy.run_here(it)).await,
        path::ASK => {
            reply(&body, |it: Ask| async {
                let it = it;
                proxy.guard.ask(&it.grant).await
            })
            .await
        }
        path::RELAY => reply(&body, |it| proxy.relay(it)).await,
        path::HELLO => reply(&body, |it| proxy.hello(it)).await,
        path::BRIEF => reply(&body, |it| proxy.brief(it)).await,
        path::CONFIG => reply(&body, |it| proxy.newer_config(it)).await,
        _ => answer(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn reply<Req, Resp, F>(body: &[u8], handle: impl FnOnce(Req) -> F) -> Answer
where
    Req: DeserializeOwned,
    Resp: Serialize,
    F: Future<Output = Resp>,
{
    match rmp_serde::from_slice(body) {
        Ok(req) => {
            let resp = handle(req).await;
            answer(StatusCode::OK, rmp_serde::to_vec(&resp).expect("messages can be coded"))
        }
        Err(error) => {
            log::warn!("a peer's call can't be understood: {error}");
            answer(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

impl Proxy {
    fn news(&self) -> News {
        let (running, waiting) = self.guard.load();
        News { brief: self.row().brief(), running, waiting, allowance_used: self.guard.allowance_used() }
    }

    async fn reserve(self: &Rc<Self>, req: Reserve) -> Reserved {
        if req.version > self.version()
            && let Some(it) = self.link(&req.from)
        {
            // Its answer tells the version, and the configuration is fetched.
            it.greet_fully();
        }
        let result = self.guard.reserve(&req, self.surroundings(&req)).await;
        Reserved { news: self.news(), result, callers_route: self.guard.is_callers_route(&req.route) }
    }

    async fn run_here(self: &Rc<Self>, run: Run) -> Ran {
        let end = self.guard.run(run).await;
        Ran { news: self.news(), end }
    }

    async fn relay(self: &Rc<Self>, relay: Relay) -> RunEnd {
        let link = self.links.borrow().iter().find(|it| it.1.address == relay.to).map(|it| Rc::clone(&it.1));
        let Some(link) = link else { return RunEnd::Unknown(Unknown::Silent) };
        match link.call(path::ASK, &relay.ask).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("relaying to {}: {error}", relay.to);
                RunEnd::Unknown(Unknown::Silent)
            }
        }
    }

    async fn hello(self: &Rc<Self>, hello: Hello) -> Hello {
        self.take_row(hello.row, Source::Told);
        Hello { row: self.row() }
    }

    async fn brief(self: &Rc<Self>, brief: Brief) {
        self.take_brief(&brief);
    }

    async fn newer_config(self: &Rc<Self>, known: Version) -> Option<Config> {
        let config = self.config.borrow();
        config.as_deref().filter(|it| it.version > known).cloned()
    }
}
