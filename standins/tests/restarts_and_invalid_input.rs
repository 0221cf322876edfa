//! Endpoints that restart under their id, stale announcements, and invalid announcements, store objects and routes.

use std::{thread, time::Duration};

use rstest::rstest;
use serde_json::{Value, json};
use standins::platform::{
    caller::CallerRequest,
    endpoint::Endpoint,
    site::{HOST, Proxy, Site, config, eventually, route},
};

const WORK_TIME: Duration = Duration::from_millis(20);

/// Starts one endpoint of `desk` and one of `ledger`, each with its proxy; callers use the proxy of `ledger`.
fn start_site() -> Site {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(config(1, &[("write", route("/write/", "non_idempotent", 0, &[("desk", 1)]))]));
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    site.add_vm("ledger", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    assert!(site.wait_until_ready(2), "a proxy has not learnt of all endpoints");
    site
}

fn send_write(site: &Site, request_id: &str) -> u16 {
    let req = CallerRequest {
        method_and_target: "POST /write/x",
        host: HOST,
        request_id,
        deadline: Duration::from_secs(4),
        body: b"",
    };
    req.send_and_read(site.proxies[1].callers).map_or(0, |it| it.status())
}

fn known_start_time(proxy: &Proxy) -> Value {
    proxy.status()["row"]["endpoint"]["id"]["born"].clone()
}

#[test]
fn an_endpoint_restarted_under_its_id_gets_requests() {
    let site = start_site();
    let proxy = &site.proxies[0];
    let old_start_time = known_start_time(proxy);

    // The endpoint keeps sending heartbeats, with sequence numbers from 1 again.
    proxy.endpoint.restart();

    assert!(
        eventually(|| known_start_time(proxy) == json!(proxy.endpoint.incarnation().1)),
        "the proxy still has the start time {old_start_time}"
    );
    assert_eq!(send_write(&site, "r-1"), 200);
}

#[test]
fn a_drained_endpoint_may_return_under_its_id() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    proxy.endpoint.announce(proxy.announcements, true).expect("the announcement is acknowledged");
    assert_eq!(send_write(&site, "r-1"), 503);

    proxy.endpoint.restart();
    proxy.endpoint.announce(proxy.announcements, false).expect("the announcement is acknowledged");

    assert!(eventually(|| send_write(&site, "r-2") == 200));
}

#[test]
fn stale_announcements_neither_drain_nor_revive_an_endpoint() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    let earlier = proxy.endpoint.incarnation();
    proxy.endpoint.restart();
    proxy.endpoint.announce(proxy.announcements, false).expect("the announcement is acknowledged");

    proxy
        .endpoint
        .announce_as(proxy.announcements, &earlier, "draining", 100)
        .expect("the announcement is acknowledged");
    assert_eq!(send_write(&site, "r-1"), 200);
    proxy.endpoint.announce(proxy.announcements, true).expect("the announcement is acknowledged");
    proxy.endpoint.announce_as(proxy.announcements, &earlier, "ready", 101).expect("the announcement is acknowledged");

    assert_eq!(send_write(&site, "r-2"), 503);
}

#[rstest]
#[case::not_text(b"\xff\xfe\x00".to_vec())]
#[case::fields_missing(b"{\"service\":\"desk\"}".to_vec())]
#[case::another_service(heartbeat_body("lobby", "ready"))]
#[case::another_state(heartbeat_body("desk", "asleep"))]
#[case::another_address(heartbeat_body("desk", "draining"))]
fn invalid_announcements_are_rejected_and_change_nothing(#[case] body: Vec<u8>) {
    let site = start_site();
    let proxy = &site.proxies[0];

    let status = Endpoint::send_heartbeat(proxy.announcements, "i-1", &body).expect("a response");

    assert_eq!(status, 400);
    assert_eq!(proxy.status()["row"]["endpoint"]["id"]["name"], "i-1");
    assert_eq!(send_write(&site, "r-1"), 200);
    assert!(
        eventually(|| proxy.events().iter().any(|it| it["event"] == "entry-skipped")),
        "no entry-skipped event was written"
    );
}

fn heartbeat_body(service: &str, state: &str) -> Vec<u8> {
    json!({"service": service, "address": "192.0.2.7:1", "slots": 9, "state": state, "sequence": 9_000, "born": 1})
        .to_string()
        .into_bytes()
}

#[test]
fn proxies_find_each_other_despite_invalid_presence_objects() {
    let mut site = Site::start().expect("the store starts");
    for (name, spec) in [
        ("a", json!({"name": "a"})),
        ("b", json!({"name": "b", "peers": 7})),
        ("c", json!(null)),
        ("d", json!({"name": "vm-1", "peers": "192.0.2.7:7101"})),
        ("zz", json!([1, "\u{fffd}"])),
    ] {
        site.store.put_object("jayreach-proxies", name, spec);
    }
    site.store.put_config(config(1, &[("write", route("/write/", "non_idempotent", 0, &[("desk", 1)]))]));
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    site.add_vm("ledger", "dc-1", 2, WORK_TIME).expect("the proxy starts");

    assert!(site.wait_until_ready(2), "a proxy has not learnt of all endpoints");
    assert_eq!(send_write(&site, "r-1"), 200);
}

#[test]
fn requests_to_an_invalid_route_get_503_and_other_routes_work() {
    let site = start_site();
    let invalid = json!({"host": HOST, "path_prefix": "/odd/", "kind": "non_idempotent", "timeout_s": "soon"});
    let write = route("/write/", "some_new_kind", 0, &[("desk", 1)]);
    site.store.put_config(config(2, &[("odd", invalid), ("write", write)]));

    let req = CallerRequest {
        method_and_target: "GET /odd/x",
        host: HOST,
        request_id: "r-1",
        deadline: WORK_TIME * 100,
        body: b"",
    };
    assert!(eventually(|| req.send_and_read(site.proxies[1].callers).is_ok_and(|it| it.status() == 503)));
    thread::sleep(WORK_TIME);

    assert_eq!(send_write(&site, "r-2"), 200);
    let is_reported = |it: &Value| it["event"] == "config-refused" && it["place"] == "routes.odd";
    assert!(eventually(|| site.proxies[1].events().iter().any(is_reported)));
}
