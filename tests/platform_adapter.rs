//! Decoding of the platform's configuration, announcements and headers, and the settings from its deployment template.

use std::time::Duration;

use hyper::{
    HeaderMap, Method,
    header::{HeaderName, HeaderValue},
};
use jayreach::{
    decide::rate_limit::LimitStatement,
    platform::{self, AnnounceCall, announce_call, parse_config, parse_deregistration, parse_heartbeat},
    proxy::{
        guard::EndpointPhase,
        routes::{Config, Idempotency},
        settings::Settings,
    },
};
use proptest::prelude::*;
use rstest::rstest;

/// Time of arrival of announcements, in Unix milliseconds.
const NOW: u64 = 1_764_700_001_000;

const CONFIG: &str = r#"{"version":"0000001c","routes":{
    "deep":{"host":"Desk.example","path_prefix":"/a/b/","kind":"non_idempotent","timeout_s":2.5,
            "target_latency_s":0.8,"priority":0,"service":"ledger","max_attempts":2},
    "wide":{"host":"desk.example","path_prefix":"/a/","kind":"idempotent","timeout_s":6,"target_latency_s":2.5,
            "priority":2,"weighted_clusters":[{"service":"x","weight":90},{"service":"y","weight":10}],"max_attempts":3}},
  "services":{"x":{"health_path":"/health"}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},
  "base_version":"0000001a"}"#;

fn parsed_config() -> Config {
    parse_config(CONFIG).expect("valid configuration").config
}

#[test]
fn valid_configuration_is_decoded() {
    let config = parsed_config();

    assert_eq!(config.version, 0x1c);
    assert_eq!(config.limits.body_bytes, 1000);
    let deep = config.route("desk.example", "/a/b/c").expect("route exists");
    assert_eq!((&*deep.name, deep.idempotency, deep.rank), ("deep", Idempotency::NonIdempotent, 0));
    assert_eq!((deep.timeout, deep.target_latency), (Duration::from_millis(2_500), Duration::from_millis(800)));
    let wide = config.route("desk.example", "/a/c").expect("route exists");
    assert_eq!((wide.idempotency, wide.clusters.len(), wide.max_attempts), (Idempotency::Idempotent, 2, 3));
}

#[rstest]
#[case("desk.example", "/a/b/", Some("deep"))]
#[case("DESK.example:8080", "/a/b/x/y", Some("deep"))]
#[case("desk.example", "/a/b", Some("wide"))]
#[case("desk.example", "/a/bb/c", Some("wide"))]
#[case("desk.example", "/a", None)]
#[case("desk.example", "/", None)]
#[case("desk.example", "", None)]
#[case("other.example", "/a/b/", None)]
fn route_with_longest_matching_prefix_is_chosen(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let config = parsed_config();

    let route = config.route(host, path).map(|it| &*it.name);

    assert_eq!(route, expected);
}

#[rstest]
#[case("0000001c", "zz")]
#[case("\"routes\"", "\"paths\"")]
#[case("\"routes\":{", "\"routes\":3,\"r\":{")]
fn configuration_without_valid_version_or_routes_is_rejected(#[case] from: &str, #[case] to: &str) {
    let text = CONFIG.replacen(from, to, 1);

    assert!(parse_config(&text).is_err());
}

#[test]
fn download_routes_are_idempotent() {
    let text = CONFIG.replacen("\"kind\":\"idempotent\"", "\"kind\":\"download\"", 1);

    let parsed = parse_config(&text).expect("valid configuration");

    assert_eq!(parsed.findings, []);
    assert_eq!(parsed.config.route("desk.example", "/a/c").map(|it| it.idempotency), Some(Idempotency::Idempotent));
}

#[test]
fn routes_of_unknown_kind_are_non_idempotent() {
    let text = CONFIG.replacen("\"kind\":\"idempotent\"", "\"kind\":\"twice\"", 1);

    let parsed = parse_config(&text).expect("valid configuration");

    assert_eq!(parsed.findings.iter().map(|it| &*it.place).collect::<Vec<_>>(), ["routes.wide.kind"]);
    let wide = parsed.config.route("desk.example", "/a/c").expect("route exists");
    assert_eq!((wide.idempotency, wide.is_valid()), (Idempotency::NonIdempotent, true));
}

