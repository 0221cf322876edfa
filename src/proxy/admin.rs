//! Announcements of the VM's endpoint, the platform's readiness question, metrics and status.

use std::{rc::Rc, time::Duration};

use hyper::{
    Method, Request, StatusCode,
    body::{Bytes, Incoming},
};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    decide::incarnation::EndpointId,
    error::Error,
    platform::{self, AnnounceCall},
    proxy::{
        Proxy, client, clock,
        directory::Row,
        events::Event,
        guard::{Announcement, AnnouncementEffect, EndpointPhase},
        ingress, net,
        peer_link::Link,
        peer_server,
        routes::RequestLimits,
        server::{self, FullResponse, json_response, response},
    },
};

/// The longest announcement, in bytes.
const ANNOUNCEMENT_LIMIT: usize = 64 * 1024;
/// How long a health question may take; it waits for a slot like any work.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after the start the endpoint is waited for before it is asked who it is.
const FIND_AFTER: Duration = Duration::from_millis(150);
/// The pause between such questions, and how many there are: it announces itself sooner or later.
const FIND_PAUSE: Duration = Duration::from_millis(400);
const FIND_TRIES: u32 = 3;
/// How often the account of the slots is written: often enough to see a spell of failures, seldom enough to cost nothing.
const SLOTS_EVERY: Duration = Duration::from_secs(5);

impl Proxy {
    /// Opens all listeners and serves them.
    pub(super) fn start_listeners(self: &Rc<Self>) -> Result<(), Error> {
        let settings = Rc::clone(&self.settings.borrow());
        let open = |address| net::listen(address).map_err(|it| Error::io(format!("listening on {address}"), it));
        let callers = open(settings.callers)?;
        let peers = open(settings.peers)?;
        let announcements = open(settings.announcements)?;
        let readiness = open(settings.readiness)?;
        let metrics = open(settings.metrics)?;

        let proxy = Rc::clone(self);
        let limits = Rc::clone(self);
        let limits = move || limits.config.borrow().as_ref().map_or_else(RequestLimits::default, |it| it.limits);
        spawn_local(server::http1(callers, limits, move |req| ingress::handle_request(Rc::clone(&proxy), req)));
        let proxy = Rc::clone(self);
        spawn_local(server::http2(peers, move |req| peer_server::handle(Rc::clone(&proxy), req)));
        let proxy = Rc::clone(self);
        let handle = move |req| announce(Rc::clone(&proxy), req);
        spawn_local(server::http1(announcements, RequestLimits::default, handle));
        let proxy = Rc::clone(self);
        let handle = move |_| std::future::ready(proxy.readiness());
        spawn_local(server::http1(readiness, RequestLimits::default, handle));
        let proxy = Rc::clone(self);
        let handle = move |req| std::future::ready(proxy.observe(&req));
        spawn_local(server::http1(metrics, RequestLimits::default, handle));
        Ok(())
    }

