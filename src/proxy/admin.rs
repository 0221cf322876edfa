//! Listeners and background tasks of a proxy, and its handlers for announcements, readiness checks, metrics and status.

use std::{rc::Rc, time::Duration};

use hyper::{
    Method, Request, StatusCode,
    body::{Bytes, Incoming},
};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    decide::{incarnation::EndpointId, rate_limit::HEALTH_CHECK_INTERVAL},
    error::Error,
    platform::{self, AnnounceCall, HealthReply},
    proxy::{
        Proxy, client, clock,
        directory::Row,
        events::Event,
        guard::{Announcement, AnnouncementEffect, EndpointPhase},
        ingress, net,
        open_work::OpenExchanges,
        peer_link::Link,
        peer_server,
        routes::RequestLimits,
        server::{self, FullResponse, json_response, response},
    },
};

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Timeout of a health check; the endpoint executes it in a slot like other requests.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the start before the endpoint is queried, if it has not announced itself.
const DISCOVERY_DELAY: Duration = Duration::from_millis(150);
/// Pause between two queries.
const DISCOVERY_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of queries; the endpoint's next heartbeat announces it as well.
const DISCOVERY_ATTEMPTS: u32 = 3;
/// Pause between two checks whether the configuration is known.
const CONFIG_CHECK_PAUSE: Duration = Duration::from_millis(10);
/// Interval of the event lines with the use of slot time.
const SLOT_TIMES_INTERVAL: Duration = Duration::from_secs(5);

impl Proxy {
    /// Opens all listeners and spawns their servers.
    ///
    /// # Errors
    ///
    /// An address of the settings can't be listened on.
    pub(super) fn start_listeners(self: &Rc<Self>) -> Result<(), Error> {
        let settings = Rc::clone(&self.settings.borrow());
        let open = |address| net::listen(address).map_err(|it| Error::io(format!("listening on {address}"), it));
        let callers = open(settings.callers)?;
        let peers = open(settings.peers)?;
        let announcements = open(settings.announcements)?;
        let readiness = open(settings.readiness)?;
        let metrics = open(settings.metrics)?;

        let proxy = Rc::clone(self);
        let limits_proxy = Rc::clone(self);
        let limits = move || limits_proxy.config.borrow().as_ref().map_or_else(RequestLimits::default, |it| it.limits);
        let handle = move |req| ingress::handle_request(Rc::clone(&proxy), req);
        spawn_local(server::serve_http1(callers, limits, self.caller_exchanges.clone(), handle));
        let proxy = Rc::clone(self);
        let handle = move |req| peer_server::handle(Rc::clone(&proxy), req);
        let (connections, exchanges) = (self.peer_connections.clone(), self.peer_exchanges.clone());
        spawn_local(server::serve_http2(peers, connections, exchanges, handle));
        let proxy = Rc::clone(self);
        let handle = move |req| handle_announcement(Rc::clone(&proxy), req);
        // A stop doesn't wait for the exchanges of these listeners.
        let uncounted = OpenExchanges::default();
        spawn_local(server::serve_http1(announcements, RequestLimits::default, uncounted.clone(), handle));
        let proxy = Rc::clone(self);
        let handle = move |_| std::future::ready(proxy.readiness());
        spawn_local(server::serve_http1(readiness, RequestLimits::default, uncounted.clone(), handle));
        let proxy = Rc::clone(self);
        let handle = move |req| std::future::ready(proxy.metrics_or_status(&req));
        spawn_local(server::serve_http1(metrics, RequestLimits::default, uncounted, handle));
        Ok(())
    }