#[rstest]
#[case::no_service("\"service\":\"ledger\",", "")]
#[case::negative_timeout("2.5,", "-1,")]
#[case::string_for_number("\"priority\":0", "\"priority\":\"high\"")]
#[case::no_max_attempts("\"service\":\"ledger\",\"max_attempts\":2", "\"service\":\"ledger\"")]
#[case::negative_weight("\"service\":\"ledger\"", "\"weighted_clusters\":[{\"service\":\"x\",\"weight\":-1}]")]
fn invalid_route_is_refused_and_other_routes_apply(#[case] from: &str, #[case] to: &str) {
    let text = CONFIG.replacen(from, to, 1);

    let parsed = parse_config(&text).expect("valid configuration");

    assert_eq!(parsed.findings.iter().map(|it| &*it.place).collect::<Vec<_>>(), ["routes.deep"]);
    let validity = |path| parsed.config.route("desk.example", path).map(|it| (&*it.name, it.is_valid()));
    assert_eq!(validity("/a/b/c"), Some(("deep", false)));
    assert_eq!(validity("/a/c"), Some(("wide", true)));
}

#[rstest]
#[case::no_host("\"host\":\"Desk.example\",", "", "routes.deep")]
#[case::route_is_no_object("\"deep\":{", "\"deep\":7,\"other\":{", "routes.deep")]
#[case::invalid_limits("\"idle_timeout_s\":15", "\"idle_timeout_s\":[]", "limits")]
fn invalid_part_does_not_invalidate_the_rest(#[case] from: &str, #[case] to: &str, #[case] place: &str) {
    let text = CONFIG.replacen(from, to, 1);

    let parsed = parse_config(&text).expect("valid configuration");

    assert_eq!(parsed.findings.iter().map(|it| &*it.place).collect::<Vec<_>>(), [place]);
    assert!(parsed.config.route("desk.example", "/a/c").is_some_and(|it| &*it.name == "wide" && it.is_valid()));
}

#[rstest]
#[case("POST", "/instances/i-1/heartbeat", Some(AnnounceCall::Heartbeat("i-1".into())))]
#[case("POST", "/instances/i-1/deregister", Some(AnnounceCall::Deregister("i-1".into())))]
#[case("GET", "/instances/i-1/heartbeat", None)]
#[case("POST", "/instances//heartbeat", None)]
#[case("POST", "/other", None)]
fn announcements_are_recognised_by_method_and_path(
    #[case] method: Method,
    #[case] path: &str,
    #[case] expected: Option<AnnounceCall>,
) {
    assert_eq!(announce_call(&method, path), expected);
}

#[test]
fn valid_heartbeat_is_decoded() {
    let body = br#"{"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":4,"state":"draining",
        "warmup_left_s":1.5,"sequence":9,"born":1764700000000}"#;

    let heartbeat = parse_heartbeat("i-1", body, NOW).expect("valid heartbeat");

    assert_eq!((&*heartbeat.id.name, heartbeat.id.started_at), ("i-1", Some(1_764_700_000_000)));
    assert_eq!((&*heartbeat.service, heartbeat.slots, heartbeat.sequence), ("s", 4, 9));
    assert_eq!((heartbeat.phase, heartbeat.warmup_left), (EndpointPhase::Leaving, Duration::from_millis(1_500)));
}

/// Guards against a warm-up whose end overflows the clock and ends the process.
#[rstest]
#[case::huge("1e19", Duration::from_secs(3_600))]
#[case::beyond_all_durations("1e300", Duration::ZERO)]
#[case::negative("-1", Duration::ZERO)]
fn a_warm_up_ends_at_a_time_that_can_be_computed(#[case] seconds: &str, #[case] expected: Duration) {
    let body = format!(
        "{{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"slots\":4,\"state\":\"ready\",\
         \"warmup_left_s\":{seconds},\"sequence\":9}}"
    );

    let heartbeat = parse_heartbeat("i-1", body.as_bytes(), NOW).expect("valid heartbeat");

    assert_eq!(heartbeat.warmup_left, expected);
}

#[rstest]
#[case::absent("")]
#[case::fraction(",\"born\":1764700000000.5")]
#[case::string(",\"born\":\"1764700000000\"")]
#[case::negative(",\"born\":-1")]
#[case::null(",\"born\":null")]
#[case::object(",\"born\":{}")]
#[case::far_future(",\"born\":1864700000000")]
fn invalid_start_time_counts_as_absent(#[case] born: &str) {
    let body = format!(
        "{{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"slots\":4,\"state\":\"ready\",\"sequence\":9{born}}}"
    );

    let heartbeat = parse_heartbeat("i-1", body.as_bytes(), NOW).expect("valid heartbeat");

    assert_eq!(heartbeat.id.started_at, None);
    let deregistered = parse_deregistration("i-1", format!("{{\"other\":1{born}}}").as_bytes(), NOW);
    assert_eq!(deregistered.started_at, None);
}