    /// Starts what runs beside the listeners.
    pub(super) fn start_tasks(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).read_initial_config());
        spawn_local(Rc::clone(self).follow_config());
        spawn_local(Rc::clone(self).load_quarantine());
        spawn_local(Rc::clone(self).join_fleet());
        spawn_local(Rc::clone(self).republish_after_restore());
        spawn_local(Rc::clone(self).announce_changes());
        spawn_local(Rc::clone(self).maintain_links());
        spawn_local(Rc::clone(self).run_anti_entropy());
        spawn_local(Rc::clone(self).announce_versions());
        spawn_local(Rc::clone(self).gossip_cases());
        spawn_local(Rc::clone(self).find_endpoint());
        spawn_local(Rc::clone(self).tell_slots());
    }

    /// Says from time to time where the time of the endpoint's slots went.
    async fn tell_slots(self: Rc<Self>) {
        loop {
            sleep(SLOTS_EVERY).await;
            let Some(endpoint) = self.guard.serving_endpoint() else { continue };
            let uses = self.guard.slot_time_ms();
            self.events.emit(&Event::Slots { service: &endpoint.service, slots: endpoint.slots, uses: &uses });
        }
    }

    fn readiness(&self) -> FullResponse {
        if self.is_ready() {
            response(StatusCode::OK, Bytes::new())
        } else {
            response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        }
    }

    fn observe(&self, req: &Request<Incoming>) -> FullResponse {
        match req.uri().path() {
            "/metrics" => {
                let (running, waiting) = self.guard.load();
                metrics::gauge!("jayreach_running").set(f64::from(running));
                metrics::gauge!("jayreach_waiting").set(f64::from(waiting));
                if let Some(it) = self.confirmed_ago() {
                    metrics::gauge!("jayreach_config_confirmed_seconds_ago").set(it.as_secs_f64());
                }
                metrics::gauge!("jayreach_config_watching").set(f64::from(u8::from(self.watching.get())));
                for (on, millis) in self.guard.slot_time_ms() {
                    metrics::counter!("jayreach_slot_milliseconds_total", "use" => on).absolute(millis);
                }
                response(StatusCode::OK, self.metrics.render())
            }
            "/status" => json_response(StatusCode::OK, self.status()),
            _ => response(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// What this proxy knows, as JSON.
    fn status(&self) -> Vec<u8> {
        let (running, waiting) = self.guard.load();
        let directory = self.directory.borrow();
        let peers: Vec<_> =
            directory.members().map(|it| row_status(it.1, self.link(&it.1.daemon).as_deref())).collect();
        let mut row = row_status(directory.own(), None);
        row["version"] = self.version().into();
        if let Some(it) = self.guard.serving_endpoint() {
            row["endpoint"]["standing"] = serde_json::json!(it.standing);
        }
        let status = serde_json::json!({
            "row": row,
            "running": running,
            "waiting": waiting,
            "requests": self.open_requests.get(),
            "watching": self.watching.get(),
            "confirmed_ms": self.confirmed_ms(),
            "peers": peers,
        });
        serde_json::to_vec(&status).expect("what a proxy knows can be coded")
    }

    /// Finds the endpoint after a restart beside a living one, before its next announcement.
    async fn find_endpoint(self: Rc<Self>) {
        sleep(FIND_AFTER).await;
        for _ in 0..FIND_TRIES {
            if !self.guard.has_no_endpoint() {
                return;
            }
            self.ask_health().await;
            sleep(FIND_PAUSE).await;
        }
    }

    /// Asks the endpoint's address which incarnation it is.
    async fn ask_health(self: &Rc<Self>) {
        let settings = Rc::clone(&self.settings.borrow());
        let config = self.config.borrow().clone();
        let path = config.as_ref().and_then(|it| it.health_path(&settings.service));
        let health = platform::probe_health(settings.endpoint, path, HEALTH_TIMEOUT).await;
        let Some((id, slots)) = health else { return };
        self.guard.handle_health_reply(Announcement {
            id: EndpointId { name: id, started_at: None },
            service: settings.service.clone(),
            address: settings.endpoint,
            slots,
            phase: EndpointPhase::Serving,
            warmup_left: Duration::ZERO,
            sequence: 0,
        });
    }
}

/// A row with what the link to its owner tells.
fn row_status(row: &Row, link: Option<&Link>) -> serde_json::Value {
    let mut status = serde_json::json!({
        "name": row.daemon,
        "data_centre": row.data_centre,
        "peers": row.peers,
        "service": row.endpoints.service,
        "endpoint": row.endpoints.endpoint,
        "linked": link.is_some_and(Link::is_connected),
    });
    if let Some(it) = link
        && row.endpoints.endpoint.is_some()
    {
        status["endpoint"]["standing"] = serde_json::json!(it.standing());
    }
    status
}

/// Answers a call of the VM's endpoint.
async fn announce(proxy: Rc<Proxy>, req: Request<Incoming>) -> FullResponse {
    let (head, body) = req.into_parts();
    let Some(call) = platform::announce_call(&head.method, head.uri.path()) else {
        return match head.method {
            Method::GET => proxy.observe(&Request::from_parts(head, body)),
            _ => response(StatusCode::NOT_FOUND, Bytes::new()),
        };
    };
    let body = match client::collect_body(body, ANNOUNCEMENT_LIMIT).await {
        Ok(it) => it,
        Err(error) => return skip(&proxy, "", &error.to_string()),
    };
    let now = clock::unix_millis();
    match call {
        AnnounceCall::Heartbeat(id) => match platform::parse_heartbeat(&id, &body, now) {
            Ok(it) => proxy.take_heartbeat(it),
            Err(error) => skip(&proxy, &id, &error.to_string()),
        },
        AnnounceCall::Deregister(id) => {
            proxy.guard.handle_deregistration(platform::parse_deregistration(&id, &body, now));
            json_response(StatusCode::OK, "{}")
        }
    }
}

impl Proxy {
    /// Takes in a heartbeat, if it tells of the endpoint beside this proxy.
    fn take_heartbeat(self: &Rc<Self>, it: Announcement) -> FullResponse {
        let settings = Rc::clone(&self.settings.borrow());
        if it.service != settings.service || it.address != settings.endpoint {
            let why = format!("this VM's endpoint is {} of {}", settings.endpoint, settings.service);
            return skip(self, &it.id.name, &why);
        }
        if self.guard.handle_announcement(it) == AnnouncementEffect::Conflicting {
            let proxy = Rc::clone(self);
            spawn_local(async move { proxy.ask_health().await });
        }
        json_response(StatusCode::OK, "{}")
    }
}

/// Refuses an announcement that can't be used.
fn skip(proxy: &Proxy, id: &str, why: &str) -> FullResponse {
    proxy.report_skipped_entry("announcement", id, why);
    response(StatusCode::BAD_REQUEST, format!("{why}\n"))
}
