//! Fixtures of tests: a deployment with two endpoints of `desk` and one of `ledger`, and callers beside the latter.

use std::{fs, time::Duration};

use jayreach::explain::{EventLine, Subject, explain};
use serde_json::Value;

use crate::platform::{
    caller::CallerRequest,
    endpoint::{Arrival, Endpoint, EndpointMode},
    http::Message,
    site::{HOST, Site, config, eventually, route},
};

/// How long a piece of work takes.
pub const WORK_TIME: Duration = Duration::from_millis(40);

/// Two endpoints of `desk` and one of `ledger`, a route for reads and one for writes.
pub fn start_site() -> Site {
    let mut site = Site::start().expect("a store");
    site.store.put_config(two_routes(1));
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("a proxy");
    site.add_vm("desk", "dc-2", 2, WORK_TIME).expect("a proxy");
    site.add_vm("ledger", "dc-1", 2, WORK_TIME).expect("a proxy");
    assert!(site.wait_until_ready(3), "all proxies know all endpoints");
    site
}

/// A route for reads and one for writes, both to `desk`.
pub fn two_routes(version: u32) -> Value {
    let read = route("/read/", "idempotent", 2, &[("desk", 1)]);
    let write = route("/write/", "non_idempotent", 0, &[("desk", 1)]);
    config(version, &[("read", read), ("write", write)])
}

/// A request that waits for four seconds.
pub fn caller_request<'a>(line: &'a str, request: &'a str) -> CallerRequest<'a> {
    CallerRequest { line, host: HOST, request, deadline: Duration::from_secs(4), body: b"" }
}

/// Asks the third proxy, beside which no endpoint of the service stands.
pub fn send_to_ledger_proxy(site: &Site, line: &str, request: &str) -> Message {
    caller_request(line, request).send_and_read(site.proxies[2].callers).expect("an answer")
}

/// The endpoints of `desk`.
pub fn desk_endpoints(site: &Site) -> Vec<Endpoint> {
    site.proxies[..2].iter().map(|it| it.endpoint.clone()).collect()
}

/// Where a request arrived.
pub fn arrivals_of(site: &Site, request: &str) -> Vec<Arrival> {
    desk_endpoints(site).iter().flat_map(Endpoint::arrivals).filter(|it| it.request == request).collect()
}

/// How often a request ran.
pub fn run_count(site: &Site, request: &str) -> usize {
    arrivals_of(site, request).iter().filter(|it| it.ran).count()
}

/// Makes both endpoints of `desk` behave so.
pub fn set_modes(site: &Site, mode: EndpointMode) {
    for it in desk_endpoints(site) {
        it.set_mode(mode);
    }
}

/// The cause that the proxies' event lines give for a request, once they tell its end.
pub fn explained_cause(site: &Site, request: &str) -> String {
    let explain = || {
        let texts = site.proxies.iter().map(|it| fs::read_to_string(it.log_path()).unwrap_or_default());
        let lines: Vec<EventLine> =
            texts.flat_map(|it| it.lines().filter_map(EventLine::parse).collect::<Vec<_>>()).collect();
        explain(&lines, &Subject::Request(request.into())).cause
    };
    eventually(|| !explain().starts_with("No line"));
    explain()
}