#[rstest]
#[case::no_service("\"service\":\"s\",", "")]
#[case::number_for_service("\"s\"", "7")]
#[case::unknown_state("ready", "resting")]
#[case::no_sequence(",\"sequence\":9", "")]
#[case::fractional_slots("4", "4.5")]
#[case::name_for_address("10.0.0.9:8080", "desk")]
#[case::truncated(",\"slots\":4,\"state\":\"ready\",\"sequence\":9}", "")]
fn invalid_heartbeat_is_rejected(#[case] from: &str, #[case] to: &str) {
    let body = "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"slots\":4,\"state\":\"ready\",\"sequence\":9}";

    assert!(parse_heartbeat("i-1", body.as_bytes(), NOW).is_ok());
    assert!(parse_heartbeat("i-1", body.replacen(from, to, 1).as_bytes(), NOW).is_err());
    assert!(parse_heartbeat("i-1", b"\xff\xfe", NOW).is_err());
}

/// Each case gives `services` of a configuration, the health path of `x`, and the places of the findings.
#[rstest]
#[case(r#"{"x":{"health_path":"/live?deep=1","tls":false}}"#, Some("/live?deep=1"), &[])]
#[case(r#"{"x":{"health_path":"/health"}}"#, None, &[])]
#[case(r#"{"x":{}}"#, None, &[])]
#[case(r#"{"x":{"health_path":"no path"}}"#, None, &["services.x"])]
#[case(r#"{"x":{"health_path":"/a b"}}"#, None, &["services.x"])]
#[case(r#"{"x":{"health_path":"/live"},"y":7}"#, Some("/live"), &["services.y"])]
#[case("[]", None, &["services"])]
#[case("null", None, &[])]
fn health_paths_are_decoded(#[case] services: &str, #[case] path: Option<&str>, #[case] places: &[&str]) {
    let spec = CONFIG.replace(r#"{"x":{"health_path":"/health"}}"#, services);

    let parsed = parse_config(&spec).expect("valid configuration");

    assert_eq!(parsed.config.health_path("x"), path);
    assert_eq!(parsed.findings.iter().map(|it| &*it.place).collect::<Vec<_>>(), places);
    assert_eq!(parsed.config.routes().len(), 2, "invalid services do not affect the routes");
}

#[test]
fn configuration_from_earlier_release_has_default_health_paths() {
    let config = parsed_config();
    let without_health_paths = (config.version, config.routes(), config.limits);

    let bytes = rmp_serde::to_vec(&without_health_paths).expect("encodable message");

    assert_eq!(rmp_serde::from_slice::<Config>(&bytes).expect("decodable configuration"), config);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Decoders don't panic on arbitrary bytes, nor on a valid configuration with one byte changed.
    #[test]
    fn decoders_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..2_000, byte in any::<u8>()) {
        let mut corrupted = CONFIG.as_bytes().to_vec();
        let at = at % corrupted.len();
        corrupted[at] = byte;
        _ = parse_heartbeat("i-1", &bytes, NOW);
        _ = parse_deregistration("i-1", &bytes, NOW);
        _ = parse_config(&String::from_utf8_lossy(&bytes));
        if let Ok(parsed) = parse_config(&String::from_utf8_lossy(&corrupted)) {
            prop_assert!(parsed.config.routes().len() <= 2);
        }
    }
}

#[test]
fn headers_are_set_and_read() {
    let mut headers = HeaderMap::new();
    headers.insert("x-server-load", "3,1,8".parse().expect("a value"));
    headers.insert("x-caller-service", "forged".parse().expect("a value"));

    platform::set_deadline(&mut headers, Duration::from_millis(1_234));
    platform::set_caller_service(&mut headers, "desk");
    platform::set_expected_instance(&mut headers, "i-1");

    assert_eq!(platform::endpoint_load(&headers), Some((3, 1, 8)));
    assert_eq!(platform::deadline(&headers), Some(Duration::from_millis(1_234)));
    assert_eq!(platform::caller_service(&headers), Some("desk"));
    assert_eq!(platform::expected_instance(&headers), Some("i-1"));
    assert_eq!(platform::retry_after(Duration::from_millis(1_250)).1, "1.25");
}