    /// Spawns the background tasks.
    pub(super) fn start_tasks(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).read_initial_config());
        spawn_local(Rc::clone(self).follow_config());
        spawn_local(Rc::clone(self).follow_predecessors());
        spawn_local(Rc::clone(self).load_quarantine());
        spawn_local(Rc::clone(self).join_fleet());
        spawn_local(Rc::clone(self).republish_after_restore());
        spawn_local(Rc::clone(self).announce_changes());
        spawn_local(Rc::clone(self).tell_peers_of_leaving());
        spawn_local(Rc::clone(self).maintain_links());
        spawn_local(Rc::clone(self).run_anti_entropy());
        spawn_local(Rc::clone(self).announce_versions());
        spawn_local(Rc::clone(self).gossip_crash_records());
        spawn_local(Rc::clone(self).discover_endpoint());
        spawn_local(Rc::clone(self).check_low_limit());
        spawn_local(Rc::clone(self).log_slot_times());
        spawn_local(Rc::clone(&self.guard).free_answers());
    }

    /// Logs the use of the endpoint's slot time periodically.
    async fn log_slot_times(self: Rc<Self>) {
        loop {
            sleep(SLOT_TIMES_INTERVAL).await;
            let Some(endpoint) = self.guard.serving_endpoint() else { continue };
            let uses = self.guard.slot_time_ms();
            self.events.emit(&Event::Slots { service: &endpoint.service, slots: endpoint.slots, uses: &uses });
        }
    }

    /// Answers the platform's readiness check.
    fn readiness(&self) -> FullResponse {
        if self.is_ready() {
            response(StatusCode::OK, Bytes::new())
        } else {
            response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        }
    }

    fn metrics_or_status(&self, req: &Request<Incoming>) -> FullResponse {
        match req.uri().path() {
            "/metrics" => {
                let (running, waiting) = self.guard.load();
                metrics::gauge!("jayreach_running").set(f64::from(running));
                metrics::gauge!("jayreach_waiting").set(f64::from(waiting));
                self.body_memory.report();
                if let Some(it) = self.confirmed_ago() {
                    metrics::gauge!("jayreach_config_confirmed_seconds_ago").set(it.as_secs_f64());
                }
                metrics::gauge!("jayreach_config_watching").set(f64::from(u8::from(self.watching.get())));
                for (slot_use, millis) in self.guard.slot_time_ms() {
                    metrics::counter!("jayreach_slot_milliseconds_total", "use" => slot_use).absolute(millis);
                }
                response(StatusCode::OK, self.metrics.render())
            }
            "/status" => json_response(StatusCode::OK, self.status()),
            _ => response(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Returns the state of this proxy and its view of the fleet as JSON.
    fn status(&self) -> Vec<u8> {
        let (running, waiting) = self.guard.load();
        let directory = self.directory.borrow();
        let peers: Vec<_> = directory.members().map(|it| row_status(it.1, self.link(&it.1.name).as_deref())).collect();
        let mut row = row_status(directory.own(), None);
        row["version"] = self.version().into();
        if let Some(it) = self.guard.serving_endpoint() {
            row["endpoint"]["standing"] = serde_json::json!(it.standing);
            row["endpoint"]["limit"] = serde_json::json!(self.guard.limit().map(|it| it.0));
        }
        let status = serde_json::json!({
            "row": row,
            "running": running,
            "waiting": waiting,
            "requests": self.caller_exchanges.count(),
            "watching": self.watching.get(),
            "confirmed_ms": self.confirmed_ms(),
            "peers": peers,
        });
        serde_json::to_vec(&status).expect("the status can be serialized")
    }

    /// Queries the endpoint after a restart of this proxy, so that it is known before its next heartbeat.
    async fn discover_endpoint(self: Rc<Self>) {
        sleep(DISCOVERY_DELAY).await;
        self.find_endpoint().await;
    }

    /// Queries the endpoint's address until an endpoint is known, a few times. A second call at the same time returns
    /// at once.
    async fn find_endpoint(self: Rc<Self>) {
        if self.finding_endpoint.replace(true) {
            return;
        }
        // The configuration names the path of health checks.
        while self.config.borrow().is_none() && clock::now() < self.started + DISCOVERY_DELAY {
            sleep(CONFIG_CHECK_PAUSE).await;
        }
        for _ in 0..DISCOVERY_ATTEMPTS {
            if self.guard.has_no_endpoint() {
                self.check_endpoint_health().await;
            }
            if !self.guard.has_no_endpoint() {
                break;
            }
            sleep(DISCOVERY_PAUSE).await;
        }
        self.finding_endpoint.set(false);
    }

    /// Sends a health check to the endpoint's address to learn which incarnation listens there.
    async fn check_endpoint_health(self: &Rc<Self>) {
        let settings = Rc::clone(&self.settings.borrow());
        let config = self.config.borrow().clone();
        let path = config.as_ref().and_then(|it| it.health_path(&settings.service));
        let sent = clock::now();
        let health = platform::probe_health(settings.endpoint, path, HEALTH_TIMEOUT).await;
        let Some(HealthReply { id, slots, limit, leaving }) = health else { return };
        if leaving {
            return self.guard.handle_health_leaving(&id);
        }
        let found = slots.map(|slots| Announcement {
            id: EndpointId { name: id.clone(), started_at: None },
            service: settings.service.clone(),
            address: settings.endpoint,
            slots,
            phase: EndpointPhase::Serving,
            warmup_left: Duration::ZERO,
            sequence: 0,
        });
        self.guard.handle_health_reply(&id, found);
        self.guard.handle_health_notice(&id, limit, sent);
    }

    /// Checks the endpoint's health at intervals while its limit is too low to learn its end from answers. Never
    /// returns.
    async fn check_low_limit(self: Rc<Self>) {
        loop {
            sleep(HEALTH_CHECK_INTERVAL).await;
            if self.guard.needs_health_check() {
                self.check_endpoint_health().await;
            }
        }
    }
}

/// Returns a proxy's directory entry as JSON, with the state of the link to that proxy.
fn row_status(row: &Row, link: Option<&Link>) -> serde_json::Value {
    let mut status = serde_json::json!({
        "name": row.name,
        "data_centre": row.data_centre,
        "peers": row.peer_address,
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

/// Handles announcements of the VM's endpoint; other `GET` requests are handled as by the metrics listener.
async fn handle_announcement(proxy: Rc<Proxy>, req: Request<Incoming>) -> FullResponse {
    let (head, body) = req.into_parts();
    let Some(call) = platform::announce_call(&head.method, head.uri.path()) else {
        return match head.method {
            Method::GET => proxy.metrics_or_status(&Request::from_parts(head, body)),
            _ => response(StatusCode::NOT_FOUND, Bytes::new()),
        };
    };
    let body = match client::collect_body(body, MAX_ANNOUNCEMENT_BYTES).await {
        Ok(it) => it,
        Err(error) => return refuse_announcement(&proxy, "", &error.to_string()),
    };
    let now = clock::unix_millis();
    match call {
        AnnounceCall::Heartbeat(id) => match platform::parse_heartbeat(&id, &body, now) {
            Ok(it) => proxy.handle_heartbeat(it),
            Err(error) => refuse_announcement(&proxy, &id, &error.to_string()),
        },
        AnnounceCall::Deregister(id) => {
            proxy.guard.handle_deregistration(platform::parse_deregistration(&id, &body, now));
            json_response(StatusCode::OK, "{}")
        }
    }
}

impl Proxy {
    /// Processes a heartbeat; refuses it if it is not from the endpoint that the settings name.
    fn handle_heartbeat(self: &Rc<Self>, it: Announcement) -> FullResponse {
        let settings = Rc::clone(&self.settings.borrow());
        if it.service != settings.service || it.address != settings.endpoint {
            let why = format!("this VM's endpoint is {} of {}", settings.endpoint, settings.service);
            return refuse_announcement(self, &it.id.name, &why);
        }
        if self.guard.handle_announcement(it) == AnnouncementEffect::Unconfirmed {
            let proxy = Rc::clone(self);
            if self.guard.has_no_endpoint() {
                spawn_local(proxy.find_endpoint());
            } else {
                spawn_local(async move { proxy.check_endpoint_health().await });
            }
        }
        json_response(StatusCode::OK, "{}")
    }
}

/// Responds to an invalid announcement with status 400 and reports it.
fn refuse_announcement(proxy: &Proxy, id: &str, why: &str) -> FullResponse {
    proxy.report_skipped_entry("announcement", id, why);
    response(StatusCode::BAD_REQUEST, format!("{why}\n"))
}
