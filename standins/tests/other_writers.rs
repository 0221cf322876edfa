//! Endpoints that start again under their id, and entries and announcements that others left or sent.

use std::{thread, time::Duration};

use rstest::rstest;
use serde_json::{Value, json};
use standins::platform::{
    caller::CallerRequest,
    endpoint::Endpoint,
    site::{HOST, Proxy, Site, config, eventually, route},
};

const WORK: Duration = Duration::from_millis(20);

/// One endpoint of `desk`, and one of `ledger`, beside whose proxy callers ask.
fn site() -> Site {
    let mut site = Site::start().expect("a store");
    site.store.put_config(config(1, &[("write", route("/write/", "non_idempotent", 0, &[("desk", 1)]))]));
    site.add_vm("desk", "dc-1", 2, WORK).expect("a proxy");
    site.add_vm("ledger", "dc-1", 2, WORK).expect("a proxy");
    assert!(site.wait_until_ready(2), "all proxies know all endpoints");
    site
}

fn ask(site: &Site, request: &str) -> u16 {
    let call =
        CallerRequest { line: "POST /write/x", host: HOST, request, deadline: Duration::from_secs(4), body: b"" };
    call.send_and_read(site.proxies[1].callers).map_or(0, |it| it.status())
}

fn born(proxy: &Proxy) -> Value {
    proxy.status()["row"]["endpoint"]["id"]["born"].clone()
}

#[test]
fn an_endpoint_that_starts_again_under_its_id_gets_work_at_once() {
    let site = site();
    let proxy = &site.proxies[0];
    let before = born(proxy);

    // Its announcements go on, with a sequence that begins anew.
    proxy.endpoint.restart();

    assert!(eventually(|| born(proxy) == json!(proxy.endpoint.incarnation().1)), "{before} is still known");
    assert_eq!(ask(&site, "r-1"), 200);
}

#[test]
fn an_endpoint_that_left_may_come_back_under_its_id() {
    let site = site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    proxy.endpoint.announce(proxy.announcements, true).expect("an acknowledgement");
    assert_eq!(ask(&site, "r-1"), 503);

    proxy.endpoint.restart();
    proxy.endpoint.announce(proxy.announcements, false).expect("an acknowledgement");

    assert!(eventually(|| ask(&site, "r-2") == 200));
}

#[test]
fn late_words_of_the_life_before_neither_end_the_next_nor_come_back() {
    let site = site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    let earlier = proxy.endpoint.incarnation();
    proxy.endpoint.restart();
    proxy.endpoint.announce(proxy.announcements, false).expect("an acknowledgement");

    proxy.endpoint.announce_as(proxy.announcements, &earlier, "draining", 100).expect("an acknowledgement");
    assert_eq!(ask(&site, "r-1"), 200);
    proxy.endpoint.announce(proxy.announcements, true).expect("an acknowledgement");
    proxy.endpoint.announce_as(proxy.announcements, &earlier, "ready", 101).expect("an acknowledgement");

    assert_eq!(ask(&site, "r-2"), 503);
}

#[rstest]
#[case::not_text(b"\xff\xfe\x00".to_vec())]
#[case::fields_missing(b"{\"service\":\"desk\"}".to_vec())]
#[case::another_service(heartbeat("lobby", "ready"))]
#[case::another_state(heartbeat("desk", "asleep"))]
#[case::another_address(heartbeat("desk", "draining"))]
fn announcements_of_others_change_nothing(#[case] body: Vec<u8>) {
    let site = site();
    let proxy = &site.proxies[0];

    let status = Endpoint::send_heartbeat(proxy.announcements, "i-1", &body).expect("an answer");

    assert_eq!(status, 400);
    assert_eq!(proxy.status()["row"]["endpoint"]["id"]["name"], "i-1");
    assert_eq!(ask(&site, "r-1"), 200);
    assert!(eventually(|| proxy.events().iter().any(|it| it["event"] == "entry-skipped")), "no line says so");
}

fn heartbeat(service: &str, state: &str) -> Vec<u8> {
    json!({"service": service, "address": "192.0.2.7:1", "slots": 9, "state": state, "sequence": 9_000, "born": 1})
        .to_string()
        .into_bytes()
}

#[test]
fn proxies_find_each_other_beside_objects_of_other_writers() {
    let mut site = Site::start().expect("a store");
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
    site.add_vm("desk", "dc-1", 2, WORK).expect("a proxy");
    site.add_vm("ledger", "dc-1", 2, WORK).expect("a proxy");

    assert!(site.wait_until_ready(2), "all proxies know all endpoints");
    assert_eq!(ask(&site, "r-1"), 200);
}

#[test]
fn a_route_that_is_not_understood_refuses_its_callers_alone() {
    let site = site();
    let odd = json!({"host": HOST, "path_prefix": "/odd/", "kind": "non_idempotent", "timeout_s": "soon"});
    let write = route("/write/", "some_new_kind", 0, &[("desk", 1)]);
    site.store.put_config(config(2, &[("odd", odd), ("write", write)]));

    let call = CallerRequest { line: "GET /odd/x", host: HOST, request: "r-1", deadline: WORK * 100, body: b"" };
    assert!(eventually(|| call.send_and_read(site.proxies[1].callers).is_ok_and(|it| it.status() == 503)));
    thread::sleep(WORK);

    assert_eq!(ask(&site, "r-2"), 200);
    let told = |it: &Value| it["event"] == "config-refused" && it["place"] == "routes.odd";
    assert!(eventually(|| site.proxies[1].events().iter().any(told)));
}
