//! Reads of the platform's store with malformed objects among the valid ones; the malformed ones must not hide the rest.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    sync::mpsc,
    thread,
    time::Duration,
};

use jayreach::{
    decide::watchers::StoreWatch,
    platform::{Consistency, Listing, PresenceObject, Store, WatchEnd, WatchPosition},
};
use rstest::rstest;
use tokio::task::LocalSet;

/// Starts a store that responds to every call with `body`.
fn store_with_response(body: &'static [u8]) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buf = [0; 4096];
            // A call without a body arrives in one read.
            _ = stream.read(&mut buf);
            let header = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            _ = stream.write_all(&[header.as_bytes(), body].concat());
        }
    });
    Store::new(address)
}

/// Starts a store with two pages: the first ends with an object of another writer named `last_name`. The second is for
/// calls for what comes after a name. Sends the request line of each call to `calls`.
fn store_with_two_pages(last_name: &str, calls: mpsc::Sender<String>) -> Store {
    let name = serde_json::to_string(last_name).expect("text can be encoded");
    let first =
        format!("{{\"items\":[{{\"metadata\":{{\"name\":{name}}},\"spec\":0}}],\"has_more\":true,\"at_rev\":9}}");
    let second = "{\"items\":[{\"metadata\":{\"name\":\"zz\"},\"spec\":{\"name\":\"zz\",\"peers\":\"127.0.0.1:1\"}}],\
                  \"at_rev\":9}";
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).unwrap_or(0);
            let head = String::from_utf8_lossy(&buf[..len]).into_owned();
            let line = head.lines().next().unwrap_or("").to_owned();
            let body = if line.contains("&after=") { second } else { &first };
            _ = calls.send(line);
            let header = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            _ = stream.write_all(&[header.as_bytes(), body.as_bytes()].concat());
        }
    });
    Store::new(address)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

fn valid_and_skipped_names(list: &Listing<PresenceObject>) -> (Vec<&str>, Vec<&str>) {
    (list.objects.iter().map(|it| &*it.name).collect(), list.skipped.iter().map(|it| &*it.name).collect())
}

/// Guards against a name of another writer that ends the process, or the listing, because it is no part of a URI.
#[rstest]
#[case::a_space("back up", "back%20up")]
#[case::a_quotation_mark("\"x\"", "%22x%22")]
#[case::a_line_break("x\r\ny", "x%0D%0Ay")]
#[case::query_characters("a&after=#%+", "a%26after%3D%23%25%2B")]
#[case::not_ascii("z\u{fc}", "z%C3%BC")]
fn a_listing_goes_on_after_any_name(#[case] last_name: &str, #[case] encoded: &str) {
    let (tx, calls) = mpsc::channel();
    let store = store_with_two_pages(last_name, tx);

    let list = block_on(store.list_presences(Consistency::Stale)).expect("valid listing");

    let lines: Vec<String> = calls.try_iter().collect();
    assert_eq!(valid_and_skipped_names(&list).0, ["zz"]);
    assert!(lines[1].contains(&format!("&after={encoded} ")), "{lines:?}");
}

#[test]
fn listing_skips_invalid_objects() {
    let store = store_with_response(
        b"{\"items\":[
            {\"metadata\":{\"name\":\"a\"},\"spec\":{\"name\":\"a\",\"peers\":\"127.0.0.1:1\"}},
            {\"metadata\":{\"name\":\"b\"},\"spec\":{\"name\":\"b\"}},
            {\"metadata\":{\"name\":\"c\"},\"spec\":{\"name\":\"c\",\"peers\":7}},
            {\"metadata\":{\"name\":\"d\"}},
            {\"metadata\":{\"name\":\"e\"},\"spec\":{\"name\":\"a\",\"peers\":\"127.0.0.1:9\"}},
            {\"metadata\":{\"name\":\"f\xff\"},\"spec\":{\"name\":\"\xfe\",\"peers\":\"\xff\"}},
            {\"metadata\":[]}, null, 3,
            {\"metadata\":{\"name\":\"z\"},\"spec\":{\"name\":\"z\",\"peers\":\"127.0.0.1:2\"}}
          ],\"has_more\":false,\"at_rev\":9}",
    );

    let list = block_on(store.list_presences(Consistency::Linearizable)).expect("valid listing");

    assert_eq!(valid_and_skipped_names(&list), (vec!["a", "z"], vec!["b", "c", "", "e", "f\u{fffd}", "", "", ""]));
}

#[test]
fn paged_listing_without_valid_names_ends() {
    let store = store_with_response(b"{\"items\":[{\"metadata\":{}},null],\"has_more\":true,\"at_rev\":9}");

    let list = block_on(store.list_presences(Consistency::Linearizable)).expect("valid listing");

    assert_eq!((list.objects.len(), list.skipped.len()), (0, 2));
}

#[test]
fn configuration_is_found_among_invalid_objects_of_its_kind() {
    let store = store_with_response(
        b"{\"items\":[null,{\"metadata\":{\"name\":\"main\xff\"},\"spec\":[]},
            {\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":\"0000000c\",\"routes\":{}}}],\"at_rev\":9}",
    );

    let snapshot = block_on(store.read_config(Consistency::Linearizable)).expect("valid listing");

    let config = snapshot.config.expect("a configuration exists").expect("valid configuration").config;
    assert_eq!((config.version, snapshot.position.revision), (12, 9));
}

#[test]
fn watch_skips_invalid_events() {
    let store = store_with_response(
        b"{\"events\":[null,{\"object\":{\"metadata\":{\"name\":\"main\"}},\"is_deleted\":false},
            {\"object\":{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":\"zz\"}},\"is_deleted\":false}],\"at_rev\":11}",
    );

    let end = block_on(
        store.watch_config(WatchPosition { revision: 9, era: 0 }, StoreWatch::of_watcher(0, 1, Duration::ZERO)),
    )
    .expect("events");

    let WatchEnd::Completed(snapshot) = end else { panic!("the store has the history") };
    assert_eq!((snapshot.position.revision, snapshot.config.map(|it| it.is_err())), (11, Some(true)));
}