/// Returns the deployment template with its fields filled in as the platform does.
fn filled_template() -> String {
    let mut text = include_str!("../deploy/proxy.toml.template").to_owned();
    for (field, value) in [
        ("{{node|json}}", "\"sidecar-a-1\""),
        ("{{zone|json}}", "\"a\""),
        ("{{service|json}}", "\"s\""),
        ("{{listen.outbound|json}}", "\"10.1.0.8:8304\""),
        ("{{listen.inbound|json}}", "\"10.1.0.8:8300\""),
        ("{{listen.control|json}}", "\"10.1.0.8:8306\""),
        ("{{listen.ready|json}}", "\"10.1.0.8:8302\""),
        ("{{ip}}", "10.1.0.8"),
        ("{{app_addr|json}}", "\"10.1.0.8:8301\""),
        ("{{platform.address|json}}", "\"10.200.1.7:8309\""),
        ("{{heartbeat_s|json}}", "1.5"),
        ("{{bounds.grace_s|json}}", "6"),
        ("{{bounds.retry_budget_ratio|json}}", "0.2"),
        ("{{bounds.budget_slack|json}}", "60"),
    ] {
        assert!(text.contains(field), "{field}");
        text = text.replace(field, value);
    }
    assert!(!text.contains("{{"), "template field without a value: {text}");
    text
}

#[test]
fn deployment_template_gives_valid_settings() {
    let settings = Settings::parse("boot.toml", &filled_template()).expect("valid settings");

    assert_eq!((&*settings.name, &*settings.data_centre), ("sidecar-a-1", "a"));
    assert_eq!(settings.callers.to_string(), "10.1.0.8:8304");
    assert_eq!((settings.shutdown_grace, settings.retry_slack), (Duration::from_secs(6), 60.0));
    assert_eq!(settings.advertised, settings.peers);
}

#[rstest]
#[case::missing("", Some(None))]
#[case::a_fraction("memory_mb = 512.5\n", Some(Some(512_500_000)))]
#[case::too_little("memory_mb = 90\n", None)]
#[case::no_number("memory_mb = \"much\"\n", None)]
fn the_memory_of_the_process_is_checked(#[case] line: &str, #[case] expected: Option<Option<usize>>) {
    let text = filled_template() + line;

    let settings = Settings::parse("boot.toml", &text);

    assert_eq!(settings.ok().map(|it| it.memory_bytes), expected);
}

#[test]
fn advertised_address_can_differ_from_listen_address() {
    let text = filled_template() + "advertised = \"192.0.2.7:7101\"\n";

    let settings = Settings::parse("boot.toml", &text).expect("valid settings");

    assert_eq!(settings.advertised.to_string(), "192.0.2.7:7101");
}

#[test]
fn all_invalid_settings_are_reported_with_their_places() {
    let text = filled_template().replace("grace_s = 6", "grace_s = \"long\"").replace("name = \"sidecar-a-1\"\n", "");

    let findings = Settings::parse("boot.toml", &text).expect_err("invalid settings");

    let list: Vec<String> = findings.as_slice().iter().map(|it| format!("{}: {}", it.place, it.message)).collect();
    assert_eq!(list.len(), 2, "{list:?}");
    assert!(list.iter().any(|it| it.contains("lacks `name`")));
    assert!(list.iter().any(|it| it.starts_with("boot.toml:12:11") && it.contains("must be a number")), "{list:?}");
}

// What endpoints state about themselves

fn headers(name: &'static str, values: &[&str]) -> HeaderMap {
    let values = values.iter().map(|it| HeaderValue::from_str(it).expect("a header value"));
    values.map(|it| (HeaderName::from_static(name), it)).collect()
}

#[rstest]
#[case::absent(&[], LimitStatement::None)]
#[case::a_decimal_number(&["3.4"], limit(3.4))]
#[case::zero(&[" 0 "], limit(0.0))]
#[case::huge(&["1000000000"], limit(1e9))]
#[case::twice_the_lowest_counts(&["5", "2"], limit(2.0))]
#[case::a_list_the_lowest_counts(&["2, 5"], limit(2.0))]
#[case::empty(&[""], LimitStatement::Unknown)]
#[case::text(&["many"], LimitStatement::Unknown)]
#[case::negative(&["-1"], LimitStatement::Unknown)]
#[case::not_a_number(&["NaN"], LimitStatement::Unknown)]
#[case::infinite(&["inf"], LimitStatement::Unknown)]
#[case::one_of_two_is_malformed(&["2", "many"], LimitStatement::Unknown)]
fn an_answer_states_a_limit_no_limit_or_nothing(#[case] values: &[&str], #[case] expected: LimitStatement) {
    assert_eq!(platform::limit_statement(&headers("server-limit", values)), expected);
}

fn limit(per_second: f64) -> LimitStatement {
    LimitStatement::Limit(per_second.try_into().expect("the rate is valid"))
}

#[rstest]
#[case(&[], false)]
#[case(&["1"], true)]
#[case(&["0", "1"], true)]
#[case(&["0"], false)]
#[case(&[""], false)]
#[case(&["true"], false)]
fn only_1_states_that_an_endpoint_is_leaving(#[case] values: &[&str], #[case] expected: bool) {
    assert_eq!(platform::is_leaving(&headers("server-leaving", values)), expected);
}
