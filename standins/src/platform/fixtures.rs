//! Fixtures of tests: a deployment with two endpoints of service `desk` and one of `ledger`. Callers connect to the
//! proxy of the latter, so each of their requests goes through two proxies.

use std::{fs, time::Duration};

use jayreach::explain::{EventLine, Subject, explain};
use serde_json::Value;

use crate::platform::{
    caller::CallerRequest,
    endpoint::{Arrival, Endpoint, EndpointMode},
    http::Message,
    site::{HOST, Site, config, eventually, route},
};

/// Time that an endpoint takes to run a request.
pub const WORK_TIME: Duration = Duration::from_millis(40);

/// Starts two endpoints of `desk` and one of `ledger`, configured with [`two_routes`], and waits until each proxy lists
/// all three and has links to both others.
pub fn start_site() -> Site {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    site.add_vm("desk", "dc-2", 2, WORK_TIME).expect("the proxy starts");
    site.add_vm("ledger", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    assert!(site.wait_until_ready(3), "not every proxy lists all three endpoints");
    // A proxy may know an endpoint from one peer before it has a link to the endpoint's own proxy.
    let linked = eventually(|| site.proxies.iter().all(|it| it.linked_proxies() == 2));
    assert!(linked, "not every proxy has links to both others");
    site
}

/// A configuration with an idempotent route `/read/` and a non-idempotent route `/write/`, both to `desk`.
pub fn two_routes(version: u32) -> Value {
    let read = route("/read/", "idempotent", 2, &[("desk", 1)]);
    let write = route("/write/", "non_idempotent", 0, &[("desk", 1)]);
    config(version, &[("read", read), ("write", write)])
}

/// A request without a body and with a deadline of four seconds.
pub fn caller_request<'a>(method_and_target: &'a str, request_id: &'a str) -> CallerRequest<'a> {
    CallerRequest { method_and_target, host: HOST, request_id, deadline: Duration::from_secs(4), body: b"" }
}

/// Sends a request through the third proxy, whose own endpoint belongs to `ledger`; panics if no response comes.
pub fn send_to_ledger_proxy(site: &Site, method_and_target: &str, request_id: &str) -> Message {
    caller_request(method_and_target, request_id).send_and_read(site.proxies[2].callers).expect("the proxy responds")
}

/// The two endpoints of `desk`.
pub fn desk_endpoints(site: &Site) -> Vec<Endpoint> {
    site.proxies[..2].iter().map(|it| it.endpoint.clone()).collect()
}

/// Arrivals of a request at the endpoints of `desk`.
pub fn arrivals_of(site: &Site, request_id: &str) -> Vec<Arrival> {
    desk_endpoints(site).iter().flat_map(Endpoint::arrivals).filter(|it| it.request_id == request_id).collect()
}

/// Number of runs of a request at the endpoints of `desk`.
pub fn run_count(site: &Site, request_id: &str) -> usize {
    arrivals_of(site, request_id).iter().filter(|it| it.ran).count()
}

/// Sets the mode of both endpoints of `desk`.
pub fn set_modes(site: &Site, mode: EndpointMode) {
    for it in desk_endpoints(site) {
        it.set_mode(mode);
    }
}

/// Waits until the proxies' event lines show how a request ended, and returns the cause that `explain` finds in them.
pub fn explained_cause(site: &Site, request_id: &str) -> String {
    let explain_cause = || {
        let texts = site.proxies.iter().map(|it| fs::read_to_string(it.log_path()).unwrap_or_default());
        let lines: Vec<EventLine> =
            texts.flat_map(|it| it.lines().filter_map(EventLine::parse).collect::<Vec<_>>()).collect();
        explain(&lines, &Subject::Request(request_id.into())).cause
    };
    eventually(|| !explain_cause().starts_with("No line"));
    explain_cause()
}
